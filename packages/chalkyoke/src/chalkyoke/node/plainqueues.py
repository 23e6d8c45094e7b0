"""
chalkyoke.node.plainqueues

The plain services that are queued on this node: by its settings, or as announced by their
observers, and the gauges that show them and the queues of the pools scheduled here.
"""

from collections.abc import Callable, Mapping

from chalkyoke.administration.metrics import Labels, Metrics
from chalkyoke.balancing.brittle import BrittleReplicas
from chalkyoke.balancing.queueing import QueuedServices
from chalkyoke.gateway.settings import PlainServices, SchedulingSection
from chalkyoke.scheduling.scheduler import PoolScheduler


def make_queued_services(
    settings: SchedulingSection, brittle: BrittleReplicas, now: Callable[[], float]
) -> QueuedServices:
    """Build the record of queued services; none is queued where the schedulers are switched off.

    :param now: the node's clock, in seconds.
    """
    if not settings.pooled:
        return QueuedServices(now, never=True)
    choice = settings.plain_services
    return QueuedServices(
        now,
        lambda service: brittle.is_brittle(service, now()),
        always=choice is PlainServices.QUEUED,
        never=choice is PlainServices.LOCAL,
    )


def add_queue_gauges(
    metrics: Metrics, pools: Mapping[str, PoolScheduler], queued: QueuedServices
) -> None:
    """Add gauges for the queues of the pools scheduled here, and for the queued plain services.

    :param pools: the schedulers of this process by pool, which may change.
    """

    def read_waiting() -> dict[Labels, float]:
        return {(("pool", name),): each.waiting for name, each in pools.items()}

    def read_running() -> dict[Labels, float]:
        return {(("pool", name),): each.running for name, each in pools.items()}

    def read_queued() -> dict[Labels, float]:
        return {(("service", name),): 1.0 for name in queued.names()}

    metrics.register_gauges("scheduler_waiting", read_waiting)
    metrics.register_gauges("scheduler_running", read_running)
    metrics.register_gauges("plain_service_queued", read_queued)
