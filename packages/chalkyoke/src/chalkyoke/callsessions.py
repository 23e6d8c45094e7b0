"""
chalkyoke.callsessions

Connections of the HTTP client library for calls whose answers name no call. Each call has a
connection of its own, and an answer is whole only if its upstream has ended it.
"""

import asyncio
import functools
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from chalkyoke.http1.client import (
    MAX_ANSWER_HEAD_BYTES,
    MAX_INTERIM_ANSWERS,
    MAX_SKIPPED_BYTES,
)
from chalkyoke.http1.heads import contains_status_line, has_unknown_coding
from chalkyoke.logs import logger
from chalkyoke.sockets import bound_unread, bound_unsent, share_port

# A status that is no answer, as no call asks for another protocol; other interim ones are skipped.
SWITCHING_PROTOCOLS = 101
MIN_STATUS = 100
# Interim answers, which precede the answer, have lower statuses (RFC 9110).
MIN_FINAL_STATUS = 200
# The only content coding that calls accept.
IDENTITY = "identity"

log = logger("calls")


class CallHandler(ResponseHandler):
    """The protocol of a connection that carries one call.

    A head that is not the head of one answer ends the connection and the call, and so do more than
    :data:`MAX_SKIPPED_BYTES` or :data:`MAX_INTERIM_ANSWERS` before the head of the answer is
    complete, or more than :data:`MAX_ANSWER_HEAD_BYTES` after it without a part of the body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._has_answer = False
        self._bytes_since_body = 0
        self._interim_answers = 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        # Without a parser, or while reading is paused, the bytes are kept to be passed again.
        is_parsed = self._parser is not None and not self._reading_paused
        body = self._payload
        body_bytes = 0 if body is None else body.total_bytes
        super().data_received(data)
        if not is_parsed:
            return
        if body is not self._payload or (body is not None and body.total_bytes != body_bytes):
            self._bytes_since_body = 0 if self._has_answer else self._bytes_since_body + len(data)
        else:
            self._bytes_since_body += len(data)
        limit = MAX_ANSWER_HEAD_BYTES if self._has_answer else MAX_SKIPPED_BYTES
        if self._bytes_since_body > limit:
            self._break_oversized()

    def _break_oversized(self) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        part = "after its head" if self._has_answer else "before its head"
        peer = ":".join(map(str, self.transport.get_extra_info("peername")[:2]))
        log.notice("oversized", peer=peer, part=part)
        error = aiohttp.ClientPayloadError(f"an answer without end {part}")
        if self._payload is not None and not self._payload.is_eof():
            set_exception(self._payload, error)
        self.set_exception(error)
        self.transport.abort()

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Receive the head of an answer."""
        problem = _find_problem(data[0])
        if problem is not None:
            self.set_exception(aiohttp.ClientPayloadError(problem))
            return
        if data[0].code < MIN_FINAL_STATUS:
            # None of them is passed on.
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._break_oversized()
            return
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            return
        self._has_answer = True
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the call; a reset does not end a body that ends with its connection."""
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            set_exception(body, aiohttp.ClientPayloadError(f"the answer broke off: {exc}"), exc)
        super().connection_lost(exc)


class CallConnector(aiohttp.TCPConnector):
    """Opens a connection for each call.

    :param handler: the protocol of the connections.
    :param buffer_bytes: bytes that the system receives before they are read, or accepts before they
        are sent; 0 for its default.
    :param options: those of :class:`aiohttp.TCPConnector`.
    """

    def __init__(
        self,
        handler: type[ResponseHandler] = CallHandler,
        buffer_bytes: int = 0,
        **options: Any,
    ) -> None:
        create = functools.partial(_create_socket, buffer_bytes)
        super().__init__(force_close=True, socket_factory=create, **options)
        self._factory = functools.partial(handler, loop=self._loop)


def make_call_session(connector: CallConnector, **options: Any) -> aiohttp.ClientSession:
    """Create an HTTP session that accepts no content coding and decodes none.

    :param options: those of :class:`aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(
        connector=connector,
        headers={"Accept-Encoding": IDENTITY},
        auto_decompress=False,
        **options,
    )


def find_coding(response: aiohttp.ClientResponse) -> str | None:
    """Return the content coding of a body; None if it is not coded."""
    coding = ", ".join(response.headers.getall("Content-Encoding", [IDENTITY]))
    return None if coding.strip().lower() == IDENTITY else coding


async def read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    """Read a body.

    :param max_bytes: largest size of the body, in bytes.
    :raises aiohttp.ClientPayloadError: when the body is larger, coded or incomplete.
    """
    if (coding := find_coding(response)) is not None:
        raise aiohttp.ClientPayloadError(f"its body is coded: {coding}"[:200])
    parts = []
    size = 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            response.close()
            log.notice("oversized", peer=response.url.authority, part="body", max_bytes=max_bytes)
            raise aiohttp.ClientPayloadError(f"its body is larger than {max_bytes} bytes")
    return b"".join(parts)


def _create_socket(buffer_bytes: int, address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, *_ = address
    created = socket.socket(family, kind, protocol)
    if buffer_bytes:
        bound_unread(created, buffer_bytes)
        bound_unsent(created, buffer_bytes)
    share_port(created)
    return created


def _find_problem(head: RawResponseMessage) -> str | None:
    """Return why a head is not the head of one answer; None if it is."""
    reason = head.reason.encode(errors="surrogateescape")
    if contains_status_line(reason, list(head.raw_headers)):
        return "the head of two answers"
    if head.code == SWITCHING_PROTOCOLS or head.code < MIN_STATUS:
        return f"status {head.code}"
    if has_unknown_coding(list(head.raw_headers)):
        return "an unknown transfer coding"
    return None
