import asyncio
import socket

import msgpack
import pytest
from chalkyoke.clock import HybridClock, Stamp
from chalkyoke.exceptions import LinkError, ProtocolError
from chalkyoke.links.codec import FrameCodec, FrameReader
from chalkyoke.links.connection import Identity
from chalkyoke.links.messages import Challenge
from chalkyoke.links.peers import QUEUED_MESSAGE_BYTES, Links
from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.messages import Grant, Shed

TYPES = (Grant, Shed)
GRANT = Grant("r", 1, "p", "u", "127.0.0.1:1", 0)


class Clock:
    def stamp(self):
        return Stamp(1, 2)

    def observe(self, stamp):
        self.seen = stamp


def free():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make(name, key, handler):
    return Links(Identity(name, free(), "d", key), TYPES, Clock(), handler)


def test_messages_survive_frames_cut_anywhere():
    codec, reader = FrameCodec(TYPES), FrameReader()
    shed = Shed("r", 2, "p", Reason.HOPELESS, None)
    data = codec.encode(Stamp(5, 6), GRANT) + codec.encode(Stamp(7, 8), shed)
    found = [codec.decode(frame) for byte in data for frame in reader.feed(bytes([byte]))]
    assert found == [(Stamp(5, 6), GRANT), (Stamp(7, 8), shed)]


@pytest.mark.parametrize("frame", [[], [1, 2], [1, 2, "nothing"], [1, 2, "grant", 1], [1, 2, {}]])
def test_an_unknown_frame_is_a_protocol_error(frame):
    with pytest.raises(ProtocolError):
        FrameCodec(TYPES).decode(frame)


def test_a_stream_that_is_no_msgpack_array_is_a_protocol_error():
    with pytest.raises(ProtocolError):
        list(FrameReader().feed(msgpack.packb({"no": "array"})))


def test_a_message_reaches_the_other_process_and_its_answer_comes_back():
    async def main():
        got = asyncio.get_running_loop().create_future()
        one = make("one", b"k" * 16, lambda connection, message: got.set_result(message))
        other = make("other", b"k" * 16, lambda c, m: other.send(c.peer_address, m))
        await one.listen()
        await other.listen()
        one.send(other.me.address, GRANT)
        assert await asyncio.wait_for(got, 5) == GRANT
        await one.close()
        await other.close()

    asyncio.run(main())


def test_the_queues_of_links_are_bounded_and_measured_for_the_account_of_memory():
    """A bound that open links ignored would let slow peers fill a host."""

    async def main():
        one, other = (make(name, b"k" * 16, lambda c, m: None) for name in ("one", "other"))
        await other.listen()
        connection = await one.open(other.me.address)
        assert connection.send(GRANT) and one.counters.dropped == 0
        one.max_unsent_bytes = lambda: -1
        assert not connection.send(GRANT) and one.counters.dropped == 1
        one.send(free(), GRANT)
        assert one.buffered_bytes() == QUEUED_MESSAGE_BYTES
        connection.abort()
        await one.close()
        await other.close()

    asyncio.run(main())


def test_a_process_without_the_fleet_key_is_refused():
    async def main():
        seen = []
        inside = make("inside", b"k" * 16, lambda connection, message: seen.append(message))
        outside = make("outside", b"x" * 16, lambda connection, message: None)
        await inside.listen()
        with pytest.raises(LinkError):
            await outside.open(inside.me.address)
        assert seen == []
        await inside.close()

    asyncio.run(main())


def test_listener_without_the_fleet_key_is_refused():
    async def main():
        async def play(reader, writer):
            codec = FrameCodec((*TYPES, Challenge))
            writer.write(codec.encode(Stamp(1, 1), Challenge(b"n" * 16)))
            await reader.read(1000)
            writer.write(codec.encode(Stamp(1, 1), Challenge(b"n" * 16)))

        ip, port = free().split(":")
        server = await asyncio.start_server(play, ip, int(port))
        links = make("one", b"k" * 16, lambda connection, message: None)
        with pytest.raises(LinkError):
            await links.open(f"{ip}:{port}")
        server.close()

    asyncio.run(main())


def test_a_cause_is_stamped_before_its_effect_whatever_the_wall_clocks_say():
    early, late = HybridClock(), HybridClock()
    cause = early.tick(2000)
    late.observe(cause, 1000)
    assert late.tick(1000) > cause


def test_stamp_far_ahead_does_not_advance_the_clock():
    clock = HybridClock()
    clock.observe(Stamp(10**12, 0), 1000)
    assert clock.tick(1000).wall_ms == 1000
