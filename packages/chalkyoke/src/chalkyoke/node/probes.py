"""
chalkyoke.node.probes

Fetches load reports and cache events from the upstreams of the pools scheduled here.
"""

import asyncio

from chalkyoke.administration.metrics import Metrics
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.upstreams.client import UpstreamClient


async def probe_once(
    schedulers: SchedulerHost, client: UpstreamClient, metrics: Metrics, now: float
) -> None:
    """Probe each upstream of each pool scheduled here once.

    :param now: seconds on the monotonic clock since this process started.
    """
    tasks = [
        _probe(schedulers, client, metrics, pool, upstream.spec.id, upstream.spec.address, now)
        for pool, scheduler in schedulers.pools.items()
        for upstream in scheduler.upstreams.values()
    ]
    await asyncio.gather(*tasks)


async def _probe(
    schedulers: SchedulerHost,
    client: UpstreamClient,
    metrics: Metrics,
    pool: str,
    upstream: str,
    address: str,
    now: float,
) -> None:
    answered = await client.fetch_load(upstream, address)
    scheduler = schedulers.pools.get(pool)
    if answered is None or scheduler is None:
        metrics.count("probe_failures")
        return
    report, dropped = answered
    scheduler.apply_cache_event(dropped)
    schedulers.dispatch(scheduler.apply_load_report(report, now))
