"""
tests.test_broken_invariants_completions

Guards against a completions node that ends on a broken invariant and closes the connections of
callers whose requests it has read, without an answer.
"""

import asyncio
import signal
import sys

from chalkyoke_fakes.caller import ReplyOutcome

from tests.test_planned_stop_completions import request_id, send_in_parts
from tests.test_processes import (
    completion_body,
    is_ready,
    received_counts,
    wait_until,
    with_fleet,
)

# A node with a fault: SIGUSR1 breaks an invariant, and the wait of a planned stop fails.
FAULTY_NODE = """
import asyncio, signal
from chalkyoke import cli
from chalkyoke.entry.service import EntryService
from chalkyoke.exceptions import InvariantBroken
from chalkyoke.node.process import Node

run, drain = Node.run, EntryService.drain

async def run_until_broken(node):
    fail = lambda: node._supervisor.fail(InvariantBroken("planted"))
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, fail)
    await run(node)

async def fail_once(entry):
    EntryService.drain = drain
    raise RuntimeError("planted")

Node.run = run_until_broken
EntryService.drain = fail_once
cli.main()
"""
EXIT_INVARIANT = 70
EXIT_FAULT = 1
# Longest time that a node may take to end, in seconds.
END_S = 2.0
STOP_S = 4.0
SLOW_S = 20.0


async def start_faulty(fleet):
    node = fleet.nodes["n1"]
    node.send_signal(signal.SIGKILL)
    node.popen.wait()
    file = fleet.folder / "n1.toml"
    command = [sys.executable, "-c", FAULTY_NODE, "serve", "--settings", str(file)]
    node.popen = fleet._spawn("n1", command)
    await wait_until(lambda: is_ready(fleet, "n1"))
    return node


async def wait_for_end(node, seconds):
    async with asyncio.timeout(seconds):
        while node.popen.poll() is None:
            await asyncio.sleep(0.02)
    return node.popen.returncode


def test_requests_that_were_read_are_answered_before_a_broken_invariant_ends_the_node():
    async def check(fleet, caller):
        node = await start_faulty(fleet)
        await fleet.set_faults(fleet.upstreams["p1"], latency_s=SLOW_S)
        streams = [
            asyncio.create_task(caller.complete(node.address, completion_body(600)))
            for _ in range(4)
        ]
        await wait_until(lambda: received_counts(fleet))
        await asyncio.sleep(0.5)
        waiting = asyncio.create_task(caller.complete(node.address, completion_body(600)))
        booking = asyncio.create_task(caller.call(node.address, "seats", b"{}"))
        partial = asyncio.create_task(send_in_parts(node.address, 12, 0.2))
        await asyncio.sleep(0.5)

        node.send_signal(signal.SIGUSR1)
        assert await wait_for_end(node, END_S) == EXIT_INVARIANT
        for reply in await asyncio.gather(*streams):
            assert (reply.outcome, reply.reason) == (ReplyOutcome.FAILED, "stopping"), reply
        reply = await waiting
        # An engine may get a request early and let it wait.
        sent = request_id(reply.token) in await received_counts(fleet)
        expected = (ReplyOutcome.UNKNOWN, 504) if sent else (ReplyOutcome.NOT_RUN, 503)
        assert (reply.outcome, reply.status) == expected, reply
        assert ((await booking).outcome, (await booking).status) == (ReplyOutcome.UNKNOWN, 504)
        assert (await partial).startswith(b"HTTP/1.1 503 ")

    with_fleet(check)


def test_a_planned_stop_that_fails_ends_the_node_and_answers_its_callers():
    """Guards against a node that never ends, as the task of its planned stop has failed."""

    async def check(fleet, caller):
        node = await start_faulty(fleet)
        stream = asyncio.create_task(caller.complete(node.address, completion_body(600)))
        await wait_until(lambda: received_counts(fleet))
        await asyncio.sleep(0.5)
        node.send_signal(signal.SIGTERM)
        assert await wait_for_end(node, STOP_S) == EXIT_FAULT
        reply = await stream
        assert (reply.outcome, reply.reason) == (ReplyOutcome.FAILED, "stopping"), reply

    with_fleet(check)
