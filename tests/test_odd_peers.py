"""
tests.test_odd_peers

Guards against a peer of another build, or a faulty one, whose messages end the processes that
receive them. A stamp or a capacity that no build of ours sends was taken over, and each heartbeat
of the receiver raised from then on.
"""

import asyncio
import contextvars
import math

import msgpack
import msgspec
import pytest
from chalkyoke.clock import Stamp
from chalkyoke.links.connection import Identity
from chalkyoke.links.peers import Links
from chalkyoke.membership.messages import Heartbeat, MemberRecord
from chalkyoke.node.routing import LINK_MESSAGES
from chalkyoke.node.wallclock import wall_clock_ms
from chalkyoke.scheduling.messages import RetryReservation, RetryReservations

from tests.gatewayfleet import FLEET_KEY_HEX, run_check
from tests.memorynet import current_host
from tests.test_odd_entries import Callers, assert_alive, assert_served

PEER = "10.1.0.9:82"
STEP_S = 1.5


class Clock:
    def stamp(self):
        return Stamp(1, 1)

    def observe(self, stamp):
        pass


def heartbeat(**fields):
    record = MemberRecord("odd", 7, PEER, "", "a", False, True, 0, 0)
    return Heartbeat(msgspec.structs.replace(record, **fields), 1)


def encode(stamp, message):
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return msgpack.packb((*stamp, *fields))


def reservations(**fields):
    item = RetryReservation(5, 0, "clerks", 1.0, 1.0)
    return RetryReservations("model", True, (msgspec.structs.replace(item, **fields),))


def odd_frames():
    now_ms = wall_clock_ms()
    yield "high_stamp", encode((now_ms + 30_000, 2**64 - 1), heartbeat())
    yield "text_stamp", encode(("soon", 1), heartbeat())
    yield "decimal_stamp", encode((now_ms + 30_000.5, 1), heartbeat())
    for name, capacity in (("infinite", math.inf), ("nan", math.nan)):
        yield f"{name}_capacity", encode((1, 1), heartbeat(capacity=capacity))
    for name, address in (("no", "nowhere"), ("high_port", "10.1.0.9:99999"), ("empty", "")):
        yield f"{name}_address", encode((1, 1), heartbeat(address=address))
    yield "fingerprint", encode((1, 1), reservations(fingerprint=-(2**63)))
    yield "far_reservation", encode((1, 1), reservations(in_s=1e15))
    yield "late_reservation", encode((1, 1), reservations(in_s=math.inf))
    yield "deep", msgpack.packb([1, 1, "heartbeat"])[:-1] + b"\x91" * 100_000
    yield "bytes", b"\xc1\xff\xff"


ODD_FRAMES = dict(odd_frames())


async def send_frame(node, frame):
    """Open a link with the fleet's key, and send bytes that are no message of ours."""
    identity = Identity("odd/7", PEER, "a", bytes.fromhex(FLEET_KEY_HEX))
    links = Links(identity, LINK_MESSAGES, Clock(), lambda connection, message: None)
    connection = await links.open(f"10.1.0.{node + 1}:82")
    connection._writer.write(frame)
    await asyncio.sleep(0.2)
    connection.abort()


@pytest.mark.parametrize("odd", ODD_FRAMES)
def test_nodes_go_on_beside_an_odd_peer(odd):
    async def check(fleet):
        callers = Callers(fleet)
        context = contextvars.copy_context()
        context.run(current_host.set, "odd")
        for _ in range(2):
            for node in range(len(fleet.nodes)):
                await context.run(asyncio.ensure_future, send_frame(node, ODD_FRAMES[odd]))
            await asyncio.sleep(STEP_S)
        assert_alive(fleet, odd)
        # The nodes hear each other.
        live = [len({each.host for each in node.view.live()} - {"odd"}) for node in fleet.nodes]
        assert live == [len(fleet.nodes)] * len(fleet.nodes)
        assert_served(await callers.stop())

    run_check(check, domains=("a", "a", "b", "b"))
