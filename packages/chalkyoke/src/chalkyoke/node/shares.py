"""
chalkyoke.node.shares

Reports to operators how the teams of a pool share its work: counters, and a log line when teams are
limited to their shares.
"""

from chalkyoke.administration.metrics import Metrics
from chalkyoke.logs import logger
from chalkyoke.scheduling.scheduler import PoolScheduler

# Minimum interval between log lines about one pool, in seconds, and the number of teams that a line
# names: an overload lasts for some seconds and may concern thousands of teams.
LOG_INTERVAL_S = 5.0
MAX_NAMED_TEAMS = 5

log = logger("shares")


class ShareReporter:
    """Count the work and the fair shares of teams, and log which teams are limited."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._next_log_at: dict[str, float] = {}

    def report(self, scheduler: PoolScheduler, now: float) -> None:
        """Report what has changed at a pool; call about once a second.

        :param now: seconds on this node's clock.
        """
        pool = scheduler.spec.name
        for team, record in scheduler.admission.take_records().items():
            labels = {"pool": pool, "team": team}
            self._metrics.count("scheduler_work_served_seconds", record.served, **labels)
            self._metrics.count("scheduler_fair_share_seconds", record.entitled, **labels)
        self._log_limited(pool, scheduler.admission.limited_teams(), now)

    def _log_limited(self, pool: str, teams: frozenset[str], now: float) -> None:
        if not teams or now < self._next_log_at.get(pool, now):
            return
        self._next_log_at[pool] = now + LOG_INTERVAL_S
        named = ",".join(sorted(teams)[:MAX_NAMED_TEAMS])
        log.info("teams_limited", pool=pool, count=len(teams), teams=named)
