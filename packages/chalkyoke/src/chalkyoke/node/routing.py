"""
chalkyoke.node.routing

Routes messages of other nodes to the parts of a gateway node.
"""

from collections.abc import Awaitable, Callable

import msgspec

from chalkyoke.balancing.messages import SUSPICION_MESSAGES
from chalkyoke.balancing.suspicions import Suspicions
from chalkyoke.catalog.keeper import CatalogSynchronizer
from chalkyoke.catalog.messages import (
    CatalogDelta,
    CatalogRequest,
    CatalogSnapshot,
    ReplicaAttributes,
    ReplicasDelta,
    ReplicasLeaving,
    ReplicasSnapshot,
)
from chalkyoke.gateway.grants import Grants
from chalkyoke.limits.announcements import LimitAnnouncements
from chalkyoke.limits.client import PermitClient
from chalkyoke.limits.messages import PERMIT_MESSAGES
from chalkyoke.links.connection import Connection
from chalkyoke.links.peers import Links
from chalkyoke.membership.messages import (
    MEMBERSHIP_MESSAGES,
    Heartbeat,
    MembershipMessage,
)
from chalkyoke.membership.state import Change
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.announcements import Announcements
from chalkyoke.node.rollouts import Rollouts
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.quarantine.messages import QUARANTINE_MESSAGES
from chalkyoke.quarantine.spread import Quarantine
from chalkyoke.quotas.client import QuotaClient
from chalkyoke.quotas.messages import (
    QuotaGrant,
    QuotaRequest,
    QuotaReturned,
    QuotaSpent,
    QuotaSurvey,
    QuotaWindows,
)
from chalkyoke.resumption.finder import OriginFinder
from chalkyoke.resumption.messages import ORIGIN_MESSAGES
from chalkyoke.rollouts.messages import ROLLOUT_MESSAGES
from chalkyoke.scheduling.messages import (
    Acquire,
    Adopt,
    AdoptRequest,
    FirstOutput,
    Grant,
    Learned,
    Progress,
    Queued,
    Release,
    RetryReservations,
    Shed,
    Withdraw,
)
from chalkyoke.tunnels.messages import TUNNEL_MESSAGES, TunnelRequest
from chalkyoke.tunnels.server import TunnelServer

CATALOG_MESSAGES = (
    CatalogDelta,
    CatalogRequest,
    CatalogSnapshot,
    ReplicasDelta,
    ReplicasSnapshot,
)
ENTRY_MESSAGES = (Grant, Queued, Shed)
SCHEDULER_MESSAGES = (
    Acquire,
    Adopt,
    FirstOutput,
    Learned,
    Progress,
    Release,
    RetryReservations,
    Withdraw,
)
QUOTA_MESSAGES = (
    QuotaGrant,
    QuotaRequest,
    QuotaReturned,
    QuotaSpent,
    QuotaSurvey,
    QuotaWindows,
)
LINK_MESSAGES: tuple[type[msgspec.Struct], ...] = (
    *MEMBERSHIP_MESSAGES,
    *CATALOG_MESSAGES,
    *ENTRY_MESSAGES,
    *SCHEDULER_MESSAGES,
    *QUOTA_MESSAGES,
    *SUSPICION_MESSAGES,
    *ROLLOUT_MESSAGES,
    *QUARANTINE_MESSAGES,
    *PERMIT_MESSAGES,
    *TUNNEL_MESSAGES,
    *ORIGIN_MESSAGES,
    ReplicasLeaving,
    ReplicaAttributes,
    AdoptRequest,
)

