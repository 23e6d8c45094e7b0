"""
chalkyoke.node.announcements

Applies what replicas state in their answers. That a replica leaves and its rate limit for all nodes
are broadcast; that it wants no requests of this node for a while is applied here only.
"""

from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.balancing.brittle import BrittleReplicas
from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.messages import ReplicasLeaving
from chalkyoke.catalog.resources import Replica
from chalkyoke.catalog.state import CatalogState
from chalkyoke.gateway.statements import Statement
from chalkyoke.limits.announcements import LimitAnnouncements
from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView

log = logger("announcements")


class Announcements:
    """Apply the statements of replicas and the leaving replicas that other nodes broadcast.

    :param nodes: returns the number of nodes that may exist in the fleet.
    :param send: sends a message to a node by its link address.
    :param changed: called after a replica's standing has changed.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        state: CatalogState,
        balancer: LocalBalancer,
        brittle: BrittleReplicas,
        nodes: Callable[[], int],
        limits: LimitAnnouncements,
        metrics: Metrics,
        send: Callable[[str, ReplicasLeaving], None],
        changed: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._state = state
        self._balancer = balancer
        self._brittle = brittle
        self._nodes = nodes
        self._limits = limits
        self._metrics = metrics
        self._send = send
        self._changed = changed
        self._now = now
        self._first_announced_here: set[str] = set()

    def record_answer(self, replica: Replica, statement: Statement) -> None:
        """Apply the statement of a replica in one of its answers."""
        if statement.leaving:
            self._apply_leaving(replica)
        rest_s = max(statement.rest_s, self._record_rejections(replica, statement))
        if rest_s > 0:
            self._apply_rest(replica, rest_s)
        if statement.reports_limit:
            self._limits.record_answer(replica.id, statement.limit_per_s)

    def _record_rejections(self, replica: Replica, statement: Statement) -> float:
        """Record how many rejections the replica survives, and return the pause after one."""
        service, now = replica.service, self._now()
        was_brittle = self._brittle.is_brittle(service, now)
        self._brittle.record_answer(service, replica.id, statement.max_rejections_per_s, now)
        is_brittle = self._brittle.is_brittle(service, now)
        if is_brittle != was_brittle:
            log.notice(
                "service_brittle",
                service=service,
                brittle=is_brittle,
                max_rejections_per_s=statement.max_rejections_per_s,
            )
        if not statement.is_rejection:
            return 0.0
        return self._brittle.pause_s(service, replica.id, self._nodes())

    def _apply_leaving(self, replica: Replica) -> None:
        """Mark a replica as leaving and broadcast it, unless it is already known to leave.

        The answers state it some milliseconds before the replica's record does, and are the only
        source while the store sends no updates: a scheduler that relied on the record alone would
        keep sending requests to the replica.
        """
        if not self._state.mark_leaving(replica.id, self._now()):
            return
        self._first_announced_here = {*self._announced_leaving(), replica.id}
        self._changed()
        told_to = send_to_all(self._view, self._send, ReplicasLeaving((replica.id,)))
        log.info("replica_leaves", replica=replica.id, source="answer", told_to=told_to)
        self._metrics.count("replica_leaves", source="answer")

    def _apply_rest(self, replica: Replica, seconds: float) -> None:
        """Stop sending requests to a replica for the time that it asked for."""
        is_new, for_s = self._balancer.record_rest(replica.id, seconds, self._now())
        if is_new:
            log.info("replica_rests", replica=replica.id, asked_s=seconds, for_s=for_s)
            self._metrics.count("replica_rests")

    def receive(self, address: str, message: ReplicasLeaving) -> None:
        """Apply and relay a broadcast of leaving replicas.

        :param address: link address of the sender.
        """
        now = self._now()
        new = [each for each in message.replicas if self._state.mark_leaving(each, now)]
        if new:
            self._changed()
        for each in new:
            log.info("replica_leaves", replica=each, source=address)
            self._metrics.count("replica_leaves", source="peer")
        relay_to_domain(self._view, self._send, message)

    def member_joined(self, member: MemberRecord) -> None:
        """Send the leaving replicas that the store may not have to a node that has joined.

        The node has started or was cut off. The replicas are those that were first announced to
        this node and those that a restored store has lost. A node that misses this message learns
        it from the first answer of the replica itself.
        """
        leaving = self._announced_leaving() | self._state.leaving_despite_restore()
        if leaving:
            self._send(member.address, ReplicasLeaving(tuple(sorted(leaving))))

    def _announced_leaving(self) -> set[str]:
        """Return the replicas first announced to this node that still count as leaving.

        This bounds the set.
        """
        return {each for each in self._first_announced_here if self._state.is_leaving(each)}
