"""
chalkyoke.tomlfile

Reader of TOML settings files.
"""

import os
import stat
import tomllib
from pathlib import Path
from typing import Any

from chalkyoke.exceptions import SettingsError

# Largest settings file that is read, in bytes: a node serves nobody while it reads the file again.
MAX_BYTES = 1_048_576


def read(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    :raises SettingsError: when the file can't be read or is not valid TOML.
    """
    try:
        content = _read_bytes(path)
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    if len(content) > MAX_BYTES:
        raise SettingsError([f"{path}: is larger than {MAX_BYTES} bytes"])
    try:
        return tomllib.loads(content.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        raise SettingsError([f"{path}: is no TOML: {error}"]) from error


def _read_bytes(path: Path) -> bytes:
    """Return the first bytes of a file, one more than :data:`MAX_BYTES` if there are more.

    :raises SettingsError: when the path is no regular file; reading a pipe may wait for good.
    """
    # To open a named pipe in blocking mode waits for a writer.
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with os.fdopen(descriptor, "rb") as file:
        if not stat.S_ISREG(os.fstat(descriptor).st_mode):
            raise SettingsError([f"{path}: is no regular file"])
        return file.read(MAX_BYTES + 1)
