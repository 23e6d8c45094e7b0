"""Planned stops of a completions node, as real processes, with requests that outlast its grace."""

import asyncio
import contextlib
import json
import signal

import pytest
from chalkyoke import settings
from chalkyoke.exceptions import SettingsError
from chalkyoke.tokens.codec import TokenCodec
from chalkyoke_fakes.caller import ReplyOutcome
from chalkyoke_fakes.fleet import FLEET_KEY_HEX

from tests.test_processes import (
    KEY,
    PLATFORM,
    completion_body,
    received_counts,
    wait_until,
    with_fleet,
)

GRACE_S = 4.0
PATIENCE_S = 20.0
BODY = json.dumps(completion_body(5)).encode()


def with_grace(check, more=""):
    limits = f"[limits]\ngrace_s = {GRACE_S}\n{more}"
    with_fleet(check, {**PLATFORM, "settings": limits})


async def kill_after_grace(node):
    """Send SIGTERM, and SIGKILL at the end of the grace period, as a service manager does.

    :return: the exit code.
    """
    node.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            while node.popen.poll() is None:
                await asyncio.sleep(0.02)
    except TimeoutError:
        node.send_signal(signal.SIGKILL)
    return node.popen.wait()


async def send_in_parts(address, parts, pause_s):
    """Send a request whose body never arrives completely; return the bytes of the answer."""
    ip, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(BODY)}\r\n\r\n"
    )
    writer.write(head.encode())
    answer = asyncio.create_task(read_to_the_end(reader))
    step = len(BODY) // parts
    for at in range(parts - 1):
        if answer.done():
            break
        writer.write(BODY[at * step : (at + 1) * step])
        await asyncio.sleep(pause_s)
    writer.close()
    return await answer


async def read_to_the_end(reader):
    """Read until the answer ends or the connection breaks."""
    got = b""
    with contextlib.suppress(OSError):
        async with asyncio.timeout(PATIENCE_S):
            while data := await reader.read(1 << 16):
                got += data
    return got


def request_id(token):
    codec = TokenCodec(bytes.fromhex(FLEET_KEY_HEX))
    return codec.decode(token).ok_value.request


def outcomes(replies):
    return [(each.outcome, each.reason) for each in replies]


def test_requests_that_outlast_the_grace_period_get_a_true_statement_before_the_kill():
    """Guards against a node that waits without a bound and is killed with all its requests."""

    async def check(fleet, caller):
        node = fleet.nodes["n1"]
        await fleet.set_faults(fleet.upstreams["p1"], latency_s=PATIENCE_S)
        streams = [
            asyncio.create_task(caller.complete(node.address, completion_body(600)))
            for _ in range(4)
        ]
        await wait_until(lambda: received_counts(fleet))
        await asyncio.sleep(0.5)
        waiting = [
            asyncio.create_task(caller.complete(node.address, completion_body(600, stream)))
            for stream in (True, False) * 3
        ]
        booking = asyncio.create_task(caller.call(node.address, "seats", b"{}"))
        token = await caller.take_token(node.address)
        forwarded = asyncio.create_task(
            caller.call(fleet.nodes["n2"].address, "seats", b"{}", Chalkyoke_Token=token)
        )
        other = await caller.take_token(fleet.nodes["n3"].address)
        sent_on = asyncio.create_task(
            caller.call(node.address, "seats", b"{}", Chalkyoke_Token=other)
        )
        partial = asyncio.create_task(send_in_parts(node.address, 12, 0.4))
        await asyncio.sleep(0.5)

        assert await kill_after_grace(node) == 0
        for reply in await asyncio.gather(*streams):
            assert (reply.outcome, reply.reason) == (ReplyOutcome.FAILED, "stopping"), reply
        received = await received_counts(fleet)
        refused = []
        for reply in await asyncio.gather(*waiting):
            # An engine may get a request early and let it wait.
            sent = request_id(reply.token) in received
            expected = (ReplyOutcome.UNKNOWN, 504) if sent else (ReplyOutcome.NOT_RUN, 503)
            assert (reply.outcome, reply.status, reply.reason) == (*expected, "stopping"), reply
            assert "Retry-After" in reply.headers
            refused += [] if sent else [reply]
        assert refused
        for reply in await asyncio.gather(booking, forwarded, sent_on):
            assert (reply.outcome, reply.reason) == (ReplyOutcome.UNKNOWN, "stopping"), reply
            assert reply.status == 504
        answer = await partial
        assert answer.startswith(b"HTTP/1.1 503 "), answer
        assert b'"outcome":"not_run"' in answer

    with_grace(check)


@pytest.mark.parametrize(
    ("grace_s", "delay_s", "valid"),
    [("0", "9", True), ("3", "1.5", True), ("2.9", "0", False), ("3", "1.6", False)],
)
def test_the_grace_period_is_checked_at_the_start(tmp_path, grace_s, delay_s, valid):
    """Guards against a grace period that is too short for any answer."""
    file = tmp_path / "node.toml"
    file.write_text(
        '[node]\nhost = "n1"\nfailure_domain = "d1"\n'
        '[listen]\ncallers = "127.0.0.1:1"\nlinks = "127.0.0.1:2"\n'
        'administration = "127.0.0.1:3"\n'
        '[platform]\nstore_url = "http://s"\nhosts_url = "http://h"\n'
        f'[fleet]\nkey_hex = "{"00" * 16}"\n[limits]\ngrace_s = {grace_s}\n'
        f"leave_delay_s = {delay_s}\n",
        encoding="utf-8",
    )
    if valid:
        assert settings.load(file, {}).limits.grace_s == float(grace_s)
    else:
        with pytest.raises(SettingsError, match="limits"):
            settings.load(file, {})


def test_a_stopping_node_serves_what_ends_within_the_grace_period():
    """Guards against a stop that ends requests before the end of the grace period."""

    async def check(fleet, caller):
        node = fleet.nodes["n1"]
        calls = [
            asyncio.create_task(caller.complete(node.address, completion_body(60)))
            for _ in range(4)
        ]
        await wait_until(lambda: received_counts(fleet))
        assert await kill_after_grace(node) == 0
        assert outcomes(await asyncio.gather(*calls)) == [(ReplyOutcome.WHOLE, "")] * 4

    with_grace(check)


def test_a_node_that_leaves_still_serves_what_ends_within_the_grace_period():
    """Guards against refusals while a load balancer still sends requests to a stopping node."""

    async def check(fleet, caller):
        node = fleet.nodes["n1"]
        ending = asyncio.create_task(kill_after_grace(node))
        await asyncio.sleep(0.2)
        short, long = await asyncio.gather(
            caller.complete(node.address, completion_body(5), Chalkyoke_Deadline_Ms="1500"),
            caller.complete(node.address, completion_body(5), Chalkyoke_Deadline_Ms="60000"),
        )
        assert short.headers["Connection"] == "close"
        await asyncio.sleep(1.0)
        late = await caller.complete(node.address, completion_body(5), Chalkyoke_Deadline_Ms="500")
        assert outcomes([short, long, late]) == [
            (ReplyOutcome.WHOLE, ""),
            (ReplyOutcome.NOT_RUN, "stopping"),
            (ReplyOutcome.NOT_RUN, "stopping"),
        ]
        assert await ending == 0

    with_grace(check, "leave_delay_s = 1.0\n")
