"""
chalkyoke.links.codec

Frames of a link: one msgpack array each, with a clock stamp before the message's tag and fields.
"""

from collections.abc import Iterator
from typing import Any

import msgpack
import msgspec

from chalkyoke.clock import Stamp
from chalkyoke.exceptions import ProtocolError, UnknownKind

# A longer frame, in bytes, is none of ours: five times the largest document that peers tell.
MAX_FRAME_BYTES = 20_000_000


class FrameCodec:
    """Write messages as frames and read frames as messages.

    :param types: the message types that may come in; each has a tag of its own.
    """

    def __init__(self, types: tuple[type[msgspec.Struct], ...]) -> None:
        self._types = {str(each.__struct_config__.tag): each for each in types}

    @property
    def kinds(self) -> tuple[str, ...]:
        """The kinds of messages that are understood here."""
        return tuple(self._types)

    def encode(self, stamp: Stamp, message: msgspec.Struct) -> bytes:
        """Write one frame.

        :rtype: bytes
        """
        fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        frame: bytes = msgpack.packb((stamp.wall_ms, stamp.logical, *fields))
        return frame

    def decode(self, frame: list[Any]) -> tuple[Stamp, msgspec.Struct]:
        """Read one frame.

        :raises UnknownKind: when it is a frame of a kind that a later version may have added.
        :raises ProtocolError: when it is no message.
        """
        try:
            wall_ms, logical, tag = frame[0], frame[1], frame[2]
            if isinstance(tag, str) and tag not in self._types:
                raise UnknownKind(tag)
            kind = self._types[tag]
            message = msgspec.convert(frame[2:], kind, builtin_types=(bytes,))
        except (IndexError, KeyError, TypeError, msgspec.ValidationError) as error:
            raise ProtocolError(f"unreadable frame: {error}") from error
        return Stamp(wall_ms, logical), message


class FrameReader:
    """Cut a stream of bytes into frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> Iterator[list[Any]]:
        """Take bytes in and give the frames that are whole now.

        :raises ProtocolError: when the bytes are no frames, or too large.
        """
        try:
            self._unpacker.feed(data)
            for frame in self._unpacker:
                if not isinstance(frame, list):
                    raise ProtocolError("a frame is no array")
                yield frame
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull) as error:
            raise ProtocolError(f"unreadable stream: {error}") from error
