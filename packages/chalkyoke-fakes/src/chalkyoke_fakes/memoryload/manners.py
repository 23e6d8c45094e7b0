"""
chalkyoke_fakes.memoryload.manners

The manners of callers that make a node use memory, drawn from a source of random numbers.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from chalkyoke_fakes.leaving import encode_request
from chalkyoke_fakes.platformfleet import HOST, KEY

MAX_BODY_BYTES = 4_194_304
PIPELINED_BODY_BYTES = 30_000
PIPELINED_REQUESTS = 400
LARGE_ANSWER_BYTES = 4_000_000
HEAD_BYTES = 15_000
UPLOAD_PART_BYTES = 65_536
# Share of the uploads whose last byte is sent; the others hold the memory of their node longer.
WHOLE_SHARE = 0.25
# One body for all callers, which are many.
BODY = memoryview(b"x" * (MAX_BODY_BYTES + 200_000))


class Manner(StrEnum):
    """How callers behave."""

    CALM = "calm"
    UPLOADS = "uploads"
    CHUNKED = "uploads in chunks"
    SLOW_UPLOADS = "slow uploads"
    STUBBORN = "uploads sent again"
    DEAF = "uploads read late"
    PIPELINED = "pipelined, unread"
    HEADS = "heads without end"
    SLOW_READERS = "slow readers"
    SLOW_STREAMS = "slow readers of streams"
    IDLE = "idle"
    ENDLESS = "endless answers"


UPLOAD_MANNERS = frozenset(
    {Manner.UPLOADS, Manner.CHUNKED, Manner.SLOW_UPLOADS, Manner.STUBBORN, Manner.DEAF}
)


@dataclass(frozen=True, slots=True)
class Upload:
    """How one body is sent.

    :param size: bytes of the body.
    :param chunked: whether it is sent in chunks, without a declared length.
    :param part_bytes: bytes of one part, which is one chunk.
    :param pause_s: time between two parts, in seconds.
    :param hold_s: time before the last byte, in seconds.
    :param is_whole: whether the last byte is sent.
    :param tries: how often the same body is sent while it is refused.
    :param reads_late: whether the answer is read only after the body was sent; as many clients do,
        the caller gives up if it can't be sent.
    :param key: the caller's key.
    """

    size: int
    chunked: bool
    part_bytes: int
    pause_s: float
    hold_s: float
    is_whole: bool
    tries: int
    reads_late: bool
    key: str = KEY

    def head(self, name: str, path: str) -> bytes:
        """Encode the head of the request."""
        framing = "Transfer-Encoding: chunked" if self.chunked else f"Content-Length: {self.size}"
        return (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\n"
            f"X-Deadline-Ms: 8000\r\nX-Credential: {self.key}\r\n{framing}\r\n\r\n"
        ).encode()

    def parts(self) -> Iterator[bytes | memoryview]:
        """Return the parts of the body, all but its last byte."""
        for at in range(0, self.size - 1, self.part_bytes):
            part = BODY[at : min(at + self.part_bytes, self.size - 1)]
            if self.chunked:
                yield b"%x\r\n" % len(part)
                yield part
                yield b"\r\n"
            else:
                yield part

    @property
    def last(self) -> bytes:
        """The last byte and the end of the body."""
        return b"1\r\nx\r\n0\r\n\r\n" if self.chunked else b"x"


def draw_upload(manner: Manner, source: random.Random, whole_share: float = WHOLE_SHARE) -> Upload:
    """Draw an upload of a manner.

    :param whole_share: share of the uploads whose last byte is sent.
    """
    is_slow = manner is Manner.SLOW_UPLOADS
    is_deaf = manner is Manner.DEAF
    return Upload(
        size=MAX_BODY_BYTES if source.random() < 0.7 else source.randrange(100_000, MAX_BODY_BYTES),
        chunked=manner is Manner.CHUNKED
        or (manner is not Manner.UPLOADS and source.random() < 0.5),
        part_bytes=source.choice((8_192, UPLOAD_PART_BYTES)) if is_slow else UPLOAD_PART_BYTES,
        pause_s=0.01 if is_slow or is_deaf else 0.0,
        hold_s=source.choice((0.1, 1.0, 5.0)),
        is_whole=source.random() < whole_share,
        tries=4 if manner is Manner.STUBBORN else 1,
        reads_late=is_deaf,
    )


def encode_pipelined(name: str) -> bytes:
    """Encode one of the requests that are sent behind each other."""
    return encode_request(name, "POST", "/book/1", b"x" * PIPELINED_BODY_BYTES)


def encode_large_read(name: str) -> bytes:
    """Encode a request whose answer is large."""
    return (
        f"GET /find/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: 8000\r\n"
        f"X-Credential: {KEY}\r\nX-Answer-Bytes: {LARGE_ANSWER_BYTES}\r\n\r\n"
    ).encode()


def encode_endless_head(name: str) -> bytes:
    """Encode a head without its end."""
    head = f"POST /book/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}\r\nX-Long: ".encode()
    return head + b"z" * (HEAD_BYTES - len(head))
