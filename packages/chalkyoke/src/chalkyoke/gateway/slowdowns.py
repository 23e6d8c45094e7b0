"""
chalkyoke.gateway.slowdowns

Answers of a service that took longer than all recent ones of their route, as evidence for its other
routes: their own answers show it only once they have ended. Performs no I/O.
"""

from collections import deque

import msgspec

# Number of slow answers of a service that are kept.
MAX_SLOW_ANSWERS = 16
# How long a slow answer counts after the dispatch of its request, in seconds.
MAX_AGE_S = 30.0


class SlowAnswer(msgspec.Struct, frozen=True):
    """An answer that took longer than all recent ones of its route.

    :param dispatched_at: when its request was dispatched, on the node's clock.
    :param excess_s: by how much it took longer, in seconds.
    """

    dispatched_at: float
    excess_s: float


class Slowdowns:
    """The recent slow answers of each service, and what its routes have seen since."""

    def __init__(self) -> None:
        self._slow: dict[str, deque[SlowAnswer]] = {}
        # When the latest request of a route and service whose answer has ended was dispatched.
        self._latest_ended: dict[tuple[str, str], float] = {}

    def record(self, key: tuple[str, str], dispatched_at: float, excess_s: float) -> None:
        """Record an answer that has ended.

        :param key: route and service.
        :param dispatched_at: when its request was dispatched, on the node's clock.
        :param excess_s: by how much it took longer than all before, in seconds; 0 if it did not.
        """
        self._latest_ended[key] = max(dispatched_at, self._latest_ended.get(key, dispatched_at))
        if excess_s > 0.0:
            slow = self._slow.setdefault(key[1], deque(maxlen=MAX_SLOW_ANSWERS))
            slow.append(SlowAnswer(dispatched_at, excess_s))

    def excess_s(self, key: tuple[str, str], now: float) -> float:
        """Return by how much answers of the service took longer, since a route has learned of it.

        :param key: route and service.
        :param now: time on the node's clock, in seconds.
        :return: seconds; 0 if they did not.
        """
        excess_s = 0.0
        for each in self._slow.get(key[1], ()):
            if now - each.dispatched_at <= MAX_AGE_S and self.is_news(key, each):
                excess_s = max(excess_s, each.excess_s)
        return excess_s

    def is_news(self, key: tuple[str, str], answer: SlowAnswer) -> bool:
        """Return whether no answer to a later request of the route has ended.

        :param key: route and service.
        """
        latest = self._latest_ended.get(key)
        return latest is None or answer.dispatched_at > latest

    def retain(self, routes: set[str]) -> None:
        """Drop what other routes have seen, and the slow answers of services without a route."""
        self._latest_ended = {key: at for key, at in self._latest_ended.items() if key[0] in routes}
        services = {key[1] for key in self._latest_ended}
        self._slow = {name: slow for name, slow in self._slow.items() if name in services}
