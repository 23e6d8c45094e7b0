"""
chalkyoke_fakes.soak.fleet

The stand-in fleet with a relay in front of the links of each node, between each node and the store,
and in front of each replica.
"""

import copy
import itertools
import signal
from pathlib import Path
from typing import Any

from chalkyoke_fakes.children import RELAY_ADDRESS_NUMBER, REPLICA_ADDRESS_NUMBER, own_address
from chalkyoke_fakes.memoryload.manners import MAX_BODY_BYTES
from chalkyoke_fakes.platformfleet import KEY, TEAM, PlatformFleet, default_configuration
from chalkyoke_fakes.replica import FIRST_VERSION, Replica
from chalkyoke_fakes.soak.observations import place_of
from chalkyoke_fakes.soak.operators import SECOND_SUFFIX
from chalkyoke_fakes.soak.relay import Relay, RelayFaults

# The quota of one team, as a rate, a burst of requests, an allowed excess as a share and a slack in
# requests, and the retry budget of each service, as a slack in requests and a share of requests.
QUOTA_TEAM = "kiosks"
QUOTA_KEY = "kiosks-key"
QUOTA_RATE_PER_S = 6.0
QUOTA_BURST = 10.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 20.0
QUOTA_WINDOW_S = 8.0
RETRY_SLACK = 40.0
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
# Software versions of the engines: each start runs the next one, so that a replica may come back
# with another version than it had.
ENGINE_VERSIONS = ("v1", "v1.1")
# Signals that every other start of a node inherits as blocked.
BLOCKED_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
BLOCKED_EACH = 2
# Memory of each node's host, in MB.
HOST_MB = 128.0


