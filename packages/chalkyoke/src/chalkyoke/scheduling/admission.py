"""
chalkyoke.scheduling.admission

Decide at arrival whether a request can be served in time, by the work that is ahead of it in its
tier and in its own team, and choose the Retry-After of a refused request.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.scheduling.fairshare import PoolRates
from chalkyoke.scheduling.placement import Features, complete_time_s
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.retryschedule import Reservation, RetrySchedule
from chalkyoke.scheduling.state import WaitingRequest

# Minimum Retry-After in seconds: the round trip of a caller, and time for the queue to change.
MIN_RETRY_S = 0.3
# Upper bound of Retry-After in seconds.
MAX_RETRY_S = 60.0
# Share of a tier's rate that retries may reserve although new requests would use all of it. Most
# retries have missed their goal, so most of the rate remains for requests that can meet theirs.
MIN_RESERVABLE_SHARE = 0.4
# Share of the time between goal and the caller's abandonment by which an admitted request may
# exceed its goal. A caller returns only once, so a smaller share gives up waits that could end
# well; a larger one refuses when too little time is left for the retry.
GOAL_OVERRUN_SHARE = 0.8
# Duration of a request on a busy upstream, as a factor of that on an idle one.
COMPLETE_FACTOR = 1.15
# Random spread of a Retry-After without a reservation, as a share of it. With a larger value, more
# callers return while the overload lasts and are refused again; with 0, requests that are refused
# together return together.
RETRY_SPREAD_SHARE = 0.1


class ShareRecord(msgspec.Struct):
    """What a team has got of a pool, and what it was entitled to; both in seconds of work.

    :param served: work of the team's grants.
    :param entitled: its fair share: at most the work that it demanded.
    """

    served: float = 0.0
    entitled: float = 0.0


class FairAdmission:
    """Predict waits from queued work and fair shares, and assign retry times.

    :param random: source of numbers in [0, 1), to spread retries.
    :param now: seconds on the scheduler's clock.
    :ivar records: work served and fair share of each team since they were last taken.
    """

    def __init__(
        self, pool: PoolState, features: Features, random: Callable[[], float], now: float
    ) -> None:
        self.rates = PoolRates(now)
        self.schedule = RetrySchedule()
        self.records: dict[str, ShareRecord] = {}
        self._pool = pool
        self._features = features
        self._random = random
        self._recorded_at = now
        self._refresh_slots(now)

    # Observations.

    def tick(self, now: float) -> None:
        """Update the number of usable slots, and release unused reservations."""
        self._refresh_slots(now)
        self.schedule.release_unused(now)
        self._record_entitled(now)

    def record_arrival(self, item: WaitingRequest, now: float) -> None:
        """Add a new request to the demand of its team."""
        tier = self.rates.tier(item.rank, now)
        tier.record_arrival(item.team, self._pool.weight(item.team), item.work, now)

    def record_end(self, work: float, busy_s: float, now: float) -> None:
        """Learn the rate of work from a request that has ended; see :class:`PoolRates`."""
        self.rates.record_end(work, busy_s, now)

    def record_grant(self, team: str, work: float) -> None:
        """Add the work of a grant, in seconds, to the work served for its team."""
        self.records.setdefault(team, ShareRecord()).served += work

    def take_records(self) -> dict[str, ShareRecord]:
        """Return and clear the work served and the fair share of each team."""
        records, self.records = self.records, {}
        return records

    def limited_teams(self) -> frozenset[str]:
        """Return the teams that demand more than their fair share of some tier now."""
        return frozenset().union(*(each.limited for each in self.rates.tiers.values()))

    def _refresh_slots(self, now: float) -> None:
        usable = (each for each in self._pool.upstreams.values() if each.is_usable("", now))
        self.rates.set_slots(sum(each.spec.slots for each in usable))

    def _record_entitled(self, now: float) -> None:
        elapsed = now - self._recorded_at
        self._recorded_at = now
        for rank, tier in self.rates.tiers.items():
            tier.refresh(self.rates.tier_per_s(rank, now), now)
            for team in tier.teams:
                record = self.records.setdefault(team, ShareRecord())
                record.entitled += elapsed * tier.fair_share_per_s(team, now)

    # Predictions.

    def wait_s(self, item: WaitingRequest, now: float) -> float:
        """Predict how long a new request waits for its start.

        The queue of a team above its fair share delays only that team: a request waits for the work
        of its whole tier, or for that of its team at the team's share, whichever is less.

        :return: seconds.
        """
        pool = self._pool
        rates = self.rates
        higher = sum(queue.work for rank, queue in pool.queues.items() if rank < item.rank)
        queue = pool.queue(item.rank)
        own = queue.team_work(item.team)
        if self._features.reserved_retries:
            own += self.schedule.reserved_work(item.rank, item.team, self._latest_start(item))
        ahead = min(max(own, queue.work), own / self._team_share(item, now))
        return rates.drain_s(item.rank, higher + ahead, now)

    def is_in_time(self, item: WaitingRequest, now: float) -> bool:
        """Return whether a new request would start early enough."""
        return now + self.wait_s(item, now) <= self._latest_start(item)

    def set_latest_start(self, item: WaitingRequest, now: float) -> None:
        """Set when a request must start so that it can be completed in time."""
        fastest = self._pool.fastest(item.route, now)
        whole_s = min((complete_time_s(item, each) for each in fastest), default=0.0)
        item.latest_start = min(item.deadline, item.answer_due - COMPLETE_FACTOR * whole_s)

    def _latest_start(self, item: WaitingRequest) -> float:
        reading_s = self._pool.work_s(item.prompt_tokens, 0)
        overrun_s = GOAL_OVERRUN_SHARE * max(0.0, item.deadline - item.goal)
        return item.goal + overrun_s - reading_s

    def _team_share(self, item: WaitingRequest, now: float) -> float:
        """Return the share of its tier's rate that a team can use."""
        rate = self.rates.tier_per_s(item.rank, now)
        tier = self.rates.tier(item.rank, now)
        tier.refresh(rate, now)
        return tier.team_rate_per_s(self._pool.weight(item.team), rate) / rate

    # Retries.

    def take_due_retry(self, item: WaitingRequest, now: float) -> None:
        """Mark a request that arrives at its assigned time as a retry, and use its reservation.

        Such a request precedes new ones, in the order of the assigned times.
        """
        found = self.schedule.take_due(item.fingerprint, now)
        if found is not None:
            item.is_promised_retry = True
            item.assigned_at = found.at

    def retry_after_s(self, item: WaitingRequest, now: float) -> float:
        """Return a Retry-After, with a reservation where the caller can use one.

        A caller that returns before its assigned time is told the remaining time.

        :return: seconds.
        """
        if self._features.reserved_retries:
            known = self.schedule.find(item.fingerprint)
            if known is not None and known.at > now:
                self.schedule.share(known)
                return _rounded_up(known.at - now)
            assigned = self._assign(item, now)
            if assigned is not None:
                return _rounded_up(assigned - now)
        longest_s = self._latest_return(item, now) - now
        wait = self.wait_s(item, now)
        if item.deadline >= item.answer_due and wait > longest_s:
            # Its caller waits until the end anyway and cannot wait longer by returning.
            return min(MAX_RETRY_S, _rounded_up(wait))
        spread = 1.0 - RETRY_SPREAD_SHARE * self._random()
        longest = longest_s * spread
        after = _rounded_up(min(MAX_RETRY_S, max(MIN_RETRY_S, longest)))
        if self._features.reserved_retries and item.fingerprint:
            self.schedule.add(Reservation(item.fingerprint, item.rank, item.team, now + after, 0.0))
        return after

    def _assign(self, item: WaitingRequest, now: float) -> float | None:
        share = self._team_share(item, now)
        queues = self._pool.queues
        ahead = sum(queue.work for rank, queue in queues.items() if rank < item.rank) * share
        ahead += self._pool.queue(item.rank).team_work(item.team)
        wanted = Reservation(item.fingerprint, item.rank, item.team, now + MIN_RETRY_S, item.work)
        return self.schedule.assign(
            wanted,
            ahead,
            lambda ahead_s: share * self._reservable_per_s(item.rank, now, ahead_s),
            now,
            self._latest_return(item, now),
        )

    def _latest_return(self, item: WaitingRequest, now: float) -> float:
        """Return the latest time at which a retry suits its caller and can still be completed."""
        latest = now + min(MAX_RETRY_S, item.max_retry_after_s)
        if item.latest_start < item.deadline:
            latest = min(latest, item.latest_start)
        return latest

    def _reservable_per_s(self, rank: int, now: float, ahead_s: float) -> float:
        """Predict the work per second that retries of a tier may reserve some seconds ahead."""
        rate = self.rates.tier_per_s(rank, now, ahead_s)
        new = self.rates.tier(rank, now).demand_per_s(now, ahead_s)
        return max(MIN_RESERVABLE_SHARE * rate, rate - new)


def _rounded_up(seconds: float) -> float:
    """Round up to hundredths, so that a caller does not return before its assigned time."""
    return -(-int(seconds * 1000) // 10) / 100 if seconds < MAX_RETRY_S else MAX_RETRY_S
