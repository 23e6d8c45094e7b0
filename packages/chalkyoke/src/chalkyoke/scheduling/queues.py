"""
chalkyoke.scheduling.queues

Queues of waiting requests by tier and team: strict priority between tiers, fair shares of measured
work between teams, and earliest deadline first within a team.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator

from chalkyoke.scheduling.state import WaitingRequest
from chalkyoke.scheduling.versionroutes import is_version_route

# Order of a queue: whether its requests are new, the team's virtual time, the team and the route.
_OrderKey = tuple[bool, float, str, str]

# Number of requests at the front of a queue that are tried in one decision: the first may fit no
# upstream.
MAX_PEEKED_REQUESTS = 4
# Number of short requests that may take reserved slots while a long request of their tier waits for
# an unreserved one. Further ones wait until a long request has started; without this bound, short
# requests take each slot that becomes free.
MAX_OVERTAKES = 1


class TeamQueue:
    """Order one team's waiting requests of one tier and route by deadline, late ones last."""

    __slots__ = ("_items", "name", "route")

    def __init__(self, name: str, route: str) -> None:
        self.name = name
        self.route = route
        self._items: list[tuple[bool, float, int, WaitingRequest]] = []

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: WaitingRequest) -> None:
        """Add a request in its order."""
        insort(self._items, (item.late, item.precedence, item.order, item))

    def discard(self, item: WaitingRequest) -> None:
        """Remove a request; its ``late`` flag must be the same as when it was added."""
        del self._items[bisect_left(self._items, (item.late, item.precedence, item.order))]

    def front(self) -> list[WaitingRequest]:
        """List the first few requests, earliest deadline first.

        :rtype: list[WaitingRequest]
        """
        return [entry[3] for entry in self._items[:MAX_PEEKED_REQUESTS]]

    def ordered(self) -> list[WaitingRequest]:
        """List all requests, earliest deadline first and late ones last.

        :rtype: list[WaitingRequest]
        """
        return [entry[3] for entry in self._items]


