"""
chalkyoke.tomlfile

Reader of TOML settings files.
"""

import tomllib
from pathlib import Path
from typing import Any

from chalkyoke.exceptions import SettingsError


def read(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    :raises SettingsError: when the file can't be read or is not valid TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError([f"{path}: is no TOML: {error}"]) from error
