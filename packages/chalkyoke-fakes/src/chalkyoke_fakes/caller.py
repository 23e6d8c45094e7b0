"""
chalkyoke_fakes.caller

A client that sends requests as a clerk's, kiosk's or desk's program would and classifies the
answers.
"""

import json
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

import aiohttp

DONE_EVENT = b"data: [DONE]\n\n"
TOKEN_HEADER = "Chalkyoke-Token"


class ReplyOutcome(StrEnum):
    """The outcome of a request as the caller can know it.

    ``BAD`` is a problem without an outcome, ``NOTHING`` an answer that is missing or ends early
    without a problem.
    """

    WHOLE = "whole"
    NOT_RUN = "not_run"
    FAILED = "failed"
    UNKNOWN = "unknown"
    BAD = "bad"
    NOTHING = "nothing"


@dataclass
class Reply:
    """One answer as the caller received it.

    :param first_s: time until the first byte of the body, in seconds; -1 where none arrived.
    :param total_s: time until the end of the request, in seconds.
    """

    outcome: ReplyOutcome
    status: int = 0
    reason: str = ""
    body: bytes = b""
    token: str = ""
    first_s: float = -1.0
    total_s: float = 0.0
    retry_after_s: float | None = None
    headers: dict[str, str] = field(default_factory=dict)

    def json(self) -> Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


class Caller:
    """Send requests to a node.

    :param key: the team's key.
    """

    def __init__(self, session: aiohttp.ClientSession, key: str) -> None:
        self._session = session
        self._key = key

    async def take_token(self, address: str) -> str:
        """Request a token for a later request."""
        async with self._session.post(
            f"http://{address}/v1/tokens", headers={"Authorization": f"Bearer {self._key}"}
        ) as response:
            return str((await response.json())["token"])

    async def complete(self, address: str, body: dict[str, Any], **headers: str) -> Reply:
        """Request a completion; the names of ``headers`` have ``_`` for ``-``."""
        return await self.post(address, "/v1/completions", json.dumps(body).encode(), **headers)

    async def call(self, address: str, service: str, body: bytes, **headers: str) -> Reply:
        """Call a plain service."""
        return await self.post(address, f"/v1/services/{service}/call", body, **headers)

    async def post(self, address: str, path: str, body: bytes, **headers: str) -> Reply:
        """Send one request and read its whole answer; connection errors become ``NOTHING``."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        sent.setdefault("Authorization", f"Bearer {self._key}")
        sent.setdefault("Content-Type", "application/json")
        started = time.monotonic()
        reply = Reply(ReplyOutcome.NOTHING)
        try:
            async with self._session.post(
                f"http://{address}{path}", data=body, headers=sent
            ) as response:
                reply.status = response.status
                reply.headers = dict(response.headers)
                reply.token = response.headers.get(TOKEN_HEADER, "")
                pieces: list[bytes] = []
                async for piece in response.content.iter_any():
                    if reply.first_s < 0:
                        reply.first_s = time.monotonic() - started
                    pieces.append(piece)
                reply.body = b"".join(pieces)
            _classify_reply(reply)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reply.reason = type(error).__name__
        reply.total_s = time.monotonic() - started
        return reply


def _classify_reply(reply: Reply) -> None:
    kind = reply.headers.get("Content-Type", "")
    if kind.startswith("application/problem+json"):
        _read_problem(reply, reply.json())
    elif kind.startswith("text/event-stream") and not reply.body.endswith(DONE_EVENT):
        last = reply.body.rsplit(b"event: error\ndata: ", 1)
        if len(last) == 2:
            _read_problem(reply, json.loads(last[1]))
    else:
        reply.outcome = ReplyOutcome.WHOLE


def _read_problem(reply: Reply, problem: dict[str, Any]) -> None:
    reply.outcome = ReplyOutcome(problem["outcome"]) if "outcome" in problem else ReplyOutcome.BAD
    reply.reason = str(problem.get("reason", problem.get("detail", "")))
    reply.retry_after_s = problem.get("retry_after_s")
