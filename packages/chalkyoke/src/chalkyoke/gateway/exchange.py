"""
chalkyoke.gateway.exchange

Handle one request of a caller, from its arrival to its end.
"""

import asyncio

import msgspec

from chalkyoke.gateway.events import EventSplitter
from chalkyoke.gateway.feedback import Feedback, output_duration_s
from chalkyoke.gateway.granted import Denied, Granted
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.ports import Forwarding
from chalkyoke.gateway.reception import Admission, Rejection, admit_request, is_still_allowed
from chalkyoke.gateway.relay import Delivery, Relay
from chalkyoke.gateway.replies import RETRY_SOON_S, Replies
from chalkyoke.gateway.verdict import NextStep, SendCounts, SendEnd, decide_next_step
from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.messages import Request, encode_request_head, find_header
from chalkyoke.http1.pool import ConnectFailure
from chalkyoke.http1.server import ResponseWriter
from chalkyoke.invariants import require
from chalkyoke.quarantine.identity import request_digest
from chalkyoke.quotas.client import QuotaDecision
from chalkyoke.scheduling.state import ReleaseOutcome

# Timeout for opening a connection, in seconds: far more than a round trip, less than most goals.
CONNECT_TIMEOUT_S = 0.12
# Longest idle time of a kept connection that is used again, in seconds. A replica may close an idle
# connection while a request is in transit; a request that may run only once is then lost, so the
# limit for such requests is lower.
SINGLE_RUN_MAX_IDLE_S = 1.5
MAX_IDLE_S = 15.0
# Shortest time before the deadline of a request in which it is sent once more, in seconds.
MIN_TIME_TO_SEND_S = 0.03
# Highest number of grants for one request, including those for which no connection was opened.
MAX_GRANTS = 12
# Number of unusable grants for one request after which the node chooses a replica without the
# scheduler. The scheduler then lacks information that this node has received, as a scheduler of an
# older version always does.
MAX_UNUSED_GRANTS = 3
# Number of times that each replica must decline a request before the node refuses the request.
MAX_DECLINES_PER_REPLICA = 2
# A stream that another replica can resume is abandoned after a pause of this many gap goals, and of
# at least this many seconds. Larger values let the caller wait longer for a stream that has
# stopped; smaller ones abandon more streams that are only slow, and for each of them the other
# replica reads the whole prompt again.
STALL_MIN_S = 0.9
STALL_GAP_GOALS = 2.0
# Time to wait for the first output before another replica is tried, as a multiple of the goal of
# the route.
FIRST_STALL_GOALS = 1.5
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


class _Progress(msgspec.Struct):
    """The attempts of a request so far.

    :ivar tried: replicas that were tried, one entry for each attempt to send.
    :ivar attempt: number of the latest grant that was asked for.
    :ivar first_counted: whether the retry budget has counted the first send.
    :ivar declined: whether a replica has declined the request.
    :ivar unused_grants: number of grants that could not be used.
    """

    sends: SendCounts = msgspec.field(default_factory=SendCounts)
    tried: list[str] = msgspec.field(default_factory=list)
    attempt: int = 0
    first_counted: bool = False
    declined: bool = False
    unused_grants: int = 0


