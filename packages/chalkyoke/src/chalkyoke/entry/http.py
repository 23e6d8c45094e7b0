"""
chalkyoke.entry.http

The callers' API: completions in the usual format, calls on plain services, and tokens.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import falcon
import falcon.asgi
import msgspec
from result import Err, Ok, Result

from chalkyoke import problems
from chalkyoke.administration.events import EventKind, EventRing, event_id
from chalkyoke.entry.answers import Answer, LocalAnswer, RemoteAnswer, forward, issuer_gone
from chalkyoke.entry.messages import CallerRequest
from chalkyoke.entry.reception import (
    EVENT_HEADER,
    TOKEN_HEADER,
    BadRequest,
    Directory,
    authenticate,
    read_completion,
    read_plain,
)
from chalkyoke.entry.service import EntryService
from chalkyoke.entry.streams import assemble
from chalkyoke.links.peers import Links
from chalkyoke.outcomes import Reason, Refusal, not_run
from chalkyoke.tokens.messages import Token, TokenProblem

MAX_BODY_BYTES = 16_000_000
RECEIVE_KEY = "chalkyoke.receive"
FULL_RETRY_S = 5.0

TOKEN_PROBLEMS = {
    TokenProblem.MALFORMED: (400, "it is not a token"),
    TokenProblem.FORGED: (400, "its seal is not this fleet's"),
    TokenProblem.NEVER_ISSUED: (400, "it was never issued"),
    TokenProblem.OTHER_REQUEST: (422, "it was used before with another request"),
    TokenProblem.EXPIRED: (410, "it has expired"),
}

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


def keep_receive(app: App) -> App:
    """Keep a request's receive channel in its scope, so that a disconnect can be watched for.

    :rtype: App
    """

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        scope[RECEIVE_KEY] = receive
        await app(scope, receive, send)

    return wrapped


class CallerApi:
    """Serve callers.

    :param ready: tells whether a configuration is in force here.
    """

    def __init__(
        self,
        service: EntryService,
        directory: Directory,
        links: Links,
        events: EventRing,
        ready: Callable[[], bool],
    ) -> None:
        self._service = service
        self.directory = directory
        self._links = links
        self._events = events
        self._ready = ready

    def app(self) -> App:
        """Build the ASGI application.

        :rtype: App
        """
        app: Any = falcon.asgi.App()
        app.add_route("/v1/completions", _Completions(self))
        app.add_route("/v1/chat/completions", _Completions(self))
        app.add_route("/v1/services/{service}/{path:path}", _Services(self))
        app.add_route("/v1/tokens", _Tokens(self))
        app.set_error_serializer(_serialize_error)
        problems.stop_on_broken_invariants(app)
        return keep_receive(app)

    async def issue_token(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Issue a token for one request to come."""
        team = authenticate(req.headers_lower, self.directory)
        if isinstance(team, Err):
            _bad(resp, team.err_value)
            return
        if self._service.stopping:
            refusal = not_run(Reason.STOPPING, "this host is stopping", 1.0)
            problems.respond(resp, problems.of_refusal(refusal, "", ""))
            return
        _, text = self._service.runs.issue(self._service.now())
        resp.status = 201
        resp.media = {"token": text, "expires_in_s": self._service.runs.ledger.lifetime_s}

    async def serve(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        read: Callable[[bytes, Any], Result[CallerRequest, BadRequest]],
    ) -> None:
        """Serve one request.

        :param read: checks its body, for a team.
        """
        if not self._ready():
            refusal = not_run(Reason.NOT_READY, "no configuration is in force here yet", 1.0)
            problems.respond(resp, problems.of_refusal(refusal, "", ""))
            return
        checked = await self._check(req, read)
        if isinstance(checked, Err):
            _bad(resp, checked.err_value)
            return
        request = checked.ok_value
        opened = self._open_token(req.get_header(TOKEN_HEADER))
        if isinstance(opened, Err):
            _bad_token(resp, opened.err_value)
            return
        await self._answer(req, resp, request, opened.ok_value)

    async def _check(
        self,
        req: falcon.asgi.Request,
        read: Callable[[bytes, Any], Result[CallerRequest, BadRequest]],
    ) -> Result[CallerRequest, BadRequest]:
        team = authenticate(req.headers_lower, self.directory)
        if isinstance(team, Err):
            return team
        if (req.content_length or 0) > MAX_BODY_BYTES:
            return Err(BadRequest(413, "body", f"larger than {MAX_BODY_BYTES} bytes"))
        body = await req.stream.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return Err(BadRequest(413, "body", f"larger than {MAX_BODY_BYTES} bytes"))
        return read(body, team.ok_value)

    def _open_token(self, text: str | None) -> Result[Token | None, TokenProblem]:
        if text is None:
            return Ok(None)
        return self._service.runs.codec.decode(text)

    async def _answer(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        request: CallerRequest,
        token: Token | None,
    ) -> None:
        text = req.get_header(TOKEN_HEADER) or ""
        if token is not None and not self._service.runs.ledger.is_issued_here(token):
            answer: Answer | Refusal = await self._forward(token, text, request)
        else:
            submitted = self._service.submit(request, token, text)
            if isinstance(submitted, Err):
                _bad_token(resp, submitted.err_value)
                return
            run = submitted.ok_value
            token, text = run.record.token, run.token
            answer = LocalAnswer(self._service, self._service.open_reader(run))

        event = event_id(self._events.add(EventKind.ANSWERING, token.request))
        resp.set_header(TOKEN_HEADER, text)
        resp.set_header(EVENT_HEADER, event)
        if isinstance(answer, Refusal):
            problems.respond(resp, problems.of_refusal(answer, text, event))
            return
        delivery = _Delivery(req, resp, answer, text, event)
        await (delivery.stream() if request.stream else delivery.whole(request.max_output > 0))

    async def _forward(
        self, token: Token, text: str, request: CallerRequest
    ) -> RemoteAnswer | Refusal:
        if token.host == self._service.runs.ledger.host:
            return issuer_gone()
        self._events.add(EventKind.FORWARDED, token.request, to=token.host)
        return await forward(self._links, token, text, request)


