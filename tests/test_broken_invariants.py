"""
tests.test_broken_invariants

Guards against a process that ends on a broken invariant and closes the connections of callers whose
requests it has read, without an answer.
"""

import asyncio

import pytest
from chalkyoke.exceptions import InvariantBroken

from tests.gatewayfleet import _ip, _parse_answer, _read_answer, run_check
from tests.test_planned_stop import count_runs, encode_head

STREAM_S = 2.0
# Number of requests on each route: more streams than the only replica has slots.
STREAMS = 8
PLAIN = 3
SETTLED_S = 0.6
# Longest time that a node may take to end, in seconds.
END_S = 2.0


async def send(path, request, *, work_s=STREAM_S):
    reader, writer = await asyncio.open_connection(_ip(0), 80)
    writer.write(encode_head(path, request, length=0, work_s=work_s))
    answer = _parse_answer(await _read_answer(reader, until_whole=True), 0.0)
    writer.close()
    answer.request = request
    return answer


async def send_in_parts(path, request):
    """Send a request whose second half follows 0.3 s after the invariant broke."""
    reader, writer = await asyncio.open_connection(_ip(0), 80)
    data = encode_head(path, request, length=1) + b"x"
    writer.write(data[:-1])
    await asyncio.sleep(SETTLED_S + 0.3)
    writer.write(data[-1:])
    answer = _parse_answer(await _read_answer(reader, until_whole=True), 0.0)
    answer.request = request
    return answer


async def send_late(path, request):
    await asyncio.sleep(0.1)
    return await send(path, request)


async def send_pipelined(*requests):
    reader, writer = await asyncio.open_connection(_ip(0), 80)
    writer.write(b"".join(encode_head("/book/1", each, length=0, work_s=5.0) for each in requests))
    answers = await _read_answer(reader, until_whole=False)
    writer.close()
    return answers


def test_requests_that_were_read_are_answered_before_a_broken_invariant_ends_the_node():
    async def check(fleet):
        loop = asyncio.get_running_loop()
        streams = [asyncio.ensure_future(send("/chat/1", f"stream{n}")) for n in range(STREAMS)]
        plain = [asyncio.ensure_future(send("/book/1", f"plain{n}")) for n in range(PLAIN)]
        partial = asyncio.ensure_future(send_in_parts("/find/1", "partial"))
        pipelined = asyncio.ensure_future(send_pipelined("first", "second", "third"))
        await asyncio.sleep(SETTLED_S)
        fast = asyncio.ensure_future(send("/book/1", "fast", work_s=0.0))
        runs = {f"stream{n}": count_runs(fleet, f"stream{n}") for n in range(STREAMS)}
        broke_at = loop.time()
        fleet.nodes[0]._supervisor.fail(InvariantBroken("planted"))
        assert not fleet.nodes[0].is_ready()
        late = asyncio.ensure_future(send_late("/find/1", "late"))
        with pytest.raises(InvariantBroken):
            await fleet._tasks[0]
        # The system closes the connections of a process that has ended.
        fleet.net.reset_host("n0")
        assert loop.time() - broke_at < END_S

        for each in await asyncio.gather(*streams):
            if not runs[each.request]:
                assert each.status == 503 and each.whole, each
                assert each.headers["connection"] == "close"
            else:
                assert (each.status, each.whole) in ((200, False), (502, True)), each
            assert count_runs(fleet, each.request) == runs[each.request]
        assert 0 < sum(runs.values()) < STREAMS
        assert any(each.result().status == 200 for each in streams)
        for each in await asyncio.gather(*plain):
            assert each.status == 502 and each.whole, each
            assert count_runs(fleet, each.request) == 1
        assert (await late).status == 503 and not count_runs(fleet, "late")
        for each in (await partial, await fast):
            assert count_runs(fleet, each.request) == (each.status == 502)
            assert each.status in (502, 503) and each.whole, each
        assert (await partial).status == 503
        answers = (await pipelined).split(b"HTTP/1.1 ")[1:]
        assert [each[:3] for each in answers] == [b"502", b"503", b"503"]
        assert count_runs(fleet, "second") == count_runs(fleet, "third") == 0

    run_check(check, domains=("a",), replicas=1)


def test_a_request_that_is_still_being_read_when_the_node_ends_is_refused():
    """Guards against a request that began after the fault and got no byte, as it did not end."""

    async def check(fleet):
        reader, writer = await asyncio.open_connection(_ip(0), 80)
        fleet.nodes[0]._supervisor.fail(InvariantBroken("planted"))
        await asyncio.sleep(0.3)
        writer.write(encode_head("/book/1", "partial", length=60_000) + b"x")
        reading = asyncio.ensure_future(_read_answer(reader, until_whole=False))
        with pytest.raises(InvariantBroken):
            await fleet._tasks[0]
        # The system closes the connections of a process that has ended.
        fleet.net.reset_host("n0")
        assert _parse_answer(await reading, 0.0).status == 503
        assert not count_runs(fleet, "partial")

    run_check(check, domains=("a",), replicas=1)
