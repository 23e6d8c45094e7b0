"""
chalkyoke.node.peers

The way to the schedulers and quota owners in other nodes.
"""

from collections.abc import Callable

from chalkyoke.limits.messages import PermitMessage
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.quotas.messages import QuotaMessage
from chalkyoke.quotas.owner import Presence
from chalkyoke.scheduling.messages import EntryMessage

# A node that sees this share of the fleet takes its owners for those that others see. With less,
# after the loss of all nodes, several nodes would lease at once, each as the owner of a small side.
MIN_VISIBLE_FLEET_SHARE = 0.95


class PeerSchedulers:
    """The pool schedulers, here and in other processes."""

    def __init__(self, hosted: SchedulerHost, view: MembershipView) -> None:
        self._scheduler_host = hosted
        self._view = view
        self._generation = -1
        self._owners: dict[str, list[str]] = {}

    def send(self, process: str, message: EntryMessage) -> None:
        """Send a message to the scheduler in a process."""
        self._scheduler_host.send(process, message)

    def owners(self, pool: str) -> list[str]:
        """List the processes that may schedule a pool, the present owner first."""
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._owners.clear()
        found = self._owners.get(pool)
        if found is None:
            found = [record.process for record in self._view.pool_owners(pool)]
            self._owners[pool] = found
        return found


class PeerKeepers:
    """The processes that count what limited replicas get: those that may schedule a pool.

    :param send: sends a message to a link address.
    :param nodes: counts the nodes that there may be in the fleet.
    """

    def __init__(
        self,
        schedulers: PeerSchedulers,
        hosted: SchedulerHost,
        view: MembershipView,
        send: Callable[[str, PermitMessage], None],
        nodes: Callable[[], int],
    ) -> None:
        self._schedulers = schedulers
        self._scheduler_host = hosted
        self._view = view
        self._send = send
        self._nodes = nodes

    def keepers(self, service: str) -> list[str]:
        """List the processes that may count for a service, the present keeper first."""
        return self._schedulers.owners(service)

    def is_here(self, process: str) -> bool:
        """Tell whether a process is this one."""
        return process == self._view.record.process

    def send(self, process: str, message: PermitMessage) -> None:
        """Send a message to a process; nothing where it is not there any more."""
        address = self._scheduler_host.address(process)
        if address is not None:
            self._send(address, message)

    def nodes(self) -> int:
        """Count the nodes that there may be in the fleet."""
        return self._nodes()


class PeerQuotas:
    """The owners of teams' quotas.

    :param send: sends a message to a link address.
    :param presence: tells how much of the fleet this node sees.
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
        """Give the link address of a team's owner; nothing where it is this node."""
        self._follow_view()
        if team not in self._owners:
            found = self._ranked(team)[:1]
            mine = not found or found[0].host == self._view.record.host
            self._owners[team] = None if mine else found[0].address
        return self._owners[team]

    def successors(self, team: str) -> list[str]:
        """List the link addresses of the nodes that may own a team's quota after this one.

        These are the next in line, for when this node is lost, and the first in line of each
        other failure domain, for when the domain is cut off.
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
        """Forget owners and successors when the view has changed."""
        if self._generation != self._view.generation:
            self._generation = self._view.generation
            self._owners.clear()
            self._successors.clear()

    def _ranked(self, team: str) -> list[MemberRecord]:
        return self._view.ranked(f"quota/{team}")

    def host(self) -> str:
        """Give this node's host id."""
        return self._view.record.host

    def others(self) -> list[str]:
        """List the link addresses of the other live nodes."""
        mine = self._view.record.host
        return [each.address for each in self._view.live() if each.host != mine]

    def knows_owners(self) -> bool:
        """Tell whether this node knows the fleet well enough to find owners."""
        return self._presence().share >= MIN_VISIBLE_FLEET_SHARE

    def presence(self) -> Presence:
        """Tell how much of the fleet this node sees."""
        return self._presence()

    def send(self, address: str, message: QuotaMessage) -> None:
        """Send a message to a node."""
        self._send(address, message)