class _Delivery:
    """Hand one answer to its caller, and leave it when the caller does."""

    def __init__(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        answer: Answer,
        token: str,
        event: str,
    ) -> None:
        self._resp = resp
        self._answer = answer
        self._token = token
        self._event = event
        self._watching = asyncio.create_task(self._watch(req.scope[RECEIVE_KEY]))

    async def stream(self) -> None:
        """Pass the answer on as it comes; a broken one ends with an error event."""
        head = await self._answer.head()
        if head is None:
            self._refuse()
            return
        self._resp.status = head.status
        self._resp.content_type = head.content_type
        self._resp.set_header("Cache-Control", "no-store")
        self._resp.stream = self._pieces()

    async def whole(self, assembled: bool) -> None:
        """Answer once all is there.

        :param assembled: whether the answer is a stream of events to put together.
        """
        head = await self._answer.head()
        pieces: list[bytes] = []
        while (piece := await self._answer.next()) is not None:
            pieces.append(piece)
        if head is None or self._answer.verdict() is not None:
            self._refuse()
            return
        data = b"".join(pieces)
        self._resp.status = head.status
        if assembled and head.status == 200:
            self._resp.content_type = "application/json"
            self._resp.data = assemble(data)
        else:
            self._resp.content_type = head.content_type
            self._resp.data = data
        self._close()

    async def _pieces(self) -> AsyncIterator[bytes]:
        try:
            while (piece := await self._answer.next()) is not None:
                yield piece
            refusal = self._answer.verdict()
            if refusal is not None:
                problem = problems.of_refusal(refusal, self._token, self._event)
                yield b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
        finally:
            self._close()

    def _refuse(self) -> None:
        if isinstance(self._answer, RemoteAnswer) and (problem := self._answer.problem()):
            _bad_token(self._resp, problem)
        else:
            refusal = self._answer.verdict()
            assert refusal is not None
            problems.respond(self._resp, problems.of_refusal(refusal, self._token, self._event))
        self._close()

    def _close(self) -> None:
        self._watching.cancel()
        self._answer.close()

    async def _watch(self, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._answer.close()


class _Completions:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Complete a prompt."""

        def read(body: bytes, team: Any) -> Result[CallerRequest, BadRequest]:
            directory = self._api.directory
            return read_completion(req.headers_lower, req.path, body, team, directory)

        await self._api.serve(req, resp, read)


class _Services:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service: str, path: str
    ) -> None:
        """Call a plain service."""

        def read(body: bytes, team: Any) -> Result[CallerRequest, BadRequest]:
            directory = self._api.directory
            return read_plain(req.headers_lower, service, f"/{path}", body, team, directory)

        await self._api.serve(req, resp, read)


class _Tokens:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Issue a token."""
        await self._api.issue_token(req, resp)


def _bad(resp: falcon.asgi.Response, bad: BadRequest) -> None:
    problem = problems.document(bad.status, "bad_request", bad.detail, field=bad.field)
    problems.respond(resp, problem)
    if bad.status == 401:
        resp.set_header("WWW-Authenticate", "Bearer")


def _bad_token(resp: falcon.asgi.Response, problem: TokenProblem) -> None:
    if problem is TokenProblem.OTHER_INCARNATION:
        problems.respond(resp, problems.of_refusal(issuer_gone(), "", ""))
    elif problem is TokenProblem.LEDGER_FULL:
        refusal = not_run(Reason.LEDGER_FULL, "too many requests are kept here", FULL_RETRY_S)
        problems.respond(resp, problems.of_refusal(refusal, "", ""))
    else:
        status, detail = TOKEN_PROBLEMS[problem]
        _bad(resp, BadRequest(status, TOKEN_HEADER, detail))


def _serialize_error(
    req: falcon.asgi.Request, resp: falcon.asgi.Response, error: falcon.HTTPError
) -> None:
    detail = error.description or error.title or req.path
    problem = problems.document(error.status_code, "bad_request", detail)
    problems.respond(resp, problem)
