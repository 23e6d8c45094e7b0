"""
chalkyoke.node.pools

Builds pool specifications and replica lists from the catalog for the schedulers and the gateway.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from chalkyoke.catalog.resources import Catalog, Replica, Route, Service, combined_rank
from chalkyoke.catalog.state import CatalogState
from chalkyoke.gateway.reception import BLOCK_TOKENS
from chalkyoke.gateway.settings import SchedulingSection
from chalkyoke.rollouts.standing import Eligibility, trial_route
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec
from chalkyoke.scheduling.versionroutes import version_route

# Share of an engine's cache that is assumed to hold prompt prefixes; running requests use the rest.
CACHE_SHARE = 0.7
# Usual duration of a plain request until durations are learned, in seconds.
PLAIN_REQUEST_S = 0.05
# Grants of a plain replica beyond its slots, as a share of the slots. After an answer, the release,
# the next grant and its request take up to four one-way latencies: 18 ms between failure domains
# that are 4.5 ms apart, in which a slot would be idle; half of the 36 ms for which a request runs.
# With a larger share, requests wait at the replica instead of in the order of the queue; with a
# smaller one, slots are idle while requests wait.
PLAIN_EXTRA_GRANTS_SHARE = 1 / 2
# How long a replica whose record was removed may still get requests if its service has no other
# replica, in seconds: less than the 2 s after which the operators' rules forbid it.
DEPARTED_FALLBACK_S = 1.2


class ReplicaStandings(Protocol):
    """Define which requests each replica takes during a roll-out."""

    def standing(self, replica: Replica) -> Eligibility:
        """Return which requests a replica takes."""

    def trial_replicas(self, service: str, replicas: list[Replica]) -> list[Replica]:
        """Select the replicas that a trial uses from all replicas of the version under trial."""


class NoRollouts:
    """Let every replica take all requests, as there is no roll-out."""

    def standing(self, replica: Replica) -> Eligibility:  # noqa: ARG002
        """Return that a replica takes all requests."""
        return Eligibility.USUAL

    def trial_replicas(self, service: str, replicas: list[Replica]) -> list[Replica]:  # noqa: ARG002
        """Return all given replicas."""
        return replicas


class _CatalogSpecs:
    """The tiers, teams and routes of a catalog, which don't depend on its replicas.

    Replicas change far more often than the catalog, which may have many routes and teams.
    """

    def __init__(self, catalog: Catalog) -> None:
        ranks = {
            combined_rank(route, team)
            for route in catalog.routes
            for team in (None, *catalog.teams.values())
        }
        self.tiers = tuple(TierSpec(str(rank), rank) for rank in sorted(ranks))
        self.teams = tuple(TeamSpec(name) for name in catalog.teams)
        self.routes: dict[str, list[Route]] = {}
        for route in catalog.routes:
            for service in {target.service for target in route.targets}:
                self.routes.setdefault(service, []).append(route)


class DeclaredPools:
    """The pools that the catalog declares, rebuilt when it changes.

    :param defaults: assumed speeds of engines that have no measurements yet.
    :param standings: defines which requests each replica takes; all of them if None.
    """

    def __init__(
        self, defaults: SchedulingSection, standings: ReplicaStandings | None = None
    ) -> None:
        self._defaults = defaults
        self._standings = standings or NoRollouts()
        self._catalog = Catalog()
        self._catalog_specs = _CatalogSpecs(self._catalog)
        self.pools: dict[str, PoolSpec] = {}

    def rebuild(self, catalog: Catalog, replicas: dict[str, Replica]) -> None:
        """Rebuild all pools after the catalog or the replicas have changed."""
        if catalog is not self._catalog:
            self._catalog = catalog
            self._catalog_specs = _CatalogSpecs(catalog)
        self.pools = {
            service.name: self._pool(service, replicas)
            for service in catalog.services.values()
            if service.is_engine or self._defaults.pooled
        }

    def _pool(self, service: Service, replicas: dict[str, Replica]) -> PoolSpec:
        own = [each for each in replicas.values() if each.service == service.name]
        usual, trial = _split_by_standing(own, self._standings)
        names = frozenset(each.id for each in usual)
        tried = frozenset(each.id for each in self._standings.trial_replicas(service.name, trial))
        versions = _ids_by_version([*usual, *trial])
        routes: list[RouteSpec] = []
        for each in self._catalog_specs.routes.get(service.name, ()):
            routes.append(RouteSpec(each.name, names))
            if tried:
                routes.append(RouteSpec(trial_route(each.name), tried))
            if each.resumable:
                routes += (
                    RouteSpec(version_route(each.name, version), ids)
                    for version, ids in versions.items()
                )
        upstreams = tuple(self._upstream(service, each) for each in own)
        return PoolSpec(
            service.name,
            upstreams,
            self._catalog_specs.tiers,
            self._catalog_specs.teams,
            tuple(routes),
            plain=not service.is_engine,
        )

    def _upstream(self, service: Service, replica: Replica) -> UpstreamSpec:
        defaults = self._defaults
        if not service.is_engine:
            return plain_upstream(replica, defaults)
        return UpstreamSpec(
            id=replica.id,
            address=replica.address,
            failure_domain=replica.failure_domain,
            slots=replica.slots,
            prefill_tokens_per_s=defaults.prefill_tokens_per_s,
            decode_tokens_per_s=1.0 / defaults.token_s,
            batch_slowdown=1.1,
            cache_blocks=int(service.cache_tokens * CACHE_SHARE) // BLOCK_TOKENS,
            leaving=replica.draining,
            setup_s=defaults.setup_s,
            attention_s_per_pair=defaults.attention_s_per_pair,
            prefill_chunk_tokens=defaults.prefill_chunk_tokens,
            tokens_per_event=service.tokens_per_event,
        )


def plain_upstream(replica: Replica, defaults: SchedulingSection) -> UpstreamSpec:
    """Build the specification of a plain service's replica; its requests have no tokens.

    :param defaults: assumed speeds of engines; they do not affect requests without tokens.
    """
    return UpstreamSpec(
        id=replica.id,
        address=replica.address,
        failure_domain=replica.failure_domain,
        slots=replica.slots,
        prefill_tokens_per_s=defaults.prefill_tokens_per_s,
        decode_tokens_per_s=1.0 / defaults.token_s,
        batch_slowdown=1.0,
        leaving=replica.draining,
        setup_s=PLAIN_REQUEST_S,
        extra_grants=max(1, round(replica.slots * PLAIN_EXTRA_GRANTS_SHARE)),
    )


class DeclaredReplicas:
    """Look up the replicas that may take new requests.

    :param now: the node's clock, in seconds.
    :param standings: defines which requests each replica takes; all of them if None.
    """

    def __init__(
        self,
        state: CatalogState,
        now: Callable[[], float],
        standings: ReplicaStandings | None = None,
    ) -> None:
        self._state = state
        self._now = now
        self._standings = standings or NoRollouts()
        self._usual: dict[str, list[Replica]] = {}
        self._trial: dict[str, list[Replica]] = {}
        self._addresses: set[tuple[str, int]] = set()

    def rebuild(self) -> None:
        """Rebuild the lists after the replicas or their standings have changed."""
        self._usual, self._trial = {}, {}
        not_draining = [each for each in self._state.replicas.values() if not each.draining]
        self._addresses = {(each.ip, each.port) for each in not_draining}
        usual, trial = _split_by_standing(not_draining, self._standings)
        for replica in usual:
            self._usual.setdefault(replica.service, []).append(replica)
        for replica in trial:
            self._trial.setdefault(replica.service, []).append(replica)

    def find(self, replica: str, *, for_trial: bool = False) -> Replica | None:
        """Return a replica by its id, or None if it takes no new requests.

        :param for_trial: whether a replica of a version under trial is allowed.
        """
        found = self._state.replicas.get(replica)
        if found is None:
            return next((each for each in self._recently_departed() if each.id == replica), None)
        standing = self._standings.standing(found)
        allowed = standing is Eligibility.USUAL or (for_trial and standing is Eligibility.TRIAL)
        return found if allowed and not found.draining else None

    def of_service(self, service: str, *, for_trial: bool = False) -> list[Replica]:
        """List a service's replicas that take new requests.

        If none is left, the replicas that were removed a moment ago are listed: they keep serving
        for a while, and a store listing that loses all replicas at once may be wrong.

        :param for_trial: list the replicas of a version under trial instead.
        """
        if for_trial:
            return self._trial.get(service, [])
        found = self._usual.get(service)
        if found:
            return found
        return [each for each in self._recently_departed() if each.service == service]

    def addresses(self) -> set[tuple[str, int]]:
        """Return the addresses of all replicas that take new requests."""
        departed = self._recently_departed()
        if not departed:
            return self._addresses
        return self._addresses | {(each.ip, each.port) for each in departed}

    def count_slots(self, service: str) -> int:
        """Return the number of slots of a service's replicas that take all requests."""
        return sum(each.slots for each in self.of_service(service))

    def _recently_departed(self) -> list[Replica]:
        since = self._now() - DEPARTED_FALLBACK_S
        return [
            each.replica
            for each in self._state.removed_replicas.values()
            if each.since >= since
            and not each.replica.draining
            and self._standings.standing(each.replica) is Eligibility.USUAL
        ]


def _ids_by_version(replicas: Iterable[Replica]) -> dict[str, frozenset[str]]:
    found: dict[str, set[str]] = {}
    for each in replicas:
        found.setdefault(each.version, set()).add(each.id)
    return {version: frozenset(ids) for version, ids in found.items()}


def _split_by_standing(
    replicas: Iterable[Replica], standings: ReplicaStandings
) -> tuple[list[Replica], list[Replica]]:
    """Split replicas into those that take all requests and those of a version under trial."""
    found: dict[Eligibility, list[Replica]] = {each: [] for each in Eligibility}
    for replica in replicas:
        found[standings.standing(replica)].append(replica)
    return found[Eligibility.USUAL], found[Eligibility.TRIAL]
