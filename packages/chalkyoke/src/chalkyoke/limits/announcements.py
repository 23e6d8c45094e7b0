"""
chalkyoke.limits.announcements

The limits that replicas name: heard in answers, told to all nodes, kept by those that count.
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

# The word of messages between nodes.
LIMIT = "limit"
# How soon after one change of a replica's limit the next one is told to all nodes, in seconds; what
# has changed meanwhile is told once. A replica may name another limit in each answer.
BROADCAST_S = 0.25
# Changes of limits that one message tells at most, in number.
MOST_BROADCAST = 500

log = logger("limits")


class LimitAnnouncements:
    """Take what replicas say of their limits, and what other nodes were told.

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
        metrics.gauge("replica_limits", lambda: len(known.limits()))

    def note_answer(self, replica: str, limit_per_s: float | None) -> None:
        """Take a replica's own word, and tell all nodes what is new.

        :param replica: id of its start.
        :param limit_per_s: requests a second from all nodes; nothing where it names no limit.
        """
        now = self._now()
        if not self._take(replica, limit_per_s, now, "answer"):
            return
        self._changed()
        if now >= self._broadcast_from.get(replica, -math.inf):
            self._broadcast([replica])
        else:
            self._pending.add(replica)

    def apply_report(self, replica: str, limit_per_s: float | None, at: float) -> None:
        """Take what another node believes that asks this one.

        :param at: when the replica said so, on this node's clock.
        """
        if self._take(replica, limit_per_s, at, "question"):
            self._changed()

    def receive(self, address: str, message: ReplicaAttributes) -> None:
        """Take what another node was told.

        :param address: link address of the node.
        """
        now = self._now()
        limits = [each for each in message.items if each.name == LIMIT]
        new = [self._take(each.replica, each.value, now - each.age_s, address) for each in limits]
        if any(new):
            self._changed()
        relay_to_domain(self._view, self._send, message)

    def member_joined(self, member: MemberRecord) -> None:
        """Tell a node that has started or was cut off the limits that were first heard here.

        A node that misses this learns it by the first answer of the replica itself.
        """
        limits = self._known.limits()
        if first_here := [each for each in self._broadcast_from if each in limits][:MOST_BROADCAST]:
            self._send(member.address, self._message(first_here))

    def broadcast_pending(self) -> None:
        """Tell what has changed since it was told last, and drop what is over."""
        now = self._now()
        self._known.forget(self._state.replicas.keys(), now)
        self._broadcast_from = {
            name: at for name, at in self._broadcast_from.items() if self._known.has_report(name)
        }
        if late := sorted(self._pending & self._broadcast_from.keys())[:MOST_BROADCAST]:
            self._broadcast(late)
        self._pending &= self._broadcast_from.keys()

    def _take(self, replica: str, limit_per_s: float | None, at: float, source: str) -> bool:
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
        self._metrics.count("replica_limit_changes", source=_kind(source))
        return True

    def _broadcast(self, replicas: list[str]) -> None:
        now = self._now()
        for each in replicas:
            self._broadcast_from[each] = now + BROADCAST_S
        self._pending.difference_update(replicas)
        send_to_all(self._view, self._send, self._message(replicas))

    def _message(self, replicas: list[str]) -> ReplicaAttributes:
        now = self._now()
        return ReplicaAttributes(
            tuple(
                ReplicaAttribute(
                    each, LIMIT, self._known.limit_of(each), now - self._known.reported_at(each)
                )
                for each in replicas
            )
        )


def _kind(source: str) -> str:
    return source if source in ("answer", "question") else "peer"
