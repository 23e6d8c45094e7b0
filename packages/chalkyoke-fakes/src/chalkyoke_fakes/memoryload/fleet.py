"""
chalkyoke_fakes.memoryload.fleet

The stand-in fleet with nodes whose memory and descriptors have stated limits.
"""

import resource
from pathlib import Path
from typing import Any

from chalkyoke_fakes.children import own_address
from chalkyoke_fakes.memoryload.manners import MAX_BODY_BYTES
from chalkyoke_fakes.platformfleet import (
    PlatformFleet,
    default_configuration,
    make_route,
)

DESCRIPTORS = 4_100
MAX_CONNECTIONS = 3_000
# Events of a stream that is read slowly, and the time between two of them in seconds.
NEWS_EVENTS = 1_000
NEWS_EVENT_S = 0.002
# Routes and padding of a large configuration, in bytes: some 4 MB together.
EXTRA_ROUTES = 3_000
ROUTE_PADDING_BYTES = 1_100
# Requests of a replica that may have arrived since bodies were dropped.
KEPT_BODIES = 2_000
ENGINE = {"slots": 100, "kv-capacity": 100_000, "stride": 3}


class LimitedFleet(PlatformFleet):
    """A fleet whose nodes are told their limits; the bound of descriptors is enforced.

    :param limit_mb: memory of each node, in MB.
    :param is_accounted: whether the settings ask for accounting of memory.
    """

    def __init__(
        self, folder: Path, zones: tuple[str, ...], limit_mb: float, *, is_accounted: bool = False
    ) -> None:
        super().__init__(folder, zones)
        self.memory = {"limit_mb": limit_mb}
        if is_accounted:
            self.memory["accounted"] = True
        self.limits["descriptors"] = DESCRIPTORS
        self.plain_services = "local"

    async def _start(self) -> None:
        await self.store.start("127.0.0.1")
        await self.configure(make_configuration(1))
        for number, zone in enumerate(self._zones):
            await self.add_replica(f"m{number}", "model", zone, engine=True, slots=100)
            await self.add_replica(f"s{number}", "seats", zone, slots=100)
            news = await self.add_replica(
                f"n{number}", "news", zone, engine=True, slots=100, events=NEWS_EVENTS
            )
            news.faults.event_s = NEWS_EVENT_S
            await self.add_replica(f"e{number}", "endless", zone)
        for number, zone in enumerate(self._zones):
            self._add_node(f"n{number + 1}", zone, own_address(number))
        await self._start_nodes()

    def start_node(self, name: str, *, first_start: bool = True) -> None:
        """Start a node, and bound its descriptors."""
        super().start_node(name, first_start=first_start)
        popen = self.nodes[name].popen
        assert popen is not None
        resource.prlimit(popen.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))

    def drop_bodies(self) -> None:
        """Drop the bodies that replicas have kept of requests."""
        for replica in self.replicas.values():
            for each in replica.seen[-KEPT_BODIES:]:
                each.body = b""


def make_configuration(version: int, extra_routes: int = 0) -> dict[str, Any]:
    """Make the configuration of the fleet.

    :param extra_routes: number of long routes in addition.
    """
    made = default_configuration(version)
    made["routes"] += [
        make_route("news", "stream", "news"),
        make_route("endless", "idempotent", "endless", attempts=2),
    ]
    for number in range(extra_routes):
        route = make_route(f"extra{number}", "idempotent", "seats")
        route["path-prefix"] = f"/extra{number}/{'x' * ROUTE_PADDING_BYTES}/"
        made["routes"].append(route)
    made["services"] = [
        {"name": "model", "max-conns": MAX_CONNECTIONS, "engine": ENGINE},
        {"name": "seats", "max-conns": MAX_CONNECTIONS},
        {"name": "news", "max-conns": MAX_CONNECTIONS, "engine": ENGINE},
        {"name": "endless", "max-conns": MAX_CONNECTIONS},
    ]
    made["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    return made
