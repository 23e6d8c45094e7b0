"""
chalkyoke.node.announcements

What replicas say of themselves in their answers: that they leave and what they take from all nodes,
which all nodes are told, and that they want nothing of this node for a while.
"""

from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
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
    """Take what replicas say, and what other nodes were told.

    :param send: sends a message to a node by its link address.
    :param changed: called after a replica's standing has changed.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        state: CatalogState,
        balancer: LocalBalancer,
        limits: LimitAnnouncements,
        metrics: Metrics,
        send: Callable[[str, ReplicasLeaving], None],
        changed: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._state = state
        self._balancer = balancer
        self._limits = limits
        self._metrics = metrics
        self._send = send
        self._changed = changed
        self._now = now
        self._first_announced_here: set[str] = set()

    def record_answer(self, replica: Replica, statement: Statement) -> None:
        """Take what an answer says of its replica."""
        if statement.leaving:
            self._apply_leaving(replica)
        if statement.rest_s > 0:
            self._apply_rest(replica, statement.rest_s)
        if statement.reports_limit:
            self._limits.note_answer(replica.id, statement.limit_per_s)

    def _apply_leaving(self, replica: Replica) -> None:
        """Note that a replica says that it leaves, and tell all nodes unless its record did.

        Its answers tell it some milliseconds before its record does, and alone while the store is
        silent: a scheduler that knew the record only would go on sending it work.
        """
        if not self._state.mark_leaving(replica.id, self._now()):
            return
        self._first_announced_here = {*self._announced_leaving(), replica.id}
        self._changed()
        told_to = send_to_all(self._view, self._send, ReplicasLeaving((replica.id,)))
        log.info("replica_leaves", replica=replica.id, source="answer", told_to=told_to)
        self._metrics.count("replica_leaves", source="answer")

    def _apply_rest(self, replica: Replica, seconds: float) -> None:
        """Note that a replica wants nothing of this node for some time."""
        is_new, for_s = self._balancer.record_rest(replica.id, seconds, self._now())
        if is_new:
            log.info("replica_rests", replica=replica.id, asked_s=seconds, for_s=for_s)
            self._metrics.count("replica_rests")

    def receive(self, address: str, message: ReplicasLeaving) -> None:
        """Take what another node was told.

        :param address: link address of the node.
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
        """Tell a node that has started or was cut off who leaves, where the store may not do so.

        That is what was first heard here, and what a restored store has lost. A node that misses
        this learns it by the first answer of the replica itself.
        """
        leaving = self._announced_leaving() | self._state.leaving_despite_restore()
        if leaving:
            self._send(member.address, ReplicasLeaving(tuple(sorted(leaving))))

    def _announced_leaving(self) -> set[str]:
        """Give what was first heard here and is still remembered, which bounds it."""
        return {each for each in self._first_announced_here if self._state.is_leaving(each)}