class TierQueue:
    """The waiting requests of one tier.

    Teams share the tier by start-time fair queueing: the team with the lowest virtual time goes
    first, and a grant adds its work divided by the team's weight. Source: Goyal, Vin and Cheng,
    "Start-time Fair Queueing", 1996.

    :ivar size: number of waiting requests.
    :ivar late: number of waiting requests that are predicted to be late.
    :ivar promised: number of waiting retries that returned at their assigned times.
    :ivar work: work of the waiting requests, in seconds.
    """

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.size = 0
        self.late = 0
        self.work = 0.0
        self.promised = 0
        self.long_waiting: dict[str, int] = {}
        self._overtakes = 0
        self._team_work: dict[str, float] = {}
        self._queues: dict[tuple[str, str], TeamQueue] = {}
        self._team_order: list[_OrderKey] = []
        self._backlog: dict[str, int] = {}
        self._virtual: dict[str, float] = {}
        self._floor = 0.0

    def push(self, item: WaitingRequest) -> None:
        """Add a request; an idle team's virtual time is raised to the lowest of the others."""
        if item.team not in self._backlog:
            level = min((self._virtual[team] for team in self._backlog), default=self._floor)
            self._virtual[item.team] = max(self._virtual.get(item.team, 0.0), level)
        self._backlog[item.team] = self._backlog.get(item.team, 0) + 1

        key = (item.team, item.route)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = TeamQueue(item.team, item.route)
            insort(self._team_order, _order_key(self._virtual[item.team], *key))
        queue.push(item)
        self.size += 1
        self.late += item.late
        self.work += item.work
        self.promised += item.is_promised_retry
        if item.is_long:
            self.long_waiting[item.route] = self.long_waiting.get(item.route, 0) + 1
        self._team_work[item.team] = self._team_work.get(item.team, 0.0) + item.work

    def discard(self, item: WaitingRequest) -> None:
        """Remove a request; empty queues are deleted."""
        key = (item.team, item.route)
        queue = self._queues[key]
        queue.discard(item)
        self.size -= 1
        self.late -= item.late
        self.promised -= item.is_promised_retry
        if item.is_long:
            self.long_waiting[item.route] -= 1
            if self.long_waiting[item.route] == 0:
                del self.long_waiting[item.route]
        if not queue:
            del self._queues[key]
            self._team_order.remove(_order_key(self._virtual[item.team], *key))

        self._backlog[item.team] -= 1
        self.work = self.work - item.work if self.size else 0.0
        self._team_work[item.team] -= item.work
        if self._backlog[item.team] == 0:
            del self._backlog[item.team]
            del self._team_work[item.team]

    @property
    def may_overtake(self) -> bool:
        """Whether a short request may take a reserved slot while a long one waits."""
        return self._overtakes < MAX_OVERTAKES

    def record_start(self, item: WaitingRequest, *, from_reserve: bool) -> None:
        """Count the short requests that have overtaken the waiting long ones.

        :param from_reserve: whether the request has taken a reserved slot.
        """
        if item.is_long or not self.long_waiting:
            self._overtakes = 0
        elif from_reserve:
            self._overtakes += 1

    def team_work(self, team: str) -> float:
        """Return the work of a team's waiting requests, in seconds.

        :rtype: float
        """
        return self._team_work.get(team, 0.0)

    def charge_team(self, team: str, work: float, weight: float) -> None:
        """Charge work to a team's virtual time.

        :param work: seconds; negative to refund work that was charged before and not used.
        :param weight: the team's weight.
        """
        before = self._virtual.get(team, self._floor)
        if work > 0:
            self._floor = max(self._floor, before)
        after = max(0.0, before + work / weight)
        self._virtual[team] = after
        if team not in self._backlog:
            return
        for key in [each for each in self._team_order if each[2] == team]:
            self._team_order.remove(key)
            insort(self._team_order, _order_key(after, *key[2:]))

    def virtual_time(self, team: str) -> float:
        """Return a team's virtual time, in seconds of work per weight.

        :rtype: float
        """
        return self._virtual.get(team, self._floor)

    def set_late(self, item: WaitingRequest, late: bool) -> None:
        """Set whether a request is predicted to be late, and move it in its queue."""
        if item.late == late:
            return
        queue = self._queues[item.team, item.route]
        queue.discard(item)
        self.late += late - item.late
        item.late = late
        queue.push(item)

    def ordered_queues(self, fair: bool = True) -> Iterator[TeamQueue]:
        """Iterate over the non-empty queues in the order of their teams' virtual times.

        Streams that have begun precede new requests: only upstreams of one version can go on with
        them, and new requests would take all of these.

        Requests must not be added, removed or charged during the iteration.

        :param fair: if false, the queues are ordered by their first deadlines instead.
        """
        if fair:
            return (self._queues[key[2:]] for key in self._team_order)
        return iter(
            sorted(
                self._queues.values(),
                key=lambda each: (each.front()[0].precedence, each.name, each.route),
            )
        )

    def items(self) -> Iterator[WaitingRequest]:
        """Iterate over all waiting requests, queue by queue."""
        for queue in self._queues.values():
            yield from queue.ordered()

    def fair_order(self, weights: dict[str, float]) -> Iterator[WaitingRequest]:
        """Iterate over all waiting requests in the order in which they would be granted.

        The iteration charges copies of the virtual times and changes no state.

        :param weights: weight by team; a missing team has weight 1.
        """
        virtual = {team: self._virtual[team] for team in self._backlog}
        queues = {key: queue.ordered() for key, queue in self._queues.items()}
        heap = [(_order_key(virtual[key[0]], *key), 0) for key in queues]
        heapq.heapify(heap)
        while heap:
            (_, level, *key), index = heapq.heappop(heap)
            team, route = key
            if level < virtual[team]:
                heapq.heappush(heap, (_order_key(virtual[team], team, route), index))
                continue

            waiting = queues[team, route]
            item = waiting[index]
            yield item
            virtual[team] += item.work / weights.get(team, 1.0)
            if index + 1 < len(waiting):
                heapq.heappush(heap, (_order_key(virtual[team], team, route), index + 1))


def _order_key(virtual: float, team: str, route: str) -> _OrderKey:
    """Return the key by which the queues of a tier are ordered."""
    return not is_version_route(route), virtual, team, route