class SoakFleet(PlatformFleet):
    """A fleet in which faults can be injected into every connection from outside.

    :param replicas_each: replicas of each service in each failure domain.
    :param old: folder of the packages of another build, with which all nodes start; None for this
        build.
    :ivar removed_replicas: replicas that were replaced by a new incarnation.
    :ivar places: the places of the replicas that serve before any route moves to a second service.
    """

    def __init__(
        self, folder: Path, zones: tuple[str, ...], replicas_each: int, old: Path | None = None
    ) -> None:
        super().__init__(folder, zones)
        self._old = old
        self.limits = {
            "retry_ratio": RETRY_RATIO,
            "retry_slack": RETRY_SLACK,
            "retry_window_s": RETRY_WINDOW_S,
            "quota_window_s": QUOTA_WINDOW_S,
            "quota_over": QUOTA_OVER,
            "quota_slack": QUOTA_SLACK,
            "quota_snapshots": "true",
        }
        self.memory = {"limit_mb": HOST_MB}
        self.features = ["fair_admission", "reserved_retries"]
        self.tenants: list[dict[str, Any]] = [
            {"name": TEAM, "api-keys": [KEY], "priority": 1},
            {
                "name": QUOTA_TEAM,
                "api-keys": [QUOTA_KEY],
                "priority": 1,
                "rate-per-s": QUOTA_RATE_PER_S,
                "burst": QUOTA_BURST,
            },
        ]
        self.link_relays: dict[str, Relay] = {}
        self.store_relays: dict[str, Relay] = {}
        self.replica_relays: dict[str, Relay] = {}
        self.removed_replicas: list[Replica] = []
        self.places: list[str] = []
        self._replicas_per_zone = replicas_each
        self._incarnations = itertools.count(1)
        self._starts = itertools.count(1)
        self._engine_versions = itertools.cycle(ENGINE_VERSIONS)

    async def _start(self) -> None:
        await self.store.start("127.0.0.1")
        await self.configure(self.make_configuration(1))
        await self._add_places((("m", "model"), ("s", "seats")))
        self.places = list(self.replica_relays)
        await self._add_places((("x", f"model{SECOND_SUFFIX}"), ("y", f"seats{SECOND_SUFFIX}")))
        for number, zone in enumerate(self._zones):
            name = f"n{number + 1}"
            self._add_node(name, zone, own_address(number))
            await self._add_relays(name)
            self.choose_build(name, is_new=False)
        await self._start_nodes()

    def make_configuration(self, version: int) -> dict[str, Any]:
        """Make the configuration with the fleet's teams and two services of each kind."""
        made = default_configuration(version)
        seconds = [{**each, "name": each["name"] + SECOND_SUFFIX} for each in made["services"]]
        return {
            **made,
            "services": [*made["services"], *seconds],
            "limits": {**made["limits"], "max-body-bytes": MAX_BODY_BYTES},
            "tenants": copy.deepcopy(self.tenants),
        }

    async def __aexit__(self, *_: object) -> None:
        await super().__aexit__()
        relays = (self.link_relays, self.store_relays, self.replica_relays)
        for relay in itertools.chain.from_iterable(each.values() for each in relays):
            await relay.stop()

    async def _add_relays(self, name: str) -> None:
        node = self.nodes[name]
        self.link_relays[name] = Relay(node.links)
        self.store_relays[name] = Relay(self.store.address)
        await self.link_relays[name].start(own_address(RELAY_ADDRESS_NUMBER))
        await self.store_relays[name].start(own_address(RELAY_ADDRESS_NUMBER))
        node.advertised = self.link_relays[name].address
        node.store = self.store_relays[name].address

    async def _add_places(self, kinds: tuple[tuple[str, str], ...]) -> None:
        """Start the replicas of some services.

        :param kinds: the first letter of each service's places, and the service.
        """
        zones = sorted(set(self._zones))
        for number, zone in itertools.product(range(self._replicas_per_zone), zones):
            for letter, service in kinds:
                await self._add_place(f"{letter}{zone}{number}", service, zone)

    async def _add_place(self, place: str, service: str, zone: str) -> None:
        self.replica_relays[place] = Relay()
        await self.replica_relays[place].start(own_address(RELAY_ADDRESS_NUMBER))
        await self._start_replica(place, service, zone)

    async def _start_replica(self, place: str, service: str, zone: str) -> None:
        relay = self.replica_relays[place]
        name = f"{place}-{next(self._incarnations)}"
        engine = service.removesuffix(SECOND_SUFFIX) == "model"
        version = next(self._engine_versions) if engine else FIRST_VERSION
        replica = Replica(name, service, zone, self.store, engine, version=version)
        relay.target = await replica.start(
            own_address(REPLICA_ADDRESS_NUMBER), advertised_address=relay.address
        )
        self.replicas[name] = replica

    def start_node(self, name: str, *, first_start: bool = True) -> None:
        """Start a node; some starts of this build inherit blocked signals.

        A parent that waits with ``sigwait`` blocks the signals in the processes that it starts.
        """
        number = next(self._starts)
        is_blocked = number % BLOCKED_EACH == 0 and self.nodes[name].source is None
        self.blocked_signals = BLOCKED_SIGNALS if is_blocked else frozenset()
        super().start_node(name, first_start=first_start)

    def choose_build(self, name: str, *, is_new: bool) -> None:
        """Set the build that a node runs from its next start on."""
        self.nodes[name].source = None if is_new else self._old

    def replica_at(self, place: str) -> Replica | None:
        """Return the replica that currently serves at a place; None while it is being replaced."""
        at_place = (each for each in self.replicas.values() if place_of(each.id) == place)
        return next(at_place, None)

    def replicas_of(self, service: str) -> list[Replica]:
        """List the replicas that a service and the second service of its kind have now."""
        names = (service, f"{service}{SECOND_SUFFIX}")
        return [each for each in self.replicas.values() if each.service in names]

    def engines(self) -> list[Replica]:
        """List the engines."""
        return [each for each in self.replicas.values() if each.engine]

    def count_serving(self, version: str) -> int:
        """Count the engines of a version that serve, without a fault of theirs or of their link."""
        return sum(
            each.version == version
            and each.is_sound
            and self.replica_relays[place_of(each.id)].faults == RelayFaults()
            for each in self.engines()
        )

    async def replace_replica(self, replica: Replica) -> None:
        """Remove a replica and start another incarnation at its place."""
        place = place_of(replica.id)
        del self.replicas[replica.id]
        self.removed_replicas.append(replica)
        await self._start_replica(place, replica.service, replica.zone)
