"""
chalkyoke.node.connections

Connections of uvicorn's HTTP server that bound what they buffer.
"""

import asyncio
from typing import Any

from chalkyoke.entry.channels import WRITTEN_KEY
from chalkyoke.http1.memory import UnsentResponse
from chalkyoke.http1.turns import PartCount
from chalkyoke.node.callerconnections import CallerConnection
from chalkyoke.node.inputflow import HoldableFlow
from chalkyoke.sockets import bound_reads

# Bytes of a request, besides those of its body, that are accepted: its head, the extensions of its
# chunks and its trailers.
MAX_HEAD_BYTES = 65_536
# Bytes that are parsed at a time. Each request that they begin has its own state in the program, of
# some kilobytes.
STEP_BYTES = 1_024
# Bytes that are read at a time where memory is limited: until the application asks for a body, and
# from then on. Hundreds of requests may have to wait before the application refuses them.
FIRST_READ_BYTES, READ_BYTES = 4_096, 16_384
# Bytes of a body at which parsing waits for the application to take them.
MAX_UNTAKEN_BYTES = 16_384


class HttpConnection(CallerConnection):
    """A connection that parses one request after the other.

    What comes behind a request is parsed once that has been answered. A connection whose server is
    closing parses all that it has read, and announces its close with the last answer only.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._unparsed = bytearray()
        self._bytes_since_body = 0
        self._parts = PartCount()
        self._is_turn_due = False
        self._is_head_complete = False
        self._unsent: UnsentResponse | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Bound the buffers of a new connection."""
        super().connection_made(transport)
        self.flow = self._input_flow = HoldableFlow(self.transport, self._on_input_asked)
        memory = self._shared.memory
        memory.share_receive_buffers(transport, len(self.connections))
        self._unsent = memory.watch(transport)
        if self._unsent is not None:
            bound_reads(transport, FIRST_READ_BYTES)

    def connection_lost(self, exc: Exception | None) -> None:
        """Refund the buffers of a closed connection."""
        super().connection_lost(exc)
        self._unparsed.clear()
        if self._unsent is not None:
            self._unsent.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes as far as they belong to the present request."""
        if self._is_closed():
            super().data_received(data)
            return
        self._unparsed += data
        if not self._is_turn_due:
            self._parse()

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self._is_head_complete = False
        if self._unsent is not None:
            self.scope[WRITTEN_KEY] = self._on_written  # type: ignore[literal-required]

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receive a header; trailers are ignored (RFC 9110, section 6.5.1)."""
        if not self._is_head_complete:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request whose head is complete."""
        self._is_head_complete = True
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Receive a part of the body."""
        super().on_body(body)
        self._bytes_since_body = 0
        self._parts.on_part()

    def on_message_complete(self) -> None:
        """End a request."""
        super().on_message_complete()
        self._bytes_since_body = 0

    def on_response_complete(self) -> None:
        """Go on with what came behind the request that was answered."""
        super().on_response_complete()
        self._parse()

    def announce_close(self) -> None:
        """Announce the close with the answer to the latest request, unless that has begun."""
        self._parse()
        self._announce_with_latest()

    def _is_input_due(self) -> bool:
        return bool(self._unparsed) or super()._is_input_due()

    def _parse(self) -> None:
        if self._is_turn_due and not self._shared.closing:
            return
        while self._unparsed and not self._is_closed():
            if self._is_answering() and not self._shared.closing:
                self.flow.pause_reading()
                return
            if self._is_body_untaken():
                self.flow.pause_reading()
                return
            step = bytes(self._unparsed[:STEP_BYTES])
            del self._unparsed[:STEP_BYTES]
            self._bytes_since_body += len(step)
            super().data_received(step)
            if self._bytes_since_body > MAX_HEAD_BYTES and not self._is_closed():
                self._refuse_head()
            if self._parts.take_exceeded() and self._unparsed and not self._shared.closing:
                self._wait_for_turn()
                return
        if self._is_closed():
            self._unparsed.clear()

    def _wait_for_turn(self) -> None:
        """Let other connections go on before the next piece of many small chunks is parsed."""
        self._is_turn_due = True
        self._input_flow.hold_reading()
        self._shared.turns.wait(self._take_turn)

    def _take_turn(self) -> None:
        self._is_turn_due = False
        if self._is_closed():
            self._unparsed.clear()
            return
        self._parse()
        if not self._is_turn_due:
            self._input_flow.release_reading()

    def _is_closed(self) -> bool:
        return self.parser is None or self.transport.is_closing()

    def _is_answering(self) -> bool:
        """Return whether a request has been read and not been answered yet."""
        cycle = self.cycle
        return cycle is not None and not cycle.response_complete and not cycle.more_body

    def _is_body_untaken(self) -> bool:
        """Return whether the application has much of the body to take, and will ask for more."""
        cycle = self.cycle
        return cycle is not None and cycle.more_body and len(cycle.body) >= MAX_UNTAKEN_BYTES

    def _refuse_head(self) -> None:
        if self.cycle is not None and not self.cycle.response_complete:
            # The head may belong to a request whose answer has begun.
            self.transport.abort()
            return
        self.send_400_response("The head of the request is too large.")

    def _on_input_asked(self) -> None:
        if self._unsent is not None:
            self._lingering.bound_reads(READ_BYTES)
        if self._unparsed:
            # The application takes what was parsed before that runs.
            self.loop.call_soon(self._parse)

    def _on_written(self, size: int) -> None:
        if self._unsent is not None and not self._is_closed():
            self._unsent.on_written(size, self.loop.time())
