"""
chalkyoke.callsessions

Connections of the HTTP client library for calls whose answers name no call. Each call has a
connection of its own, and an answer is whole only if its upstream has ended it.
"""

import functools
import socket
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from chalkyoke.http1.heads import contains_status_line, has_unknown_coding
from chalkyoke.sockets import share_port

# A status that is no answer, as no call asks for another protocol; other interim ones are skipped.
SWITCHING_PROTOCOLS = 101
MIN_STATUS = 100


class CallHandler(ResponseHandler):
    """The protocol of a connection that carries one call.

    A head that is not the head of one answer ends the connection and the call.
    """

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Receive the head of an answer."""
        problem = _find_problem(data[0])
        if problem is not None:
            self.set_exception(aiohttp.ClientPayloadError(problem))
            return
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
    :param options: those of :class:`aiohttp.TCPConnector`.
    """

    def __init__(self, handler: type[ResponseHandler] = CallHandler, **options: Any) -> None:
        super().__init__(force_close=True, socket_factory=_create_socket, **options)
        self._factory = functools.partial(handler, loop=self._loop)


def _create_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, *_ = address
    created = socket.socket(family, kind, protocol)
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
