"""Bytes without end on links, from peers that have not proved that they hold the fleet's key."""

import asyncio
import tracemalloc

import msgpack
import pytest
from chalkyoke.clock import Stamp
from chalkyoke.exceptions import LinkError, ProtocolError
from chalkyoke.links.codec import MAX_HANDSHAKE_BYTES, FrameCodec, FrameReader
from chalkyoke.links.messages import Received

from .test_links import GRANT, TYPES, free, make

KEY = b"k" * 16
# Longest time until a link is refused, in seconds; a handshake may take 2 s.
AT_ONCE_S = 1.0
# Most memory that one refused peer may take, in bytes.
MAX_PEAK_BYTES = 4_000_000
# Beginnings of a frame of 19 MB, and bytes that continue it.
FRAMES = {
    "array of arrays": (b"\xdd" + (19_000_000).to_bytes(4, "big"), b"\x90" * 65_536),
    "text": (b"\x91\xdb" + (19_000_000).to_bytes(4, "big"), b"z" * 65_536),
    "bytes": (b"\x91\xc6" + (19_000_000).to_bytes(4, "big"), b"z" * 65_536),
    "map": (b"\xdf" + (9_000_000).to_bytes(4, "big"), b"\x01" * 65_536),
    "nested arrays": (b"", (b"\xdd" + (19_000_000).to_bytes(4, "big")) * 400),
    "small frames": (b"", msgpack.packb([1, 1, "unknown"]) * 6_000),
}
MAX_PIECES = 400


async def send_without_end(writer, first, piece):
    """Write until the peer closes; return whether it has."""
    try:
        writer.write(first)
        for _ in range(MAX_PIECES):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
            if writer.transport.is_closing():
                return True
    except ConnectionError:
        return True
    return False


@pytest.mark.parametrize("kind", FRAMES)
def test_a_caller_without_the_fleet_key_sends_a_handshake_only(kind):
    """Guards against 19 MB of empty arrays that took 1.4 GB and 6 s to unpack."""

    async def main():
        inside = make("inside", KEY, lambda connection, message: None)
        await inside.listen()
        ip, port = inside.me.address.split(":")
        tracemalloc.start()
        reader, writer = await asyncio.open_connection(ip, int(port))
        async with asyncio.timeout(AT_ONCE_S):
            await send_without_end(writer, *FRAMES[kind])
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1_000_000)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < MAX_PEAK_BYTES
        writer.transport.abort()
        await inside.close()

    asyncio.run(main())


@pytest.mark.parametrize("kind", FRAMES)
def test_a_listener_without_the_fleet_key_sends_a_handshake_only(kind):
    """Guards against a frame of a wrong address that a caller keeps until its handshake ends."""

    async def main():
        async def play(reader, writer):
            await send_without_end(writer, *FRAMES[kind])
            writer.transport.abort()

        ip, port = free().split(":")
        server = await asyncio.start_server(play, ip, int(port))
        links = make("one", KEY, lambda connection, message: None)
        async with asyncio.timeout(AT_ONCE_S):
            with pytest.raises(LinkError):
                await links.open(f"{ip}:{port}")
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize("cut", range(0, 120, 7))
def test_frames_that_follow_a_handshake_in_one_read_are_whole(cut):
    """Guards against a frame that is lost because it arrives in part with the handshake."""
    codec = FrameCodec((*TYPES, Received))
    later = codec.encode(Stamp(1, 1), Received(3, 1.0)) + codec.encode(Stamp(2, 2), GRANT)
    first = msgpack.packb([1, 2, "welcome", "p", b"m" * 16])
    reader = FrameReader(is_trusted=False)
    data = first + later
    end = min(len(first) + cut, len(data))
    frames = list(reader.feed(data[:end]))
    reader.trust()
    frames += reader.feed(data[end:])
    assert [frame[2] for frame in frames] == ["welcome", "received", "grant"]


def test_a_large_frame_is_received_once_the_peer_is_trusted():
    """Guards against a document of the configuration that is too large for its link."""
    reader = FrameReader(is_trusted=False)
    frame = msgpack.packb([1, 2, "text", "z" * 10_000_000])
    with pytest.raises(ProtocolError):
        list(FrameReader(is_trusted=False).feed(frame[: MAX_HANDSHAKE_BYTES + 1]))
    reader.trust()
    assert len(list(reader.feed(frame))) == 1
