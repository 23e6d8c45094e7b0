"""
chalkyoke.entry.channels

The channels of one request, between the HTTP server and the application (ASGI).
"""

from collections.abc import Awaitable, Callable
from typing import Any

from chalkyoke.memory.account import Charge

# Key of the ASGI scope under which a request's receive channel is kept.
RECEIVE_KEY = "chalkyoke.receive"
# Key of the ASGI scope under which the server keeps a function that it wants to be called with the
# number of bytes of a body that were written.
WRITTEN_KEY = "chalkyoke.written"
# Key of the ASGI scope under which charges are kept that are refunded once the answer is sent.
CHARGES_KEY = "chalkyoke.charges"
# Bytes of an answer that are passed to the server at a time: it accepts more once the caller has
# taken most of them.
PIECE_BYTES = 65_536

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


def keep_receive_channel(app: App) -> App:
    """Wrap an application to keep each request's receive channel in its scope.

    The handler reads the body from the channel, and notices there that the caller disconnects. The
    application gets a request as soon as its head is complete.

    :rtype: App
    """

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        async def receive_nothing() -> dict[str, Any]:
            return {"type": "http.request", "body": b"", "more_body": True}

        async def send_pieces(message: dict[str, Any]) -> None:
            await _send_pieces(send, message, on_written)

        on_written = scope.get(WRITTEN_KEY, _ignore)
        charges: list[Charge] = []
        scope[RECEIVE_KEY] = receive
        scope[CHARGES_KEY] = charges
        try:
            await app(scope, receive_nothing, send_pieces)
        finally:
            for charge in charges:
                charge.release()

    return wrapped


async def _send_pieces(
    send: Send, message: dict[str, Any], on_written: Callable[[int], None]
) -> None:
    """Send a message; a large body as pieces, so that the server holds few of them."""
    if message["type"] != "http.response.body":
        await send(message)
        return
    body = message.get("body") or b""
    for start in range(0, max(1, len(body)), PIECE_BYTES):
        piece = body[start : start + PIECE_BYTES]
        more = message.get("more_body", False) or start + PIECE_BYTES < len(body)
        await send({**message, "body": piece, "more_body": more})
        on_written(len(piece))


def _ignore(_: int) -> None:
    pass