class Exchange:
    """Drive one request from its admission to its answer.

    :param parts: components that all exchanges share.
    """

    def __init__(self, parts: GatewayParts, request: Request, response: ResponseWriter) -> None:
        self._parts = parts
        self._feedback = Feedback(parts)
        self._request = request
        self._response = response
        self._fields = parts.headers.read_request(request.headers)
        after_event = self._fields.last_event_id
        after_number = int(after_event) if after_event.isdigit() else -1
        self._delivery = Delivery(response, EventSplitter(after_number))
        self._progress = _Progress()
        self._replies = Replies(parts, response, self._delivery, self._progress.sends)
        self._connection: ClientConnection | None = None
        self._granted: Granted | None = None
        self._admission: Admission | None = None
        self._charge: QuotaDecision | None = None
        self._caller_left = False

    # Callbacks.

    def caller_left(self) -> None:
        """Cancel the request here and at the replica, since its caller has disconnected."""
        self._caller_left = True
        if self._connection is not None:
            self._connection.cancel()
        if self.task is not None:
            self.task.cancel()

    def caller_can_read(self, can_read: bool) -> None:
        """Pause reading from the replica while the caller reads too slowly."""
        if self._connection is None:
            return
        if can_read:
            self._connection.resume()
        else:
            self._connection.pause()

    def on_replica_ended(self, replica: str) -> None:
        """End the send if it runs at a replica start that has ended.

        The connection itself may never report the end.

        :param replica: id of that start.
        """
        granted = self._granted
        if self._connection is not None and granted is not None and granted.replica.id == replica:
            self._connection.abort_as_reset()

    def on_request_held(self, request: bytes) -> None:
        """End the request at once if it is still waiting and is held back from now on.

        :param request: digest of the request that is held back.
        """
        waits = self._admission is not None and self._connection is None
        if waits and self.task is not None and self._request_digest() == request:
            self._is_held = True
            self.task.cancel()

    _is_held = False
    task: "asyncio.Task[None] | None" = None

    # Running the request.

    async def run(self) -> None:
        """Answer the request.

        An unexpected exception is raised again after the caller has got a refusal, or an abort if
        the request may have run.
        """
        try:
            await self._run()
        except Exception:
            self._end_after_fault()
            raise

    async def _run(self) -> None:
        parts = self._parts
        decision = admit_request(self._request, self._fields, parts.catalog(), parts.now())
        if isinstance(decision, Rejection):
            retry = RETRY_SOON_S if decision.status == 503 else None
            parts.log_rejection(self._request, self._fields, decision)
            self._replies.send_answer(decision.status, decision.reason, retry)
            return
        self._admission = decision
        try:
            await self._serve_in_time(decision)
        finally:
            self._refund_charge(decision)

    async def _serve_in_time(self, admission: Admission) -> None:
        parts = self._parts
        try:
            async with asyncio.timeout_at(self._loop_time(admission.deadline)):
                await self._serve_admitted(admission)
        except TimeoutError:
            self._expire(admission)
        except asyncio.CancelledError:
            self._release_cancelled(admission)
            if self._is_held and self.task is not None and not self._caller_left:
                self.task.uncancel()
                self._replies.refuse_held_back(admission, self._request_digest())
                return
            if not self._caller_left:
                raise
            parts.log_decision(
                "left",
                admission,
                sends=self._progress.sends.arrivals,
                events=self._delivery.events,
                silent_s=round(self._silent_s(), 4),
            )

    def _end_after_fault(self) -> None:
        """Release the grant, and refuse or abort the request after an unexpected exception."""
        if self._admission is not None:
            self._release_cancelled(self._admission)
        self._replies.end_after_fault()

    def _refund_charge(self, admission: Admission) -> None:
        """Refund the quota charge of a request that ends without a run."""
        charge, self._charge = self._charge, None
        if charge is None or self._progress.sends.runs > 0:
            return
        if self._parts.quotas.refund(admission, charge):
            self._parts.log_decision("refunded", admission, cost=admission.cost)

    def _silent_s(self) -> float:
        """Return the time since data last came from the replica, in seconds; -1 before a send."""
        if self._relay is None:
            return -1.0
        return self._parts.now() - self._relay.last_at

    def _loop_time(self, at: float) -> float:
        return asyncio.get_running_loop().time() + (at - self._parts.now())

    async def _serve_admitted(self, admission: Admission) -> None:
        if self._refuse_if_held_back(admission):
            return
        quota_decision = await self._parts.quotas.charge(admission)
        if not quota_decision.allowed:
            self._replies.refuse_over_quota(admission, quota_decision)
            return
        self._charge = quota_decision
        while True:
            if not is_still_allowed(admission, self._parts.catalog()):
                self._replies.refuse(admission, "no longer allowed", RETRY_SOON_S)
                return
            if self._refuse_if_held_back(admission):
                return
            self._progress.attempt += 1
            granted = await self._acquire(admission)
            if isinstance(granted, Denied):
                self._replies.refuse(admission, granted.reason, granted.retry_after_s)
                return
            self._granted = granted
            end = await self._send_once(admission, granted)
            if end is None and self._progress.attempt < MAX_GRANTS:
                continue
            if end is None:
                self._replies.refuse(admission, "no grant could be used", RETRY_SOON_S)
                return
            if self._act_on_end(admission, granted, end) is not NextStep.SEND_AGAIN:
                return

    def _request_digest(self) -> bytes:
        """Return the digest of the request's content, equal for all attempts of its caller."""
        if not self._cached_digest:
            request, admission = self._request, self._admission
            caller = admission.team.name if admission is not None and admission.team else ""
            host = (find_header(request.headers, b"host") or b"").decode("latin-1")
            self._cached_digest = request_digest(
                request.method, host, request.target, caller, request.body
            )
        return self._cached_digest

    _cached_digest = b""

    def _refuse_if_held_back(self, admission: Admission) -> bool:
        """Refuse the request if the quarantine holds it back, since replicas have ended under it.

        :return: whether the request was refused.
        """
        if not self._parts.quarantine.is_held(self._request_digest):
            return False
        self._replies.refuse_held_back(admission, self._request_digest())
        return True

    async def _acquire(self, admission: Admission) -> Granted | Denied:
        """Get a grant, for a version under trial if the rollout claims this request.

        If no replica of that version is available, the request goes to the other versions, so that
        a trial never causes a refusal.
        """
        parts, progress = self._parts, self._progress
        again = progress.attempt > 1 or self._delivery.head_sent
        if parts.rollouts.claim_trial(admission, again=again):
            try:
                granted = await parts.grants.acquire(
                    admission, progress.attempt, progress.tried, for_trial=True
                )
            except asyncio.CancelledError:
                parts.rollouts.return_trial(admission)
                raise
            if isinstance(granted, Granted):
                return granted
            parts.rollouts.return_trial(admission)
            progress.attempt += 1
        if progress.unused_grants >= MAX_UNUSED_GRANTS:
            return await parts.grants.acquire(
                admission, progress.attempt, progress.tried, local_only=True
            )
        return await parts.grants.acquire(admission, progress.attempt, progress.tried)

    def _act_on_end(self, admission: Admission, granted: Granted, end: SendEnd) -> NextStep:
        """Record the end of a send, then decide the next step and take it."""
        self._record_end(admission, granted, end)
        parts, progress = self._parts, self._progress
        now = parts.now()
        begun = self._delivery.head_sent
        time_left = progress.attempt < MAX_GRANTS and admission.deadline - now > MIN_TIME_TO_SEND_S
        if not begun and admission.route.is_stream:
            time_left = time_left and now < admission.patience_until
        if end is SendEnd.DECLINED:
            time_left = time_left and not self._has_tried_all(admission)
        budget = parts.budget.remaining(admission.service.name, parts.node_count(), now) >= 1
        next_step = decide_next_step(
            end, admission.route, progress.sends, begun=begun, budget=budget, time_left=time_left
        )
        if next_step is NextStep.SEND_AGAIN:
            if end is not SendEnd.NOT_CONNECTED:
                parts.budget.try_spend(admission.service.name, parts.node_count(), now)
            self._delivery.splitter.discard_partial()
        elif next_step is NextStep.PASS_ON and self._relay is not None:
            self._relay.pass_on()
        elif next_step is NextStep.REFUSE:
            self._replies.refuse(admission, f"replicas: {end}", RETRY_SOON_S)
        elif next_step is NextStep.FAIL:
            self._replies.send_answer(502, f"replica: {end}", None)
        elif next_step is NextStep.BREAK_OFF:
            self._response.abort()
        parts.log_decision(
            "ended",
            admission,
            replica=granted.replica.id,
            end=end,
            follows=next_step,
            sends=progress.sends.arrivals,
            events=self._delivery.events,
            source=granted.source,
            waited_s=round(granted.started_at - admission.arrived_at, 4)
            if granted.started_at
            else None,
            first_s=round(granted.first_s, 4),
            longest_gap_s=round(self._relay.longest_gap_s, 4) if self._relay else None,
            expected_first_s=round(granted.expected_first_s, 4),
            prompt_tokens=admission.fields.prompt_tokens,
            most_output=admission.fields.max_output_tokens,
            likely_output=admission.fields.estimated_output_tokens,
            output=granted.events * admission.service.tokens_per_event,
            goal_s=admission.route.goal_s,
            leaving=self._relay.fields.leaving if self._relay else None,
            retry_after_s=self._relay.fields.retry_after_s if self._relay else None,
            limit_per_s=self._relay.fields.limit_per_s if self._relay else None,
        )
        return next_step

    def _has_tried_all(self, admission: Admission) -> bool:
        """Return whether all replicas have declined the request often enough to refuse it.

        A single decline is not enough: a replica that is full may have room a millisecond later.
        """
        tried = self._progress.tried
        replicas = self._parts.replicas.of_service(admission.service.name)
        return all(tried.count(each.id) >= MAX_DECLINES_PER_REPLICA for each in replicas)

    # One send.

    async def _send_once(self, admission: Admission, granted: Granted) -> SendEnd | None:
        """Send the request to the granted replica and wait for the end.

        :return: None if the grant may no longer be used.
        """
        parts = self._parts
        connection = await self._connect(admission, granted)
        if isinstance(connection, ConnectFailure):
            if connection is not ConnectFailure.AT_LIMIT:
                parts.quarantine.record_unreachable(granted.replica)
            self._progress.tried.append(granted.replica.id)
            self._return_trial(admission, granted)
            return SendEnd.NOT_CONNECTED
        if not self._may_send(admission, granted):
            parts.connections.release(granted.replica.ip, granted.replica.port, connection)
            self._return_grant(admission, granted)
            return None
        relay = self._dispatch(admission, granted, connection)
        try:
            end = await self._wait_for_end(admission, granted, connection, relay)
        finally:
            self._connection = None
            parts.rollouts.record_finished(granted.replica)
        granted.events = relay.events
        if end is SendEnd.STALLED and relay.head is None:
            # The other idle connections to this address may be dead as well.
            parts.connections.abort_idle(granted.replica.ip, granted.replica.port)
        if end not in (SendEnd.STALLED, SendEnd.UNUSABLE):
            parts.connections.release(granted.replica.ip, granted.replica.port, connection)
        elif not connection.closed:
            connection.cancel()
        return end

    def _may_send(self, admission: Admission, granted: Granted) -> bool:
        """Return whether the grant may still be used after the connection has opened.

        Catalog, quarantine and rollouts may change while the connection opens.
        """
        parts, replica = self._parts, granted.replica
        if parts.replicas.find(replica.id, for_trial=granted.for_trial) is None:
            return False
        if parts.balancer.rest_left_s((replica,), parts.now()) > 0:
            return False
        if not parts.rollouts.may_send(replica) or parts.quarantine.is_held(self._request_digest):
            return False
        return is_still_allowed(admission, parts.catalog())

    def _return_grant(self, admission: Admission, granted: Granted) -> None:
        """Return an unused grant."""
        self._return_trial(admission, granted)
        self._parts.grants.release(admission, granted, ReleaseOutcome.UNUSED)
        self._granted = None
        self._progress.unused_grants += 1

    def _return_trial(self, admission: Admission, granted: Granted) -> None:
        if granted.for_trial:
            self._parts.rollouts.return_trial(admission)

    async def _connect(
        self, admission: Admission, granted: Granted
    ) -> ClientConnection | ConnectFailure:
        replica = granted.replica
        nodes = max(1, self._parts.node_count())
        fresh = MAX_IDLE_S if admission.route.repeatable else SINGLE_RUN_MAX_IDLE_S
        return await self._parts.connections.connect(
            replica.ip,
            replica.port,
            limit=max(2, int(admission.service.max_connections * 0.9 / nodes)),
            timeout_s=CONNECT_TIMEOUT_S,
            fresh_s=fresh,
        )

    def _dispatch(
        self, admission: Admission, granted: Granted, connection: ClientConnection
    ) -> Relay:
        """Write the request to the connection. From here on the request may have run."""
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
        resumed_after = str(self._delivery.splitter.last_id) if self._delivery.head_sent else ""
        forwarding = Forwarding(
            granted.replica.expected_id,
            admission.team.name if admission.team else "",
            admission.deadline - now,
            resumed_after,
        )
        headers = parts.headers.forwarded_headers(request.headers, forwarding)
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
            on_first_event=lambda first_s: parts.grants.record_first_output(
                admission, granted, first_s
            ),
            on_answer_head=lambda status, fields: self._feedback.record_answer_head(
                granted, status, fields
            ),
        )
        self._relay = relay
        self._connection = connection
        progress.sends.runs += 1
        progress.sends.arrivals += 1
        progress.tried.append(granted.replica.id)
        parts.grants.record_started(admission, granted)
        parts.rollouts.record_sent(granted.replica)
        parts.log_decision(
            "sent",
            admission,
            replica=granted.replica.id,
            for_trial=granted.for_trial,
            source=granted.source,
            scheduler=granted.scheduler,
            limit_kept_by=_limit_counting_process(granted),
            send=progress.sends.arrivals,
            expected_first_s=round(granted.expected_first_s, 4),
            deadline_s=round(forwarding.deadline_s, 3),
            resumed_after=resumed_after,
        )
        bodiless = request.method == b"HEAD"
        connection.send(head + request.body, relay, relay.matches_request, bodiless=bodiless)
        return relay

    _relay: Relay | None = None

    async def _wait_for_end(
        self, admission: Admission, granted: Granted, connection: ClientConnection, relay: Relay
    ) -> SendEnd:
        """Wait for the end of a send; abandon a stalled replica where another one may be tried."""
        parts = self._parts
        while True:
            wait_s = self._stall_deadline(admission, relay) - parts.now()
            done, _ = await asyncio.wait([relay.ended], timeout=max(0.001, wait_s))
            granted.events = relay.events
            if relay.first_at:
                granted.first_s = relay.first_at - relay.started_at
            if done:
                return relay.ended.result()
            if parts.now() < self._stall_deadline(admission, relay):
                continue
            connection.cancel()
            return SendEnd.STALLED

    def _stall_deadline(self, admission: Admission, relay: Relay) -> float:
        """Return the time at which a silent replica counts as stalled, on the node's clock."""
        route, sends = admission.route, self._progress.sends
        budget = self._parts.budget.remaining(
            admission.service.name, self._parts.node_count(), self._parts.now()
        )
        if not route.repeatable or sends.runs >= route.attempts or budget < 1:
            return admission.deadline + 1.0
        if relay.first_at:
            return relay.last_at + max(STALL_MIN_S, STALL_GAP_GOALS * route.gap_goal_s)
        return relay.started_at + FIRST_STALL_GOALS * route.goal_s

    def _record_end(self, admission: Admission, granted: Granted, end: SendEnd) -> None:
        """Record the end of a send in the node's components and release the grant."""
        if end is SendEnd.DECLINED:
            self._progress.sends.runs -= 1
            granted.is_first_decline = not self._progress.declined
            self._progress.declined = True
        self._feedback.record_end(admission, granted, end, self._relay, self._request_digest)
        self._granted = None

    # Ending the request.

    def _expire(self, admission: Admission) -> None:
        """End a request whose deadline has passed."""
        sent = self._progress.sends.runs > 0
        if self._connection is not None:
            self._connection.cancel()
        if self._granted is not None and self._granted.started_at:
            # A stream that is cut off here was slow or long, which is no failure. Any other
            # request has received no answer, which is a failure.
            failed = not admission.route.is_stream
            self._feedback.record_version_outcome(admission, self._granted, failed=failed)
        self._release_cancelled(admission)
        self._parts.log_decision("expired", admission, sends=self._progress.sends.arrivals)
        if self._delivery.head_sent:
            self._response.abort()
        elif sent:
            self._replies.send_answer(504, "no answer in time", None)
        else:
            self._replies.refuse(admission, "no replica in time", RETRY_SOON_S)

    def _release_cancelled(self, admission: Admission) -> None:
        if self._granted is not None:
            if self._granted.started_at:
                replica = self._granted.replica
                self._parts.quarantine.record_abandoned(
                    replica, self._request_digest(), output_duration_s(self._relay)
                )
            self._parts.grants.release(admission, self._granted, ReleaseOutcome.CANCELLED)
            self._granted = None


def _limit_counting_process(granted: Granted) -> str | None:
    """Return the process that counts a send toward the limit of its replica, or None."""
    if granted.counted:
        return granted.scheduler
    permit = granted.permit
    return permit.keeper if permit is not None and permit.limit_per_s is not None else None
