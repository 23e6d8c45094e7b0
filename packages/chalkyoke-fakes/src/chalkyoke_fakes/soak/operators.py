"""
chalkyoke_fakes.soak.operators

The operators of a fleet: they write new versions of the configuration.
"""

import random
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any

from chalkyoke_fakes.platformfleet import make_route

# Suffix of the name of the second service of each kind, to which routes move.
SECOND_SUFFIX = "-b"
# Limits of idle connections, and of requests on all routes, in milliseconds.
IDLE_TIMEOUTS_MS = (700, 1000, 3000, 15000)
TIMEOUTS_MS = (5000, 5600, 6500, 8000)
# Longest pause between events with which an answer is in time, in milliseconds.
GAP_GOALS_MS = (300, 500)
# The quota of the first team with one, as shares of its usual rate. It is never raised.
QUOTA_SHARES = (0.5, 1.0)
MORE_ROUTES = 300
VERSIONS_IN_A_ROW = 6


class Change(StrEnum):
    """What a new version of the configuration changes."""

    IDLE_TIMEOUT = "idle_timeout"
    TIMEOUTS = "timeouts"
    ROUTES = "routes"
    QUOTAS = "quotas"
    MORE_ROUTES = "more_routes"
    IN_A_ROW = "in_a_row"


class Operators:
    """Write versions of the configuration, each with one change to the one before.

    :param make: makes the first configuration with a version number.
    :param write: writes a configuration.
    """

    def __init__(
        self,
        make: Callable[[int], dict[str, Any]],
        write: Callable[[dict[str, Any]], Awaitable[None]],
    ) -> None:
        self._make = make
        self._write = write
        self._document = make(1)

    @property
    def lowest_timeout_s(self) -> float:
        """The lowest time limit of a route in the newest version, in seconds."""
        return float(min(each["timeout-ms"] for each in self._document["routes"])) / 1000.0

    async def change_timeout(self) -> None:
        """Write a version in which nothing but the time limit of one route is not as at first."""
        version = self._document["version"]
        version += 1 + version % 3
        self._document = self._make(version)
        self._document["routes"][2]["timeout-ms"] = 5000 + 100 * (version % 7)
        await self._write(self._document)

    async def apply(self, change: Change, source: random.Random) -> None:
        """Write one version, or several in a row, with a change.

        :param source: draws the new values.
        """
        if change is Change.IN_A_ROW:
            for _ in range(VERSIONS_IN_A_ROW):
                await self.apply(source.choice(list(Change)[:-1]), source)
            return
        if change is Change.IDLE_TIMEOUT:
            self._change_idle_timeout(source)
        elif change is Change.TIMEOUTS:
            self._change_timeouts(source)
        elif change is Change.ROUTES:
            self._move_routes()
        elif change is Change.QUOTAS:
            self._change_quota(source)
        else:
            self._add_or_remove_routes()
        self._document["version"] += 1
        await self._write(self._document)

    def _change_idle_timeout(self, source: random.Random) -> None:
        self._document["limits"]["idle-timeout-ms"] = source.choice(IDLE_TIMEOUTS_MS)

    def _change_timeouts(self, source: random.Random) -> None:
        gap_goal_ms = source.choice(GAP_GOALS_MS)
        for route in self._document["routes"]:
            route["timeout-ms"] = source.choice(TIMEOUTS_MS)
            route["gap-goal-ms"] = gap_goal_ms

    def _move_routes(self) -> None:
        """Move all routes to the other service of their kind."""
        for route in self._document["routes"]:
            name = route["service"]
            first = name.removesuffix(SECOND_SUFFIX)
            route["service"] = first + SECOND_SUFFIX if name == first else first

    def _change_quota(self, source: random.Random) -> None:
        usual = next(each for each in self._make(1)["tenants"] if "rate-per-s" in each)
        changed = {**usual, "rate-per-s": usual["rate-per-s"] * source.choice(QUOTA_SHARES)}
        tenants = self._document["tenants"]
        self._document["tenants"] = [
            changed if each["name"] == usual["name"] else each for each in tenants
        ]

    def _add_or_remove_routes(self) -> None:
        """Add routes that nobody uses, or remove them again."""
        routes = self._document["routes"]
        first = len(self._make(1)["routes"])
        if len(routes) > first:
            del routes[first:]
            return
        for number in range(MORE_ROUTES):
            routes.append(make_route(f"more{number}", "idempotent", "seats"))
