"""
chalkyoke.gateway.exchange

One request of a caller, from its arrival to its end.
"""

import asyncio

import msgspec

from chalkyoke.gateway.events import EventCutter
from chalkyoke.gateway.feedback import Feedback, output_s
from chalkyoke.gateway.granted import Denied, Granted
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.ports import AnswerFields, Forwarding
from chalkyoke.gateway.reception import Admission, Rejection, judge, still_allowed
from chalkyoke.gateway.relay import Delivery, Relay
from chalkyoke.gateway.replies import RETRY_SOON_S, Replies
from chalkyoke.gateway.statements import statement_of
from chalkyoke.gateway.verdict import MISDIRECTED, Next, SendEnd, Sends, after
from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.messages import Request, encode_request_head, find_header
from chalkyoke.http1.pool import ConnectFailure
from chalkyoke.http1.server import ResponseWriter
from chalkyoke.invariants import require
from chalkyoke.quarantine.identity import request_digest
from chalkyoke.quotas.client import QuotaDecision
from chalkyoke.scheduling.state import ReleaseOutcome

# How long opening a connection may take, in seconds: far beyond a round trip, below most aims.
CONNECT_S = 0.12
# How old a kept connection may be, in seconds: a replica may close it just when a request is on its
# way, which a request that may run once does not survive.
FRESH_FOR_SINGLE_RUN_S = 1.5
FRESH_S = 15.0
# What must be left of a request's time for one more send, in seconds.
MIN_SEND_S = 0.03
# Grants for one request at most, those included that found no connection.
MAX_GRANTS = 12
# After so many grants of one request that could not be used this node chooses by itself: its
# scheduler does not know what this node was told, as one of an older version never will.
MOST_UNUSED = 3
# How often each replica turns a request away before it is refused, in number.
DECLINES_FOR_GOOD = 2
# A stream that may go on elsewhere is left after a pause of so many of its longest in time, and of
# so many seconds at least. A trade-off: another replica reads the whole prompt again.
STALL_MIN_S = 0.9
STALL_GAPS = 2.0
# A first output is waited for so many goals, where another replica may be asked.
FIRST_STALL_GOALS = 1.5
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


class _Progress(msgspec.Struct):
    """What has happened to a request so far."""

    sends: Sends = msgspec.field(default_factory=Sends)
    tried: list[str] = msgspec.field(default_factory=list)
    attempt: int = 0
    first_counted: bool = False
    declined: bool = False
    unused: int = 0


