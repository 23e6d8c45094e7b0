"""
chalkyoke.gateway.takeover

Which of two sends of a request goes on: a silent one, or the one that is to take its place.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum

from chalkyoke.gateway.granted import Granted
from chalkyoke.gateway.relay import Relay
from chalkyoke.http1.client import ClientConnection
from chalkyoke.memory.account import Charge

# Longest time for which two replicas work on one request, in seconds. A replica that is full
# declines within it; operators accept 0.4 s.
MAX_OVERLAP_S = 0.2


class GiveUpReason(StrEnum):
    """Why a silent send was given up.

    ``ANSWERED``: another replica has begun to answer. ``OVERLAP``: another one has had the request
    for :data:`MAX_OVERLAP_S` and has not begun to answer. ``ENDED``: its replica has broken it off
    or refused it, and another one has the request.
    """

    ANSWERED = "answered"
    OVERLAP = "overlap"
    ENDED = "ended"


class Send:
    """One request at a replica, until its end.

    :param retained: charge for what is buffered of the answer.
    :param on_given_up: called before the send is given up while it is silent, with the send that
        takes its place, if that is still in progress, and the reason.
    :ivar waits_since: when the search for another replica last ended, on the node's clock; 0 before
        any search.
    :ivar is_silent: whether the replica has fallen silent and keeps the request.
    :ivar is_reported: whether the silence has been reported as a failure of the replica.
    :ivar is_finished: whether the send has ended or was given up.
    :ivar resumed: future that is set when the replica of a silent send goes on, or breaks.
    """

    def __init__(
        self,
        granted: Granted,
        connection: ClientConnection,
        relay: Relay,
        retained: Charge,
        on_given_up: "Callable[[Send | None, GiveUpReason], None]",
    ) -> None:
        self.granted = granted
        self.connection = connection
        self.relay = relay
        self.retained = retained
        self.on_given_up = on_given_up
        self.waits_since = 0.0
        self.is_silent = False
        self.is_reported = False
        self.is_finished = False
        self.resumed: asyncio.Future[None] = asyncio.get_running_loop().create_future()


class Takeover:
    """Let the first of two sends of a request whose replica answers go on, and drop the other.

    A silent replica may be sound, so its send is dropped only for an answer that has begun
    elsewhere. Both replicas are heard in one thread, so no event is forwarded twice.

    :param drop: gives a send up.
    :ivar current: the latest send; None if it has ended, is silent or was dropped.
    :ivar silent: a send that has fallen silent and is kept until another one answers.
    :ivar owes_answer: whether a silent send was given up although no other replica had begun to
        answer, and none has since.
    """

    def __init__(self, drop: Callable[[Send], None]) -> None:
        self._drop = drop
        self._loop = asyncio.get_running_loop()
        self._overlap_timer: asyncio.TimerHandle | None = None
        self.current: Send | None = None
        self.silent: Send | None = None
        self.owes_answer = False

    @property
    def sends(self) -> list[Send]:
        """The sends in progress."""
        return [each for each in (self.current, self.silent) if each is not None]

    @property
    def has_resumed(self) -> bool:
        """Whether the silent send goes on, so that nothing may take its place."""
        return self.silent is not None and self.silent.resumed.done()

    def start(self, send: Send) -> None:
        """Begin a send; a silent one is dropped at its answer, or after :data:`MAX_OVERLAP_S`.

        A replica that is to take its own place, over another connection, does not work on the
        request beside another one, so nothing is dropped before its answer.
        """
        self.current = send
        silent = self.silent
        if silent is not None and silent.granted.replica.id != send.granted.replica.id:
            self._overlap_timer = self._loop.call_later(MAX_OVERLAP_S, self._end_overlap)

    def keep_silent(self) -> None:
        """Keep the current send, which has fallen silent, until another one answers.

        If an earlier one is kept already, that one stays and the current one is dropped.
        """
        self._cancel_timer()
        send, self.current = self.current, None
        if send is None:
            return
        if self.silent is not None:
            self._drop(send)
            return
        send.is_silent = True
        send.resumed = self._loop.create_future()
        self.silent = send

    def resume(self, now: float) -> None:
        """Make the silent send the current one again.

        :param now: time on the node's clock, in seconds.
        """
        self._cancel_timer()
        send, self.silent = self.silent, None
        if send is not None:
            send.is_silent = False
            send.waits_since = now
            self.current = send

    def end(self, send: Send) -> None:
        """Record that a send has ended."""
        if send is self.current:
            self.current = None
            self._cancel_timer()

    def answer_begun(self, send: Send) -> None:
        """Drop the silent send if the replica that is to take its place can answer."""
        if send is self.current and send.relay.may_deliver:
            self.owes_answer = False
            self._drop_silent(GiveUpReason.ANSWERED)

    def answer_progressed(self, send: Send) -> None:
        """Let a silent send go on and drop the other; call before anything is forwarded."""
        send.is_reported = False
        silent, current = self.silent, self.current
        if silent is None or send is not silent:
            return
        if current is not None and not silent.relay.may_deliver:
            # The silent replica has broken or refused, and the other one may still answer.
            self._drop_silent(GiveUpReason.ENDED)
            return
        if current is not None:
            self.current = None
            self._cancel_timer()
            self._drop(current)
        if not silent.resumed.done():
            silent.resumed.set_result(None)

    def drop_all(self) -> None:
        """Give up all sends in progress."""
        self._cancel_timer()
        sends = self.sends
        self.current = self.silent = None
        for each in sends:
            self._drop(each)

    def _end_overlap(self) -> None:
        """Drop the silent send, or the other one if the silent one has been heard since.

        The other one is dropped as well if its answer can't be used.
        """
        self._overlap_timer = None
        current, silent = self.current, self.silent
        if current is not None and current.relay.ended.done():
            # The exchange learns of that end in the next turn of the loop.
            return
        if current is not None and silent is not None and _has_gone_on(silent, current):
            self.answer_progressed(silent)
        elif current is not None and current.relay.head is not None:
            current.relay.end_early()
        else:
            self.owes_answer = self.silent is not None
            self._drop_silent(GiveUpReason.OVERLAP)

    def _drop_silent(self, reason: GiveUpReason) -> None:
        self._cancel_timer()
        silent, self.silent = self.silent, None
        if silent is not None:
            silent.on_given_up(self.current, reason)
            self._drop(silent)

    def _cancel_timer(self) -> None:
        if self._overlap_timer is not None:
            self._overlap_timer.cancel()
            self._overlap_timer = None


def _has_gone_on(silent: Send, current: Send) -> bool:
    """Return whether a silent replica has sent a part of its answer since another one was asked."""
    is_later = silent.relay.last_at > current.relay.started_at
    return is_later and silent.relay.may_deliver
