"""
tests.test_early_signals

Guards against processes that a signal ended by its default action, before a node handled it or
after its loop had removed the handlers, and against signals that an inherited mask held back.
"""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys

import pytest

from tests import test_gateway_processes
from tests.test_processes import completion_body, with_fleet

# The exit code of a process that reads the planted module to its end.
READ_ON = 9
HANDLED = {signal.SIGHUP, signal.SIGINT, signal.SIGTERM}
# Seconds until a node that stops without requests in progress has ended.
STOP_S = 20.0
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


@contextlib.contextmanager
def blocked_signals():
    """Block the signals that a node handles, as a parent does that waits for them."""
    before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


@pytest.mark.parametrize(("command", "module"), COMMANDS)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_ends_a_process_whose_parent_had_blocked_the_signal(
    tmp_path, command, module, number
):
    """Guards against a stop during the imports that an inherited signal mask held back."""
    with blocked_signals():
        assert run_with_signal(tmp_path, command, module, number) == 0


@pytest.mark.parametrize(("command", "module"), COMMANDS)
def test_a_stop_that_was_pending_before_the_start_ends_the_process(tmp_path, command, module):
    """Guards against a pending stop that an inherited signal mask held back for ever."""
    (tmp_path / f"{module}.py").write_text(f"import os\nos._exit({READ_ON})\n", encoding="utf-8")
    arguments = [sys.executable, "-m", *command.split()]
    parent = (
        "import os, signal\n"
        "signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGTERM])\n"
        "os.kill(os.getpid(), signal.SIGTERM)\n"
        f"os.execv({sys.executable!r}, {arguments!r})\n"
    )
    other = {**os.environ, "PYTHONPATH": str(tmp_path)}
    ended = subprocess.run([sys.executable, "-c", parent], env=other, check=False)
    assert ended.returncode == 0


def test_a_gateway_node_with_an_inherited_signal_mask_reloads_and_stops():
    """Guards against nodes that never stopped and were killed with all requests in progress."""

    async def check(fleet):
        node = fleet.nodes["n1"]
        sending = asyncio.create_task(fleet.send_request("n1", "/book/1", X_Work_S="1.0"))
        await asyncio.sleep(0.3)
        node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
        node.send_signal(signal.SIGTERM)
        got = await sending
        assert (got.status, got.whole) == (200, True), got
        assert await asyncio.to_thread(node.popen.wait, STOP_S) == 0
        lines = (fleet.folder / "n1.log").read_text(encoding="utf-8").splitlines()
        events = {each["event"]: each for each in map(json.loads, lines)}
        assert {"reloaded", "stopping"} <= events.keys()
        assert set(events["signals_unblocked"]["inherited"]) == {each.name for each in HANDLED}

    with blocked_signals():
        test_gateway_processes.with_fleet(check, zones=("a",))


def test_a_completions_node_with_an_inherited_signal_mask_stops():
    """Guards against nodes that never stopped and were killed with all requests in progress."""

    async def check(fleet, caller):
        node = fleet.nodes["n1"]
        sending = asyncio.create_task(caller.complete(node.address, completion_body(50)))
        await asyncio.sleep(0.3)
        node.send_signal(signal.SIGTERM)
        assert (await sending).status == 200
        assert await asyncio.to_thread(node.popen.wait, STOP_S) == 0

    with blocked_signals():
        with_fleet(check)
