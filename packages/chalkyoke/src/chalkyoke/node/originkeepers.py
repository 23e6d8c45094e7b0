"""
chalkyoke.node.originkeepers

Finds the nodes that keep the origins of streams and sends messages to them.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

import msgspec

from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.fleetsize import FleetSize
from chalkyoke.node.routehistory import RouteHistories
from chalkyoke.node.versionhistory import VersionHistories
from chalkyoke.quotas.owner import Presence
from chalkyoke.resumption.messages import OriginMessage, OriginRequest, Sought, VersionHistory

# Number of groups of streams, each with its own keepers, and the number of nodes that keep the
# origin of a stream, besides the one that relayed its first event.
ORIGIN_GROUPS = 16
ORIGIN_KEEPERS = 5


class OriginLinks(Protocol):
    """The links over which origins are exchanged."""

    def send(self, address: str, message: OriginMessage) -> None:
        """Send a message to a node by its link address."""

    def withholds(self, address: str, kind: type[msgspec.Struct]) -> bool:
        """Return whether messages of a kind are not sent, as the peer does not understand them."""


class ConfirmedStore(Protocol):
    """Confirms this node's records with the store."""

    async def confirm(self) -> bool:
        """Bring this node's records up to date with the store; return whether it answered."""


class PeerOriginKeepers:
    """Find the nodes that keep the origins of streams and send them messages.

    Each group of streams has its own keepers, so that the work is spread over the fleet, and a node
    has links to a limited number of them.

    :param histories: version histories of the services.
    :param routes: histories of the routes.
    :param presence: returns how much of the fleet this node sees.
    :param fleet_size: knows the nodes that may exist.
    :param store: confirms the histories.
    """

    def __init__(
        self,
        view: MembershipView,
        histories: VersionHistories,
        routes: RouteHistories,
        links: OriginLinks,
        presence: Callable[[], Presence],
        fleet_size: FleetSize,
        store: ConfirmedStore,
    ) -> None:
        self._view = view
        self._histories = histories
        self._routes = routes
        self._links = links
        self._presence = presence
        self._fleet_size = fleet_size
        self._store = store
        self._generation = -1
        self._keepers: dict[int, list[str]] = {}

    def keepers(self, stream: int) -> list[str]:
        """List the link addresses of the other nodes that keep the origin of a stream.

        They are the first ranked nodes of distinct failure domains, as far as there are so many.
        """
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._keepers.clear()
        group = stream % ORIGIN_GROUPS
        found = self._keepers.get(group)
        if found is None:
            ranked = self._view.ranked(f"origins/{group}")
            own_host = self._view.record.host
            chosen = _spread_over_domains(ranked)[:ORIGIN_KEEPERS]
            found = [each.address for each in chosen if each.host != own_host]
            self._keepers[group] = found
        return found

    def send(self, address: str, message: OriginMessage) -> None:
        """Send a message to a node by its link address."""
        self._links.send(address, message)

    def is_older(self, address: str) -> bool:
        """Return whether a node is known to be of an older build, which keeps no origins."""
        return self._links.withholds(address, OriginRequest)

    def history(self, sought: Sought) -> VersionHistory:
        """Return this node's version history of a service for the time since a stream began."""
        history = self._histories.of_service(sought.service, sought.age_s)
        has_moved = self._routes.has_moved(sought.route, sought.targets, sought.age_s)
        return msgspec.structs.replace(history, has_moved=has_moved)

    def fleet_share(self) -> float:
        """Return the share of the nodes that may exist which this node believes alive."""
        return self._presence().share

    def other_nodes(self) -> list[str]:
        """List the link addresses of all other nodes that are believed alive."""
        own_host = self._view.record.host
        return [each.address for each in self._view.live() if each.host != own_host]

    def sees_whole_fleet(self) -> bool:
        """Return whether every node that may exist is believed alive."""
        return self._fleet_size.is_whole(self._view.live())

    async def confirm_history(self) -> bool:
        """Bring this node's histories up to date with the store; return whether it answered."""
        return await self._store.confirm()


def _spread_over_domains(ranked: Sequence[MemberRecord]) -> list[MemberRecord]:
    """Order ranked nodes so that the best of each failure domain come first."""
    first: dict[str, MemberRecord] = {}
    for each in ranked:
        first.setdefault(each.failure_domain, each)
    return list({each.host: each for each in [*first.values(), *ranked]}.values())