# Message kinds that a node understands if its version doesn't advertise its kinds when a link is
# opened. Any other kind breaks the link to such a node.
LEGACY_KINDS = frozenset(
    (
        "acquire",
        "adopt",
        "adopt_request",
        "beat",
        "catalog",
        "catalog_changed",
        "catalog_request",
        "first_output",
        "grant",
        "heartbeat",
        "learned",
        "progress",
        "queued",
        "quota_grant",
        "quota_request",
        "quota_returned",
        "quota_spent",
        "quota_survey",
        "quota_windows",
        "release",
        "replica_report",
        "replicas",
        "replicas_changed",
        "rollout_report",
        "rollout_told",
        "roster",
        "shed",
        "summary",
        "summary_request",
        "suspects",
        "withdraw",
    )
)

# Kinds that later versions without advertisement understand too. Such a node broadcasts messages of
# these kinds when a replica ends for the first time during its requests.
LEGACY_QUARANTINE_KINDS = frozenset(str(each.__struct_config__.tag) for each in QUARANTINE_MESSAGES)


class RoutedParts(msgspec.Struct, frozen=True):
    """The parts of a node that receive messages."""

    view: MembershipView
    links: Links
    catalog: CatalogSynchronizer
    grants: Grants
    scheduler_host: SchedulerHost
    quotas: QuotaClient
    suspicions: Suspicions
    rollouts: Rollouts
    quarantine: Quarantine
    announcements: Announcements
    limits: LimitAnnouncements
    permits: PermitClient
    tunnels: TunnelServer
    origins: OriginFinder


class MessageRouter:
    """Route each message to the part of the node that handles its kind.

    :param apply_changes: called with the changes of the membership view that a message caused.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        parts: RoutedParts,
        apply_changes: Callable[[list[Change]], None],
        now: Callable[[], float],
    ) -> None:
        self._parts = parts
        self._apply_changes = apply_changes
        self._now = now

    def route(self, connection: Connection, message: msgspec.Struct) -> Awaitable[None] | None:
        """Pass a message to the part that handles its kind.

        :return: what answers the message on its own stream, if anything does.
        :raises InvariantBroken: if a part detects a violated invariant.
        """
        parts, address = self._parts, connection.peer_address
        if isinstance(message, MEMBERSHIP_MESSAGES):
            self._receive_membership(address, message)
        elif isinstance(message, ENTRY_MESSAGES):
            parts.grants.receive(connection.peer, message)
        elif isinstance(message, AdoptRequest):
            parts.grants.report_running(message.pool, connection.peer)
            parts.scheduler_host.send_learned(message.pool, connection.peer)
        elif isinstance(message, SCHEDULER_MESSAGES):
            parts.scheduler_host.remember_address(connection.peer, address)
            parts.scheduler_host.receive(connection.peer, connection.peer_domain, message)
        elif isinstance(message, QUOTA_MESSAGES):
            parts.quotas.receive(address, message)
        elif isinstance(message, SUSPICION_MESSAGES):
            parts.suspicions.receive(message)
        elif isinstance(message, ROLLOUT_MESSAGES):
            parts.rollouts.receive(connection.peer, message)
        elif isinstance(message, QUARANTINE_MESSAGES):
            parts.quarantine.receive(address, message)
        elif isinstance(message, ReplicasLeaving):
            parts.announcements.receive(address, message)
        elif isinstance(message, ReplicaAttributes):
            parts.limits.receive(address, message)
        elif isinstance(message, PERMIT_MESSAGES):
            parts.permits.receive(connection.peer, message)
        elif isinstance(message, ORIGIN_MESSAGES):
            parts.origins.receive(address, message)
        elif isinstance(message, CATALOG_MESSAGES):
            parts.catalog.receive(address, message)
        elif isinstance(message, TunnelRequest):
            return parts.tunnels.serve(connection, message)
        return None

    def _receive_membership(self, address: str, message: MembershipMessage) -> None:
        changes, sends = self._parts.view.receive(address, message, self._now())
        self._apply_changes(changes)
        for send in sends:
            self._parts.links.send(send.address, send.message)
        if isinstance(message, Heartbeat):
            self._parts.catalog.receive_heartbeat(address, message.record)
