"""
chalkyoke.gateway.exchange

Handle one request of a caller, from its arrival to its end.
"""

import asyncio
import functools

import msgspec

from chalkyoke.gateway.events import EventSplitter, event_number
from chalkyoke.gateway.feedback import Feedback, output_duration_s
from chalkyoke.gateway.granted import Denied, Granted, find_eligible
from chalkyoke.gateway.origins import find_origin, is_resumed_by_caller
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.progress import Progress
from chalkyoke.gateway.quarantine import SharedParts
from chalkyoke.gateway.reception import (
    Admission,
    Rejection,
    admit_continuation,
    admit_request,
    is_still_allowed,
)
from chalkyoke.gateway.relay import Delivery
from chalkyoke.gateway.replacement import find_objection, next_search_at
from chalkyoke.gateway.replies import INTERNAL_FAULT, RETRY_SOON_S, STOPPING, Replies
from chalkyoke.gateway.sender import Sender
from chalkyoke.gateway.sendlog import SendLog, silent_s
from chalkyoke.gateway.takeover import Send
from chalkyoke.gateway.verdict import NextStep, SendEnd, decide_next_step
from chalkyoke.http1.messages import Request, find_header
from chalkyoke.http1.response import ResponseWriter
from chalkyoke.quarantine.identity import request_digest, shared_part_digests
from chalkyoke.quotas.client import QuotaDecision
from chalkyoke.scheduling.state import ReleaseOutcome

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


class HeldBack(msgspec.Struct, frozen=True):
    """A decision of the quarantine that a request is not sent.

    :param digest: digest of what is held back: the request or a part of its prompt.
    """

    digest: bytes


