"""
chalkyoke.node.rollouts

Roll-out orders on this node: selects the replicas that its requests may go to, reports their
outcomes, and advances the orders that this node leads.
"""

import math
from collections import Counter
from collections.abc import Callable

import msgspec
import xxhash

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.records import ReceivedOrder
from chalkyoke.catalog.resources import Replica
from chalkyoke.catalog.state import UNKNOWN_AGE_S, CatalogState
from chalkyoke.gateway.reception import DEFAULT_OUTPUT_TOKENS, Admission
from chalkyoke.gateway.settings import SchedulingSection
from chalkyoke.links.broadcast import relay_to_domain
from chalkyoke.logs import logger
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.parts import WriteStatus
from chalkyoke.node.rolloutleads import RolloutLeads, current_order, stored_outcome
from chalkyoke.quotas.owner import Presence
from chalkyoke.rollouts.exposure import Exposure, ExposureBounds
from chalkyoke.rollouts.lead import Phase
from chalkyoke.rollouts.messages import RolloutMessage, RolloutReport, RolloutUpdate
from chalkyoke.rollouts.noderollout import NodeRollout
from chalkyoke.rollouts.resources import (
    RolloutOrder,
)
from chalkyoke.rollouts.standing import Eligibility, VersionEligibility
from chalkyoke.storage.port import Store

# How often orders are evaluated, in seconds: a heartbeat. A bad version is abandoned after one
# report, one evaluation and one announcement, a sixth of the time that operators allow.
TICK_S = 0.25
# How often a node reports, in seconds; failures of the new version are reported at once.
REPORT_INTERVAL_S = 0.25
# How often a node reports all its counts instead of the new ones only, in seconds: a report may be
# lost, or arrive before the leader knows the order. A full report has 35 counts, about 2 kB.
FULL_REPORT_INTERVAL_S = 2.0
# The smallest number of replicas of an engine pool that a trial uses, and their share of all new
# replicas. Both are low so that these replicas are as busy as the old ones, since some versions
# fail only under load.
MIN_TRIAL_REPLICAS = 6
TRIAL_REPLICA_SHARE = 0.1
# A request is assumed to last up to this multiple of its expected duration: callers' estimates are
# right at the median and spread by about this factor.
DURATION_FACTOR = 2.5

log = logger("rollouts")


class _ReportTimes(msgspec.Struct):
    """When this node sent its last report and its last full report, and to which leader."""

    leader: str = ""
    sent_at: float = float("-inf")
    full_sent_at: float = float("-inf")


