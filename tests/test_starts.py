"""
tests.test_starts

Guards against hosts that ended at their start because of something that passes by itself: an
address that another socket used for a moment, an early reload, or settings that were being written.
"""

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import sys

import pytest
from chalkyoke.gatewayd import EXIT_ADDRESS

from tests.test_gateway_processes import with_fleet

# Time for which another socket uses an address, in seconds: a start takes less.
USED_S = 1.5
# Interval at which the page that tells whether a node is ready is asked, in seconds.
ASK_INTERVAL_S = 0.05
ADDRESSES = ("callers", "links", "ready", "metrics")


@contextlib.contextmanager
def listening_on(address):
    """Use an address as another program does that listens on it."""
    ip, port = address.rsplit(":", 1)
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((ip, int(port)))
        other.listen()
        yield


@contextlib.contextmanager
def connected_from(address):
    """Use an address as another program's outgoing connection does."""
    ip, port = address.rsplit(":", 1)
    with socket.create_server(("127.0.0.1", 0)) as peer, socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((ip, int(port)))
        other.connect(peer.getsockname())
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
        accepted, _ = peer.accept()
        with accepted:
            yield
            # The end that closes last keeps no port.
            accepted.shutdown(socket.SHUT_WR)
            other.recv(1)


def kill(fleet, name):
    node = fleet.nodes[name]
    node.send_signal(signal.SIGKILL)
    node.popen.wait()
    return node


def read_events(fleet, name):
    """Return the names of the events in a node's log."""
    lines = (fleet.folder / f"{name}.log").read_text(encoding="utf-8").splitlines()
    return [json.loads(line)["event"] for line in lines if line.startswith("{")]


@pytest.mark.parametrize("use", [listening_on, connected_from])
@pytest.mark.parametrize("address", ADDRESSES)
def test_a_start_waits_for_an_address_that_another_socket_uses(address, use):
    """Guards against a host that was lost for good, as nothing started it again."""

    async def check(fleet):
        node = kill(fleet, "n1")
        with use(getattr(node, address)):
            fleet.start_node("n1", first_start=False)
            await asyncio.sleep(USED_S)
            assert node.popen.poll() is None, fleet.log_tails()
        await fleet.wait_until_ready("n1")
        assert (await fleet.send_request("n1", "/book/1")).status == 200
        assert "address_in_use" in read_events(fleet, "n1")

    with_fleet(check, ("a",))


def test_a_node_says_that_it_is_not_ready_while_callers_have_no_address():
    async def check(fleet):
        node = kill(fleet, "n1")
        with listening_on(node.callers):
            fleet.start_node("n1", first_start=False)
            await fleet.wait_until(lambda: _answers(fleet, node.ready), "the page of n1")
            async with fleet.session.get(f"http://{node.ready}/readyz") as answer:
                assert answer.status == 503
                assert node.callers in await answer.text()
        await fleet.wait_until_ready("n1")

    with_fleet(check, ("a",))


def test_a_node_that_has_the_catalog_of_its_peers_is_not_ready_without_an_address_for_callers():
    """Guards against callers sent to a host on whose address they got no connection."""

    async def check(fleet):
        node = kill(fleet, "n1")
        with listening_on(node.callers):
            fleet.start_node("n1", first_start=False)
            await fleet.wait_until(lambda: "address_in_use" in read_events(fleet, "n1"), "a wait")
            for _ in range(int(USED_S / ASK_INTERVAL_S)):
                assert not await fleet.is_ready("n1")
                await asyncio.sleep(ASK_INTERVAL_S)
        await fleet.wait_until_ready("n1")
        assert (await fleet.send_request("n1", "/book/1")).status == 200

    with_fleet(check)


async def _answers(fleet, address):
    with contextlib.suppress(OSError):
        async with fleet.session.get(f"http://{address}/readyz"):
            return True
    return False


