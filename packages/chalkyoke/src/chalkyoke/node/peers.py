"""
chalkyoke.node.peers

Finds the schedulers, permit keepers and quota owners in the fleet and sends messages to them.
"""

from collections.abc import Callable

from chalkyoke.limits.messages import PermitMessage
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.quotas.messages import QuotaMessage
from chalkyoke.quotas.owner import Presence
from chalkyoke.scheduling.messages import EntryMessage

# The smallest share of the fleet that a node must see to rely on the owners that it computes. With
# a smaller share, after the loss of all nodes, several nodes would grant leases at once, each as
# the owner within its own small partition.
MIN_VISIBLE_FLEET_SHARE = 0.95


class PeerSchedulers:
    """Find the pool schedulers in all processes, including this one, and send them messages."""

    def __init__(self, scheduler_host: SchedulerHost, view: MembershipView) -> None:
        self._scheduler_host = scheduler_host
        self._view = view
        self._generation = -1
        self._owners: dict[str, list[str]] = {}

    def send(self, process: str, message: EntryMessage) -> None:
        """Send a message to the scheduler of a process."""
        self._scheduler_host.send(process, message)

    def owners(self, pool: str) -> list[str]:
        """List the processes that may schedule a pool, starting with the current owner."""
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._owners.clear()
        found = self._owners.get(pool)
        if found is None:
            found = [record.process for record in self._view.pool_owners(pool)]
            self._owners[pool] = found
        return found


class PeerKeepers:
    """Find the processes that keep the limits of replicas: those that may schedule the pool.

    :param send: sends a message to a link address.
    :param nodes: returns the number of nodes that may exist in the fleet.
    """

    def __init__(
        self,
        schedulers: PeerSchedulers,
        scheduler_host: SchedulerHost,
        view: MembershipView,
        send: Callable[[str, PermitMessage], None],
        nodes: Callable[[], int],
    ) -> None:
        self._schedulers = schedulers
        self._scheduler_host = scheduler_host
        self._view = view
        self._send = send
        self._nodes = nodes

    def keepers(self, service: str) -> list[str]:
        """List the processes that may keep a service's limits, starting with the current keeper."""
        return self._schedulers.owners(service)

    def is_here(self, process: str) -> bool:
        """Return whether a process is this one."""
        return process == self._view.record.process

    def send(self, process: str, message: PermitMessage) -> None:
        """Send a message to a process; drop it if the address of the process is unknown."""
        address = self._scheduler_host.address(process)
        if address is not None:
            self._send(address, message)

    def nodes(self) -> int:
        """Return the number of nodes that may exist in the fleet."""
        return self._nodes()


class PeerQuotas:
    """Find the owners of teams' quotas and send them messages.

    :param send: sends a message to a link address.
    :param presence: returns how much of the fleet this node sees.
    """

    def __init__(
        self,
        view: MembershipView,
        send: Callable[[str, QuotaMessage], None],
        presence: Callable[[], Presence],
    ) -> None:
        self._view = view
        self._send = send
        self._presence = presence
        self._generation = -1
        self._owners: dict[str, str | None] = {}
        self._successors: dict[str, list[str]] = {}

    def owner(self, team: str) -> str | None:
        """Return the link address of the node that owns a team's quota; None if it is this node."""
        self._follow_view()
        if team not in self._owners:
            found = self._ranked(team)[:1]
            is_owned = not found or found[0].host == self._view.record.host
            self._owners[team] = None if is_owned else found[0].address
        return self._owners[team]

    def successors(self, team: str) -> list[str]:
        """List the link addresses of the nodes that may own a team's quota after this one.

        These are the next ranked node, which takes over if this node is lost, and the first ranked
        node of each failure domain, which takes over if this domain is cut off.
        """
        self._follow_view()
        found = self._successors.get(team)
        if found is None:
            first: dict[str, MemberRecord] = {}
            others = [each for each in self._ranked(team) if each.host != self._view.record.host]
            for each in others:
                first.setdefault(each.failure_domain, each)
            chosen = [*others[:1], *first.values()]
            found = self._successors[team] = list(dict.fromkeys(each.address for each in chosen))
        return found

    def _follow_view(self) -> None:
        """Drop the cached owners and successors when the view has changed."""
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._owners.clear()
            self._successors.clear()

    def _ranked(self, team: str) -> list[MemberRecord]:
        return self._view.ranked(f"quota/{team}")

    def host(self) -> str:
        """Return the host id of this node."""
        return self._view.record.host

    def others(self) -> list[str]:
        """List the link addresses of the other live nodes."""
        own_host = self._view.record.host
        return [each.address for each in self._view.live() if each.host != own_host]

    def knows_owners(self) -> bool:
        """Return whether this node sees enough of the fleet to rely on computed owners."""
        return self._presence().share >= MIN_VISIBLE_FLEET_SHARE

    def presence(self) -> Presence:
        """Return how much of the fleet this node sees."""
        return self._presence()

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message to a node by its link address."""
        self._send(address, message)
