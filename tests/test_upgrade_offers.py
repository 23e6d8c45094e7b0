"""
tests.test_upgrade_offers

Callers that offer HTTP/2 with each request, as some clients do by default: each request runs as it
was sent, and the connection is kept.
"""

import asyncio
import contextlib

import pytest
from chalkyoke_fakes.platformfleet import HOST, KEY

from tests.gatewayfleet import DEADLINE_MS, run_check

OFFER = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQ\r\n"
BODY = b'{"seat": "12a"}'
FRAMINGS = {
    "a length": b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY),
}


def encode_request(path, name, framing):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Credential: {KEY}\r\n{OFFER}"
    )
    return head.encode() + framing


async def read_answer(reader):
    async with asyncio.timeout(DEADLINE_MS / 1000):
        head = await reader.readuntil(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n")[1:-2])
        return head, await reader.readexactly(int(fields["Content-Length"]))


# Guards against a body that the replica never got, and against requests behind such an offer that
# got no answer.
@pytest.mark.parametrize("pipelined", [False, True])
@pytest.mark.parametrize("path", ["/book/1", "/find/1"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_requests_that_offer_http2_run_with_their_bodies_on_one_connection(
    framing, path, pipelined
):
    names = [f"offer-{number}" for number in range(4)]

    async def check(fleet):
        reader, writer = await asyncio.open_connection("10.1.0.1", 80)
        requests = [encode_request(path, name, FRAMINGS[framing]) for name in names]
        if pipelined:
            requests = [b"".join(requests)] + [b""] * (len(names) - 1)
        answers = []
        with contextlib.closing(writer):
            for data in requests:
                writer.write(data)
                answers.append(await read_answer(reader))
        for name, (head, body) in zip(names, answers, strict=True):
            assert head.startswith(b"HTTP/1.1 200 ")
            assert body.endswith(f" did {name}".encode())
        seen = [each for replica in fleet.seats for each in replica.seen]
        assert sorted(each.headers["x-request-id"] for each in seen) == names
        assert {each.body for each in seen} == {BODY}
        hop_by_hop = {"upgrade", "http2-settings", "transfer-encoding"}
        assert not any(hop_by_hop & each.headers.keys() for each in seen)

    run_check(check, domains=("a", "b", "c"), replicas=3)