def test_a_node_serves_while_its_metrics_page_has_no_address():
    async def check(fleet):
        node = kill(fleet, "n1")
        with listening_on(node.metrics):
            fleet.start_node("n1", first_start=False)
            await fleet.wait_until_ready("n1")
            assert (await fleet.send_request("n1", "/book/1")).status == 200

    with_fleet(check, ("a",))


def test_a_start_is_stopped_while_it_waits_for_an_address():
    async def check(fleet):
        node = kill(fleet, "n1")
        with listening_on(node.links):
            fleet.start_node("n1", first_start=False)
            await fleet.wait_until(
                lambda: "address_in_use" in read_events(fleet, "n1"), "n1 to wait"
            )
            node.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(node.popen.wait, 5.0) == 0

    with_fleet(check, ("a",))


def test_a_second_process_of_a_host_ends_and_leaves_the_first_alone():
    """It waits for no longer than its settings say."""

    async def check(fleet):
        first = fleet.nodes["n1"].popen
        # The first process goes on writing to the renamed file.
        (fleet.folder / "n1.log").rename(fleet.folder / "first.log")
        fleet.listen["wait_s"] = 0.5
        fleet.start_node("n1", first_start=False)
        second = fleet.nodes["n1"].popen
        assert await asyncio.to_thread(second.wait, 10.0) == EXIT_ADDRESS
        assert read_events(fleet, "n1")[-1] == "start_failed"
        fleet.nodes["n1"].popen = first
        assert first.poll() is None
        assert (await fleet.send_request("n1", "/book/1")).status == 200

    with_fleet(check, ("a",))


def test_a_reload_during_the_imports_does_not_end_the_process(tmp_path):
    """Guards against SIGHUP before the first import, which takes half of a start."""
    (tmp_path / "asyncio.py").write_text(
        "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\nraise SystemExit(0)\n",
        encoding="utf-8",
    )
    command = [sys.executable, "-m", "chalkyoke.gatewayd"]
    ended = subprocess.run(command, env={"PYTHONPATH": str(tmp_path)}, check=False)
    assert ended.returncode == 0


def test_signals_during_a_planned_stop_do_not_change_its_end():
    """Guards against signals that come when the loop has removed its handlers."""

    async def check(fleet):
        node = fleet.nodes["n1"]
        while node.popen.poll() is None:
            for each in (signal.SIGTERM, signal.SIGHUP):
                node.send_signal(each)
            await asyncio.sleep(0.0005)
        assert node.popen.returncode == 0

    with_fleet(check, ("a",))


def test_signals_that_mean_nothing_to_a_node_leave_it_running():
    """Guards against SIGUSR1, as log rotation sends it, which ended the process."""

    async def check(fleet):
        node = fleet.nodes["n1"]
        for each in (signal.SIGUSR1, signal.SIGUSR2):
            node.send_signal(each)
        got = await fleet.send_request("n1", "/book/1")
        assert got.status == 200 and node.popen.poll() is None

    with_fleet(check, ("a",))


@pytest.mark.parametrize("share", [0.0, 0.5, 1.0])
def test_a_start_waits_for_settings_that_are_being_written(share):
    """Guards against a host that was lost for good, as it read a part of its settings."""

    async def check(fleet):
        node = kill(fleet, "n1")
        fleet.start_node("n1", first_start=False)
        whole = node.settings.read_text(encoding="utf-8")
        # Up to here the file ends within a string; a part that is valid would start the node.
        end = whole.rindex('"')
        node.settings.write_text(whole[: int(share * end)], encoding="utf-8")
        await fleet.wait_until(lambda: "settings: " in _read_log(fleet), "n1 to read its settings")
        assert node.popen.poll() is None
        node.settings.write_text(whole, encoding="utf-8")
        await fleet.wait_until_ready("n1")

    with_fleet(check, ("a",))


def _read_log(fleet):
    return (fleet.folder / "n1.log").read_text(encoding="utf-8")
