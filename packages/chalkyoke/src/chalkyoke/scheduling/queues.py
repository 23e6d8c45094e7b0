"""
chalkyoke.scheduling.queues

Waiting requests by tier and team: tiers strictly, teams by fair shares of measured work, and the
earliest deadline first inside a team.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator

from chalkyoke.scheduling.state import WaitingRequest

# Requests of a queue that are tried for a slot in one decision: the first may fit nowhere.
MAX_PEEKED_REQUESTS = 4


class TeamQueue:
    """One team's waiting requests of one tier and route: by deadline, late ones last."""

    __slots__ = ("_items", "name", "route")

    def __init__(self, name: str, route: str) -> None:
        self.name = name
        self.route = route
        self._items: list[tuple[bool, float, int, WaitingRequest]] = []

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: WaitingRequest) -> None:
        """Add a request."""
        insort(self._items, (item.late, item.due, item.order, item))

    def discard(self, item: WaitingRequest) -> None:
        """Take a request out."""
        del self._items[bisect_left(self._items, (item.late, item.due, item.order))]

    def front(self) -> list[WaitingRequest]:
        """List a few requests from the front; the first has the earliest deadline.

        :rtype: list[Waiting]
        """
        return [entry[3] for entry in self._items[:MAX_PEEKED_REQUESTS]]

    def ordered(self) -> list[WaitingRequest]:
        """List all waiting requests, earliest deadline first.

        :rtype: list[Waiting]
        """
        return [entry[3] for entry in self._items]


class TierQueue:
    """The waiting requests of one tier.

    Teams share by start-time fair queueing: the team with the least virtual time goes first, and a
    grant adds its work divided by the team's weight. Source: Goyal, Vin and Cheng, "Start-time
    Fair Queueing", 1996.
    """

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.size = 0
        self.late = 0
        self._queues: dict[tuple[str, str], TeamQueue] = {}
        self._order: list[tuple[float, str, str]] = []
        self._backlog: dict[str, int] = {}
        self._virtual: dict[str, float] = {}
        self._floor = 0.0

    def push(self, item: WaitingRequest) -> None:
        """Add a request; a team that was idle starts level with the others."""
        if item.team not in self._backlog:
            level = min((self._virtual[team] for team in self._backlog), default=self._floor)
            self._virtual[item.team] = max(self._virtual.get(item.team, 0.0), level)
        self._backlog[item.team] = self._backlog.get(item.team, 0) + 1

        key = (item.team, item.route)
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = TeamQueue(item.team, item.route)
            insort(self._order, (self._virtual[item.team], *key))
        queue.push(item)
        self.size += 1
        self.late += item.late

    def discard(self, item: WaitingRequest) -> None:
        """Take a request out."""
        key = (item.team, item.route)
        queue = self._queues[key]
        queue.discard(item)
        self.size -= 1
        self.late -= item.late
        if not queue:
            del self._queues[key]
            self._order.remove((self._virtual[item.team], *key))

        self._backlog[item.team] -= 1
        if self._backlog[item.team] == 0:
            del self._backlog[item.team]

    def charge_team(self, team: str, work: float, weight: float) -> None:
        """Add work to a team's share.

        :param work: seconds; negative where less was used than charged before.
        :param weight: the team's weight.
        """
        before = self._virtual.get(team, self._floor)
        if work > 0:
            self._floor = max(self._floor, before)
        after = max(0.0, before + work / weight)
        self._virtual[team] = after
        if team not in self._backlog:
            return
        for key in [each for each in self._order if each[1] == team]:
            self._order.remove(key)
            insort(self._order, (after, *key[1:]))

    def virtual_time(self, team: str) -> float:
        """Give a team's virtual time, in seconds of work per weight.

        :rtype: float
        """
        return self._virtual.get(team, self._floor)

    def set_late(self, item: WaitingRequest, late: bool) -> None:
        """Note whether a request is predicted to be late; its place in the queue changes."""
        if item.late == late:
            return
        queue = self._queues[item.team, item.route]
        queue.discard(item)
        self.late += late - item.late
        item.late = late
        queue.push(item)

    def ordered_queues(self, fair: bool = True) -> Iterator[TeamQueue]:
        """Walk over the queues that wait, in the order of their teams' shares.

        Nothing may be pushed, discarded or charged during the walk.

        :param fair: else in the order of their first deadlines.
        """
        if fair:
            return (self._queues[key[1:]] for key in self._order)
        return iter(
            sorted(
                self._queues.values(),
                key=lambda each: (each.front()[0].due, each.name, each.route),
            )
        )

    def items(self) -> Iterator[WaitingRequest]:
        """Walk over all waiting requests, team by team."""
        for queue in self._queues.values():
            yield from queue.ordered()

    def fair_order(self, weights: dict[str, float]) -> Iterator[WaitingRequest]:
        """Walk over all waiting requests in the order in which they would be granted.

        The walk charges copies of the virtual times; nothing changes.

        :param weights: weight by team; 1 where a team has none.
        """
        virtual = {team: self._virtual[team] for team in self._backlog}
        queues = {key: queue.ordered() for key, queue in self._queues.items()}
        heap = [(virtual[key[0]], key, 0) for key in queues]
        heapq.heapify(heap)
        while heap:
            level, key, index = heapq.heappop(heap)
            team = key[0]
            if level < virtual[team]:
                heapq.heappush(heap, (virtual[team], key, index))
                continue

            item = queues[key][index]
            yield item
            virtual[team] += item.work / weights.get(team, 1.0)
            if index + 1 < len(queues[key]):
                heapq.heappush(heap, (virtual[team], key, index + 1))
