"""
chalkyoke.quarantine.spread

Requests that end the replicas that run them: what this node's runs met is told to all nodes, and
each holds back by itself what too many replicas have ended under.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.quarantine import Identity
from chalkyoke.gateway.reception import Admission
from chalkyoke.http1.pool import ConnectFailure, ConnectionPool
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
)
from chalkyoke.quarantine.runs import UnansweredRuns

# How long the connection may take that tells whether a replica lives, in seconds: as for a send.
PROBE_S = 0.12
# Whom a node tells each second what it holds back while that is anything, and in its first seconds:
# who was cut off, or has just started, then knows in some 2 s; operators allow 3.
SUMMARIES = 2
ASKS_FOR_S = 5.0
# Requests that one line names at most.
MOST_NAMED = 10

log = logger("quarantine")


class Quarantine:
    """Find the requests that end replicas, and hold them back.

    :param send: sends a message to a node by its link address.
    :param hold: ends what waits here of a request that is held back from now on.
    :param remember: puts a request that is held back into the store.
    :param random: source of numbers in [0, 1).
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        connections: ConnectionPool,
        send: Callable[[str, QuarantineMessage], None],
        metrics: Metrics,
        hold: Callable[[bytes], None],
        remember: Callable[[bytes], None],
        random: Callable[[], float],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._connections = connections
        self._send = send
        self._metrics = metrics
        self._hold = hold
        self._remember = remember
        self._random = random
        self._now = now
        self._book = EvidenceTracker()
        self._runs = UnansweredRuns()
        self._probes: dict[str, asyncio.Task[None]] = {}
        metrics.gauge("requests_held_back", lambda: len(self._book.held))
        metrics.gauge("requests_suspected", lambda: len(self._book))

    # What exchanges ask and tell.

    def holds(self, request: Identity) -> bool:
        """Tell whether a request is held back."""
        return self._book.holds_any and self._book.is_held(request())

    def delivered(self, replica: Replica, request: Identity) -> None:
        """Note that a replica has served a request whole."""
        self.answered(replica)
        name = request()
        self._book.record_delivered(name, self._now())
        known = self._book.find(name)
        if known is None or not known.ends:
            return
        message = RequestsServed((name,))
        self._take_served(message)
        self._tell(message)

    def answered(self, replica: Replica) -> None:
        """Note that a replica has answered, whatever it was."""
        self._runs.note_alive(replica.id)

    def broke_off(
        self, admission: Admission, replica: Replica, request: bytes, output_s: float
    ) -> None:
        """Note that a replica broke a run off, and find out at once whether it has ended.

        Its record goes only after three heartbeats, when the next replicas have met the request.
        """
        now = self._now()
        self._runs.add(replica.id, request, now, output_s=output_s, broken=True)
        if replica.id not in self._probes:
            probe = asyncio.ensure_future(self._probe(replica, admission.service.max_connections))
            self._probes[replica.id] = probe
            probe.add_done_callback(lambda _: self._probes.pop(replica.id, None))

    def left(self, replica: Replica, request: bytes, output_s: float) -> None:
        """Note that this side has left a run."""
        now = self._now()
        self._runs.add(replica.id, request, now, output_s=output_s, broken=False)

    def unreachable(self, replica: Replica) -> None:
        """Note that a replica can't be connected to: what broke there was its end."""
        self._ended(replica.id, "unreachable")

    async def _probe(self, replica: Replica, most: int) -> None:
        opened = await self._connections.open(
            replica.ip, replica.port, limit=most, timeout_s=PROBE_S
        )
        if isinstance(opened, ConnectFailure):
            if opened is not ConnectFailure.AT_LIMIT:
                self.unreachable(replica)
            return
        # The next request to it may use this connection.
        self._connections.give_back(replica.ip, replica.port, opened)

    def replicas_changed(self, replicas: Mapping[str, Replica]) -> None:
        """Take the replicas that there are; a start that is no longer among them has ended."""
        there = {each.id for each in replicas.values()}
        for start in self._runs.starts(self._now()):
            if start not in there:
                self._ended(start, "record")

    def apply_stored_holds(self, held: Iterable[bytes], released: Iterable[bytes]) -> None:
        """Take what the store says is held back, and what operators have released there.

        How long ago that was decided is not known, so it counts from now.
        """
        now = self._now()
        for request in released:
            if self._book.record_served(request, now):
                log.notice("request_released", digest=_name(request), why="operator")
        for request in held:
            known = self._book.find(request)
            if known is not None and (known.holds or known.is_refuted):
                continue
            if self._book.merge_held(HeldRequest(request, 0.0, HOLD_S), now):
                self._begin_hold(request, source="store")

    # Ends.

    def _ended(self, start: str, source: str) -> None:
        """Count the end of a replica against what ran there from here, and tell all nodes."""
        now = self._now()
        runs = self._runs.pop(start, now)
        if not runs:
            return
        message = ReplicaEnded(start, runs)
        names = [_name(each.request) for each in runs]
        log.info("replica_ended", start=start, source=source, digests=names[:MOST_NAMED])
        self._metrics.count("replica_ends", source=source)
        for request in self._count(message):
            self._remember(request)
        self._tell(message)

    def _count(self, message: ReplicaEnded) -> list[bytes]:
        """Count an end; give the requests that are held back for it."""
        now = self._now()
        decided: list[bytes] = []
        for run in message.runs:
            book = self._book
            held = book.record_end(run.request, message.start, run.weight, now - run.age_s, now)
            known = book.find(run.request)
            if held and known is not None:
                decided.append(run.request)
                starts = sorted(known.ends)[:MOST_NAMED]
                for_s = round(known.held_until - now)
                self._begin_hold(run.request, starts=starts, for_s=for_s)
        if decided:
            for request in self._book.release_explained():
                log.notice("request_released", digest=_name(request), why="explained")
        return decided

    def _begin_hold(self, request: bytes, **evidence: object) -> None:
        log.notice("request_held", digest=_name(request), **evidence)
        self._hold(request)

    # Messages.

    def receive(self, address: str, message: QuarantineMessage) -> None:
        """Take what another node tells.

        :param address: link address of the node.
        """
        if isinstance(message, HeldSummary):
            if message.checksum != self._book.checksum():
                self._send(address, HeldRequests(self._book.held_requests(self._now())))
        elif isinstance(message, HeldRequests):
            self._merge(address, message)
        else:
            self._take_news(message)

    def _take_news(self, message: ReplicaEnded | RequestsServed) -> None:
        if isinstance(message, ReplicaEnded):
            self._count(message)
            self._ended(message.start, "peer")
        else:
            self._take_served(message)
        relay_to_domain(self._view, self._send, message)

    def _take_served(self, message: RequestsServed) -> None:
        at = self._now() - message.age_s
        for request in message.requests:
            if self._book.record_served(request, at):
                log.notice("request_released", digest=_name(request), why="served")

    def _merge(self, address: str, message: HeldRequests) -> None:
        now = self._now()
        for each in message.requests:
            if self._book.merge_held(each, now):
                self._begin_hold(each.request, source=address)
        for request, served_at in self._book.refuted(message.requests, now):
            self._send(address, RequestsServed((request,), now - served_at))
        if not message.is_answer and len(message.requests) != len(self._book.held):
            self._send(address, HeldRequests(self._book.held_requests(now), is_answer=True))

    def _tell(self, message: ReplicaEnded | RequestsServed) -> None:
        """Tell all nodes; what is lost with a node or a link is told again by what is held back."""
        send_to_all(self._view, self._send, message)

    # Time.

    def close(self) -> None:
        """Give up what is still being found out."""
        for probe in self._probes.values():
            probe.cancel()

    def tick(self) -> None:
        """Let go what is due, and compare with some other nodes; call about once a second."""
        now = self._now()
        for request in self._book.expire(now):
            log.notice("request_released", digest=_name(request), why="on probation")
        if not self._book.holds_any and now > ASKS_FOR_S:
            return
        summary = HeldSummary(self._book.checksum())
        for address in self._some_others():
            self._send(address, summary)

    def _some_others(self) -> Iterable[str]:
        """Choose among those who are told news too: links to all others would grow as a square."""
        direct, relays = self._view.broadcast_targets()
        others = [*direct, *relays]
        count = min(SUMMARIES, len(others))
        return {others[int(self._random() * len(others))] for _ in range(count)}


def _name(request: bytes) -> str:
    return request.hex()
