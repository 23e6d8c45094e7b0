"""
chalkyoke.node.pools

The catalog as the pool schedulers and the gateway ask for it.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from chalkyoke.catalog.resources import Catalog, Replica, Service, combined_rank
from chalkyoke.catalog.state import CatalogState
from chalkyoke.gateway.reception import BLOCK_TOKENS
from chalkyoke.gateway.settings import SchedulingSection
from chalkyoke.rollouts.standing import Eligibility, trial_route
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec

# The part of an engine's memory that is thought to hold prompts; the rest is for what runs.
CACHE_SHARE = 0.7
# How long a replica whose record has gone may still be tried where a service has no other, in
# seconds: less than the 2 s after which operators forbid it.
DEPARTED_FALLBACK_S = 1.2


class ReplicaStandings(Protocol):
    """Which replicas take which requests while versions change."""

    def standing(self, replica: Replica) -> Eligibility:
        """Tell what a replica takes."""

    def trial_replicas(self, service: str, replicas: list[Replica]) -> list[Replica]:
        """Choose, of the replicas of a version under trial, those that the trial uses."""


class NoRollouts:
    """All replicas take whatever there is."""

    def standing(self, replica: Replica) -> Eligibility:  # noqa: ARG002
        """Tell that a replica takes whatever there is."""
        return Eligibility.USUAL

    def trial_replicas(self, service: str, replicas: list[Replica]) -> list[Replica]:  # noqa: ARG002
        """Choose all."""
        return replicas


class _CatalogSpecs:
    """What pools need of a catalog, whatever its replicas are.

    Replicas change far more often than the catalog, whose routes and teams may be many.
    """

    def __init__(self, catalog: Catalog) -> None:
        ranks = {
            combined_rank(route, team)
            for route in catalog.routes
            for team in (None, *catalog.teams.values())
        }
        self.tiers = tuple(TierSpec(str(rank), rank) for rank in sorted(ranks))
        self.teams = tuple(TeamSpec(name) for name in catalog.teams)
        self.routes: dict[str, list[str]] = {}
        for route in catalog.routes:
            for service in {target.service for target in route.targets}:
                self.routes.setdefault(service, []).append(route.name)


class DeclaredPools:
    """The pools that the catalog declares, rebuilt when it changes.

    :param guess: first guesses for engines that nothing is known of yet.
    :param standings: which replicas take which requests.
    """

    def __init__(self, guess: SchedulingSection, standings: ReplicaStandings | None = None) -> None:
        self._defaults = guess
        self._standings = standings or NoRollouts()
        self._catalog = Catalog()
        self._parts = _CatalogSpecs(self._catalog)
        self.pools: dict[str, PoolSpec] = {}

    def rebuild(self, catalog: Catalog, replicas: dict[str, Replica]) -> None:
        """Take a new catalog or other replicas."""
        if catalog is not self._catalog:
            self._catalog = catalog
            self._parts = _CatalogSpecs(catalog)
        self.pools = {
            service.name: self._pool(service, replicas)
            for service in catalog.services.values()
            if service.is_engine
        }

    def _pool(self, service: Service, replicas: dict[str, Replica]) -> PoolSpec:
        mine = [each for each in replicas.values() if each.service == service.name]
        usual, trial = _split_by_standing(mine, self._standings)
        names = frozenset(each.id for each in usual)
        tried = frozenset(each.id for each in self._standings.trial_replicas(service.name, trial))
        routes: list[RouteSpec] = []
        for each in self._parts.routes.get(service.name, ()):
            routes.append(RouteSpec(each, names))
            if tried:
                routes.append(RouteSpec(trial_route(each), tried))
        upstreams = tuple(self._upstream(service, each) for each in mine)
        return PoolSpec(
            service.name, upstreams, self._parts.tiers, self._parts.teams, tuple(routes)
        )

    def _upstream(self, service: Service, replica: Replica) -> UpstreamSpec:
        guess = self._defaults
        return UpstreamSpec(
            id=replica.id,
            address=replica.address,
            failure_domain=replica.failure_domain,
            slots=replica.slots,
            prefill_tokens_per_s=guess.prefill_tokens_per_s,
            decode_tokens_per_s=1.0 / guess.token_s,
            batch_slowdown=1.1,
            cache_blocks=int(service.cache_tokens * CACHE_SHARE) // BLOCK_TOKENS,
            leaving=replica.draining,
            setup_s=guess.setup_s,
            attention_s_per_pair=guess.attention_s_per_pair,
            prefill_chunk_tokens=guess.prefill_chunk_tokens,
            tokens_per_event=service.tokens_per_event,
        )


class DeclaredReplicas:
    """The replicas that may take new work, as the gateway asks for them.

    :param now: the node's clock, in seconds.
    :param standings: which replicas take which requests.
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

    def rebuild(self) -> None:
        """Take other replicas."""
        self._usual, self._trial = {}, {}
        open_ones = (each for each in self._state.replicas.values() if not each.draining)
        usual, trial = _split_by_standing(open_ones, self._standings)
        for replica in usual:
            self._usual.setdefault(replica.service, []).append(replica)
        for replica in trial:
            self._trial.setdefault(replica.service, []).append(replica)

    def find(self, replica: str, *, for_trial: bool = False) -> Replica | None:
        """Find a replica that takes new work.

        :param for_trial: whether one of a version under trial will do.
        """
        found = self._state.replicas.get(replica)
        if found is None:
            return next((each for each in self._recently_departed() if each.id == replica), None)
        standing = self._standings.standing(found)
        allowed = standing is Eligibility.USUAL or (for_trial and standing is Eligibility.TRIAL)
        return found if allowed and not found.draining else None

    def of_service(self, service: str, *, for_trial: bool = False) -> list[Replica]:
        """List a service's replicas that take new work.

        Where all of them are gone from the list, those that went a moment ago are tried: they
        serve on for a while, and a list that has lost all at once may be wrong.

        :param for_trial: those of a version under trial in place of the others.
        """
        if for_trial:
            return self._trial.get(service, [])
        found = self._usual.get(service)
        if found:
            return found
        return [each for each in self._recently_departed() if each.service == service]

    def _recently_departed(self) -> list[Replica]:
        since = self._now() - DEPARTED_FALLBACK_S
        return [
            each.replica
            for each in self._state.removed_replicas.values()
            if each.since >= since
            and not each.replica.draining
            and self._standings.standing(each.replica) is Eligibility.USUAL
        ]


def _split_by_standing(
    replicas: Iterable[Replica], standings: ReplicaStandings
) -> tuple[list[Replica], list[Replica]]:
    """Split replicas into those that take whatever there is, and those under trial."""
    found: dict[Eligibility, list[Replica]] = {each: [] for each in Eligibility}
    for replica in replicas:
        found[standings.standing(replica)].append(replica)
    return found[Eligibility.USUAL], found[Eligibility.TRIAL]
