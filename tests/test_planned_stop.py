"""Planned stops of a node, while callers that are connected to it still send their requests."""

import asyncio
import json

from chalkyoke.tunnels.messages import TunnelOutcome, TunnelRequest
from chalkyoke_fakes.platformfleet import HOST, KEY, default_configuration, make_route

from tests.gatewayfleet import CallerAnswer, _ip, _parse_answer, _read_answer, run_check

# Seconds after the signal. The node accepts no connections from 2.5 s on and ends after 7.4 s.
FIRST_BYTE_S = 2.3
GRACE_S = 8.0
ENDS_AT_S = 7.4
# A body of this size may take five seconds, in bytes.
BODY_BYTES = 60_000
DEADLINE_MS = 7_900
LONG_STREAM_S = 3.8
SHORT_ANSWER_S = 0.05


def encode_head(path, request, *, length=BODY_BYTES, work_s=0.0):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Credential: {KEY}\r\nX-Work-S: {work_s}\r\n"
        f"Content-Length: {length}\r\n\r\n"
    )
    return head.encode()


async def send_until(began, path, request, sent_at, *, work_s=0.0):
    """Send a request whose last byte comes some time after the signal, and read the answer.

    :param began: time of the signal, in seconds on the loop's clock.
    :param sent_at: seconds from the signal to the last byte.
    """
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(_ip(0), 80)
    await asyncio.sleep(began + FIRST_BYTE_S - loop.time())
    writer.write(encode_head(path, request, work_s=work_s) + b"x" * (BODY_BYTES - 1))
    await asyncio.sleep(began + sent_at - loop.time())
    writer.write(b"x")
    answer = await _read_answer(reader, until_whole=False)
    writer.close()
    return _parse_answer(answer, loop.time() - began - sent_at) if answer else no_answer()


def no_answer():
    return CallerAnswer(0, {}, b"", False, 0.0)


def count_runs(fleet, request):
    return sum(each.runs[request] for each in [*fleet.models, *fleet.seats])


async def serve_before(fleet, path, work_s, count=8):
    sends = (
        fleet.send_request(0, path, until_whole=True, headers=[("X-Work-S", work_s)])
        for _ in range(count)
    )
    assert all(each.whole for each in await asyncio.gather(*sends))


def stop(fleet):
    fleet.nodes[0]._stopping.set()
    # The system closes the connections of a process that has ended.
    fleet._tasks[0].add_done_callback(lambda _: fleet.net.reset_host("n0"))
    return asyncio.get_running_loop().time()


def test_a_stream_that_would_be_cut_off_by_the_stop_is_refused_and_never_sent_on():
    """Guards against streams that a stopping node took late and cut off at its end."""

    async def check(fleet):
        await serve_before(fleet, "/chat/1", LONG_STREAM_S)
        began = stop(fleet)
        times = [3.9, 4.1, 4.3]
        got = await asyncio.gather(
            *(send_until(began, "/chat/1", f"late{at}", at, work_s=LONG_STREAM_S) for at in times)
        )
        for at, answer in zip(times, got, strict=True):
            assert answer.status == 503 and answer.whole, answer
            assert answer.headers["connection"] == "close"
            assert float(answer.headers["retry-after"]) <= 1.0
            assert count_runs(fleet, f"late{at}") == 0

    run_check(check)


def test_a_late_request_on_a_route_that_the_node_has_not_served_is_refused():
    """Guards against answers of unknown length that a stopping node cut off at its end."""

    async def check(fleet):
        began = stop(fleet)
        got = await send_until(began, "/chat/1", "late", 4.0, work_s=LONG_STREAM_S)
        assert got.status == 503 and got.whole
        assert count_runs(fleet, "late") == 0

    run_check(check)


def test_short_answers_are_served_until_shortly_before_the_end_of_the_stop():
    """Guards against a stop that refuses by the time alone."""

    async def check(fleet):
        await serve_before(fleet, "/book/1", SHORT_ANSWER_S)
        await serve_before(fleet, "/chat/1", LONG_STREAM_S)
        began = stop(fleet)
        got = await asyncio.gather(
            *(
                send_until(began, "/book/1", f"short{at}", at, work_s=SHORT_ANSWER_S)
                for at in (3.5, 5.0, 6.5)
            ),
            send_until(began, "/chat/1", "stream", 2.4, work_s=LONG_STREAM_S),
        )
        assert [(each.status, each.whole) for each in got] == [(200, True)] * 4

    run_check(check)


