"""
chalkyoke.entry.answers

The answer to one caller, from this process's own run or from the process that issued the token.
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
from chalkyoke.entry.readers import Reader
from chalkyoke.entry.service import EntryService
from chalkyoke.exceptions import LinkError, ProtocolError
from chalkyoke.links.connection import Connection
from chalkyoke.links.peers import Links
from chalkyoke.outcomes import Reason, Refusal, Verdict
from chalkyoke.tokens.messages import Token, TokenProblem

COME_BACK_S = 1.0
# How much longer than its deadline an answer of another process is waited for, in seconds.
GRACE_S = 0.5


class Answer(Protocol):
    """What the HTTP side reads, wherever the run is."""

    async def head(self) -> AnswerHead | None:
        """Wait for the start; nothing where there is none."""

    async def next(self) -> bytes | None:
        """Give the next piece; nothing after the last one."""

    def verdict(self) -> Refusal | None:
        """Tell why it is not whole; nothing when it is."""

    def close(self) -> None:
        """Leave it; a second call does nothing."""


class LocalAnswer:
    """The answer of a run of this process."""

    def __init__(self, service: EntryService, reader: Reader) -> None:
        self._service = service
        self._reader = reader

    async def head(self) -> AnswerHead | None:
        """Wait for the start; nothing where there is none."""
        await self._reader.head()
        return self._reader.run.head if not self._reader.run.replay_gone else None

    async def next(self) -> bytes | None:
        """Give the next piece; nothing after the last one."""
        return await self._reader.next()

    def verdict(self) -> Refusal | None:
        """Tell why it is not whole; nothing when it is."""
        return self._service.verdict(self._reader.run)

    def close(self) -> None:
        """Leave it; a second call does nothing."""
        self._reader.close()


class RemoteAnswer:
    """The answer of a run of another process, read over a stream of its own."""

    def __init__(self, connection: Connection, budget_s: float) -> None:
        self._connection = connection
        self._deadline = asyncio.get_running_loop().time() + budget_s + GRACE_S
        self._end: ForwardEnd | None = None
        self._size = 0
        self._started = False

    async def head(self) -> AnswerHead | None:
        """Wait for the start; nothing where there is none."""
        message = await self._receive()
        if isinstance(message, ForwardHead):
            self._started = True
            return message.head
        return None

    async def next(self) -> bytes | None:
        """Give the next piece; nothing after the last one."""
        if self._end is not None:
            return None
        message = await self._receive()
        if not isinstance(message, ForwardChunk):
            return None
        self._size += len(message.data)
        return message.data

    def problem(self) -> TokenProblem | None:
        """Tell a fault of the request itself that the issuer found.

        :rtype: TokenProblem or None
        """
        if self._end is None or not self._end.problem:
            return None
        return TokenProblem(self._end.problem)

    def verdict(self) -> Refusal | None:
        """Tell why it is not whole; nothing when it is."""
        if self._end is not None:
            return self._end.refusal
        verdict = Verdict.FAILED if self._started else Verdict.UNKNOWN
        text = "the host that issued the token stopped answering; ask again with the same token"
        return Refusal(verdict, Reason.ISSUER_UNREACHABLE, text, COME_BACK_S, self._size)

    def close(self) -> None:
        """Leave it; a second call does nothing."""
        self._connection.abort()

    async def _receive(self) -> object:
        try:
            async with asyncio.timeout_at(self._deadline):
                message = await self._connection.receive()
        except (TimeoutError, ProtocolError):
            return None
        if isinstance(message, ForwardEnd):
            self._end = message
        return message


async def forward(
    links: Links, token: Token, text: str, request: CallerRequest
) -> RemoteAnswer | Refusal:
    """Hand a request to the process that issued its token.

    :param text: the token as the caller sent it.
    :return: its answer, or ``unknown`` where the issuer is not reached.
    """
    try:
        connection = await links.open(token.address)
        await connection.send_and_wait(Forward(text, request))
    except LinkError as error:
        detail = f"the host that issued the token is not reached: {error}"
        return Refusal(Verdict.UNKNOWN, Reason.ISSUER_UNREACHABLE, detail, COME_BACK_S)
    if connection.peer != f"{token.host}/{token.incarnation:x}":
        connection.abort()
        return issuer_gone()
    return RemoteAnswer(connection, request.budget_s)


def issuer_gone() -> Refusal:
    """Word the answer for a token whose issuing process is no more.

    :rtype: Refusal
    """
    text = "the process that issued the token is gone; whether the request ran is not known"
    return Refusal(Verdict.UNKNOWN, Reason.ISSUER_GONE, text)


async def serve_forward(
    connection: Connection, service: EntryService, token: Token, message: Forward
) -> None:
    """Answer a forwarded request on its stream.

    :param token: the token of the message, already opened.
    """
    if not service.runs.ledger.is_issued_here(token):
        await connection.send_and_wait(ForwardEnd(issuer_gone()))
        return
    submitted = service.submit(message.request, token, message.token)
    if submitted.is_err():
        await connection.send_and_wait(ForwardEnd(problem=submitted.unwrap_err()))
        return

    reader = service.open_reader(submitted.unwrap())
    answer = LocalAnswer(service, reader)
    watching = asyncio.create_task(_watch(connection, answer))
    try:
        head = await answer.head()
        if head is not None:
            await connection.send_and_wait(ForwardHead(head))
        while (chunk := await answer.next()) is not None:
            await connection.send_and_wait(ForwardChunk(chunk))
        await connection.send_and_wait(ForwardEnd(answer.verdict()))
    except LinkError:
        return
    finally:
        answer.close()
        # The stream serves one forward; nothing may read it after this.
        watching.cancel()
        await connection.close()


async def _watch(connection: Connection, answer: LocalAnswer) -> None:
    """Leave the run when the forwarding host has closed the stream."""
    with contextlib.suppress(ProtocolError):
        await connection.receive()
    answer.close()
