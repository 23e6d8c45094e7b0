"""
chalkyoke.entry.answers

The answer to one caller, from a run of this process or of the process that issued the token.
"""

import asyncio
import contextlib
from typing import Protocol

from chalkyoke.entry.messages import (
    AnswerHead,
    CallerRequest,
    Forward,
    ForwardChunk,
    ForwardEnd,
    ForwardHead,
)
from chalkyoke.entry.readers import AnswerReader
from chalkyoke.entry.service import STOPPING_DETAIL, EntryService
from chalkyoke.exceptions import LinkError, ProtocolError
from chalkyoke.links.connection import Connection
from chalkyoke.links.peers import Links
from chalkyoke.outcomes import Reason, Refusal, Verdict
from chalkyoke.tokens.messages import Token, TokenProblem

# Retry-After in seconds where the issuing host can't be reached or stops answering.
RETRY_AFTER_S = 1.0
# Time after the deadline for which an answer of another process is still awaited, in seconds.
FORWARD_GRACE_S = 0.5
# Detail for an answer of another host that this one no longer relays.
ELSEWHERE_DETAIL = "this host is stopping; ask another one with the same token"


class Answer(Protocol):
    """An answer as the HTTP side reads it, from a local or a remote run."""

    async def read_head(self) -> AnswerHead | None:
        """Wait until the answer starts; None where it never does."""

    async def next_chunk(self) -> bytes | None:
        """Wait for the next chunk; None after the last one."""

    def refusal(self) -> Refusal | None:
        """Return why the answer is incomplete; None for a complete one."""

    def give_up(self) -> None:
        """End the answer because this host stops; it has a refusal then, unless it is complete."""

    def close(self) -> None:
        """Stop reading; a second call does nothing."""


class LocalAnswer:
    """The answer of a run of this process."""

    def __init__(self, service: EntryService, reader: AnswerReader) -> None:
        self._service = service
        self._reader = reader
        self._given_up = False

    async def read_head(self) -> AnswerHead | None:
        """Wait until the answer starts; None where it never does."""
        await self._reader.wait_for_head()
        return self._reader.run.head if not self._reader.run.answer_dropped else None

    async def next_chunk(self) -> bytes | None:
        """Wait for the next chunk; None after the last one."""
        return await self._reader.next_chunk()

    def refusal(self) -> Refusal | None:
        """Return why the answer is incomplete; None for a complete one."""
        run = self._reader.run
        if self._given_up and run.end is None:
            return run.make_failure(Reason.STOPPING, STOPPING_DETAIL)
        return self._service.refusal_for(run)

    def give_up(self) -> None:
        """End the answer because this host stops; it has a refusal then, unless it is complete."""
        self._given_up = True
        self._reader.stop_waiting()

    def close(self) -> None:
        """Stop reading; a second call does nothing."""
        self._reader.close()


class RemoteAnswer:
    """The answer of a run of another process, read from a dedicated connection.

    :param budget_s: time until the request's deadline, in seconds.
    """

    def __init__(self, connection: Connection, budget_s: float) -> None:
        self._connection = connection
        self._loop = asyncio.get_running_loop()
        self._deadline = self._loop.time() + budget_s + FORWARD_GRACE_S
        self._waiting: asyncio.Timeout | None = None
        self._end: ForwardEnd | None = None
        self._size = 0
        self._started = False
        self._given_up = False

    async def read_head(self) -> AnswerHead | None:
        """Wait until the answer starts; None where it never does."""
        message = await self._receive()
        if isinstance(message, ForwardHead):
            self._started = True
            return message.head
        return None

    async def next_chunk(self) -> bytes | None:
        """Wait for the next chunk; None after the last one."""
        if self._end is not None:
            return None
        message = await self._receive()
        if not isinstance(message, ForwardChunk):
            return None
        self._size += len(message.data)
        return message.data

    def token_problem(self) -> TokenProblem | None:
        """Return the problem that the issuer found with the token; None where it found none.

        :rtype: TokenProblem or None
        """
        if self._end is None or not self._end.problem:
            return None
        return TokenProblem(self._end.problem)

    def refusal(self) -> Refusal | None:
        """Return why the answer is incomplete; None for a complete one."""
        if self._end is not None:
            return self._end.refusal
        verdict = Verdict.FAILED if self._started else Verdict.UNKNOWN
        if self._given_up:
            return Refusal(verdict, Reason.STOPPING, ELSEWHERE_DETAIL, RETRY_AFTER_S, self._size)
        text = "the host that issued the token stopped answering; ask again with the same token"
        return Refusal(verdict, Reason.ISSUER_UNREACHABLE, text, RETRY_AFTER_S, self._size)

    def give_up(self) -> None:
        """End the answer because this host stops; it has a refusal then, unless it is complete."""
        self._given_up = True
        self._deadline = self._loop.time()
        if self._waiting is not None:
            self._waiting.reschedule(self._deadline)

    def close(self) -> None:
        """Stop reading; a second call does nothing."""
        self._connection.discard()

    async def _receive(self) -> object:
        try:
            async with asyncio.timeout_at(self._deadline) as self._waiting:
                message = await self._connection.receive()
        except (TimeoutError, ProtocolError):
            return None
        finally:
            self._waiting = None
        if isinstance(message, ForwardEnd):
            self._end = message
        return message


