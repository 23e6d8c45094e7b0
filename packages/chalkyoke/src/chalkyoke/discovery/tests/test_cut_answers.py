"""Host lists that are cut off after any number of their bytes, by a close or a reset."""

import asyncio
import json

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.configuration.messages import HostsAnswer, ListedHost
from chalkyoke.discovery.host_list import HostListClient
from chalkyoke.storage.keyvalue import make_session
from chalkyoke.upstreams.tests.cuttingupstream import CuttingUpstream

ENTRIES = [{"id": f"h{number}", "address": "a", "failure_domain": "d"} for number in range(2)]
BODY = json.dumps({"version": 7, "hosts": ENTRIES}).encode()
WHOLE = HostsAnswer(7, tuple(ListedHost(f"h{number}", "a", "d", False, {}) for number in range(2)))
OK = b"HTTP/1.1 200 OK\r\n"
FRAMINGS = {
    "length": b"Content-Length: %d\r\n\r\n%b" % (len(BODY), BODY),
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY),
    "until close": b"\r\n" + BODY,
}


# Guards against a short list of hosts, which would take the others out of the fleet.
@pytest.mark.parametrize("resets", [False, True], ids=["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_list_that_is_cut_after_any_byte_is_unavailable(framing, resets):
    data = OK + FRAMINGS[framing]

    async def main():
        async with CuttingUpstream() as upstream, make_session() as session:
            upstream.resets = resets
            client = HostListClient(session, f"http://{upstream.address}/hosts", Metrics())
            found = []
            for cut in range(len(data) + 1):
                upstream.answers["/hosts"] = [data[:cut]]
                found.append(await client.fetch())
            return found

    *cut, whole = asyncio.run(main())
    assert set(cut) == {None}
    assert whole == (None if framing == "until close" and resets else WHOLE)
