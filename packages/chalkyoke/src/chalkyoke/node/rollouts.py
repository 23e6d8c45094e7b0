"""
chalkyoke.node.rollouts

Orders of roll-outs on this node: which replicas its requests may go to, what it reports, and the
orders that it leads.
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
from chalkyoke.rollouts.resources import (
    RolloutOrder,
)
from chalkyoke.rollouts.share import NodeRollout
from chalkyoke.rollouts.standing import Eligibility, VersionEligibility
from chalkyoke.storage.port import Store

# How often orders are looked at, in seconds: a heartbeat. A bad version is left within one report,
# one look and one telling, a sixth of what operators allow.
TICK_S = 0.25
# How often a node reports, in seconds; failures of the new version are told at once.
REPORT_INTERVAL_S = 0.25
# How often it reports all that it has met and not only what is new, in seconds: a report may be
# lost, or come before the leader knows of the order. 35 counts, some 2 kB.
FULL_REPORT_INTERVAL_S = 2.0
# Replicas of a pool of engines that a trial uses, at the least, and as a part of all new ones: so
# few that they are as busy as the old ones, since some versions fail under load only.
MIN_TRIAL_REPLICAS = 6
TRIAL_REPLICA_SHARE = 0.1
# A request is taken to last up to so many times its expected time: callers' own estimates are right
# at the median and spread by about that.
DURATION_FACTOR = 2.5

log = logger("rollouts")


class _ReportTimes(msgspec.Struct):
    """When a node reported last, and when it last reported all, to which leader."""

    leader: str = ""
    at: float = float("-inf")
    full_at: float = float("-inf")


class Rollouts:
    """A node's part in all orders.

    :param send: sends a message to a node by its link address.
    :param presence: tells how much of the fleet this node sees.
    :param guess: what engines are taken to need, to compare requests of unlike sizes.
    :param random: source of numbers in [0, 1).
    :param changed: called when replicas may take other requests than before.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        state: CatalogState,
        store: Store,
        write_status: WriteStatus,
        bounds: ExposureBounds,
        guess: SchedulingSection,
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
        self._engine_defaults = guess
        self._send = send
        self._presence = presence
        self._random = random
        self._changed = changed
        self._now = now
        self._versions = VersionEligibility()
        self._shares: dict[str, NodeRollout] = {}
        self._report_times: dict[str, _ReportTimes] = {}
        self._running: Counter[tuple[str, str]] = Counter()
        self._leads = RolloutLeads(
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

    # What the catalog tells.

    def rebuild(self) -> None:
        """Take other orders, answers or replicas."""
        for service, ordered in self._state.orders.items():
            share = self._shares.get(service)
            if share is not None and share.order.name == ordered.order.name:
                share.order = ordered.order
            else:
                self._shares[service] = self._make_share(ordered)
                log.notice(
                    "ordered",
                    service=service,
                    to=ordered.order.version,
                    over_s=ordered.order.over_s,
                    revision=ordered.order.revision,
                    news_age_s=round(self._now() - ordered.since, 3),
                )
        for service in [each for each in self._shares if each not in self._state.orders]:
            log.notice("withdrawn", service=service, to=self._shares[service].order.version)
            del self._shares[service]
            self._leads.drop_order(service)
            self._report_times.pop(service, None)
        now = self._now()
        orders = {
            service: current_order(self._state, share, now)
            for service, share in self._shares.items()
        }
        self._versions.rebuild(orders, self._state.replicas.values())

    def _make_share(self, ordered: ReceivedOrder) -> NodeRollout:
        now = self._now()
        since = ordered.since if now - ordered.since < UNKNOWN_AGE_S else now
        exposure = Exposure(self._bounds, self._presence().known, self._random)
        return NodeRollout(ordered.order, exposure, since, now)

    def standing(self, replica: Replica) -> Eligibility:
        """Tell what a replica takes."""
        return self._versions.eligibility(replica.service, replica.version)

    def trial_replicas(self, service: str, replicas: list[Replica]) -> list[Replica]:
        """Choose, of the replicas of a version under trial, those that the trial uses."""
        share = self._shares.get(service)
        if share is not None and share.phase(self._now()) is Phase.CLOSING:
            return replicas
        most = max(MIN_TRIAL_REPLICAS, math.ceil(TRIAL_REPLICA_SHARE * len(replicas)))
        return sorted(replicas, key=lambda each: xxhash.xxh64_intdigest(each.id.encode()))[:most]

    # Requests.

    def claim_trial(self, admission: Admission, *, again: bool) -> bool:
        """Tell whether a request is to go to the version under trial; it is counted then."""
        share = self._shares.get(admission.service.name)
        if share is None or share.ended is not None:
            return False
        return share.admit_to_new_version(
            self._expected_duration_s(admission), self._now(), again=again
        )

    def return_trial(self, admission: Admission) -> None:
        """Take back that a request goes to the version under trial."""
        share = self._shares.get(admission.service.name)
        if share is not None:
            share.exposure.cancel_reservation()

    def may_send(self, replica: Replica) -> bool:
        """Tell whether a replica that was granted may still be sent to.

        A grant is used a moment after it was given. Once this node has told that it has left the
        old replicas they may stop, and what is sent to one then is cut off.
        """
        share = self._shares.get(replica.service)
        if share is None or self._is_new(share, replica):
            return True
        return not share.has_left_old(self._now())

    def record_sent(self, replica: Replica) -> None:
        """Count a request that goes to a replica."""
        self._running[replica.service, replica.version] += 1
        share = self._shares.get(replica.service)
        if share is not None:
            share.exposure.count_sent()

    def record_finished(self, replica: Replica) -> None:
        """Count a request that the replica no longer works on."""
        self._running[replica.service, replica.version] -= 1

    def _old_running(self, order: RolloutOrder) -> int:
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
        """Count how a request ended.

        :param took_s: from the send to the end, in seconds; 0 where it tells nothing.
        """
        share = self._shares.get(replica.service)
        if share is None:
            return
        is_new = self._is_new(share, replica)
        work_s = 1.0
        if admission.route.is_stream:
            work_s = self._estimated_work_s(admission.fields.prompt_tokens, output_tokens)
        share.count_end(
            admission.route.name,
            replica.id if is_new else "",
            failed=failed,
            ratio=took_s / work_s,
        )
        if failed and is_new:
            self._send_report(share)

    def _is_new(self, share: NodeRollout, replica: Replica) -> bool:
        return replica.version == share.order.version

    def _estimated_work_s(self, prompt_tokens: float, output_tokens: float) -> float:
        guess = self._engine_defaults
        read_s = prompt_tokens / guess.prefill_tokens_per_s
        return guess.setup_s + read_s + output_tokens * guess.token_s

    def _expected_duration_s(self, admission: Admission) -> float:
        """Tell how long a request may last, in seconds."""
        left = admission.deadline - self._now()
        if not admission.route.is_stream:
            return min(left, admission.route.goal_s)
        fields = admission.fields
        likely = fields.estimated_output_tokens
        likely = likely or (fields.max_output_tokens or DEFAULT_OUTPUT_TOKENS) // 4
        return min(left, DURATION_FACTOR * self._estimated_work_s(fields.prompt_tokens, likely))

    # Reports and the leader's word.

    def tick(self) -> None:
        """Report, and lead the orders that this node is to lead."""
        for service, share in list(self._shares.items()):
            if (
                self._now() - self._report_times.setdefault(service, _ReportTimes()).at
                >= REPORT_INTERVAL_S
            ):
                self._send_report(share)
            self._leads.advance(share)

    def receive(self, process: str, message: RolloutMessage) -> None:
        """Take a report, or the leader's word.

        :param process: id of the sender.
        """
        share = self._shares.get(message.service)
        if share is None or not share.order.name.matches(message.name):
            return
        if isinstance(message, RolloutReport):
            share.update_elapsed(message.least_s, self._now())
            self._leads.receive_report(process, share, message)
            return
        self._apply_announcement(share, message)
        relay_to_domain(self._view, self._send, message)

    def _send_report(self, share: NodeRollout) -> None:
        if stored_outcome(self._state, share.order) is not None:
            return
        service, now = share.order.service, self._now()
        leader = self._leads.leader(service)
        last = self._report_times.setdefault(service, _ReportTimes())
        whole = last.leader != leader.process or now - last.full_at >= FULL_REPORT_INTERVAL_S
        last.leader, last.at = leader.process, now
        if whole:
            last.full_at = now
        report = share.report(now, self._old_running(share.order), whole=whole)
        if leader.host == self._view.record.host:
            self._leads.receive_report(self._view.record.process, share, report)
        else:
            self._send(leader.address, report)

    def _apply_announcement(self, share: NodeRollout, message: RolloutUpdate) -> None:
        if not share.apply_update(message, self._now()):
            return
        log.info(
            "phase",
            service=message.service,
            phase=message.phase,
            least_s=round(message.least_s, 2),
            sent=share.exposure.sent,
            exposed=share.exposure.exposed,
        )
        self._changed()
