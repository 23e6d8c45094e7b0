"""
chalkyoke.tests.test_tomlfile

Guards against settings files at whose reload a node stopped serving: it waited for the writer of a
named pipe, or parsed megabytes.
"""

import os
import subprocess
import sys

import pytest
from chalkyoke import tomlfile
from chalkyoke.exceptions import SettingsError

# Longest time to read any file, in seconds, with the start of an interpreter.
READ_S = 20.0
CHILD = """
import pathlib, sys
from chalkyoke import tomlfile
from chalkyoke.exceptions import SettingsError
try:
    tomlfile.read(pathlib.Path(sys.argv[1]))
except SettingsError as error:
    sys.exit(f"settings: {error.problems[0]}")
"""


def test_a_named_pipe_is_no_settings_file(tmp_path):
    """Guards against a node that answered nobody until somebody wrote to the pipe."""
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    ended = subprocess.run(
        [sys.executable, "-c", CHILD, str(path)], capture_output=True, timeout=READ_S, check=False
    )
    assert ended.returncode == 1 and b"is no regular file" in ended.stderr


def test_a_directory_is_no_settings_file(tmp_path):
    with pytest.raises(SettingsError) as raised:
        tomlfile.read(tmp_path)
    assert raised.value.problems == [f"{tmp_path}: Is a directory"]


@pytest.mark.parametrize(("surplus", "accepted"), [(0, True), (1, False)])
def test_a_settings_file_is_bounded(tmp_path, surplus, accepted):
    """Guards against a reload of a huge file, during which a node answered nobody for seconds."""
    path = tmp_path / "settings.toml"
    path.write_bytes(b"#" * (tomlfile.MAX_BYTES + surplus))
    if accepted:
        assert tomlfile.read(path) == {}
    else:
        with pytest.raises(SettingsError):
            tomlfile.read(path)


def test_text_in_utf_8_and_line_ends_of_any_kind_are_read(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_bytes('a = "é"\r\nb = 1\r\n'.encode())
    assert tomlfile.read(path) == {"a": "é", "b": 1}