class Exchange:
    """Drive one request.

    :param parts: what all exchanges share.
    """

    def __init__(self, parts: GatewayParts, request: Request, answering: ResponseWriter) -> None:
        self._parts = parts
        self._feedback = Feedback(parts)
        self._request = request
        self._answering = answering
        self._fields = parts.headers.read_request(request.headers)
        after_event = self._fields.last_event_id
        after_number = int(after_event) if after_event.isdigit() else -1
        self._delivery = Delivery(answering, EventCutter(after_number))
        self._progress = _Progress()
        self._replies = Replies(parts, answering, self._delivery, self._progress.sends)
        self._connection: ClientConnection | None = None
        self._granted: Granted | None = None
        self._admission: Admission | None = None
        self._charge: QuotaDecision | None = None
        self._left = False

    # What the caller's connection tells.

    def caller_left(self) -> None:
        """Stop at once, at the replica too: nobody waits for the answer."""
        self._left = True
        if self._connection is not None:
            self._connection.cancel()
        if self.task is not None:
            self.task.cancel()

    def caller_can_read(self, can_read: bool) -> None:
        """Hold the replica back while the caller reads too slowly."""
        if self._connection is None:
            return
        if can_read:
            self._connection.resume()
        else:
            self._connection.pause()

    def replica_ended(self, replica: str) -> None:
        """Learn that a start of a replica is over, which its connection may never tell."""
        granted = self._granted
        if self._connection is not None and granted is not None and granted.replica.id == replica:
            self._connection.abort_as_reset()

    def request_held(self, request: bytes) -> None:
        """End at once where this is a request that is held back from now on, and still waits."""
        waits = self._admission is not None and self._connection is None
        if waits and self.task is not None and self._identity() == request:
            self._held = True
            self.task.cancel()

    _held = False
    task: "asyncio.Task[None] | None" = None

    # Driving.

    async def run(self) -> None:
        """Answer the request; a fault in here ends it, and what is told of it stays true."""
        try:
            await self._run()
        except Exception:
            self._end_by_fault()
            raise

    async def _run(self) -> None:
        parts = self._parts
        judged = judge(self._request, self._fields, parts.catalog(), parts.now())
        if isinstance(judged, Rejection):
            retry = RETRY_SOON_S if judged.status == 503 else None
            parts.reject(self._request, self._fields, judged)
            self._replies.answer(judged.status, judged.reason, retry)
            return
        self._admission = judged
        try:
            await self._serve_in_time(judged)
        finally:
            self._refund(judged)

    async def _serve_in_time(self, judged: Admission) -> None:
        parts = self._parts
        try:
            async with asyncio.timeout_at(self._loop_time(judged.ends)):
                await self._serve(judged)
        except TimeoutError:
            self._time_is_up(judged)
        except asyncio.CancelledError:
            self._release_cancelled(judged)
            if self._held and self.task is not None and not self._left:
                self.task.uncancel()
                self._replies.held_back(judged, self._identity())
                return
            if not self._left:
                raise
            parts.record(
                "left",
                judged,
                sends=self._progress.sends.arrivals,
                events=self._delivery.events,
                silent_s=round(self._silent_s(), 4),
            )

    def _end_by_fault(self) -> None:
        """Give back what is held, and tell the caller what is true."""
        if self._admission is not None:
            self._release_cancelled(self._admission)
        self._replies.fault()

    def _refund(self, admission: Admission) -> None:
        """Give the quota back that a request was charged and that ends without a run."""
        charge, self._charge = self._charge, None
        if charge is None or self._progress.sends.runs > 0:
            return
        if self._parts.quotas.refund(admission, charge):
            self._parts.record("refunded", admission, cost=admission.cost)

    def _silent_s(self) -> float:
        """Tell for how long the replica has said nothing; -1 where nothing was sent to one."""
        if self._relay is None:
            return -1.0
        return self._parts.now() - self._relay.last_at

    def _loop_time(self, at: float) -> float:
        return asyncio.get_running_loop().time() + (at - self._parts.now())

    async def _serve(self, admission: Admission) -> None:
        if self._is_held_back(admission):
            return
        allowed = await self._parts.quotas.charge(admission)
        if not allowed.allowed:
            self._replies.over_quota(admission, allowed)
            return
        self._charge = allowed
        while True:
            if not still_allowed(admission, self._parts.catalog()):
                self._replies.refuse(admission, "no longer allowed", RETRY_SOON_S)
                return
            if self._is_held_back(admission):
                return
            self._progress.attempt += 1
            granted = await self._acquire(admission)
            if isinstance(granted, Denied):
                self._replies.refuse(admission, granted.reason, granted.retry_after_s)
                return
            self._granted = granted
            end = await self._send(admission, granted)
            if end is None and self._progress.attempt < MAX_GRANTS:
                continue
            if end is None:
                self._replies.refuse(admission, "no grant could be used", RETRY_SOON_S)
                return
            if self._follow(admission, granted, end) is not Next.SEND_AGAIN:
                return

    def _identity(self) -> bytes:
        """Name the request by what its caller asks for, the same for each of its attempts."""
        if not self._named:
            request, admission = self._request, self._admission
            caller = admission.team.name if admission is not None and admission.team else ""
            host = (find_header(request.headers, b"host") or b"").decode("latin-1")
            self._named = request_digest(request.method, host, request.target, caller, request.body)
        return self._named

    _named = b""

    def _is_held_back(self, admission: Admission) -> bool:
        """End a request under which too many replicas have ended; tell whether it was one."""
        if not self._parts.quarantine.holds(self._identity):
            return False
        self._replies.held_back(admission, self._identity())
        return True

    async def _acquire(self, admission: Admission) -> Granted | Denied:
        """Get a replica; one of a version under trial where that is this request's turn.

        What no replica of that version takes goes to the others, so that no trial refuses a caller.
        """
        parts, progress = self._parts, self._progress
        again = progress.attempt > 1 or self._delivery.head_sent
        if parts.rollouts.takes_new(admission, again=again):
            try:
                granted = await parts.grants.acquire(
                    admission, progress.attempt, progress.tried, for_trial=True
                )
            except asyncio.CancelledError:
                parts.rollouts.give_back(admission)
                raise
            if isinstance(granted, Granted):
                return granted
            parts.rollouts.give_back(admission)
            progress.attempt += 1
        if progress.unused >= MOST_UNUSED:
            return await parts.grants.acquire(
                admission, progress.attempt, progress.tried, alone=True
            )
        return await parts.grants.acquire(admission, progress.attempt, progress.tried)

    def _follow(self, admission: Admission, granted: Granted, end: SendEnd) -> Next:
        """Do what follows the end of a send."""
        self._note_end(admission, granted, end)
        parts, progress = self._parts, self._progress
        now = parts.now()
        begun = self._delivery.head_sent
        time_left = progress.attempt < MAX_GRANTS and admission.ends - now > MIN_SEND_S
        if not begun and admission.route.is_stream:
            time_left = time_left and now < admission.patience
        if end is SendEnd.DECLINED:
            time_left = time_left and not self._has_tried_all(admission)
        budget = parts.budget.remaining(admission.service.name, parts.nodes(), now) >= 1
        follows = after(
            end, admission.route, progress.sends, begun=begun, budget=budget, time_left=time_left
        )
        if follows is Next.SEND_AGAIN:
            if end is not SendEnd.NOT_CONNECTED:
                parts.budget.try_spend(admission.service.name, parts.nodes(), now)
            self._delivery.cutter.restart()
        elif follows is Next.PASS_ON and self._relay is not None:
            self._relay.pass_on()
        elif follows is Next.REFUSE:
            self._replies.refuse(admission, f"replicas: {end}", RETRY_SOON_S)
        elif follows is Next.FAIL:
            self._replies.answer(502, f"replica: {end}", None)
        elif follows is Next.BREAK_OFF:
            self._answering.abort()
        parts.record(
            "ended",
            admission,
            replica=granted.replica.id,
            end=end,
            follows=follows,
            sends=progress.sends.arrivals,
            events=self._delivery.events,
            source=granted.source,
            waited_s=round(granted.started - admission.arrived, 4) if granted.started else None,
            first_s=round(granted.first_s, 4),
            longest_gap_s=round(self._relay.longest_gap_s, 4) if self._relay else None,
            expected_first_s=round(granted.expected_first_s, 4),
            prompt_tokens=admission.fields.prompt_tokens,
            most_output=admission.fields.most_output_tokens,
            likely_output=admission.fields.likely_output_tokens,
            output=granted.events * admission.service.tokens_per_event,
            goal_s=admission.route.goal_s,
            leaving=self._relay.fields.leaving if self._relay else None,
            retry_after_s=self._relay.fields.retry_after_s if self._relay else None,
            limit_per_s=self._relay.fields.limit_per_s if self._relay else None,
        )
        return follows

    def _has_tried_all(self, admission: Admission) -> bool:
        """Tell whether all replicas have turned the request away for good.

        One that was full for a moment is not a millisecond later.
        """
        tried = self._progress.tried
        replicas = self._parts.replicas.of(admission.service.name)
        return all(tried.count(each.id) >= DECLINES_FOR_GOOD for each in replicas)

    # One send.

    async def _send(self, admission: Admission, granted: Granted) -> SendEnd | None:
        """Send to the granted replica; nothing where it must not be sent there any more."""
        parts = self._parts
        connection = await self._connect(admission, granted)
        if isinstance(connection, ConnectFailure):
            if connection is not ConnectFailure.AT_LIMIT:
                parts.quarantine.unreachable(granted.replica)
            self._progress.tried.append(granted.replica.id)
            self._give_back_trial(admission, granted)
            return SendEnd.NOT_CONNECTED
        if not self._may_send(admission, granted):
            parts.connections.release(granted.replica.ip, granted.replica.port, connection)
            self._hand_back(admission, granted)
            return None
        relay = self._dispatch(admission, granted, connection)
        try:
            end = await self._watch(admission, granted, connection, relay)
        finally:
            self._connection = None
            parts.rollouts.note_left(granted.replica)
        granted.events = relay.events
        if end is SendEnd.STALLED and relay.head is None:
            # The connection may have gone silent, and those kept beside it too.
            parts.connections.abort_idle(granted.replica.ip, granted.replica.port)
        if end not in (SendEnd.STALLED, SendEnd.UNUSABLE):
            parts.connections.release(granted.replica.ip, granted.replica.port, connection)
        elif not connection.closed:
            connection.cancel()
        return end

    def _may_send(self, admission: Admission, granted: Granted) -> bool:
        """Tell whether what was granted may still be sent: much is heard while it waits."""
        parts, replica = self._parts, granted.replica
        if parts.replicas.find(replica.id, for_trial=granted.for_trial) is None:
            return False
        if parts.balancer.rest_left_s((replica,), parts.now()) > 0:
            return False
        if not parts.rollouts.may_send(replica) or parts.quarantine.holds(self._identity):
            return False
        return still_allowed(admission, parts.catalog())

    def _hand_back(self, admission: Admission, granted: Granted) -> None:
        """Give a grant back that is not used."""
        self._give_back_trial(admission, granted)
        self._parts.grants.release(admission, granted, ReleaseOutcome.UNUSED)
        self._granted = None
        self._progress.unused += 1

    def _give_back_trial(self, admission: Admission, granted: Granted) -> None:
        if granted.for_trial:
            self._parts.rollouts.give_back(admission)

    async def _connect(
        self, admission: Admission, granted: Granted
    ) -> ClientConnection | ConnectFailure:
        replica = granted.replica
        nodes = max(1, self._parts.nodes())
        fresh = FRESH_S if admission.route.repeatable else FRESH_FOR_SINGLE_RUN_S
        return await self._parts.connections.connect(
            replica.ip,
            replica.port,
            limit=max(2, int(admission.service.max_connections * 0.9 / nodes)),
            timeout_s=CONNECT_S,
            fresh_s=fresh,
        )

    def _dispatch(
        self, admission: Admission, granted: Granted, connection: ClientConnection
    ) -> Relay:
        """Write the request. From here on it may have run."""
        parts, progress, request = self._parts, self._progress, self._request
        require(
            progress.sends.runs == 0 or admission.route.repeatable,
            "a request that must not be repeated is sent once",
            request=admission.request_id,
        )
        now = parts.now()
        if not progress.first_counted:
            progress.first_counted = True
            parts.budget.record_first(admission.service.name, now)
        resumed_after = str(self._delivery.cutter.last_id) if self._delivery.head_sent else ""
        forwarding = Forwarding(
            granted.replica.expected_id,
            admission.team.name if admission.team else "",
            admission.ends - now,
            resumed_after,
        )
        headers = parts.headers.forward(request.headers, forwarding)
        has_body = bool(request.body) or request.method in METHODS_WITH_BODY
        head = encode_request_head(
            request.method, request.target, headers, len(request.body) if has_body else None
        )
        relay = Relay(
            self._delivery,
            parts.headers,
            self._fields.request_id,
            parts.now,
            streams=admission.route.is_stream,
            first=lambda first_s: parts.grants.first_output(admission, granted, first_s),
            told=lambda status, fields: self._note_told(granted, status, fields),
        )
        self._relay = relay
        self._connection = connection
        progress.sends.runs += 1
        progress.sends.arrivals += 1
        progress.tried.append(granted.replica.id)
        parts.grants.started(admission, granted)
        parts.rollouts.note_sent(granted.replica)
        parts.record(
            "sent",
            admission,
            replica=granted.replica.id,
            for_trial=granted.for_trial,
            source=granted.source,
            scheduler=granted.scheduler,
            limit_kept_by=_limit_kept_by(granted),
            send=progress.sends.arrivals,
            expected_first_s=round(granted.expected_first_s, 4),
            deadline_s=round(forwarding.deadline_s, 3),
            resumed_after=resumed_after,
        )
        bodiless = request.method == b"HEAD"
        connection.send(head + request.body, relay, relay.belongs, bodiless=bodiless)
        return relay

    _relay: Relay | None = None

    def _note_told(self, granted: Granted, status: int, fields: AnswerFields) -> None:
        """Note what an answer says of its replica; a misdirected request met another one."""
        if status == MISDIRECTED:
            return
        self._parts.announcements.note_answer(granted.replica, statement_of(status, fields))

    async def _watch(
        self, admission: Admission, granted: Granted, connection: ClientConnection, relay: Relay
    ) -> SendEnd:
        """Wait for the end; a silent replica is left where another one may go on."""
        parts = self._parts
        while True:
            wait_s = self._patience_with(admission, relay) - parts.now()
            done, _ = await asyncio.wait([relay.ended], timeout=max(0.001, wait_s))
            granted.events = relay.events
            if relay.first_at:
                granted.first_s = relay.first_at - relay.started_at
            if done:
                return relay.ended.result()
            if parts.now() < self._patience_with(admission, relay):
                continue
            connection.cancel()
            return SendEnd.STALLED

    def _patience_with(self, admission: Admission, relay: Relay) -> float:
        """Tell until when a silent replica is waited for."""
        route, sends = admission.route, self._progress.sends
        budget = self._parts.budget.remaining(
            admission.service.name, self._parts.nodes(), self._parts.now()
        )
        if not route.repeatable or sends.runs >= route.attempts or budget < 1:
            return admission.ends + 1.0
        if relay.first_at:
            return relay.last_at + max(STALL_MIN_S, STALL_GAPS * route.gap_goal_s)
        return relay.started_at + FIRST_STALL_GOALS * route.goal_s

    def _note_end(self, admission: Admission, granted: Granted, end: SendEnd) -> None:
        """Learn from the end of a send."""
        if end is SendEnd.DECLINED:
            self._progress.sends.runs -= 1
            granted.declined = not self._progress.declined
            self._progress.declined = True
        self._feedback.note_end(admission, granted, end, self._relay, self._identity)
        self._granted = None

    # Ends.

    def _time_is_up(self, admission: Admission) -> None:
        """End a request whose time is over."""
        sent = self._progress.sends.runs > 0
        if self._connection is not None:
            self._connection.cancel()
        if self._granted is not None and self._granted.started:
            # A stream that was cut was slow or long; of any other answer nothing has come.
            failed = not admission.route.is_stream
            self._feedback.note_version(admission, self._granted, failed=failed)
        self._release_cancelled(admission)
        self._parts.record("expired", admission, sends=self._progress.sends.arrivals)
        if self._delivery.head_sent:
            self._answering.abort()
        elif sent:
            self._replies.answer(504, "no answer in time", None)
        else:
            self._replies.refuse(admission, "no replica in time", RETRY_SOON_S)

    def _release_cancelled(self, admission: Admission) -> None:
        if self._granted is not None:
            if self._granted.started:
                replica = self._granted.replica
                self._parts.quarantine.left(replica, self._identity(), output_s(self._relay))
            self._parts.grants.release(admission, self._granted, ReleaseOutcome.CANCELLED)
            self._granted = None


def _limit_kept_by(granted: Granted) -> str | None:
    """Name the process that counts a send in the limit of its replica; nothing where none does."""
    if granted.counted:
        return granted.scheduler
    permit = granted.permit
    return permit.keeper if permit is not None and permit.limit_per_s is not None else None
