"""
chalkyoke.scheduling.requests

Build the scheduler's records of waiting and of adopted running requests from messages.
"""

import math

from chalkyoke.scheduling.headroom import LONG_OUTPUT_S
from chalkyoke.scheduling.learning import Learner
from chalkyoke.scheduling.messages import Acquire, RunningItem
from chalkyoke.scheduling.placement import Features
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.state import RunningRequest, Upstream, WaitingRequest
from chalkyoke.scheduling.versionroutes import version_route

# Assumed deadline of requests adopted from a previous scheduler, in seconds: the adopt message
# does not contain the deadline.
ADOPTED_DEADLINE_S = 5.0


class RequestBuilder:
    """Build waiting and running requests of one pool.

    :param learner: estimates output lengths and remaining times.
    """

    def __init__(self, pool: PoolState, learner: Learner, features: Features) -> None:
        self._pool = pool
        self._learner = learner
        self._features = features
        self._order = 0

    def waiting(self, entry: str, domain: str, message: Acquire, now: float) -> WaitingRequest:
        """Build a waiting request from the message of an entry process.

        A stream that has begun has been admitted before, and its caller holds a part of it. It is
        treated like a retry that returns at the time assigned to it.

        :param domain: failure domain of the entry process.
        """
        output = self._learner.estimate_output(message)
        self._order += 1
        blocks = message.blocks if self._features.prefix else ()
        route = message.route
        resumes = message.version is not None
        if message.version is not None:
            route = version_route(route, message.version)
        return WaitingRequest(
            request=message.request,
            attempt=message.attempt,
            entry=entry,
            domain=domain,
            route=route,
            rank=self._pool.rank(message.tier),
            team=message.team,
            prompt_tokens=message.prompt_tokens,
            blocks=blocks,
            arrived=now - message.waited_s,
            deadline=now + message.budget_s,
            order=self._order,
            output=output,
            goal=now + message.goal_s if message.goal_s else math.inf,
            max_retry_after_s=message.comes_back_s,
            gap_goal=message.gap_goal_s or math.inf,
            answer_due=now + message.whole_s if message.whole_s else math.inf,
            fingerprint=message.fingerprint,
            hint=message.likely_output,
            tried_upstreams=message.tried,
            is_promised_retry=resumes,
            assigned_at=now if resumes else 0.0,
            is_long=self._pool.work_s(0, output.median) > LONG_OUTPUT_S,
            work=self._pool.work_s(message.prompt_tokens, output.median),
        )

    def running(
        self, entry: str, item: RunningItem, upstream: Upstream, now: float
    ) -> RunningRequest:
        """Build a running request that was granted by a previous scheduler."""
        rank = self._pool.rank(item.tier)
        expected = self._learner.outputs.predict(item.route, item.team, item.max_output).median
        self._pool.queue(rank)
        running = RunningRequest(
            request=item.request,
            attempt=item.attempt,
            entry=entry,
            upstream=item.upstream,
            route=item.route,
            rank=rank,
            team=item.team,
            prompt_tokens=item.prompt_tokens,
            expected_output=expected,
            work=self._pool.work_s(item.prompt_tokens, expected),
            granted=now,
            deadline=now + ADOPTED_DEADLINE_S,
            expected_finish=now,
            prefill_left=item.prompt_tokens,
            first_seen=item.output_tokens > 0,
            output_tokens=item.output_tokens,
            elapsed_s=item.elapsed_s,
            lost_seen=upstream.time_factor.total_lost_s(now),
        )
        running.expected_finish = now + self._learner.remaining_s(running, upstream, now)
        return running
