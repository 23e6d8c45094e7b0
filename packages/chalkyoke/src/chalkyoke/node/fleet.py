"""
chalkyoke.node.fleet

The fleet that configuration and host list define together: upstreams with their labels, pools and
routes. The view is rebuilt when either changes and is read for each request.
"""

from collections.abc import Iterable, Mapping

import xxhash

from chalkyoke.configuration.messages import ListedHost
from chalkyoke.configuration.resources import Resources, Route, Service, Team, UpstreamClass
from chalkyoke.configuration.selectors import labels_match
from chalkyoke.entry.reception import ConfigurationLookup
from chalkyoke.membership.state import Candidate
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec

KIND_LABEL = "kind"
ENTRY_KIND = "entry"
DOMAIN_LABEL = "failure_domain"


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


def pool_name(service: Service, shard: int) -> str:
    """Return the pool name of one shard of a service.

    :rtype: str
    """
    return service.name if service.shards == 1 else f"{service.name}.{shard}"


def _match_class(host: ListedHost, classes: Iterable[UpstreamClass]) -> UpstreamClass | None:
    """Return the matching class with the most conditions, or None if no class matches.

    Of several, the class with the last name in sort order is returned.
    """
    matched = [each for each in classes if labels_match(each.selector, host.labels)]
    return max(matched, key=lambda each: (len(each.selector), each.name), default=None)


class FleetView(ConfigurationLookup):
    """Look up teams, services, routes, tiers, pools and upstreams.

    :param resources: a configuration, in force or planned.
    :param hosts: the platform's host list.
    :ivar pools: the specifications of all pools by pool name.
    """

    def __init__(self, resources: Resources, hosts: tuple[ListedHost, ...]) -> None:
        self.resources = resources
        self.hosts = hosts
        self._teams = {
            digest: team for team in resources.team.values() for digest in team.key_sha256
        }
        self._upstreams: dict[str, UpstreamSpec] = {}
        self._labels: dict[str, dict[str, str]] = {}
        self._add_upstreams()
        self._routes = self._group_routes()
        self.pools: dict[str, PoolSpec] = {}
        self._shards: dict[str, list[str]] = {}
        self._tiers = tuple(TierSpec(each.name, each.rank) for each in resources.tier.values())
        self._team_specs = tuple(
            TeamSpec(each.name, each.weight, each.max_running) for each in resources.team.values()
        )
        for service in resources.service.values():
            self._add_pools(service)

    # Lookups for the reception of requests (ConfigurationLookup).

    def team_of(self, key_sha256: str) -> Team | None:
        """Return the team of an API key's SHA-256 digest, or None if no team has the key."""
        return self._teams.get(key_sha256)

    def service(self, name: str) -> Service | None:
        """Return a service by name, or None if there is none."""
        return self.resources.service.get(name)

    def route(self, service: str, labels: Mapping[str, str]) -> Route | None:
        """Return the matching route with the most conditions, or None if no route matches."""
        for route in self._routes.get(service, ()):
            if labels_match(route.match, labels):
                return route
        return None

    def tier_deadline_s(self, tier: str) -> float | None:
        """Return a tier's default deadline in seconds, or None for an unknown tier."""
        matched = self.resources.tier.get(tier)
        return matched.default_deadline_s if matched is not None else None

    def tier_urgency(self, tier: str) -> float:
        """Return the position of a tier among all, from 0 for the least urgent to 1."""
        ranks = sorted({each.rank for each in self._tiers})
        matched = self.resources.tier.get(tier)
        if matched is None or len(ranks) == 1:
            return 0.0
        return 1.0 - ranks.index(matched.rank) / (len(ranks) - 1)

    # Lookups for dispatch (entry.ports.ConfigurationPort) and membership.

    def pool(self, service: str, request: str) -> str:
        """Return the name of the pool that a service's request belongs to.

        :rtype: str
        """
        shards = self._shards.get(service)
        return shards[_hash(request) % len(shards)] if shards else service

    def may_dispatch(self, upstream: str) -> bool:
        """Return whether an upstream is listed here and not leaving.

        :rtype: bool
        """
        spec = self._upstreams.get(upstream)
        return spec is not None and not spec.leaving

    def candidates(self) -> list[Candidate]:
        """List the entry hosts as candidates for membership.

        :rtype: list[Candidate]
        """
        return [
            Candidate(host.id, host.address, host.failure_domain)
            for host in self.hosts
            if host.labels.get(KIND_LABEL) == ENTRY_KIND
        ]

    # Warnings of plan and status.

    def routes_without_upstream(self) -> list[str]:
        """List the names of the routes that have no upstream now.

        :rtype: list[str]
        """
        served = {
            route.name for pool in self.pools.values() for route in pool.routes if route.upstreams
        }
        return sorted(set(self.resources.route) - served)

    def unused_tiers(self) -> list[str]:
        """List the names of the tiers that no team and no route uses.

        :rtype: list[str]
        """
        used = {tier for team in self.resources.team.values() for tier in team.tiers}
        used |= {route.tier for route in self.resources.route.values() if route.tier}
        return sorted(set(self.resources.tier) - used)

    # Construction.

    def _add_upstreams(self) -> None:
        classes = list(self.resources.upstream_class.values())
        for host in self.hosts:
            if host.labels.get(KIND_LABEL) == ENTRY_KIND:
                continue
            matched = _match_class(host, classes)
            if matched is None:
                continue
            self._upstreams[host.id] = UpstreamSpec(
                id=host.id,
                address=host.address,
                failure_domain=host.failure_domain,
                slots=matched.slots,
                prefill_tokens_per_s=matched.prefill_tokens_per_s,
                decode_tokens_per_s=matched.decode_tokens_per_s,
                batch_slowdown=matched.batch_slowdown,
                cache_blocks=matched.cache_blocks,
                leaving=host.leaving,
            )
            own = {DOMAIN_LABEL: host.failure_domain}
            self._labels[host.id] = {**host.labels, **matched.labels, **own}

    def _group_routes(self) -> dict[str, list[Route]]:
        routes: dict[str, list[Route]] = {}
        for route in self.resources.route.values():
            routes.setdefault(route.service, []).append(route)
        for each in routes.values():
            each.sort(key=lambda route: (-len(route.match), route.name))
        return routes

    def _add_pools(self, service: Service) -> None:
        """Split a service's upstreams into shards; requests go to shards that have upstreams."""
        served = [uid for uid, held in self._labels.items() if labels_match(service.selector, held)]
        for shard in range(service.shards):
            own = [uid for uid in served if _hash(uid) % service.shards == shard]
            routes = tuple(
                RouteSpec(
                    route.name,
                    frozenset(u for u in own if labels_match(route.upstreams, self._labels[u])),
                )
                for route in self._routes.get(service.name, ())
            )
            name = pool_name(service, shard)
            upstreams = tuple(self._upstreams[uid] for uid in own)
            self.pools[name] = PoolSpec(
                name, upstreams, self._tiers, self._team_specs, routes, service.caution
            )
            if own:
                self._shards.setdefault(service.name, []).append(name)
        self._shards.setdefault(service.name, [pool_name(service, 0)])