async def forward_request(
    links: Links, token: Token, text: str, request: CallerRequest
) -> RemoteAnswer | Refusal:
    """Forward a request to the process that issued its token.

    :param text: the encoded token as the caller sent it.
    :return: the answer, or a refusal with verdict ``unknown`` where the issuer can't be reached or
        has restarted.
    """
    try:
        connection = await links.open(token.address)
        await connection.send_and_wait(Forward(text, request))
    except LinkError as error:
        detail = f"the host that issued the token is not reached: {error}"
        return Refusal(Verdict.UNKNOWN, Reason.ISSUER_UNREACHABLE, detail, RETRY_AFTER_S)
    if connection.peer != f"{token.host}/{token.incarnation:x}":
        connection.abort()
        return issuer_gone_refusal()
    return RemoteAnswer(connection, request.budget_s)


def issuer_gone_refusal() -> Refusal:
    """Build the refusal for a token whose issuing process no longer exists.

    :rtype: Refusal
    """
    text = "the process that issued the token is gone; whether the request ran is not known"
    return Refusal(Verdict.UNKNOWN, Reason.ISSUER_GONE, text)


def relay_ended_refusal() -> Refusal:
    """Build the refusal for a request that a stopping host was about to forward.

    :rtype: Refusal
    """
    return Refusal(Verdict.UNKNOWN, Reason.STOPPING, ELSEWHERE_DETAIL, RETRY_AFTER_S)


async def serve_forward(
    connection: Connection, service: EntryService, token: Token, message: Forward
) -> None:
    """Answer a forwarded request on its connection, then close the connection.

    :param token: the decoded token of the message.
    """
    if not service.runs.ledger.is_issued_here(token):
        await connection.send_and_wait(ForwardEnd(issuer_gone_refusal()))
        return
    submitted = service.submit(message.request, token, message.token)
    if submitted.is_err():
        await connection.send_and_wait(ForwardEnd(problem=submitted.unwrap_err()))
        return

    reader = service.open_reader(submitted.unwrap())
    answer = LocalAnswer(service, reader)
    disconnect_watch = asyncio.create_task(_close_on_disconnect(connection, answer))
    try:
        head = await answer.read_head()
        if head is not None:
            await connection.send_and_wait(ForwardHead(head))
        while (chunk := await answer.next_chunk()) is not None:
            await connection.send_and_wait(ForwardChunk(chunk))
        await connection.send_and_wait(ForwardEnd(answer.refusal()))
    except LinkError:
        return
    finally:
        answer.close()
        # A connection serves one forwarded request; nothing may read it after this.
        disconnect_watch.cancel()
        await connection.close()


async def _close_on_disconnect(connection: Connection, answer: LocalAnswer) -> None:
    """Stop reading the run when the forwarding host closes the connection."""
    with contextlib.suppress(ProtocolError):
        await connection.receive()
    answer.close()