class Rollouts:
    """Take part in all roll-out orders as one node of the fleet.

    :param send: sends a message to a node by its link address.
    :param presence: returns how much of the fleet this node sees.
    :param engine_defaults: assumed engine speeds, to compare requests of different sizes.
    :param random: source of numbers in [0, 1).
    :param changed: called when the requests that replicas may take have changed.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        state: CatalogState,
        store: Store,
        write_status: WriteStatus,
        bounds: ExposureBounds,
        engine_defaults: SchedulingSection,
        metrics: Metrics,
        send: Callable[[str, RolloutMessage], None],
        presence: Callable[[], Presence],
        random: Callable[[], float],
        changed: Callable[[], None],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._state = state
        self._bounds = bounds
        self._engine_defaults = engine_defaults
        self._send = send
        self._presence = presence
        self._random = random
        self._changed = changed
        self._now = now
        self._versions = VersionEligibility()
        self._rollouts: dict[str, NodeRollout] = {}
        self._report_times: dict[str, _ReportTimes] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._rollout_leads = RolloutLeads(
            view,
            state,
            store,
            write_status,
            metrics,
            presence,
            self.standing,
            send,
            self._apply_announcement,
            now,
        )

    # Changes of the catalog.

    def rebuild(self) -> None:
        """Apply changed orders, statuses or replicas of the catalog."""
        for service, received in self._state.orders.items():
            rollout = self._rollouts.get(service)
            if rollout is not None and rollout.order.name == received.order.name:
                rollout.order = received.order
            else:
                self._rollouts[service] = self._make_rollout(received)
                log.notice(
                    "ordered",
                    service=service,
                    to=received.order.version,
                    over_s=received.order.over_s,
                    revision=received.order.revision,
                    news_age_s=round(self._now() - received.since, 3),
                )
        for service in [each for each in self._rollouts if each not in self._state.orders]:
            log.notice("withdrawn", service=service, to=self._rollouts[service].order.version)
            del self._rollouts[service]
            self._rollout_leads.drop_order(service)
            self._report_times.pop(service, None)
        now = self._now()
        orders = {
            service: current_order(self._state, rollout, now)
            for service, rollout in self._rollouts.items()
        }
        self._versions.rebuild(orders, self._state.replicas.values())

    def _make_rollout(self, received: ReceivedOrder) -> NodeRollout:
        now = self._now()
        since = received.since if now - received.since < UNKNOWN_AGE_S else now
        exposure = Exposure(self._bounds, self._presence().known, self._random)
        return NodeRollout(received.order, exposure, since, now)

    def standing(self, replica: Replica) -> Eligibility:
        """Return which requests a replica takes."""
        return self._versions.eligibility(replica.service, replica.version)

    def trial_replicas(self, service: str, replicas: list[Replica]) -> list[Replica]:
        """Select the replicas that a trial uses from all replicas of the version under trial.

        The closing phase uses all of them.
        """
        rollout = self._rollouts.get(service)
        if rollout is not None and rollout.phase(self._now()) is Phase.CLOSING:
            return replicas
        count = max(MIN_TRIAL_REPLICAS, math.ceil(TRIAL_REPLICA_SHARE * len(replicas)))
        return sorted(replicas, key=lambda each: xxhash.xxh64_intdigest(each.id.encode()))[:count]

    # Requests.

    def claim_trial(self, admission: Admission, *, again: bool) -> bool:
        """Return whether a request goes to the version under trial, and count it if so."""
        rollout = self._rollouts.get(admission.service.name)
        if rollout is None or rollout.ended is not None:
            return False
        return rollout.admit_to_new_version(
            self._expected_duration_s(admission), self._now(), again=again
        )

    def return_trial(self, admission: Admission) -> None:
        """Uncount a request that doesn't go to the version under trial after all."""
        rollout = self._rollouts.get(admission.service.name)
        if rollout is not None:
            rollout.exposure.cancel_reservation()

    def may_send(self, replica: Replica) -> bool:
        """Return whether a granted request may still be sent to its replica.

        A grant is used a moment after it was issued. Once this node has reported that it no longer
        uses the old replicas, they may stop, which would abort a request sent to one of them.
        """
        rollout = self._rollouts.get(replica.service)
        if rollout is None or self._runs_new_version(rollout, replica):
            return True
        return not rollout.has_left_old(self._now())

    def record_sent(self, replica: Replica) -> None:
        """Count a request that is sent to a replica."""
        self._running[replica.service, replica.version] += 1
        rollout = self._rollouts.get(replica.service)
        if rollout is not None:
            rollout.exposure.count_sent()

    def record_finished(self, replica: Replica) -> None:
        """Uncount a request that its replica no longer runs."""
        self._running[replica.service, replica.version] -= 1

    def _count_old_running(self, order: RolloutOrder) -> int:
        return sum(
            count
            for (service, version), count in self._running.items()
            if service == order.service and version != order.version
        )

    def record_outcome(
        self,
        admission: Admission,
        replica: Replica,
        *,
        failed: bool,
        output_tokens: int,
        took_s: float,
    ) -> None:
        """Count the outcome of a request; report a failure of the new version at once.

        :param took_s: time from the send to the end, in seconds; 0 if it isn't meaningful.
        """
        rollout = self._rollouts.get(replica.service)
        if rollout is None:
            return
        is_new = self._runs_new_version(rollout, replica)
        work_s = 1.0
        if admission.route.is_stream:
            work_s = self._estimated_work_s(admission.fields.prompt_tokens, output_tokens)
        rollout.count_end(
            admission.route.name,
            replica.id if is_new else "",
            failed=failed,
            ratio=took_s / work_s,
        )
        if failed and is_new:
            self._send_report(rollout)

    def _runs_new_version(self, rollout: NodeRollout, replica: Replica) -> bool:
        return replica.version == rollout.order.version

    def _estimated_work_s(self, prompt_tokens: float, output_tokens: float) -> float:
        engine_defaults = self._engine_defaults
        prefill_s = prompt_tokens / engine_defaults.prefill_tokens_per_s
        return engine_defaults.setup_s + prefill_s + output_tokens * engine_defaults.token_s

    def _expected_duration_s(self, admission: Admission) -> float:
        """Return how long a request may last, in seconds, at most the time until its deadline."""
        left = admission.deadline - self._now()
        if not admission.route.is_stream:
            return min(left, admission.route.goal_s)
        fields = admission.fields
        likely = fields.estimated_output_tokens
        likely = likely or (fields.max_output_tokens or DEFAULT_OUTPUT_TOKENS) // 4
        return min(left, DURATION_FACTOR * self._estimated_work_s(fields.prompt_tokens, likely))

    # Reports and the leader's announcements.

    def tick(self) -> None:
        """Send the reports that are due and advance the orders that this node leads."""
        for service, rollout in list(self._rollouts.items()):
            if (
                self._now() - self._report_times.setdefault(service, _ReportTimes()).sent_at
                >= REPORT_INTERVAL_S
            ):
                self._send_report(rollout)
            self._rollout_leads.advance(rollout)

    def receive(self, process: str, message: RolloutMessage) -> None:
        """Handle a report of a node or an announcement of the leader.

        :param process: id of the sender.
        """
        rollout = self._rollouts.get(message.service)
        if rollout is None or not rollout.order.name.matches(message.name):
            return
        if isinstance(message, RolloutReport):
            rollout.update_elapsed(message.least_s, self._now())
            self._rollout_leads.receive_report(process, rollout, message)
            return
        self._apply_announcement(rollout, message)
        relay_to_domain(self._view, self._send, message)

    def _send_report(self, rollout: NodeRollout) -> None:
        if stored_outcome(self._state, rollout.order) is not None:
            return
        service, now = rollout.order.service, self._now()
        leader = self._rollout_leads.leader(service)
        last = self._report_times.setdefault(service, _ReportTimes())
        whole = last.leader != leader.process or now - last.full_sent_at >= FULL_REPORT_INTERVAL_S
        last.leader, last.sent_at = leader.process, now
        if whole:
            last.full_sent_at = now
        report = rollout.report(now, self._count_old_running(rollout.order), whole=whole)
        if leader.host == self._view.record.host:
            self._rollout_leads.receive_report(self._view.record.process, rollout, report)
        else:
            self._send(leader.address, report)

    def _apply_announcement(self, rollout: NodeRollout, message: RolloutUpdate) -> None:
        if not rollout.apply_update(message, self._now()):
            return
        log.info(
            "phase",
            service=message.service,
            phase=message.phase,
            least_s=round(message.least_s, 2),
            sent=rollout.exposure.sent,
            exposed=rollout.exposure.exposed,
        )
        self._changed()
