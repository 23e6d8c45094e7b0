"""
chalkyoke.quarantine.spread

Quarantine of requests that end the replicas that run them, and of parts of prompts that do. Each
node broadcasts the replica ends that its runs met, and each node decides on its own what to hold
back.
"""

import asyncio
import math
from collections.abc import Callable, Iterable, Mapping

import msgspec

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.quarantine import Identity, SharedParts
from chalkyoke.gateway.reception import Admission
from chalkyoke.http1.dialing import UPSTREAM_FAILURES, ConnectFailure
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.logs import logger
from chalkyoke.membership.view import MembershipView
from chalkyoke.quarantine.evidence import HOLD_S, EvidenceTracker
from chalkyoke.quarantine.messages import (
    HeldRequest,
    HeldRequests,
    HeldSummary,
    QuarantineMessage,
    ReplicaEnded,
    RequestsServed,
    SuspectPart,
    SuspectRun,
)
from chalkyoke.quarantine.runs import UnansweredRuns

# Timeout of the connection that probes whether a replica is alive, in seconds: as for a send.
PROBE_TIMEOUT_S = 0.12
# Number of nodes that get a summary of the held requests each second, while there are any.
SUMMARY_PEERS = 2
# Time after its start in which a node sends summaries without any held requests, in seconds. A node
# that has just started or was cut off then learns the held requests within some 2 s; operators
# allow 3 s.
STARTUP_SUMMARY_S = 5.0
# Highest number of request digests or replica starts in one log line.
MAX_LOGGED_DIGESTS = 10

log = logger("quarantine")