# How an attempt to have a request answered ended.
Outcome = SendEnd | Denied | HeldBack


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
        after_number = event_number(self._fields.last_event_id)
        self._delivery = Delivery(response, EventSplitter(after_number))
        self._progress = Progress()
        self._replies = Replies(parts, response, self._delivery, self._progress.sends)
        self._sender = Sender(
            parts,
            request,
            self._fields,
            response,
            self._delivery,
            self._progress,
            lambda: self._find_held() is not None,
        )
        self._send_log = SendLog(parts, self._delivery, self._progress)
        self._granted: Granted | None = None
        self._admission: Admission | None = None
        self._charge: QuotaDecision | None = None
        self._caller_left = False

    # Callbacks.

    def caller_left(self) -> None:
        """Cancel the request here and at the replica, since its caller has disconnected."""
        self._caller_left = True
        self._sender.cancel()
        if self.task is not None:
            self.task.cancel()

    def caller_can_read(self, can_read: bool) -> None:
        """Pause reading from the replica while the caller reads too slowly."""
        self._sender.caller_can_read(can_read)

    def on_replica_ended(self, replica: str) -> None:
        """End the send if it runs at a replica start that has ended.

        The connection itself may never report the end.

        :param replica: id of that start.
        """
        self._sender.replica_ended(replica)

    def on_request_held(self, request: bytes) -> None:
        """End the request at once if it is still waiting and is held back from now on.

        :param request: digest of the request, or of the shared part of prompts, that is held back.
        """
        waits = self._admission is not None and not self._sender.is_sending
        if not waits or self.task is None:
            return
        if request in self._shared_parts or request == self._request_digest():
            self._is_held = True
            self.task.cancel()

    def begin_stop(self) -> None:
        """Refuse the request when it can no longer be answered before the node ends.

        A request that has been sent goes on.
        """
        latest = self._latest_dispatch()
        if latest is None or self._stop_timer is not None:
            return
        loop = asyncio.get_running_loop()
        self._stop_timer = loop.call_at(self._loop_time(latest), self._refuse_unsent)

    def end_now(self, reason: str) -> bool:
        """Answer the request at once with what is known of it, as the process is about to end.

        :param reason: why the process ends.
        :return: whether its answer had not ended yet.
        """
        is_unfinished = not self._response.finished
        if is_unfinished:
            self._response.close_gracefully()
            self._replies.end_unfinished(self._admission, reason)
        self._sender.cancel()
        if self.task is not None:
            self.task.cancel()
        return is_unfinished

    def _refuse_unsent(self) -> None:
        if self.task is None or self._is_held or not self._is_unsent():
            return
        self._is_refused_for_stop = True
        self.task.cancel()

    _is_held = False
    _is_refused_for_stop = False
    _stop_timer: asyncio.TimerHandle | None = None
    task: "asyncio.Task[None] | None" = None

    # Running the request.

    async def run(self) -> None:
        """Answer the request.

        An unexpected exception is raised again after the caller has got an answer, or an abort if
        a part of one has been sent.
        """
        try:
            await self._run()
        except Exception:
            self._end_after_fault()
            raise

    async def _run(self) -> None:
        parts = self._parts
        decision = admit_request(
            self._request, self._fields, parts.catalog(), parts.now(), next(parts.search_ids)
        )
        if isinstance(decision, Rejection):
            retry = RETRY_SOON_S if decision.status == 503 else None
            parts.log_rejection(self._request, self._fields, decision)
            self._replies.send_answer(decision.status, decision.reason, retry)
            return
        self._admission = decision
        self.begin_stop()
        try:
            await self._serve_in_time(decision)
        finally:
            if self._stop_timer is not None:
                self._stop_timer.cancel()
            self._sender.close()
            parts.drain.durations.record_end(decision)
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
                self._replies.refuse_held_back(admission, self._find_held())
                return
            if self._is_refused_for_stop and self.task is not None and not self._caller_left:
                self.task.uncancel()
                self._replies.refuse(admission, STOPPING, RETRY_SOON_S)
                return
            if not self._caller_left:
                raise
            parts.log_decision(
                "left",
                admission,
                sends=self._progress.sends.arrivals,
                events=self._delivery.events,
                silent_s=round(silent_s(self._sender.relay, parts.now()), 4),
                undelivered_bytes=self._sender.undelivered_bytes,
            )

    def _end_after_fault(self) -> None:
        """Release the grant, and refuse or abort the request after an unexpected exception."""
        if self._admission is not None:
            self._release_cancelled(self._admission)
        self._replies.end_unfinished(self._admission, INTERNAL_FAULT)

    def _refund_charge(self, admission: Admission) -> None:
        """Refund the quota charge of a request that ends without a run."""
        charge, self._charge = self._charge, None
        if charge is None or self._progress.sends.runs > 0:
            return
        if self._parts.quotas.refund(admission, charge):
            self._parts.log_decision("refunded", admission, cost=admission.cost)

    def _loop_time(self, at: float) -> float:
        return asyncio.get_running_loop().time() + (at - self._parts.now())

    def _latest_dispatch(self) -> float | None:
        """Return when the request must have been sent; None if no stop limits that."""
        if self._admission is None:
            return None
        return self._parts.drain.latest_dispatch(self._admission, self._parts.now())

    def _is_too_late(self) -> bool:
        """Return whether no replica has the request and its answer would not end in time."""
        latest = self._latest_dispatch()
        return latest is not None and self._parts.now() >= latest and self._is_unsent()

    def _would_outlast_stop(self, admission: Admission) -> bool:
        """Return whether another replica than the silent one would answer too late."""
        drain, is_silent = self._parts.drain, self._sender.silent is not None
        return is_silent and not drain.may_replace(admission, self._parts.now())

    def _is_unsent(self) -> bool:
        """Return whether no replica has the request or has begun an answer."""
        sent = self._sender.is_sending or self._progress.sends.runs
        return not sent and not self._delivery.head_sent

    async def _serve_admitted(self, admission: Admission) -> None:
        if self._is_too_late():
            self._replies.refuse(admission, STOPPING, RETRY_SOON_S)
            return
        if self._refuse_if_held_back(admission):
            return
        if is_resumed_by_caller(admission) and not await self._bind_to_origin(admission):
            return
        quota_decision = await self._parts.quotas.charge(admission)
        if not quota_decision.allowed:
            self._replies.refuse_over_quota(admission, quota_decision)
            return
        self._charge = quota_decision
        outcome = await self._attempt(admission)
        while True:
            step = self._take_next_step(admission, outcome)
            if step is NextStep.SEND_AGAIN:
                outcome = await self._attempt_again(admission)
            elif step is NextStep.WAIT:
                silent = self._sender.silent
                assert silent is not None
                outcome = await self._wait_on_silent(admission, silent)
            elif step is NextStep.SEARCH_AGAIN:
                await asyncio.sleep(self._search_at - self._parts.now())
                outcome = await self._attempt_again(admission)
            else:
                return

    async def _attempt(self, admission: Admission) -> Outcome:
        """Send the request to one replica, and wait for the end of the send or a refusal."""
        while True:
            if not self._sender.is_still_allowed(admission):
                return Denied("no longer allowed", RETRY_SOON_S)
            if self._is_too_late() or self._would_outlast_stop(admission):
                return Denied(STOPPING, RETRY_SOON_S)
            if not self._sender.has_budget(admission):
                return Denied("no retry budget", RETRY_SOON_S)
            held = self._find_held()
            if held is not None:
                return HeldBack(held)
            self._progress.attempt += 1
            granted = await self._acquire(admission)
            if isinstance(granted, Denied):
                return granted
            self._granted = granted
            if self._is_too_late():
                self._return_grant(admission, granted)
                return Denied(STOPPING, RETRY_SOON_S)
            objection = find_objection(
                admission,
                granted,
                self._sender.silent,
                self._parts.replicas,
                self._parts.connections,
                self._delivery.version,
            )
            if objection is not None:
                self._progress.tried.append(granted.replica.id)
                self._return_grant(admission, granted)
                return Denied(objection, RETRY_SOON_S)
            end = await self._sender.send(admission, granted)
            if end is not None:
                return end
            self._return_grant(admission, granted)
            if self._progress.attempt >= MAX_GRANTS:
                return Denied("no grant could be used", RETRY_SOON_S)

    async def _attempt_again(self, admission: Admission) -> Outcome:
        """Try another replica, unless the silent one goes on before the other has answered."""
        silent = self._sender.silent
        if silent is None:
            return await self._attempt(admission)
        attempt = asyncio.ensure_future(self._attempt(admission))
        try:
            await asyncio.wait((attempt, silent.resumed), return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            await self._end_attempt(attempt)
            raise
        if not silent.resumed.done():
            return attempt.result()
        await self._end_attempt(attempt)
        ended = None if attempt.cancelled() else attempt.result()
        if isinstance(ended, SendEnd) and self._granted is not None:
            self._record_end(admission, self._granted, ended)
        elif self._granted is not None:
            self._release_cancelled(admission)
        self._send_log.log_kept(admission, silent, "resumed")
        return await self._wait_on_silent(admission, silent)

    async def _end_attempt(self, attempt: "asyncio.Future[Outcome]") -> None:
        attempt.cancel()
        await asyncio.wait((attempt,))

    async def _wait_on_silent(self, admission: Admission, silent: Send) -> SendEnd:
        """Wait for the silent replica, which holds the request as before."""
        self._granted = silent.granted
        self._parts.grants.reinstate(admission, silent.granted)
        return await self._sender.wait_on_silent(admission, silent)

    def _take_next_step(self, admission: Admission, outcome: Outcome) -> NextStep:
        """Decide the step after an attempt and take it, unless it is to wait or to send again."""
        if isinstance(outcome, SendEnd):
            return self._act_on_end(admission, outcome)
        silent = self._sender.silent
        if silent is not None:
            reason = outcome.reason if isinstance(outcome, Denied) else "held back"
            self._send_log.log_kept(admission, silent, reason)
            return NextStep.WAIT
        if self._may_search_again(admission, outcome):
            return NextStep.SEARCH_AGAIN
        if isinstance(outcome, Denied):
            self._replies.refuse(admission, outcome.reason, outcome.retry_after_s)
        else:
            self._replies.refuse_held_back(admission, outcome.digest)
        return NextStep.DONE

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
        held = self._find_held()
        if held is None:
            return False
        self._replies.refuse_held_back(admission, held)
        return True

    def _find_held(self) -> bytes | None:
        """Return the digest of what is held back: this request or a part of its prompt."""
        return self._parts.quarantine.find_held(self._request_digest, self._shared_parts)

    @functools.cached_property
    def _shared_parts(self) -> SharedParts:
        return shared_part_digests(self._fields.parts)

    async def _bind_to_origin(self, admission: Admission) -> bool:
        """Bind a stream that its caller resumes to the version that began it.

        It is refused if that version is unknown: what two versions write does not fit together.

        :return: whether the stream may go on here.
        """
        asked_at = self._parts.now()
        found = await find_origin(self._parts.origins, admission)
        origin = found.origin
        self._parts.log_decision(
            "stream_origin",
            admission,
            resumes=admission.fields.resumes,
            source=found.source,
            began_at=origin.service if origin else None,
            began_version=origin.version if origin else None,
            answers=found.answers,
            fleet_share=round(found.fleet_share, 3),
            confirmed_by=found.confirmed_by,
            took_s=round(self._parts.now() - asked_at, 4),
        )
        if origin is None or origin.service != admission.service.name:
            reason = "stream of unknown origin" if origin is None else "stream of another service"
            self._replies.refuse(admission, reason, RETRY_SOON_S)
            return False
        self._delivery.version = origin.version
        return True

    async def _acquire(self, admission: Admission) -> Granted | Denied:
        """Get a grant, for a version under trial if the rollout claims this request.

        If no replica of that version is available, the request goes to the other versions, so that
        a trial never causes a refusal.
        """
        parts, progress = self._parts, self._progress
        wanted, last_event_at = admission, self._delivery.last_event_at
        if last_event_at:
            wanted = admit_continuation(admission, last_event_at, parts.now())
        acquire = functools.partial(
            parts.grants.acquire,
            wanted,
            digest=self._request_digest,
            version=self._delivery.version,
        )
        again = progress.attempt > 1 or self._delivery.head_sent
        if self._delivery.version is None and parts.rollouts.claim_trial(admission, again=again):
            try:
                granted = await acquire(progress.attempt, progress.tried, for_trial=True)
            except asyncio.CancelledError:
                parts.rollouts.return_trial(admission)
                raise
            if isinstance(granted, Granted):
                return granted
            parts.rollouts.return_trial(admission)
            progress.attempt += 1
        # The scheduler of a service doesn't know routes that lead to it no longer.
        is_known = is_still_allowed(admission, parts.catalog())
        local_only = progress.unused_grants >= MAX_UNUSED_GRANTS or not is_known
        return await acquire(progress.attempt, progress.tried, local_only=local_only)

    def _act_on_end(self, admission: Admission, end: SendEnd) -> NextStep:
        """Record the end of a send, then decide the next step and take it."""
        parts, progress, granted = self._parts, self._progress, self._granted
        assert granted is not None
        if self._is_reported(granted):
            parts.grants.release(admission, granted, ReleaseOutcome.CANCELLED)
            self._granted = None
        else:
            self._record_end(admission, granted, end)
        now = parts.now()
        begun = self._delivery.head_sent
        time_left = progress.attempt < MAX_GRANTS and admission.deadline - now > MIN_TIME_TO_SEND_S
        if not begun and admission.route.is_stream:
            time_left = time_left and now < admission.patience_until
        if end is SendEnd.DECLINED:
            time_left = time_left and not self._has_tried_all(admission)
        silent = self._sender.silent is not None
        next_step = decide_next_step(
            end,
            admission.route,
            progress.sends,
            begun=begun,
            budget=self._sender.has_budget(admission),
            time_left=time_left,
            silent=silent,
        )
        is_over = next_step in (NextStep.DONE, NextStep.WAIT)
        if not is_over and self._may_search_again(admission, end):
            next_step = NextStep.SEARCH_AGAIN
        if next_step is NextStep.SEND_AGAIN and not silent:
            self._delivery.splitter.discard_partial()
        elif next_step is NextStep.PASS_ON and self._sender.relay is not None:
            self._sender.relay.pass_on()
        elif next_step is NextStep.REFUSE:
            self._replies.refuse(admission, f"replicas: {end}", RETRY_SOON_S)
        elif next_step is NextStep.FAIL:
            self._replies.send_answer(502, f"replica: {end}", None)
        elif next_step is NextStep.BREAK_OFF:
            self._response.abort()
        self._send_log.log_end(
            admission, granted, end, next_step, self._sender.relay, self._sender.undelivered_bytes
        )
        return next_step

    def _may_search_again(self, admission: Admission, outcome: Outcome) -> bool:
        """Decide whether a replica is sought again, and when."""
        if not self._sender.owes_answer:
            return False
        progress, begun = self._progress, self._delivery.head_sent
        at = next_search_at(outcome, admission, self._parts.now(), progress.searches, begun=begun)
        if at is None:
            return False
        self._search_at = at
        progress.searches += 1
        return True

    _search_at = 0.0

    def _is_reported(self, granted: Granted) -> bool:
        """Return whether a replica is still silent whose silence was reported as a failure."""
        silent = self._sender.silent
        if silent is None or silent.granted is not granted:
            return False
        was_reported, silent.is_reported = silent.is_reported, True
        return was_reported

    def _has_tried_all(self, admission: Admission) -> bool:
        """Return whether all replicas have declined the request often enough to refuse it.

        A single decline is not enough: a replica that is full may have room a millisecond later.
        """
        tried = self._progress.tried
        replicas = find_eligible(
            self._parts.replicas, admission.service.name, self._delivery.version
        )
        return all(tried.count(each.id) >= MAX_DECLINES_PER_REPLICA for each in replicas)

    def _return_grant(self, admission: Admission, granted: Granted) -> None:
        """Return a grant that could not be used."""
        self._parts.grants.release(admission, granted, ReleaseOutcome.UNUSED)
        self._granted = None
        self._progress.unused_grants += 1

    def _record_end(self, admission: Admission, granted: Granted, end: SendEnd) -> None:
        """Record the end of a send in the node's components and release the grant."""
        if end is SendEnd.DECLINED:
            self._progress.sends.runs -= 1
            granted.is_first_decline = not self._progress.declined
            self._progress.declined = True
        self._feedback.record_end(
            admission, granted, end, self._sender.relay, self._request_digest, self._shared_parts
        )
        self._granted = None

    # Ending the request.

    def _expire(self, admission: Admission) -> None:
        """End a request whose deadline has passed."""
        sent = self._progress.sends.runs > 0
        if self._granted is not None and self._granted.started_at:
            if admission.route.is_stream:
                self._feedback.record_expired(admission, self._granted)
            # A stream that is cut off here was slow or long, which is no failure. Any other
            # request has received no answer, which is a failure.
            failed = not admission.route.is_stream
            self._feedback.record_version_outcome(
                admission, self._granted, self._parts.now(), failed=failed
            )
        self._release_cancelled(admission)
        self._parts.log_decision(
            "expired",
            admission,
            sends=self._progress.sends.arrivals,
            undelivered_bytes=self._sender.undelivered_bytes,
        )
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
                    replica,
                    self._request_digest(),
                    output_duration_s(self._sender.relay),
                    self._shared_parts,
                )
            self._parts.grants.release(admission, self._granted, ReleaseOutcome.CANCELLED)
            self._granted = None