def test_a_request_that_waits_for_a_replica_is_refused_once_its_answer_would_be_cut_off():
    """Guards against requests that waited at a stopping node until no other could serve them."""

    async def check(fleet):
        patient = default_configuration(2)
        for route in patient["routes"]:
            route["goal-ms"] = 4000
        fleet.store.put("op/config", json.dumps(patient).encode())
        await asyncio.sleep(1.0)
        await serve_before(fleet, "/chat/1", LONG_STREAM_S)
        for replica in fleet.models:
            replica.faults.event_s = 20.0
        fill = [
            asyncio.create_task(fleet.send_request(1, "/chat/1"))
            for _ in range(6 * len(fleet.models))
        ]
        await asyncio.sleep(0.5)
        waiting = asyncio.create_task(fleet.send_request(0, "/chat/1"))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        stop(fleet)
        got = await waiting
        assert got.status == 503 and got.whole and got.took_s < GRACE_S / 2
        assert count_runs(fleet, got.request) == 0
        for each in fill:
            each.cancel()

    run_check(check)


async def send_pipelined(*requests):
    """Send requests on one connection at once, and return its bytes up to the close.

    :param requests: path, id and work in seconds of each.
    """
    reader, writer = await asyncio.open_connection(_ip(0), 80)
    for path, request, work_s in requests:
        writer.write(encode_head(path, request, length=0, work_s=work_s))
    answers = await _read_answer(reader, until_whole=False)
    writer.close()
    return answers


def test_a_stopping_node_opens_no_tunnel_from_the_signal_on():
    """Guards against tunnels that are opened late and cut off at the end of the stop."""

    async def check(fleet):
        stopping, asking = fleet.nodes[0], fleet.nodes[3]
        ip, port = fleet.seats[0].listen_address.rsplit(":", 1)

        async def ask():
            stream = await asking.links.open(stopping.record.address)
            stream.send(TunnelRequest(ip, int(port)))
            answer = await stream.receive()
            stream.abort()
            return answer.outcome

        assert await ask() == TunnelOutcome.OPENED
        stop(fleet)
        await asyncio.sleep(0.01)
        assert await ask() == TunnelOutcome.BUSY

    run_check(check)


def test_a_pipelined_request_behind_the_last_answer_of_a_stop_is_answered_too():
    """Guards against requests that were read and vanished when a stop closed their connection."""

    async def check(fleet):
        await serve_before(fleet, "/chat/1", LONG_STREAM_S)
        await serve_before(fleet, "/book/1", SHORT_ANSWER_S)
        long, short = ("/chat/1", LONG_STREAM_S), ("/book/1", SHORT_ANSWER_S)
        sends = [
            asyncio.create_task(send_pipelined(*((path, f"{name}{n}", s) for n, (path, s) in each)))
            for name, each in (
                ("served", enumerate([long, short, short])),
                ("refused", enumerate([long, short, long])),
            )
        ]
        await asyncio.sleep(0.5)
        stop(fleet)
        for answers, last in zip(await asyncio.gather(*sends), (b"200", b"503"), strict=True):
            heads = answers.split(b"HTTP/1.1 ")[1:]
            assert [each[:3] for each in heads] == [b"200", b"200", last]
            closes = [b"connection: close" in each.lower() for each in heads]
            assert closes == [False, False, True]
        assert count_runs(fleet, "refused2") == 0

    run_check(check)


def test_late_uploads_are_not_sent_on_while_answers_have_become_slow():
    """Guards against a stop that believed in short answers until the first slow one had ended."""
    slow_s = 2.5

    async def check(fleet):
        await serve_before(fleet, "/book/1", SHORT_ANSWER_S)
        began = stop(fleet)
        times = [3.0, 3.5, 4.0, 4.5, 5.0, 5.5, 6.0, 6.5]
        got = await asyncio.gather(
            *(send_until(began, "/book/1", f"late{at}", at, work_s=slow_s) for at in times)
        )
        by_status = {}
        for at, answer in zip(times, got, strict=True):
            assert answer.whole and answer.status in (200, 503), (at, answer)
            assert at + answer.took_s < ENDS_AT_S, (at, answer)
            by_status.setdefault(answer.status, []).append(at)
            assert count_runs(fleet, f"late{at}") == (answer.status == 200)
        assert by_status[200] and by_status[503]
        assert max(by_status[200]) < min(by_status[503])

    run_check(check)


