"""
tests.test_early_signals

Guards against processes that a signal ended by its default action, before a node handled it or
after its loop had removed the handlers.
"""

import asyncio
import os
import signal
import subprocess
import sys

import pytest

from tests.test_processes import with_fleet

# The exit code of a process that reads the planted module to its end.
READ_ON = 9
# The first module that each command imports after it has prepared for signals.
COMMANDS = [
    ("chalkyoke.gatewayd", "asyncio"),
    ("chalkyoke.cli serve", "typer"),
    ("chalkyoke serve", "typer"),
    ("chalkyoke gateway", "typer"),
]


def run_with_signal(folder, command, module, number):
    """Run a command that gets a signal during its imports; return its exit code."""
    (folder / f"{module}.py").write_text(
        f"import os\nos.kill(os.getpid(), {int(number)})\nos._exit({READ_ON})\n", encoding="utf-8"
    )
    # A path in front of the installed packages.
    other = {**os.environ, "PYTHONPATH": str(folder)}
    ended = subprocess.run([sys.executable, "-m", *command.split()], env=other, check=False)
    return ended.returncode


@pytest.mark.parametrize(("command", "module"), COMMANDS)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_during_the_imports_ends_the_process_with_0(tmp_path, command, module, number):
    """Guards against -15 as the exit code of a stop that came before the node listened."""
    assert run_with_signal(tmp_path, command, module, number) == 0


@pytest.mark.parametrize(("command", "module"), COMMANDS)
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2])
def test_a_reload_or_log_rotation_during_the_imports_has_no_effect(
    tmp_path, command, module, number
):
    """Guards against a node of the completions front that an early SIGHUP ended."""
    assert run_with_signal(tmp_path, command, module, number) == READ_ON


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_command_that_runs_no_node_ends_by_a_signal_as_before(tmp_path, number):
    assert run_with_signal(tmp_path, "chalkyoke check-settings", "typer", number) != 0


def test_signals_during_a_planned_stop_do_not_change_its_end():
    """Guards against -15 and -1 at the very end of a stop of the completions front."""

    async def check(fleet, _):
        node = fleet.nodes["n1"]
        for each in (signal.SIGUSR1, signal.SIGUSR2):
            node.send_signal(each)
        while node.popen.poll() is None:
            for each in (signal.SIGTERM, signal.SIGHUP):
                node.send_signal(each)
            await asyncio.sleep(0.0005)
        assert node.popen.returncode == 0

    with_fleet(check)
