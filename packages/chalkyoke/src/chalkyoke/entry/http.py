"""
chalkyoke.entry.http

The HTTP API for callers: completions in the usual format, calls to plain services, and tokens.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import falcon
import falcon.asgi
import msgspec
from result import Err, Ok, Result

from chalkyoke import problems
from chalkyoke.administration.events import EventKind, EventRing, event_id
from chalkyoke.entry.answers import (
    Answer,
    LocalAnswer,
    RemoteAnswer,
    forward_request,
    issuer_gone_refusal,
    relay_ended_refusal,
)
from chalkyoke.entry.bodies import (
    BodyIntake,
    BodyProblem,
    CallerLeft,
    NoRoom,
    TooLarge,
    TooSlow,
)
from chalkyoke.entry.channels import (
    CHARGES_KEY,
    RECEIVE_KEY,
    App,
    Receive,
    keep_receive_channel,
)
from chalkyoke.entry.cutoff import Cutoff
from chalkyoke.entry.messages import CallerRequest
from chalkyoke.entry.reception import (
    EVENT_HEADER,
    TOKEN_HEADER,
    BadRequest,
    ConfigurationLookup,
    authenticate,
    read_completion,
    read_plain,
    read_urgency,
)
from chalkyoke.entry.service import STOPPING_DETAIL, STOPPING_RETRY_S, EntryService
from chalkyoke.entry.state import Run
from chalkyoke.entry.streams import assemble_completion
from chalkyoke.links.peers import Links
from chalkyoke.memory.account import Charge, Purpose
from chalkyoke.outcomes import Reason, Refusal, Verdict, not_run
from chalkyoke.tokens.messages import Token, TokenProblem

# Limit on the body of any request, in bytes; a service may set a lower one.
MAX_BODY_BYTES = 16_000_000
# Interval in seconds at which an ending process checks whether all requests have been answered.
FINISH_CHECK_S = 0.02
# Retry-After in seconds where memory is short.
NO_MEMORY_RETRY_S = 1.0
# Copies of a body that exist while its request is answered: a completion is encoded again for its
# upstream.
COMPLETION_COPIES = 2
PLAIN_COPIES = 1
# Retry-After in seconds where the token ledger is full.
LEDGER_FULL_RETRY_S = 5.0

# HTTP status and detail that callers get for each problem with a token.
TOKEN_PROBLEMS = {
    TokenProblem.MALFORMED: (400, "it is not a token"),
    TokenProblem.FORGED: (400, "its seal is not this fleet's"),
    TokenProblem.NEVER_ISSUED: (400, "it was never issued"),
    TokenProblem.OTHER_REQUEST: (422, "it was used before with another request"),
    TokenProblem.EXPIRED: (410, "it has expired"),
}


class CallerApi:
    """Serve the HTTP API for callers.

    :param ready: returns whether this process has an active configuration.
    :param bodies: reads the bodies of requests.
    """

    def __init__(
        self,
        service: EntryService,
        configuration: ConfigurationLookup,
        links: Links,
        events: EventRing,
        ready: Callable[[], bool],
        bodies: BodyIntake | None = None,
    ) -> None:
        self._service = service
        self._bodies = bodies or BodyIntake()
        self.configuration = configuration
        self._links = links
        self._events = events
        self._ready = ready
        self._cutoff = Cutoff()

    def app(self) -> App:
        """Build the ASGI application with all routes.

        :rtype: App
        """
        app: Any = falcon.asgi.App()
        app.add_route("/v1/completions", _Completions(self))
        app.add_route("/v1/chat/completions", _Completions(self))
        app.add_route("/v1/services/{service}/{path:path}", _ServiceCalls(self))
        app.add_route("/v1/tokens", _Tokens(self))
        app.set_error_serializer(_serialize_error)
        problems.stop_on_broken_invariants(app)
        return keep_receive_channel(app)

    def end_requests(self) -> None:
        """Answer all requests that were read, and each that comes later, because the process ends.

        End the runs first.
        """
        self._cutoff.end()

    async def finish_requests(self) -> None:
        """Wait until no request waits for an answer."""
        while self._cutoff.waiting():  # noqa: ASYNC110
            await asyncio.sleep(FINISH_CHECK_S)

    async def issue_token(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Issue a token for one later request; respond 201 with its lifetime in seconds."""
        team = authenticate(req.headers_lower, self.configuration)
        if isinstance(team, Err):
            _respond_bad_request(resp, team.err_value)
            return
        if self._service.leaving or self._service.stopping:
            refusal = not_run(Reason.STOPPING, STOPPING_DETAIL, 1.0)
            problems.respond(resp, problems.of_refusal(refusal, "", ""))
            return
        _, text = self._service.runs.issue_token(self._service.now())
        resp.status = 201
        resp.media = {"token": text, "expires_in_s": self._service.runs.ledger.lifetime_s}

    async def serve_request(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        read: Callable[[bytes, Any], Result[CallerRequest, BadRequest]],
        copies: int,
    ) -> None:
        """Authenticate, validate and answer one request.

        :param read: parses and validates the body for a team.
        :param copies: how many copies of the body exist while the request is answered.
        """
        if not self._ready():
            refusal = not_run(Reason.NOT_READY, "no configuration is in force here yet", 1.0)
            problems.respond(resp, problems.of_refusal(refusal, "", ""))
            return
        headers = req.headers_lower
        team = authenticate(headers, self.configuration)
        if isinstance(team, Err):
            _respond_bad_request(resp, team.err_value)
            return
        length = _declared_length(req)
        if (length or 0) > MAX_BODY_BYTES:
            _respond_bad_request(resp, _TOO_LARGE)
            return
        urgency = read_urgency(headers, team.ok_value, self.configuration)
        charge = self._bodies.admit(length, copies, urgency)
        if charge is None:
            _respond_refused(resp, _no_memory())
            return
        receive = req.scope[RECEIVE_KEY]
        run: Run | None = None
        try:
            body = await self._cutoff.run(
                self._bodies.read(receive, charge, length, MAX_BODY_BYTES, copies)
            )
            if body is None:
                refusal = not_run(Reason.STOPPING, STOPPING_DETAIL, STOPPING_RETRY_S)
                _respond_refused(resp, refusal)
            elif isinstance(body, BodyProblem):
                _respond_body_problem(resp, body)
            else:
                run = await self._serve_read(req, resp, read(body, team.ok_value), charge)
        finally:
            if run is None or run.body_charge is not charge:
                charge.release()

    async def _serve_read(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        checked: Result[CallerRequest, BadRequest],
        charge: Charge,
    ) -> Run | None:
        """Answer a request whose body has been read; return its run if it has one here."""
        if isinstance(checked, Err):
            _respond_bad_request(resp, checked.err_value)
            return None
        opened = self._open_token(req.get_header(TOKEN_HEADER))
        if isinstance(opened, Err):
            _respond_token_problem(resp, opened.err_value)
            return None
        return await self._respond(req, resp, checked.ok_value, opened.ok_value, charge)

    def _open_token(self, text: str | None) -> Result[Token | None, TokenProblem]:
        if text is None:
            return Ok(None)
        return self._service.runs.codec.decode(text)

    async def _respond(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        request: CallerRequest,
        token: Token | None,
        charge: Charge,
    ) -> Run | None:
        run: Run | None = None
        text = req.get_header(TOKEN_HEADER) or ""
        if token is not None and not self._service.runs.ledger.is_issued_here(token):
            answer: Answer | Refusal = await self._forward(token, text, request)
        else:
            submitted = self._service.submit(request, token, text, charge)
            if isinstance(submitted, Err):
                _respond_token_problem(resp, submitted.err_value)
                return None
            run = submitted.ok_value
            token, text = run.record.token, run.token
            answer = LocalAnswer(self._service, self._service.open_reader(run))

        event = event_id(self._events.add(EventKind.ANSWERING, token.request))
        resp.set_header(TOKEN_HEADER, text)
        resp.set_header(EVENT_HEADER, event)
        if isinstance(answer, Refusal):
            problems.respond(resp, problems.of_refusal(answer, text, event))
            return run
        unsent = self._bodies.account.open(Purpose.RESPONSES_SENT)
        req.scope[CHARGES_KEY].append(unsent)
        delivery = _Delivery(req, resp, answer, text, event, self._cutoff, unsent)
        if request.stream:
            await delivery.start_stream()
        else:
            await delivery.send_complete(request.max_output > 0)
            self._service.runs.make_room()
        return run

    async def _forward(
        self, token: Token, text: str, request: CallerRequest
    ) -> RemoteAnswer | Refusal:
        if token.host == self._service.runs.ledger.host:
            return issuer_gone_refusal()
        self._events.add(EventKind.FORWARDED, token.request, to=token.host)
        answer = await self._cutoff.run(forward_request(self._links, token, text, request))
        return answer or relay_ended_refusal()


