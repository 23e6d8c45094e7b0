"""
chalkyoke.links.codec

Frames of a link: one msgpack array each, with a clock stamp before the message's tag and fields.
"""

from collections.abc import Iterator
from typing import Any

import msgpack
import msgspec

from chalkyoke.clock import Stamp
from chalkyoke.decoding.bounds import MAX_INTEGER
from chalkyoke.decoding.decoder import DECODE_ERRORS, describe
from chalkyoke.exceptions import ProtocolError, UnknownKind

# Maximum length of a frame, in bytes: five times the largest document that peers exchange.
MAX_FRAME_BYTES = 20_000_000
# Maximum length of all frames of a handshake, in bytes, and of an array in them: the longest one
# lists the kinds of messages that a listener understands.
MAX_HANDSHAKE_BYTES = 16_384
MAX_HANDSHAKE_FIELDS = 256
# Number of fields before those of the message: the two numbers of the stamp, and the tag.
HEADER_FIELDS = 3
# Maximum length of an unknown kind in the log, in characters.
MAX_KIND_CHARS = 60


class FrameCodec:
    """Encode messages as frames and decode frames into messages.

    :param types: the message types that may be received; each has a unique tag.
    """

    def __init__(self, types: tuple[type[msgspec.Struct], ...]) -> None:
        self._types = {str(each.__struct_config__.tag): each for each in types}

    @property
    def kinds(self) -> tuple[str, ...]:
        """The tags of the message types that this process can decode."""
        return tuple(self._types)

    def encode(self, stamp: Stamp, message: msgspec.Struct) -> bytes:
        """Encode one message as a frame.

        :rtype: bytes
        """
        fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        frame: bytes = msgpack.packb((stamp.wall_ms, stamp.logical, *fields))
        return frame

    def decode(self, frame: list[Any]) -> tuple[Stamp, msgspec.Struct]:
        """Decode one frame.

        :raises UnknownKind: when the tag is unknown; a later version may have added it.
        :raises ProtocolError: when the frame is not a valid message.
        """
        if len(frame) < HEADER_FIELDS:
            raise ProtocolError("unreadable frame: too short")
        wall_ms, logical, tag = frame[:HEADER_FIELDS]
        if not (
            type(wall_ms) is type(logical) is int
            and 0 <= wall_ms <= MAX_INTEGER
            and 0 <= logical <= MAX_INTEGER
        ):
            raise ProtocolError("unreadable frame: invalid stamp")
        if type(tag) is not str:
            raise ProtocolError("unreadable frame: invalid kind")
        kind = self._types.get(tag)
        if kind is None:
            raise UnknownKind(tag[:MAX_KIND_CHARS])
        try:
            message = msgspec.convert(frame[HEADER_FIELDS - 1 :], kind, builtin_types=(bytes,))
        except DECODE_ERRORS as error:
            raise ProtocolError(f"unreadable frame: {describe(error)}") from error
        return Stamp(wall_ms, logical), message


class FrameReader:
    """Split a stream of bytes into frames.

    A peer that has not proved that it holds the fleet's key may send no more than
    :data:`MAX_HANDSHAKE_BYTES`.

    :param is_trusted: whether the peer has proved it already.
    """

    def __init__(self, *, is_trusted: bool = True) -> None:
        self._is_trusted = is_trusted
        self._received = bytearray()
        self._consumed = 0
        self._unpacker = (
            msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
            if is_trusted
            else msgpack.Unpacker(
                max_buffer_size=MAX_HANDSHAKE_BYTES, max_array_len=MAX_HANDSHAKE_FIELDS
            )
        )

    def trust(self) -> None:
        """Accept frames of up to :data:`MAX_FRAME_BYTES` from now on."""
        if self._is_trusted:
            return
        self._is_trusted = True
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self._unpacker.feed(self._received[self._consumed :])
        self._received.clear()

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """Add received bytes and yield the frames that are complete now.

        :raises ProtocolError: when the bytes are not valid frames, or a frame is too large.
        """
        if not self._is_trusted:
            if len(self._received) + len(data) > MAX_HANDSHAKE_BYTES:
                raise ProtocolError(f"a handshake of more than {MAX_HANDSHAKE_BYTES} bytes")
            self._received += data
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                if not isinstance(frame, list):
                    raise ProtocolError("frame is not an array")
                self._consumed = self._unpacker.tell()
                yield frame
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull) as error:
            raise ProtocolError(f"unreadable stream: {describe(error)}") from error
