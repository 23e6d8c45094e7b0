"""
chalkyoke.gateway.parts

Components that all exchanges of a node share.
"""

from collections.abc import Callable, Iterator

import msgspec

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.balancing.reports import PlainEnd
from chalkyoke.catalog.resources import Catalog
from chalkyoke.gateway.drain import Drain
from chalkyoke.gateway.granted import ReplicaPort
from chalkyoke.gateway.grants import Grants
from chalkyoke.gateway.origins import OriginPort
from chalkyoke.gateway.ports import HeaderFormat, RequestFields
from chalkyoke.gateway.quarantine import QuarantinePort
from chalkyoke.gateway.reception import Rejection
from chalkyoke.gateway.statements import AnnouncementPort
from chalkyoke.gateway.trials import RolloutPort
from chalkyoke.http1.messages import Request
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.memory.account import MemoryAccount
from chalkyoke.quotas.client import QuotaClient
from chalkyoke.retries.budget import RetryBudget

LogDecision = Callable[..., None]
LogRejection = Callable[[Request, RequestFields, Rejection], None]


class GatewayParts(msgspec.Struct):
    """Components that all exchanges of a node share.

    :param catalog: returns the current catalog.
    :param node_count: returns the number of nodes that may exist in the fleet.
    :param now: the node's clock, in seconds.
    :param log_decision: writes a decision on a request to the log.
    :param log_rejection: writes to the log that a request was rejected before admission.
    :param on_plain_request_ended: called when a send to a replica of a plain service has ended.
    :param memory: the host's account of buffered bytes.
    :param search_ids: unique names of requests in messages to schedulers.
    :param drain: decides which requests the node still takes during a planned stop.
    """

    catalog: Callable[[], Catalog]
    replicas: ReplicaPort
    headers: HeaderFormat
    grants: Grants
    balancer: LocalBalancer
    quotas: QuotaClient
    budget: RetryBudget
    connections: ConnectionPool
    node_count: Callable[[], int]
    now: Callable[[], float]
    log_decision: LogDecision
    log_rejection: LogRejection
    on_plain_request_ended: Callable[[PlainEnd], None]
    rollouts: RolloutPort
    quarantine: QuarantinePort
    announcements: AnnouncementPort
    origins: OriginPort
    search_ids: Iterator[str]
    memory: MemoryAccount = msgspec.field(default_factory=MemoryAccount)
    drain: Drain = msgspec.field(default_factory=Drain)