class _Delivery:
    """Send one answer to its caller; stop reading the answer when the caller disconnects.

    :param unsent: the charge for what is sent as a whole; refunded by the server's channel.
    """

    def __init__(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        answer: Answer,
        token: str,
        event: str,
        cutoff: Cutoff,
        unsent: Charge,
    ) -> None:
        self._unsent = unsent
        self._cutoff = cutoff
        cutoff.add(answer)
        self._resp = resp
        self._answer = answer
        self._token = token
        self._event = event
        self._disconnect_watch: asyncio.Task[None] | None = asyncio.create_task(
            self._close_on_disconnect(req.scope[RECEIVE_KEY])
        )

    async def start_stream(self) -> None:
        """Stream the answer as it arrives; an incomplete one ends with an error event."""
        head = await self._answer.read_head()
        if head is None:
            self._respond_refusal()
            return
        self._resp.status = head.status
        self._resp.content_type = head.content_type
        self._resp.set_header("Cache-Control", "no-store")
        self._resp.stream = self._iter_chunks()

    async def send_complete(self, assembled: bool) -> None:
        """Send the answer once it is complete.

        :param assembled: whether the answer is a stream of events to assemble into one body.
        """
        head = await self._answer.read_head()
        chunks: list[bytes] = []
        while (chunk := await self._answer.next_chunk()) is not None:
            chunks.append(chunk)
        if head is None or self._answer.refusal() is not None:
            self._respond_refusal()
            return
        data = b"".join(chunks)
        self._resp.status = head.status
        if assembled and head.status == 200:
            self._respond_assembled(data)
        else:
            self._resp.content_type = head.content_type
            self._resp.data = data
        self._unsent.resize(len(self._resp.data or b""))
        self._close()

    def _respond_assembled(self, stream: bytes) -> None:
        assembled = assemble_completion(stream)
        if isinstance(assembled, Err):
            detail = f"the engine's answer can't be read: {assembled.err_value}"
            refusal = Refusal(Verdict.FAILED, Reason.CUT_SHORT, detail)
            problems.respond(self._resp, problems.of_refusal(refusal, self._token, self._event))
            return
        self._resp.content_type = "application/json"
        self._resp.data = assembled.ok_value

    async def _iter_chunks(self) -> AsyncIterator[bytes]:
        try:
            while (chunk := await self._answer.next_chunk()) is not None:
                yield chunk
            refusal = self._answer.refusal()
            if refusal is not None:
                problem = problems.of_refusal(refusal, self._token, self._event)
                yield b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
        finally:
            self._close()

    def _respond_refusal(self) -> None:
        if isinstance(self._answer, RemoteAnswer) and (problem := self._answer.token_problem()):
            _respond_token_problem(self._resp, problem)
        else:
            refusal = self._answer.refusal()
            assert refusal is not None
            problems.respond(self._resp, problems.of_refusal(refusal, self._token, self._event))
        self._close()

    def _close(self) -> None:
        # The cancelled task refers to this object; both would stay until a collection of garbage.
        watch, self._disconnect_watch = self._disconnect_watch, None
        if watch is not None:
            watch.cancel()
        self._cutoff.remove(self._answer)
        self._answer.close()

    async def _close_on_disconnect(self, receive: Receive) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._answer.close()


