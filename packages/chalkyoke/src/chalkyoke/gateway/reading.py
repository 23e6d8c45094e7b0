"""
chalkyoke.gateway.reading

Reads the response of a replica as fast as its caller takes it, and as the host's memory allows.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.gateway.relay import Relay
from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.response import ResponseWriter
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.flow import CHECK_INTERVAL_S, ResponseFlow


class ResponseReading:
    """Pauses and resumes the connections on which a request's responses arrive.

    :param clock: the node's clock, in seconds.
    """

    def __init__(
        self, account: MemoryAccount, response: ResponseWriter, clock: Callable[[], float]
    ) -> None:
        self._account = account
        self._response = response
        self._clock = clock
        self._flow = ResponseFlow(account)
        self._unread = account.open(Purpose.UNREAD)
        self._connection: ClientConnection | None = None
        self._relay: Relay | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_paused(self) -> bool:
        """Whether the replica is not read because memory is accounted and its caller is slow."""
        return self._account.is_limited and self._flow.is_paused

    def start(self, connection: ClientConnection, relay: Relay) -> None:
        """Begin to read a response."""
        if not self._account.is_limited:
            self._flow = ResponseFlow(self._account)
        self.attach(connection, relay)

    def attach(self, connection: ClientConnection, relay: Relay) -> None:
        """Read another response of the request, with the state of its caller."""
        self._connection, self._relay = connection, relay
        if self._flow.is_paused:
            self._apply(was_paused=False)

    def end(self, connection: ClientConnection) -> None:
        """End a response, if it is the one that is read; its connection can be used again."""
        if connection is not self._connection:
            return
        self._connection = None
        self._cancel_timer()
        self._unread.release()
        if self._flow.is_paused and not connection.closed:
            connection.resume()
        self._flow.on_response_ended()

    def set_caller_can_read(self, can_read: bool) -> None:
        """Follow the state of the caller's send buffer."""
        if self._connection is None and not self._account.is_limited:
            return
        was_paused = self._flow.is_paused
        self._flow.set_caller_can_read(can_read, self._clock())
        self._apply(was_paused=was_paused)

    def on_data(self) -> None:
        """Pause if the response holds too much memory; call after each part of the body."""
        relay = self._relay
        if relay is None or not self._account.is_limited:
            return
        was_paused = self._flow.is_paused
        self._flow.on_received(relay.retained_bytes, self._response.unsent_bytes, self._clock())
        self._apply(was_paused=was_paused)

    def _check(self) -> None:
        self._timer = None
        relay = self._relay
        if relay is None or self._connection is None:
            return
        held = relay.retained_bytes + self._response.unsent_bytes
        self._flow.on_check(held, self._clock())
        self._apply(was_paused=True)

    def _apply(self, *, was_paused: bool) -> None:
        connection, relay = self._connection, self._relay
        if connection is None or relay is None:
            return
        if self._flow.is_paused:
            connection.pause()
            self._watch()
        elif was_paused:
            self._cancel_timer()
            self._unread.release()
            if self._account.is_limited:
                relay.record_resumed()
            connection.resume()

    def _watch(self) -> None:
        """Consider the paused response again after a while, and charge what may arrive for it."""
        if not self._account.is_limited:
            return
        self._unread.resize(self._account.unread_bound)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
