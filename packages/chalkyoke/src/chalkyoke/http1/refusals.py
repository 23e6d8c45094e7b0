"""
chalkyoke.http1.refusals

Requests that are refused before they have been read, by a limit of size or time or by their form.
"""

from typing import Protocol

import msgspec

from chalkyoke.http1.lingering import LingerEnd
from chalkyoke.http1.messages import Headers


class RefusedRead(msgspec.Struct, frozen=True):
    """A request that was refused before its end.

    :param status: 400, 408, 413 or 431.
    :param target: as far as it was read.
    :param headers: as far as they were read.
    :param body_bytes: bytes of the body that were read.
    :param declared_bytes: declared length of the body; None if there is none.
    :param took_s: seconds since its first byte.
    """

    status: int
    target: bytes
    headers: Headers
    body_bytes: int
    declared_bytes: int | None
    took_s: float


class ReadReports(Protocol):
    """Told how the reading of requests and the closes of connections end."""

    def on_refused(self, refused: RefusedRead) -> None:
        """Record a request that was refused before its end."""

    def on_answer_lost(self, end: LingerEnd) -> None:
        """Record a connection whose caller may have lost its last answer."""


class NoReports:
    """Records nothing."""

    def on_refused(self, refused: RefusedRead) -> None:
        """Record nothing."""

    def on_answer_lost(self, end: LingerEnd) -> None:
        """Record nothing."""
