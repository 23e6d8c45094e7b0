"""
chalkyoke.node.fleet

The fleet as configuration and host list together describe it: upstreams with their labels, pools
and routes. Rebuilt when either changes; looked up for each request.
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
    """Name one shard of a service's pool.

    :rtype: str
    """
    return service.name if service.shards == 1 else f"{service.name}.{shard}"


def _match_class(host: ListedHost, classes: Iterable[UpstreamClass]) -> UpstreamClass | None:
    """Find the class of an upstream: the matching one with the most conditions."""
    found = [each for each in classes if labels_match(each.selector, host.labels)]
    return max(found, key=lambda each: (len(each.selector), each.name), default=None)


class FleetView(ConfigurationLookup):
    """Look up teams, routes, pools and upstreams.

    :param resources: the configuration in force.
    :param hosts: the platform's host list.
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

    # For reception.

    def team_of(self, key_sha256: str) -> Team | None:
        """Find a team by the hash of its key."""
        return self._teams.get(key_sha256)

    def service(self, name: str) -> Service | None:
        """Find a service."""
        return self.resources.service.get(name)

    def route(self, service: str, labels: Mapping[str, str]) -> Route | None:
        """Find the route of a request: the matching one with the most conditions."""
        for route in self._routes.get(service, ()):
            if labels_match(route.match, labels):
                return route
        return None

    def tier_deadline_s(self, tier: str) -> float | None:
        """Give a tier's deadline for requests that name none; nothing for an unknown tier."""
        found = self.resources.tier.get(tier)
        return found.default_deadline_s if found is not None else None

    # For the entry and scheduling sides.

    def pool(self, service: str, request: str) -> str:
        """Give the pool that a request of a service belongs to.

        :rtype: str
        """
        shards = self._shards.get(service)
        return shards[_hash(request) % len(shards)] if shards else service

    def may_dispatch(self, upstream: str) -> bool:
        """Tell whether an upstream takes new work, as far as this process knows.

        :rtype: bool
        """
        spec = self._upstreams.get(upstream)
        return spec is not None and not spec.leaving

    def candidates(self) -> list[Candidate]:
        """List the entry hosts.

        :rtype: list[Candidate]
        """
        return [
            Candidate(host.id, host.address, host.failure_domain)
            for host in self.hosts
            if host.labels.get(KIND_LABEL) == ENTRY_KIND
        ]

    # What plan and status show.

    def routes_without_upstream(self) -> list[str]:
        """List the routes that no upstream could serve now.

        :rtype: list[str]
        """
        served = {
            route.name for pool in self.pools.values() for route in pool.routes if route.upstreams
        }
        return sorted(set(self.resources.route) - served)

    def unused_tiers(self) -> list[str]:
        """List the tiers that no team may use.

        :rtype: list[str]
        """
        used = {tier for team in self.resources.team.values() for tier in team.tiers}
        used |= {route.tier for route in self.resources.route.values() if route.tier}
        return sorted(set(self.resources.tier) - used)

    # Building.

    def _add_upstreams(self) -> None:
        classes = list(self.resources.upstream_class.values())
        for host in self.hosts:
            if host.labels.get(KIND_LABEL) == ENTRY_KIND:
                continue
            found = _match_class(host, classes)
            if found is None:
                continue
            self._upstreams[host.id] = UpstreamSpec(
                id=host.id,
                address=host.address,
                failure_domain=host.failure_domain,
                slots=found.slots,
                prefill_tokens_per_s=found.prefill_tokens_per_s,
                decode_tokens_per_s=found.decode_tokens_per_s,
                batch_slowdown=found.batch_slowdown,
                cache_blocks=found.cache_blocks,
                leaving=host.leaving,
            )
            own = {DOMAIN_LABEL: host.failure_domain}
            self._labels[host.id] = {**host.labels, **found.labels, **own}

    def _group_routes(self) -> dict[str, list[Route]]:
        routes: dict[str, list[Route]] = {}
        for route in self.resources.route.values():
            routes.setdefault(route.service, []).append(route)
        for each in routes.values():
            each.sort(key=lambda route: (-len(route.match), route.name))
        return routes

    def _add_pools(self, service: Service) -> None:
        """Cut a service's upstreams into shards; requests go to those that have upstreams."""
        served = [uid for uid, held in self._labels.items() if labels_match(service.selector, held)]
        for shard in range(service.shards):
            mine = [uid for uid in served if _hash(uid) % service.shards == shard]
            routes = tuple(
                RouteSpec(
                    route.name,
                    frozenset(u for u in mine if labels_match(route.upstreams, self._labels[u])),
                )
                for route in self._routes.get(service.name, ())
            )
            name = pool_name(service, shard)
            upstreams = tuple(self._upstreams[uid] for uid in mine)
            self.pools[name] = PoolSpec(
                name, upstreams, self._tiers, self._team_specs, routes, service.caution
            )
            if mine:
                self._shards.setdefault(service.name, []).append(name)
        self._shards.setdefault(service.name, [pool_name(service, 0)])
