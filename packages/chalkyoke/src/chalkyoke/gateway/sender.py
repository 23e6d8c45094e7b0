"""
chalkyoke.gateway.sender

Send a request to the replica that was granted, and wait for the end of the send.
"""

import asyncio
from collections.abc import Callable

from chalkyoke.gateway.feedback import Feedback
from chalkyoke.gateway.granted import Granted
from chalkyoke.gateway.origins import record_origin
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.ports import Forwarding, RequestFields
from chalkyoke.gateway.progress import Progress
from chalkyoke.gateway.reading import ResponseReading
from chalkyoke.gateway.reception import Admission, is_still_allowed
from chalkyoke.gateway.relay import Delivery, Relay
from chalkyoke.gateway.sendlog import SendLog
from chalkyoke.gateway.takeover import Send, Takeover
from chalkyoke.gateway.verdict import SendEnd, may_continue
from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.dialing import UPSTREAM_FAILURES, ConnectFailure
from chalkyoke.http1.messages import Request, encode_request_head
from chalkyoke.http1.response import ResponseWriter
from chalkyoke.http1.upload import Upload
from chalkyoke.invariants import require
from chalkyoke.memory.account import Charge, Purpose

# Timeout for opening a connection, in seconds: far more than a round trip, less than most goals.
CONNECT_TIMEOUT_S = 0.12
# Longest idle time of a kept connection that is used again, in seconds. A replica may close an idle
# connection while a request is in transit; a request that may run only once is then lost, so the
# limit for such requests is lower.
SINGLE_RUN_MAX_IDLE_S = 1.5
MAX_IDLE_S = 15.0
# A stream is moved to another replica that can resume it after a pause of this many gap goals, and
# of at least this many seconds. Larger values let the caller wait longer for a stream that has
# stopped; smaller ones move more streams that are only slow, and for each of them the other replica
# reads the whole prompt again.
STALL_MIN_S = 0.9
STALL_GAP_GOALS = 2.0
# Time to wait for the first output before another replica is tried, as a multiple of the goal of
# the route.
FIRST_STALL_GOALS = 1.5
METHODS_WITH_BODY = frozenset((b"POST", b"PUT", b"PATCH"))


