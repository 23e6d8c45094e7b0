"""
chalkyoke.limits.announcements

Distribution of the rate limits that replicas announce: received in answers, broadcast to all nodes.
"""

import math
from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.messages import ReplicaAttribute, ReplicaAttributes
from chalkyoke.catalog.state import CatalogState
from chalkyoke.limits.known import KnownLimits
from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView

# Name of the limit among the replica attributes in messages between nodes.
LIMIT_ATTRIBUTE = "limit"
# Shortest time between two broadcasts of a replica's limit, in seconds; changes in between are
# combined into one broadcast. A replica may announce another limit in each answer.
BROADCAST_INTERVAL_S = 0.25
# Highest number of changed limits in one message.
MAX_BROADCAST_CHANGES = 500

log = logger("limits")


class LimitAnnouncements:
    """Record the limits that replicas and other nodes report, and broadcast changes.

    :param send: sends a message to a node by its link address.
    :param changed: called after a limit has changed.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        known: KnownLimits,
        view: MembershipView,
        state: CatalogState,
        metrics: Metrics,
        send: Callable[[str, ReplicaAttributes], None],
        changed: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._known = known
        self._view = view
        self._state = state
        self._metrics = metrics
        self._send = send
        self._changed = changed
        self._now = now
        self._broadcast_from: dict[str, float] = {}
        self._pending: set[str] = set()
        metrics.register_gauge("replica_limits", lambda: len(known.limits()))

    def record_answer(self, replica: str, limit_per_s: float | None) -> None:
        """Record the limit in a replica's answer, and broadcast a change.

        :param replica: id of the replica's start.
        :param limit_per_s: requests per second from all nodes; None if the answer has no limit.
        """
        now = self._now()
        if not self._update(replica, limit_per_s, now, "answer"):
            return
        self._changed()
        if now >= self._broadcast_from.get(replica, -math.inf):
            self._broadcast([replica])
        else:
            self._pending.add(replica)

    def apply_report(self, replica: str, limit_per_s: float | None, at: float) -> None:
        """Record the limit that another node sent in a request for a permit; it isn't broadcast.

        :param at: time of the replica's answer, in seconds on this node's clock.
        """
        if self._update(replica, limit_per_s, at, "question"):
            self._changed()

    def receive(self, address: str, message: ReplicaAttributes) -> None:
        """Record the limits in another node's broadcast, and relay it within the failure domain.

        :param address: link address of the node.
        """
        now = self._now()
        limits = [each for each in message.items if each.word == LIMIT_ATTRIBUTE]
        new = [self._update(each.replica, each.value, now - each.age_s, address) for each in limits]
        if any(new):
            self._changed()
        relay_to_domain(self._view, self._send, message)

    def member_joined(self, member: MemberRecord) -> None:
        """Send the limits that this node broadcast to a node that has joined.

        A node that misses this message learns a limit from the first answer of the replica.
        """
        limits = self._known.limits()
        if first_here := [each for each in self._broadcast_from if each in limits][
            :MAX_BROADCAST_CHANGES
        ]:
            self._send(member.address, self._message(first_here))

    def broadcast_pending(self) -> None:
        """Broadcast changes that were delayed, and drop expired state."""
        now = self._now()
        self._known.drop_expired(self._state.replicas.keys(), now)
        self._broadcast_from = {
            name: at for name, at in self._broadcast_from.items() if self._known.has_report(name)
        }
        if late := sorted(self._pending & self._broadcast_from.keys())[:MAX_BROADCAST_CHANGES]:
            self._broadcast(late)
        self._pending &= self._broadcast_from.keys()

    def _update(self, replica: str, limit_per_s: float | None, at: float, source: str) -> bool:
        before = self._known.limit_of(replica)
        if not self._known.update(replica, limit_per_s, at):
            return False
        log.info(
            "replica_limit",
            replica=replica,
            limit_per_s=self._known.limit_of(replica),
            before=before,
            source=source,
            age_s=round(self._now() - at, 4),
        )
        self._metrics.count("replica_limit_changes", source=_metric_source(source))
        return True

    def _broadcast(self, replicas: list[str]) -> None:
        now = self._now()
        for each in replicas:
            self._broadcast_from[each] = now + BROADCAST_INTERVAL_S
        self._pending.difference_update(replicas)
        send_to_all(self._view, self._send, self._message(replicas))

    def _message(self, replicas: list[str]) -> ReplicaAttributes:
        now = self._now()
        return ReplicaAttributes(
            tuple(
                ReplicaAttribute(
                    each,
                    LIMIT_ATTRIBUTE,
                    self._known.limit_of(each),
                    now - self._known.reported_at(each),
                )
                for each in replicas
            )
        )


def _metric_source(source: str) -> str:
    return source if source in ("answer", "question") else "peer"
