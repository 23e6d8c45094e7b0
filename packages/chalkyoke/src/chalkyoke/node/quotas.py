"""
chalkyoke.node.quotas

Builds the quota slices of a gateway node.
"""

from collections.abc import Callable, Mapping

import msgspec

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.resources import Team
from chalkyoke.gateway.settings import GatewaySettings
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.node.quotasnapshots import QuotaSnapshots
from chalkyoke.quotas.client import OwnerPort, QuotaClient
from chalkyoke.quotas.leases import HeldLeases
from chalkyoke.quotas.owner import QuotaOwner
from chalkyoke.quotas.window import QuotaLimits
from chalkyoke.storage.port import Store


class QuotaParts(msgspec.Struct, frozen=True):
    """The quota slices of a node.

    :param snapshots: None if the windows have no snapshots in the store.
    """

    client: QuotaClient
    snapshots: QuotaSnapshots | None


def make_quotas(
    settings: GatewaySettings,
    record: MemberRecord,
    store: Store,
    prefix: str,
    port: OwnerPort,
    teams: Callable[[], Mapping[str, Team]],
    count_nodes: Callable[[], int],
    metrics: Metrics,
    now: Callable[[], float],
) -> QuotaParts:
    """Build the quota slices of a node.

    :param record: the record of this node's process.
    :param prefix: prefix of the snapshots' keys.
    :param count_nodes: returns the number of nodes that may exist.
    :param now: the node's clock, in seconds.
    :rtype: QuotaParts
    """
    section, first_start = settings.limits, settings.node.first_start
    limits = QuotaLimits(section.quota_window_s, section.quota_over, section.quota_slack)
    owner = QuotaOwner(
        limits,
        first_start=first_start,
        identity=record.incarnation >> 1,
        snapshots=section.quota_snapshots,
    )

    def count_writers() -> int:
        limited = sum(each.rate_per_s > 0 for each in teams().values())
        return min(limited, count_nodes())

    snapshots = None
    if owner.snapshots is not None:
        snapshots = QuotaSnapshots(
            store, owner.snapshots, prefix, record.process, count_writers, metrics, now
        )
    leases = HeldLeases(limits, count_nodes)
    client = QuotaClient(leases, owner, port, teams, now, first_start=first_start, store=snapshots)
    return QuotaParts(client, snapshots)
