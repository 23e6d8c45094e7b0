"""
tests.test_memory_load

Tests of the load that fills the memory of gateway processes: what it counts, what it sends, and how
it judges the ends of requests and processes.
"""

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from types import SimpleNamespace

import pytest
from chalkyoke_fakes.memoryload.connection import Connection
from chalkyoke_fakes.memoryload.manners import MAX_BODY_BYTES, Manner, Upload, draw_upload
from chalkyoke_fakes.memoryload.play import PlayConfig, PlayOutcome, play_scenario
from chalkyoke_fakes.memoryload.records import (
    Ending,
    NodeEnd,
    PlayRecords,
    SentRequest,
)
from chalkyoke_fakes.memoryload.scenarios import SCENARIOS, Scenario, draw_scenario
from chalkyoke_fakes.memoryload.uploading import send_upload
from chalkyoke_fakes.memoryload.usage import peak_resident_bytes, resident_bytes, unread_bytes
from chalkyoke_fakes.memoryload.watch import NodeWatch
from chalkyoke_fakes.resets import reset_connection

SMALL = Upload(
    size=50_000,
    chunked=False,
    part_bytes=8_192,
    pause_s=0.0,
    hold_s=0.0,
    is_whole=True,
    tries=1,
    reads_late=False,
)
ANSWER = b"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nlarge"


def make_request(name="r", ending=Ending.WHOLE, *, finished=True, status=200, **fields):
    return SentRequest(name, Manner.CALM, "n1", 2.0, 3.0, finished, ending, status, **fields)


def make_outcome(records, runs=()):
    records.recovered_s = 0.0
    return PlayOutcome(SCENARIOS["uploads"], PlayConfig(), records, Counter(runs))