class _Completions:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Answer a completion request, streamed or in one body as the request asks."""

        def read(body: bytes, team: Any) -> Result[CallerRequest, BadRequest]:
            configuration = self._api.configuration
            return read_completion(req.headers_lower, req.path, body, team, configuration)

        await self._api.serve_request(req, resp, read, COMPLETION_COPIES)


class _ServiceCalls:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, service: str, path: str
    ) -> None:
        """Call a plain service at the given path and return its answer."""

        def read(body: bytes, team: Any) -> Result[CallerRequest, BadRequest]:
            configuration = self._api.configuration
            return read_plain(req.headers_lower, service, f"/{path}", body, team, configuration)

        await self._api.serve_request(req, resp, read, PLAIN_COPIES)


class _Tokens:
    def __init__(self, api: CallerApi) -> None:
        self._api = api

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Issue a token for one later request."""
        await self._api.issue_token(req, resp)


_TOO_LARGE = BadRequest(413, "body", f"larger than {MAX_BODY_BYTES} bytes")
_TOO_SLOW = BadRequest(408, "body", "did not arrive in time")


def _declared_length(req: falcon.asgi.Request) -> int | None:
    """Return the declared length of the body in bytes, 0 without a body; None if it is unknown."""
    length: int | None = req.content_length
    if length is None and req.get_header("Transfer-Encoding") is None:
        return 0
    return length