def test_late_uploads_of_many_routes_are_not_sent_on_while_answers_have_become_slow():
    """Guards against a stop at which the first late request of each route was cut off."""
    slow_s = 2.5
    times = [3.0, 3.5, 4.0, 4.5, 5.0, 5.5, 6.0, 6.5]

    async def check(fleet):
        many = default_configuration(2)
        many["routes"] += [
            make_route(f"book{number}", "non_idempotent", "seats") for number in range(len(times))
        ]
        fleet.store.put("op/config", json.dumps(many).encode())
        await asyncio.sleep(1.0)
        for number in range(len(times)):
            await serve_before(fleet, f"/book{number}/1", SHORT_ANSWER_S)
        began = stop(fleet)
        got = await asyncio.gather(
            *(
                send_until(began, f"/book{number}/1", f"late{at}", at, work_s=slow_s)
                for number, at in enumerate(times)
            )
        )
        for at, answer in zip(times, got, strict=True):
            assert answer.whole and answer.status in (200, 503), (at, answer)
            assert count_runs(fleet, f"late{at}") == (answer.status == 200)
        statuses = [each.status for each in got]
        assert statuses[:2] == [200, 200] and statuses == sorted(statuses)

    run_check(check)


def test_slow_answers_to_late_requests_are_not_given_up_for_those_of_other_replicas():
    """Guards against a second send near the end of a stop, whose answer was cut off at it."""
    times = [3.0, 3.25, 3.5, 3.75, 4.0]

    async def check(fleet):
        await serve_before(fleet, "/find/1", SHORT_ANSWER_S)
        began = stop(fleet)
        got = await asyncio.gather(
            *(send_until(began, "/find/1", f"late{at}", at, work_s=2.5) for at in times)
        )
        for at, answer in zip(times, got, strict=True):
            assert answer.whole and answer.status in (200, 503), (at, answer)
        assert [each.status for each in got[:3]] == [200] * 3

    run_check(check)


async def send_on(reader, writer, request):
    """Send a request on an open connection and read its answer."""
    writer.write(encode_head("/book/1", request, length=0, work_s=SHORT_ANSWER_S))
    answer = await _read_answer(reader, until_whole=True)
    return _parse_answer(answer, 0.0) if answer else no_answer()


def test_a_stopping_node_announces_the_close_of_a_connection_with_the_answer_before_it():
    """Guards against requests that cross the close of a connection which nobody had announced."""

    async def check(fleet):
        kept = await asyncio.open_connection(_ip(0), 80)
        assert "connection" not in (await send_on(*kept, "before")).headers
        stop(fleet)
        await asyncio.sleep(0.5)
        got = await send_on(*kept, "kept")
        assert (got.status, got.headers.get("connection")) == (200, "close")
        got = await send_on(*await asyncio.open_connection(_ip(0), 80), "new")
        assert (got.status, got.headers.get("connection")) == (200, "close")

    run_check(check)


def test_a_caller_that_connects_just_before_a_stopping_node_closes_is_answered():
    """Guards against a first request that crosses the close of its new connection."""

    async def check(fleet):
        await serve_before(fleet, "/book/1", SHORT_ANSWER_S)
        stop(fleet)
        await asyncio.sleep(2.4)
        connection = await asyncio.open_connection(_ip(0), 80)
        await asyncio.sleep(0.3)
        got = await send_on(*connection, "first")
        assert (got.status, got.headers.get("connection")) == (200, "close")

    run_check(check)


def test_a_caller_whose_answer_began_before_the_signal_may_send_its_next_request():
    """Guards against a request that crosses a close which no answer had announced."""

    async def check(fleet):
        await serve_before(fleet, "/book/1", SHORT_ANSWER_S)
        reader, writer = await asyncio.open_connection(_ip(0), 80)
        writer.write(encode_head("/chat/1", "stream", length=0, work_s=1.0))
        await asyncio.sleep(0.5)
        stop(fleet)
        stream = _parse_answer(await _read_answer(reader, until_whole=True), 0.0)
        assert stream.status == 200 and stream.whole
        assert "connection" not in stream.headers
        got = await send_on(reader, writer, "next")
        assert (got.status, got.headers.get("connection")) == (200, "close")

    run_check(check)