class Quarantine:
    """Find the requests that end replicas, and hold them back.

    :param send: sends a message to a node by its link address.
    :param on_hold: called with a request that is held back from now on, to end waiting attempts.
    :param queue_record: writes a record of a held request to the store.
    :param random: source of numbers in [0, 1).
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        connections: ConnectionPool,
        send: Callable[[str, QuarantineMessage], None],
        metrics: Metrics,
        on_hold: Callable[[bytes], None],
        queue_record: Callable[[bytes], None],
        random: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._connections = connections
        self._send = send
        self._metrics = metrics
        self._on_hold = on_hold
        self._queue_record = queue_record
        self._random = random
        self._now = now
        self._evidence = EvidenceTracker()
        self._runs = UnansweredRuns()
        self._probes: dict[str, asyncio.Task[None]] = {}
        # Parts that this node has reported lately without knowing them as served.
        self._reported_unserved: set[bytes] = set()
        metrics.register_gauge("requests_held_back", lambda: len(self._evidence.held))
        metrics.register_gauge("requests_suspected", lambda: len(self._evidence))

    # Calls of exchanges.

    def is_held(self, request: Identity, parts: SharedParts = ()) -> bool:
        """Return whether a request or a shared part of its prompt is held back."""
        return self.find_held(request, parts) is not None

    def find_held(self, request: Identity, parts: SharedParts = ()) -> bytes | None:
        """Return the digest of the request or of the part that is held back; None if none is."""
        if not self._evidence.holds_any:
            return None
        held_parts = (each for each in parts if self._evidence.is_held(each))
        found = next(held_parts, None)
        if found is not None:
            return found
        digest = request()
        return digest if self._evidence.is_held(digest) else None

    def record_delivered(
        self, replica: Replica, request: Identity, parts: SharedParts = ()
    ) -> None:
        """Record that a replica has served a request in full, and broadcast it for suspects."""
        self.record_answer(replica)
        digest = request()
        suspects = tuple(
            each for each in (digest, *parts) if self._evidence.is_cleared_by_run(each)
        )
        self._evidence.record_delivered(digest, self._now(), parts)
        if not suspects:
            return
        message = RequestsServed(suspects)
        self._apply_served(message)
        self._broadcast(message)

    def record_answer(self, replica: Replica) -> None:
        """Record that a replica has sent any answer, so its broken runs are no sign of its end."""
        self._runs.discard(replica.id)

    def record_broken(
        self,
        admission: Admission,
        replica: Replica,
        request: bytes,
        output_s: float,
        parts: SharedParts = (),
    ) -> None:
        """Record that a replica broke off a run, and probe at once whether the replica has ended.

        The record of a replica is removed only after three heartbeats. Until then further replicas
        may have received the request.
        """
        now = self._now()
        self._runs.add(replica.id, request, now, output_s=output_s, broken=True, parts=parts)
        if replica.id not in self._probes:
            probe = asyncio.ensure_future(self._probe(replica, admission.service.max_connections))
            self._probes[replica.id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(replica.id, None))

    def record_abandoned(
        self, replica: Replica, request: bytes, output_s: float, parts: SharedParts = ()
    ) -> None:
        """Record that the caller or this node has abandoned a run."""
        now = self._now()
        self._runs.add(replica.id, request, now, output_s=output_s, broken=False, parts=parts)

    def record_unreachable(self, replica: Replica) -> None:
        """Record that a replica refuses connections: runs that broke there broke at its end."""
        self._record_end(replica.id, "unreachable")

    async def _probe(self, replica: Replica, max_connections: int) -> None:
        opened = await self._connections.open(
            replica.ip, replica.port, limit=max_connections, timeout_s=PROBE_TIMEOUT_S
        )
        if isinstance(opened, ConnectFailure):
            if opened in UPSTREAM_FAILURES:
                self.record_unreachable(replica)
            return
        # The next request to it may use this connection.
        self._connections.release(replica.ip, replica.port, opened)

    def replicas_changed(self, replicas: Mapping[str, Replica]) -> None:
        """Apply the present list of replicas; a start that is no longer listed has ended."""
        listed = {each.id for each in replicas.values()}
        for start in self._runs.starts(self._now()):
            if start not in listed:
                self._record_end(start, "record")

    def apply_stored_holds(self, held: Iterable[bytes], released: Iterable[bytes]) -> None:
        """Apply the holds in the store, and the releases that operators wrote there.

        The times of these decisions are unknown, so they count from now.
        """
        now = self._now()
        for request in released:
            if self._evidence.record_served(request, now, now):
                log.notice("request_released", digest=_hex_digest(request), why="operator")
        for request in held:
            suspicion = self._evidence.find(request)
            if suspicion is not None and (suspicion.holds or suspicion.is_refuted):
                continue
            if self._evidence.merge_held(HeldRequest(request, 0.0, HOLD_S), now):
                self._begin_hold(request, source="store")

    # Replica ends.

    def _record_end(self, start: str, source: str) -> None:
        """Count the end of a replica against this node's runs there, and broadcast it."""
        now = self._now()
        runs = self._runs.pop(start, now)
        if not runs:
            return
        message = ReplicaEnded(start, tuple(self._with_served_age(each, now) for each in runs))
        parts = {each.part: each.served_age_s for run in message.runs for each in run.parts}
        self._reported_unserved.update(each for each, age_s in parts.items() if age_s < 0)
        digests = [_hex_digest(each.request) for each in runs]
        log.info(
            "replica_ended",
            start=start,
            source=source,
            digests=digests[:MAX_LOGGED_DIGESTS],
            parts=[_hex_digest(each) for each in parts][:MAX_LOGGED_DIGESTS],
        )
        self._metrics.count("replica_ends", source=source)
        for request in self._count_ends(message):
            self._queue_record(request)
        self._broadcast(message)

    def _with_served_age(self, run: SuspectRun, now: float) -> SuspectRun:
        parts = tuple(
            SuspectPart(each.part, self._served_age_s(each.part, now)) for each in run.parts
        )
        age_s = self._served_age_s(run.request, now)
        return msgspec.structs.replace(run, served_age_s=age_s, parts=parts)

    def _served_age_s(self, digest: bytes, now: float) -> float:
        served_at = self._evidence.last_served_at(digest)
        return -1.0 if served_at == -math.inf else now - served_at

    def _count_ends(self, message: ReplicaEnded) -> list[bytes]:
        """Count a replica end against its runs.

        :return: the requests and parts that are held back because of it.
        """
        decided: list[bytes] = []
        for run in message.runs:
            for part in run.parts:
                if self._count_end(part.part, message.start, run, part.served_age_s, is_part=True):
                    decided.append(part.part)
            if self._count_end(run.request, message.start, run, run.served_age_s, is_part=False):
                decided.append(run.request)
        if decided:
            now = self._now()
            for request in self._evidence.release_explained(now):
                log.notice("request_released", digest=_hex_digest(request), why="explained")
        return decided

    def _count_end(
        self, digest: bytes, start: str, run: SuspectRun, served_age_s: float, *, is_part: bool
    ) -> bool:
        """Count a replica end against a run's request or against a part of it.

        :return: whether it is held back because of it.
        """
        now, evidence = self._now(), self._evidence
        if served_age_s >= 0:
            self._record_served_elsewhere(digest, served_age_s)
        at = now - run.age_s
        held = evidence.record_end(digest, start, run.weight, at, now, is_part=is_part)
        suspicion = evidence.find(digest)
        if not held or suspicion is None:
            return False
        starts = sorted(suspicion.ends)[:MAX_LOGGED_DIGESTS]
        for_s = round(suspicion.held_until - now)
        found = evidence.describe(digest, now)
        self._begin_hold(digest, is_part=is_part, starts=starts, for_s=for_s, **found)
        return True

    def _begin_hold(self, request: bytes, **fields: object) -> None:
        log.notice("request_held", digest=_hex_digest(request), **fields)
        self._on_hold(request)

    # Messages.

    def receive(self, address: str, message: QuarantineMessage) -> None:
        """Handle a message of another node.

        :param address: link address of that node.
        """
        if isinstance(message, HeldSummary):
            if message.checksum != self._evidence.checksum():
                self._send(address, HeldRequests(self._evidence.held_requests(self._now())))
        elif isinstance(message, HeldRequests):
            self._merge(address, message)
        else:
            self._apply_report(address, message)

    def _apply_report(self, address: str, message: ReplicaEnded | RequestsServed) -> None:
        if isinstance(message, ReplicaEnded):
            self._tell_served(address, message)
            self._count_ends(message)
            self._record_end(message.start, "peer")
        else:
            self._apply_served(message)
        relay_to_domain(self._view, self._send, message)

    def _tell_served(self, address: str, message: ReplicaEnded) -> None:
        """Tell the sender of a report which of its requests this node has served in full."""
        unknown = {each.request for each in message.runs if each.served_age_s < 0}
        parts = (each for run in message.runs for each in run.parts)
        unknown |= {each.part for each in parts if each.served_age_s < 0}
        served_at = {each: self._evidence.last_served_at(each) for each in unknown}
        known = [each for each, at in served_at.items() if at > -math.inf]
        if known:
            oldest = min(served_at[each] for each in known)
            self._send(address, RequestsServed(tuple(known), self._now() - oldest))

    def _apply_served(self, message: RequestsServed) -> None:
        for request in message.requests:
            self._record_served_elsewhere(request, message.age_s)
        # Only the node that reported an end is told that a part of it has been served. The other
        # nodes have counted the same report.
        told = self._reported_unserved.intersection(message.requests)
        if told:
            self._reported_unserved -= told
            self._broadcast(RequestsServed(tuple(told), message.age_s))

    def _record_served_elsewhere(self, request: bytes, age_s: float) -> None:
        now = self._now()
        if self._evidence.record_served(request, now - age_s, now):
            log.notice("request_released", digest=_hex_digest(request), why="served")

    def _merge(self, address: str, message: HeldRequests) -> None:
        now = self._now()
        for each in message.requests:
            if self._evidence.merge_held(each, now):
                self._begin_hold(each.request, source=address)
        for request, served_at in self._evidence.refuted_holds(message.requests, now):
            self._send(address, RequestsServed((request,), now - served_at))
        if not message.is_answer and len(message.requests) != len(self._evidence.held):
            self._send(address, HeldRequests(self._evidence.held_requests(now), is_answer=True))

    def _broadcast(self, message: ReplicaEnded | RequestsServed) -> None:
        """Send a message to all nodes.

        The summaries of held requests repair messages that are lost with a node or a link.
        """
        send_to_all(self._view, self._send, message)

    # Periodic work and shutdown.

    def close(self) -> None:
        """Cancel the running probes."""
        for probe in self._probes.values():
            probe.cancel()

    def tick(self) -> None:
        """Release requests whose hold is over, and send summaries to some nodes.

        Call about once a second.
        """
        now = self._now()
        self._reported_unserved.clear()
        for request in self._evidence.expire(now):
            log.notice("request_released", digest=_hex_digest(request), why="on probation")
        if not self._evidence.holds_any and now > STARTUP_SUMMARY_S:
            return
        summary = HeldSummary(self._evidence.checksum())
        for address in self._sample_peers():
            self._send(address, summary)

    def _sample_peers(self) -> Iterable[str]:
        """Choose random nodes among the direct receivers of broadcasts.

        Links to all other nodes would grow with the square of the number of nodes.
        """
        direct, relays = self._view.broadcast_targets()
        others = [*direct, *relays]
        count = min(SUMMARY_PEERS, len(others))
        return {others[int(self._random() * len(others))] for _ in range(count)}


def _hex_digest(request: bytes) -> str:
    return request.hex()
