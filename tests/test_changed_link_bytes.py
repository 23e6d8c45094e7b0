"""
tests.test_changed_link_bytes

Guards against a message whose bytes were changed on a link, and that raised in the process that
received it: the exception closed the link, and the slot of the grant that it ended stayed in use.
"""

import asyncio
import random
from unittest import mock

import pytest
from chalkyoke.links.codec import FrameCodec
from chalkyoke.links.messages import Challenge, Hello, Welcome

from tests.gatewayfleet import run_check
from tests.test_odd_entries import Callers, assert_alive

HANDSHAKE = (Challenge, Hello, Welcome)
SECONDS = 15.0
# Share of the messages of which one bit is changed.
CHANGED_SHARE = 0.1


def change_bytes(seed):
    """Change a bit of some of the messages that the nodes send, from now on."""
    source, encode = random.Random(seed), FrameCodec.encode

    def encode_changed(codec, stamp, message):
        frame = bytearray(encode(codec, stamp, message))
        if not isinstance(message, HANDSHAKE) and source.random() < CHANGED_SHARE:
            frame[source.randrange(len(frame))] ^= 1 << source.randrange(8)
        return bytes(frame)

    return mock.patch.object(FrameCodec, "encode", encode_changed)


@pytest.mark.parametrize("seed", [1, 2])
def test_nodes_have_no_fault_while_bytes_on_their_links_are_changed(seed):
    async def check(fleet):
        callers = Callers(fleet)
        with change_bytes(seed):
            await asyncio.sleep(SECONDS)
        assert_alive(fleet, "changed bytes")
        await callers.stop()
        served = await fleet.send_request(0, "/chat/1", until_whole=True)
        assert served.status == 200 and served.whole

    # The fleet fails the check if a node has counted a fault.
    run_check(check, domains=("a", "b", "c"), replicas=3, seed=seed)