def _no_memory() -> Refusal:
    return not_run(Reason.SHED, "this host is short of memory", NO_MEMORY_RETRY_S)


def _respond_refused(resp: falcon.asgi.Response, refusal: Refusal) -> None:
    problems.respond(resp, problems.of_refusal(refusal, "", ""))


def _respond_body_problem(resp: falcon.asgi.Response, problem: BodyProblem) -> None:
    if isinstance(problem, NoRoom):
        _respond_refused(resp, _no_memory())
    elif isinstance(problem, TooLarge | TooSlow):
        _respond_bad_request(resp, _TOO_LARGE if isinstance(problem, TooLarge) else _TOO_SLOW)
    elif isinstance(problem, CallerLeft):
        _respond_bad_request(resp, BadRequest(400, "body", "it ended early"))


def _respond_bad_request(resp: falcon.asgi.Response, rejected: BadRequest) -> None:
    problem = problems.document(
        rejected.status, "bad_request", rejected.detail, field=rejected.field
    )
    problems.respond(resp, problem)
    if rejected.status == 401:
        resp.set_header("WWW-Authenticate", "Bearer")


def _respond_token_problem(resp: falcon.asgi.Response, problem: TokenProblem) -> None:
    if problem is TokenProblem.OTHER_INCARNATION:
        problems.respond(resp, problems.of_refusal(issuer_gone_refusal(), "", ""))
    elif problem is TokenProblem.LEDGER_FULL:
        refusal = not_run(
            Reason.LEDGER_FULL, "too many requests are kept here", LEDGER_FULL_RETRY_S
        )
        problems.respond(resp, problems.of_refusal(refusal, "", ""))
    else:
        status, detail = TOKEN_PROBLEMS[problem]
        _respond_bad_request(resp, BadRequest(status, TOKEN_HEADER, detail))


def _serialize_error(
    req: falcon.asgi.Request, resp: falcon.asgi.Response, error: falcon.HTTPError
) -> None:
    detail = error.description or error.title or req.path
    problem = problems.document(error.status_code, "bad_request", detail)
    problems.respond(resp, problem)