async def send_to(serve, upload):
    """Send an upload to a server with a handler, and return its end."""
    server = await asyncio.start_server(serve, "127.0.4.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with Connection(f"127.0.4.1:{port}") as connection:
        found = await send_upload(connection, upload, "u1", "/book/1", 1.0)
    server.close()
    return found


# Memory.


def test_unread_bytes_of_accepted_and_of_waiting_connections_count():
    """Guards against a process that seems small while its system holds megabytes for it."""
    with socket.create_server(("127.0.4.2", 0)) as listener:
        address = f"127.0.4.2:{listener.getsockname()[1]}"
        before = unread_bytes(os.getpid(), [address])
        with socket.create_connection(listener.getsockname()) as caller:
            caller.sendall(b"x" * 30_000)
            waiting = unread_bytes(os.getpid(), [address])
            accepted, _ = listener.accept()
            with accepted:
                assert waiting - before == 30_000
                assert unread_bytes(os.getpid(), [address]) - before == 30_000
                accepted.recv(10_000)
                assert unread_bytes(os.getpid(), [address]) - before == 20_000


def test_resident_memory_and_its_peak_are_those_of_the_process():
    """Guards against a peak between two looks that nobody sees."""
    held = b"x" * 30_000_000
    before = resident_bytes(os.getpid())
    assert len(held) < before <= peak_resident_bytes(os.getpid()) + 1_000_000
    assert resident_bytes(2**22 + 1) == peak_resident_bytes(2**22 + 1) == 0


# Uploads.


@pytest.mark.parametrize("manner", [Manner.UPLOADS, Manner.CHUNKED, Manner.SLOW_UPLOADS])
def test_an_upload_is_a_body_of_its_size_without_its_last_byte(manner):
    """Guards against framing that a node rejects before it holds the body."""
    upload = draw_upload(manner, random.Random(3))
    sent = b"".join(bytes(part) for part in upload.parts())
    payload = sent.count(b"x")
    assert payload == upload.size - 1 < MAX_BODY_BYTES
    assert upload.chunked == sent.startswith(b"%x\r\nx" % min(upload.part_bytes, upload.size - 1))
    assert upload.last.count(b"x") == 1


def test_an_answer_that_comes_before_the_end_of_a_body_is_a_refusal():
    """Guards against refused uploads that are counted as closed without an answer."""

    async def refuse(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)

    end = asyncio.run(send_to(refuse, SMALL))
    assert (end.ending, end.status, end.body) == (Ending.REFUSED, 413, b"large")


def test_the_time_to_an_answer_counts_from_the_last_byte_of_an_upload():
    """Guards against slow uploads that seem to be answered after their time limit."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(SMALL.size)
        writer.write(ANSWER)

    end = asyncio.run(send_to(answer, replace(SMALL, hold_s=1.0)))
    assert end.finished and end.status == 413
    assert 0.0 < end.answered_in_s < 1.0


def test_a_connection_that_ends_without_an_answer_is_told_from_a_refusal():
    """Guards against lost answers that are counted as refusals."""

    async def close(reader, writer):
        await reader.readexactly(SMALL.size)
        writer.close()

    async def cut(reader, writer):
        await reader.readexactly(SMALL.size)
        writer.write(ANSWER[:-2])
        writer.close()

    assert asyncio.run(send_to(close, SMALL)).ending is Ending.CLOSED
    assert asyncio.run(send_to(cut, SMALL)).ending is Ending.CUT


def test_a_caller_that_reads_late_gives_up_if_its_body_cannot_be_sent():
    """Guards against refusals that count as seen, although the reset came before they were read."""

    async def refuse_and_reset(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(ANSWER)
        await writer.drain()
        reset_connection(writer)

    slow = replace(SMALL, pause_s=0.02)
    assert asyncio.run(send_to(refuse_and_reset, slow)).ending is Ending.REFUSED
    late = replace(slow, reads_late=True)
    assert asyncio.run(send_to(refuse_and_reset, late)).ending is Ending.CLOSED


# Records.


def test_a_finished_request_without_an_answer_is_lost_unless_its_node_was_killed():
    records = PlayRecords()
    records.requests = [make_request(ending=Ending.CLOSED, status=0)]
    assert records.lost_requests()
    assert make_outcome(records).findings()
    records.outages.append(("n1", 2.5, 2.8))
    assert records.lost_requests() == []
    assert make_outcome(records).findings() == []


def test_an_unfinished_request_without_an_answer_is_a_finding_of_its_own():
    records = PlayRecords()
    records.requests = [make_request(ending=Ending.CLOSED, finished=False, status=0)]
    assert records.lost_requests() == []
    assert records.unanswered_requests()
    assert make_outcome(records).findings()


def test_refusals_of_requests_that_ran_and_second_runs_are_findings():
    """Guards against answers that say "not run" falsely beside full memory."""
    records = PlayRecords()
    records.requests = [
        make_request("a", Ending.REFUSED, status=503, may_repeat=False),
        make_request("b", may_repeat=False),
    ]
    assert make_outcome(records, ["b"]).findings() == []
    assert make_outcome(records, ["a", "b"]).findings()
    assert make_outcome(records, ["b", "b"]).findings()


def test_a_drawn_scenario_depends_on_its_seed_alone():
    assert draw_scenario(4) == draw_scenario(4)
    drawn = [draw_scenario(seed) for seed in range(200)]
    assert {manner for each in drawn for manner in each.callers} == set(Manner) - {Manner.CALM}


# Processes.


class ProcessFleet:
    """One process that stands for a node."""

    def __init__(self, program):
        self._program = program
        self.starts = 0
        addresses = dict.fromkeys(("callers", "links", "ready", "metrics"), "127.0.4.3:1")
        node = SimpleNamespace(**addresses)
        node.send_signal = lambda number: node.popen.send_signal(number)
        self.nodes = {"n1": node}
        self.start_node("n1")

    def start_node(self, name, *, first_start=True):
        self.starts += 1
        self.nodes[name].popen = subprocess.Popen([sys.executable, "-c", self._program])

    def drop_bodies(self):
        pass


def watch_process(program, limit_mb, **options):
    """Watch a process until it was started again or an event was noted."""
    fleet, records = ProcessFleet(program), PlayRecords()

    async def watch():
        loop = asyncio.get_running_loop()
        began = loop.time()
        watching = NodeWatch(fleet, records, limit_mb, lambda: loop.time() - began, **options)
        task = asyncio.create_task(watching.run())
        while not records.events and loop.time() < began + 10.0:
            await asyncio.sleep(0.02)
        restarts = options.get("enforces") or records.events[0].end is NodeEnd.BY_ITSELF
        while restarts and fleet.starts < 2:
            await asyncio.sleep(0.02)
        task.cancel()

    asyncio.run(watch())
    popen = fleet.nodes["n1"].popen
    code = popen.poll()
    popen.kill()
    popen.wait()
    return fleet, records.events[0], code


SLEEP = "held = b'x' * 40_000_000; import time; time.sleep(30)"


def test_a_process_over_its_limit_is_reported_and_goes_on():
    fleet, event, code = watch_process(SLEEP, 30.0)
    assert event.end is NodeEnd.OVER_LIMIT
    assert (fleet.starts, code) == (1, None)


def test_a_process_over_its_limit_is_killed_and_started_again_if_asked():
    fleet, event, _ = watch_process(SLEEP, 30.0, enforces=True)
    assert event.end is NodeEnd.OVER_LIMIT
    assert fleet.starts == 2


def test_a_process_that_ends_by_itself_is_reported_with_its_code_and_started_again():
    fleet, event, _ = watch_process(f"import os; os.kill(os.getpid(), {signal.SIGABRT})", 500.0)
    assert event.end is NodeEnd.BY_ITSELF and f"{-signal.SIGABRT}" in event.detail
    assert fleet.starts == 2


# A short play over real processes.


def test_a_short_play_serves_calm_callers_beside_a_few_uploads():
    """Guards against a load tool that itself loses requests."""
    scenario = Scenario("short", {Manner.UPLOADS: 12, Manner.HEADS: 5}, every_node=True)
    config = PlayConfig(seconds=1.5, seed=2, zones=("a",))
    outcome = asyncio.run(play_scenario(scenario, config))
    assert outcome.records.lost_requests() == []
    assert outcome.records.endings(Manner.CALM)[Ending.WHOLE]
    assert outcome.records.endings(Manner.UPLOADS)[Ending.WHOLE]
    assert outcome.most_mb > 20.0
    assert outcome.records.recovered_s is not None
