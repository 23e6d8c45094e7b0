"""
tests.test_blocked_output

Guards against nodes that ended, or waited for good, because nobody took what they wrote to standard
error.
"""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import pytest
from chalkyoke.gatewayd import EXIT_SETTINGS

# Longest time until a start with invalid settings ends, in seconds.
END_S = 20.0
CHILD = """
from chalkyoke import logs
logs.set_up("plain", "INFO")
for _ in range(10_000):
    logs.logger("test").info("a line")
"""


@contextlib.contextmanager
def full_pipe():
    """Make a pipe that accepts no more bytes, and that nobody reads."""
    unread, full = os.pipe()
    os.set_blocking(full, False)
    for size in (65536, 1):
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(full, bytes(size))
    os.set_blocking(full, True)
    yield full
    os.close(unread)
    os.close(full)


@contextlib.contextmanager
def full_device():
    with Path("/dev/full").open("wb") as full:
        yield full.fileno()


@contextlib.contextmanager
def pipe_without_reader():
    unread, broken = os.pipe()
    os.close(unread)
    yield broken
    os.close(broken)


OUTPUTS = (full_pipe, full_device, pipe_without_reader)


@pytest.mark.parametrize("output", OUTPUTS)
@pytest.mark.parametrize(
    "command", [["chalkyoke.gatewayd"], ["chalkyoke.cli", "serve", "--settings"]]
)
def test_invalid_settings_end_a_start_with_its_exit_code_wherever_its_output_goes(
    tmp_path, command, output
):
    """Guards against a start that hung on a full pipe, or ended with 1 on a full device."""
    settings = tmp_path / "n1.toml"
    settings.write_text("[node", encoding="utf-8")
    with output() as descriptor:
        ended = subprocess.run(
            [sys.executable, "-m", *command, str(settings)],
            stdout=descriptor,
            stderr=descriptor,
            timeout=END_S,
            check=False,
        )
    assert ended.returncode == EXIT_SETTINGS


@pytest.mark.parametrize("output", OUTPUTS)
def test_a_process_goes_on_when_its_log_is_not_taken(output):
    """Guards against a node that answered nobody once the pipe of its log was full."""
    with output() as descriptor:
        ended = subprocess.run(
            [sys.executable, "-c", CHILD], stderr=descriptor, timeout=END_S, check=False
        )
    assert ended.returncode == 0


def test_log_lines_reach_a_reader_whole():
    ended = subprocess.run(
        [sys.executable, "-c", CHILD.replace("10_000", "200")], capture_output=True, check=True
    )
    lines = ended.stderr.decode().splitlines()
    assert len(lines) == 200 and all(line.endswith("a line") for line in lines)