class Sender:
    """Sends one request to a replica, and to another one if that replica fails or falls silent.

    A replica that falls silent keeps the request until another one answers: it may be sound and go
    on, and another one may be refused.

    :param parts: components that all exchanges share.
    :param delivery: the part of an answer that the caller has received.
    :param progress: the attempts of the request so far; each send is recorded there.
    :param is_held_back: returns whether the quarantine holds the request back.
    :ivar relay: relay of the latest send; None before the first.
    :ivar undelivered_bytes: bytes that the replica's system had not acknowledged when the latest
        send was given up; None if that is not known or it was not given up.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: Request,
        fields: RequestFields,
        response: ResponseWriter,
        delivery: Delivery,
        progress: Progress,
        is_held_back: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._feedback = Feedback(parts)
        self._request = request
        self._fields = fields
        self._delivery = delivery
        self._progress = progress
        self._response = response
        self._is_held_back = is_held_back
        self._send_log = SendLog(parts, delivery, progress)
        self._takeover = Takeover(self._drop)
        self.relay: Relay | None = None
        self.undelivered_bytes: int | None = None
        self._retained: list[Charge] = []
        self._reading = ResponseReading(parts.memory, response, parts.now)

    @property
    def is_sending(self) -> bool:
        """Whether a replica has the request."""
        return bool(self._takeover.sends)

    @property
    def silent(self) -> Send | None:
        """The send whose replica is silent and may go on; None if there is none."""
        return self._takeover.silent

    @property
    def owes_answer(self) -> bool:
        """Whether a silent replica was given up although no other one has begun to answer."""
        return self._takeover.owes_answer

    def is_still_allowed(self, admission: Admission) -> bool:
        """Return whether the request may go to one more replica under the configuration in force.

        A request whose silent replica was given up may always: that replica would have answered
        it under the configuration that admitted it.
        """
        return self.owes_answer or is_still_allowed(admission, self._parts.catalog())

    def cancel(self) -> None:
        """Abort the sends in progress without an outcome."""
        self._takeover.drop_all()

    def replica_ended(self, replica: str) -> None:
        """Abort a send as if its replica had reset the connection.

        :param replica: id of the replica's start that has ended.
        """
        for each in self._takeover.sends:
            if each.granted.replica.id == replica:
                each.connection.abort_as_reset()

    def caller_can_read(self, can_read: bool) -> None:
        """Pause reading from the replica while the caller reads too slowly."""
        self._reading.set_caller_can_read(can_read)

    def close(self) -> None:
        """Give up what is in progress and refund what is retained of the answers."""
        self._takeover.drop_all()
        for each in self._retained:
            each.release()

    async def send(self, admission: Admission, granted: Granted) -> SendEnd | None:
        """Send the request to the granted replica and wait for the end.

        :return: None if the grant may no longer be used. After :attr:`SendEnd.STALLED` or
            :attr:`SendEnd.PATH_LOST`, the replica may keep the request as :attr:`silent`.
        """
        parts = self._parts
        try:
            connection = await self._connect(admission, granted)
        except asyncio.CancelledError:
            self._return_trial(admission, granted)
            raise
        if isinstance(connection, ConnectFailure):
            if connection in UPSTREAM_FAILURES:
                parts.quarantine.record_unreachable(granted.replica)
            self._progress.tried.append(granted.replica.id)
            self._return_trial(admission, granted)
            has_path = connection is not ConnectFailure.NO_PATH
            return SendEnd.NOT_CONNECTED if has_path else SendEnd.NO_PATH
        # A host that is late may not have read its caller's close yet.
        if not self._may_send(admission, granted) or self._response.check_caller_left():
            parts.connections.release(granted.replica.ip, granted.replica.port, connection)
            self._return_trial(admission, granted)
            # The task has been cancelled if the caller has left.
            await asyncio.sleep(0)
            return None
        return await self._wait_for_end(admission, self._dispatch(admission, granted, connection))

    async def wait_on_silent(self, admission: Admission, send: Send) -> SendEnd:
        """Wait for the end of the silent send, or for its replica to stay silent for longer."""
        self._takeover.resume(self._parts.now())
        self.relay = send.relay
        self._reading.attach(send.connection, send.relay)
        return await self._wait_for_end(admission, send)

    async def _wait_for_end(self, admission: Admission, send: Send) -> SendEnd:
        """Wait for the end of a send, and keep one whose replica falls silent."""
        parts, granted, connection = self._parts, send.granted, send.connection
        try:
            end = await self._wait_for_relay(admission, send)
        except BaseException:
            # An answer that goes on would be charged for a request that has ended.
            self._takeover.end(send)
            self._drop(send)
            raise
        replica = granted.replica
        if end is SendEnd.STALLED:
            self._takeover.keep_silent()
            if send.relay.head is None and not send.waits_since:
                # The other idle connections to this address may be dead as well.
                parts.connections.abort_idle(replica.ip, replica.port)
        else:
            self._takeover.end(send)
            self._reading.end(send.connection)
            self._return_connection(send, end)
        failed = end in (SendEnd.BROKEN, SendEnd.STALLED)
        if failed and await self._has_lost_path(connection, granted):
            return SendEnd.PATH_LOST
        return end

    def _return_connection(self, send: Send, end: SendEnd) -> None:
        replica, connection = send.granted.replica, send.connection
        if not self._finish(send):
            return
        if end is not SendEnd.UNUSABLE and not send.relay.ended_early:
            self._parts.connections.release(replica.ip, replica.port, connection)
        elif not connection.closed:
            self._give_up(connection)

    def _drop(self, send: Send) -> None:
        """Give up a send in progress; a part of an event of a silent one is lost with it."""
        if not self._finish(send):
            return
        if send.is_silent and send.relay.is_declined:
            self._progress.sends.runs -= 1
        self._reading.end(send.connection)
        self._give_up(send.connection)
        send.retained.release()
        if send.is_silent:
            self._delivery.splitter.discard_partial()

    def _finish(self, send: Send) -> bool:
        """Record that a send has finished.

        :return: whether it had not finished before.
        """
        if send.is_finished:
            return False
        send.is_finished = True
        self._parts.rollouts.record_finished(send.granted.replica)
        return True

    async def _has_lost_path(self, connection: ClientConnection, granted: Granted) -> bool:
        """Check whether this node has lost its path to the replica of a failed send."""
        if connection.via:
            # The host on the way, or the path to it, may have failed as well as the replica.
            return True
        replica = granted.replica
        return await self._parts.connections.is_path_lost(replica.ip, replica.port)

    def _may_send(self, admission: Admission, granted: Granted) -> bool:
        """Return whether the grant may still be used after the connection has opened.

        Catalog, quarantine and rollouts may change while the connection opens.
        """
        parts, replica = self._parts, granted.replica
        may_be_on_trial = granted.for_trial or granted.is_version_bound
        found = parts.replicas.find(replica.id, for_trial=may_be_on_trial)
        if found is None or found.version != replica.version:
            return False
        if parts.balancer.rest_left_s((replica,), parts.now()) > 0:
            return False
        if not parts.rollouts.may_send(replica) or self._is_held_back():
            return False
        if self._takeover.has_resumed or not self.has_budget(admission):
            return False
        return self.is_still_allowed(admission)

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
            request_id=self._fields.request_id,
        )

    def _dispatch(
        self, admission: Admission, granted: Granted, connection: ClientConnection
    ) -> Send:
        """Write the request to the connection. From here on the request may have run."""
        parts, progress, request = self._parts, self._progress, self._request
        require(
            progress.sends.runs == 0 or admission.route.repeatable,
            "a request that must not be repeated is sent once",
            request=admission.request_id,
        )
        now = parts.now()
        if progress.sends.arrivals:
            parts.budget.try_spend(admission.service.name, parts.node_count(), now)
        else:
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
        retained = self._open_charge()
        relay = Relay(
            self._delivery,
            parts.headers,
            self._fields.request_id,
            parts.now,
            version=granted.replica.version,
            streams=admission.route.is_stream and request.method != b"HEAD",
            on_first_event=lambda first_s: self._record_first_event(admission, granted, first_s),
            on_answer_head=lambda status, fields: self._feedback.record_answer_head(
                granted, status, fields
            ),
            account=parts.memory,
            retained=retained,
            on_data=self._reading.on_data,
            on_begun=lambda: self._takeover.answer_begun(send),
            on_progress=lambda: self._takeover.answer_progressed(send),
        )
        send = Send(
            granted,
            connection,
            relay,
            retained,
            lambda other, reason: self._send_log.log_given_up(admission, send, other, reason),
        )
        self.relay = relay
        self._takeover.start(send)
        self.undelivered_bytes = None
        progress.sends.runs += 1
        progress.sends.arrivals += 1
        progress.tried.append(granted.replica.id)
        parts.grants.record_started(admission, granted)
        parts.drain.durations.record_dispatch(admission, now)
        parts.rollouts.record_sent(granted.replica)
        parts.log_decision(
            "sent",
            admission,
            replica=granted.replica.id,
            replica_version=granted.replica.version,
            for_trial=granted.for_trial,
            source=granted.source,
            scheduler=granted.scheduler,
            limit_kept_by=_limit_counting_process(granted),
            send=progress.sends.arrivals,
            expected_first_s=round(granted.expected_first_s, 4),
            deadline_s=round(forwarding.deadline_s, 3),
            resumed_after=resumed_after,
            resumes=self._fields.resumes,
            via=connection.via,
        )
        self._send_on(connection, relay, head)
        self._reading.start(connection, relay)
        return send

    def _open_charge(self) -> Charge:
        """Open the charge of a new send, and refund what ended sends have retained."""
        kept = [each.retained for each in self._takeover.sends]
        for each in self._retained:
            if each not in kept:
                each.release()
        charge = self._parts.memory.open(Purpose.RESPONSES_RETAINED)
        self._retained = [*kept, charge]
        return charge

    def _record_first_event(self, admission: Admission, granted: Granted, first_s: float) -> None:
        """Record the first event of a send, before it is forwarded.

        :param first_s: time from the send to the event, in seconds.
        """
        self._parts.grants.record_first_output(admission, granted, first_s)
        if not self._delivery.head_sent:
            record_origin(self._parts.origins, admission, granted.replica)

    def _send_on(self, connection: ClientConnection, relay: Relay, head: bytes) -> None:
        """Write the request; a body is written in pieces where memory is limited."""
        request, is_limited = self._request, self._parts.memory.is_limited
        connection.send(
            head if is_limited else head + request.body,
            relay,
            relay.match_answer,
            request_id=self._fields.request_id,
            bodiless=request.method == b"HEAD",
            upload=Upload(request.body) if is_limited else None,
        )

    async def _wait_for_relay(self, admission: Admission, send: Send) -> SendEnd:
        """Wait for the end of an answer, or until its replica is silent for too long."""
        parts, granted, relay = self._parts, send.granted, send.relay
        while True:
            wait_s = self._stall_deadline(admission, send) - parts.now()
            done, _ = await asyncio.wait([relay.ended], timeout=max(0.001, wait_s))
            granted.events = relay.events
            if relay.first_at:
                granted.first_s = relay.first_at - relay.started_at
            if done:
                return relay.ended.result()
            if parts.now() >= self._stall_deadline(admission, send):
                return SendEnd.STALLED

    def _give_up(self, connection: ClientConnection) -> None:
        """Cancel a send; one that has been cancelled already keeps its record."""
        undelivered_bytes = connection.cancel()
        if undelivered_bytes is not None:
            self.undelivered_bytes = undelivered_bytes

    def has_budget(self, admission: Admission) -> bool:
        """Return whether the retry budget allows one more send; the first needs none."""
        if not self._progress.sends.arrivals:
            return True
        service, now = admission.service.name, self._parts.now()
        return self._parts.budget.remaining(service, self._parts.node_count(), now) >= 1

    def _stall_deadline(self, admission: Admission, send: Send) -> float:
        """Return the time at which a silent replica counts as stalled, on the node's clock."""
        route, sends, relay = admission.route, self._progress.sends, send.relay
        last = not route.repeatable or sends.runs >= route.attempts
        if (
            last
            or not self.has_budget(admission)
            or not may_continue(route, self._delivery.head_sent)
        ):
            return admission.deadline + 1.0
        if self._reading.is_paused:
            # The caller reads slowly, which says nothing of the replica.
            return self._parts.now() + STALL_MIN_S
        if relay.first_at:
            waits_since = max(relay.last_at, send.waits_since)
            return waits_since + max(STALL_MIN_S, STALL_GAP_GOALS * route.gap_goal_s)
        waits_since = max(relay.started_at, relay.resumed_at, send.waits_since)
        return waits_since + FIRST_STALL_GOALS * route.goal_s


def _limit_counting_process(granted: Granted) -> str | None:
    """Return the process that counts a send toward the limit of its replica, or None."""
    if granted.counted:
        return granted.scheduler
    permit = granted.permit
    return permit.keeper if permit is not None and permit.limit_per_s is not None else None
