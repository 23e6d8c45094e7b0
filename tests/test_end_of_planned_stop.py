"""The end of a planned stop, for requests that the node has read and can't finish."""

import asyncio
import json
import signal

import logbook

from tests.gatewayfleet import _ip, _parse_answer, _read_answer, run_check
from tests.test_gateway_processes import with_fleet
from tests.test_planned_stop import (
    GRACE_S,
    SHORT_ANSWER_S,
    count_runs,
    encode_head,
    no_answer,
    send_pipelined,
    serve_before,
    stop,
)

# Longer than the stop, shorter than the callers' deadline.
LONG_ANSWER_S = 7.0
# When the requests are sent, in seconds after the signal.
SENT_AT_S = 1.0
# Grace period of a process, in seconds.
SHORT_GRACE_S = 4.0
# Shorter than the time in which a load balancer removes a node, in seconds.
VERY_SHORT_GRACE_S = 2.0


async def send(path, request, *, length=0, sent=0, address=None):
    """Send a request with a part of its body, and read up to the close.

    :param address: of the node; the first one of a fleet in virtual time if None.
    """
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(*(address or (_ip(0), 80)))
    began = loop.time()
    writer.write(encode_head(path, request, length=length, work_s=LONG_ANSWER_S) + b"x" * sent)
    answer = await _read_answer(reader, until_whole=False)
    writer.close()
    return _parse_answer(answer, loop.time() - began) if answer else no_answer()


def test_requests_that_replicas_have_get_an_answer_at_the_end_of_a_stop():
    """Guards against connections that a stop closed without a byte, although replicas had run."""

    async def check(fleet):
        for path in ("/book/1", "/find/1"):
            await serve_before(fleet, path, SHORT_ANSWER_S)
        stop(fleet)
        await asyncio.sleep(SENT_AT_S)
        paths = ["/book/1", "/find/1"] * 3
        got = await asyncio.gather(*(send(path, f"r{n}") for n, path in enumerate(paths)))
        for answer in got:
            assert (answer.status, answer.whole) == (502, True), answer
            assert answer.headers["connection"] == "close"
            assert SENT_AT_S + answer.took_s < GRACE_S
        assert all(count_runs(fleet, f"r{n}") == 1 for n in (0, 2, 4))
        assert "retry-after" not in got[0].headers

    run_check(check)


def test_a_stream_that_a_stop_breaks_off_does_not_look_whole():
    """Guards against streams that end early and look complete."""

    async def check(fleet):
        await serve_before(fleet, "/chat/1", SHORT_ANSWER_S)
        stop(fleet)
        await asyncio.sleep(SENT_AT_S)
        got = await send("/explain/1", "stream")
        assert got.status == 200 and got.body and not got.whole
        assert got.took_s < GRACE_S

    run_check(check)


def test_a_request_that_is_still_being_read_at_the_end_of_a_stop_is_refused():
    """Guards against uploads that a stop closed without a byte."""

    async def check(fleet):
        stop(fleet)
        # The body may take 5.5 s: longer than the stop.
        await asyncio.sleep(2.45)
        got = await send("/book/1", "upload", length=70_000, sent=69_999)
        assert (got.status, got.whole) == (503, True), got
        assert got.headers["connection"] == "close"
        assert float(got.headers["retry-after"]) <= 1.0
        assert count_runs(fleet, "upload") == 0

    run_check(check)


def test_requests_that_wait_behind_one_that_a_stop_ends_are_refused():
    """Guards against requests that were read, and vanished with the answer before them."""

    async def check(fleet):
        await serve_before(fleet, "/book/1", SHORT_ANSWER_S)
        stop(fleet)
        await asyncio.sleep(SENT_AT_S)
        answers = await send_pipelined(
            ("/book/1", "first", LONG_ANSWER_S),
            ("/book/1", "second", 0.0),
            ("/book/1", "third", 0.0),
        )
        heads = answers.split(b"HTTP/1.1 ")[1:]
        assert [each[:3] for each in heads] == [b"502", b"503", b"503"]
        closes = [b"connection: close" in each.lower() for each in heads]
        assert closes == [False, False, True]
        assert [count_runs(fleet, each) for each in ("first", "second", "third")] == [1, 0, 0]

    run_check(check)


def test_a_process_that_stops_closes_no_connection_without_an_answer():
    """Guards against a process that ended at the end of its stop with requests in progress."""

    async def check(fleet):
        address = fleet.nodes["n1"].callers.split(":")
        paths = ["/book/1", "/find/1", "/chat/1"] * 4
        sends = [
            asyncio.create_task(send(path, f"r{n}", address=address))
            for n, path in enumerate(paths)
        ]
        await asyncio.sleep(0.5)
        node = fleet.nodes["n1"]
        node.send_signal(signal.SIGTERM)
        got = await asyncio.gather(*sends)
        for path, answer in zip(paths, got, strict=True):
            if path == "/chat/1":
                assert answer.status == 200 and answer.body and not answer.whole
            else:
                assert (answer.status, answer.whole) == (502, True), (path, answer)
        assert await asyncio.to_thread(node.popen.wait, GRACE_S) == 0
        lines = (fleet.folder / "n1.log").read_text(encoding="utf-8").splitlines()
        ended = [each for each in map(json.loads, lines) if each["event"] == "ended_unfinished"]
        assert [(each["in_progress"], each["unread"]) for each in ended] == [(len(paths), 0)]

    with_fleet(check, zones=("a",), grace_s=SHORT_GRACE_S)


def test_requests_that_come_after_the_last_answers_of_a_stop_are_counted_in_its_log():
    """Guards against requests that a stop refused in its last moments without a line."""

    async def check(fleet):
        node = fleet.nodes[0]
        with logbook.TestHandler().applicationbound() as lines:
            asking = asyncio.create_task(send("/book/1", "long"))
            upload = asyncio.create_task(send("/book/1", "upload", length=9, sent=8))
            await asyncio.sleep(0.1)
            node.gateway.end_now("stopping")
            late = await send("/book/1", "late")
            assert (late.status, late.whole) == (503, True)
            stop(fleet)
            assert (await asking).status == 502
            assert (await upload).status in (408, 503)
            await fleet._tasks[0]
        found = [each.kwargs for each in lines.records if each.message == "refused_at_end"]
        assert [(each["reason"], each["refused"]) for each in found] == [("stopping", 1)]
        assert count_runs(fleet, "late") == 0

    run_check(check)


def test_a_stop_with_a_short_grace_period_ends_within_it():
    """Guards against a stop that waited for its callers for longer than it had, and was killed."""

    async def check(fleet):
        loop = asyncio.get_running_loop()
        sending = asyncio.create_task(send("/book/1", "long"))
        await asyncio.sleep(0.1)
        stop(fleet)
        began = loop.time()
        got = await sending
        assert (got.status, got.whole) == (502, True), got
        await fleet._tasks[0]
        assert loop.time() - began < VERY_SHORT_GRACE_S

    run_check(check, limits={"grace_s": VERY_SHORT_GRACE_S})
