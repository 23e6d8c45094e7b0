"""
chalkyoke.node.rolloutleads

The orders of roll-outs that this node leads: decide how far each has come, tell all nodes, and
answer the operators in the store.
"""

import asyncio
from collections.abc import Callable

import msgspec

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.resources import Replica
from chalkyoke.catalog.state import CatalogState
from chalkyoke.links.broadcast import send_to_all
from chalkyoke.logs import logger
from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.parts import WriteStatus
from chalkyoke.node.peers import MIN_VISIBLE_FLEET_SHARE
from chalkyoke.quotas.owner import Presence
from chalkyoke.rollouts.lead import Decision, Phase, RolloutLeader
from chalkyoke.rollouts.messages import RolloutReport, RolloutUpdate
from chalkyoke.rollouts.resources import (
    OrderName,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    TrackedOrder,
    matching_status,
)
from chalkyoke.rollouts.share import NodeRollout
from chalkyoke.rollouts.standing import Eligibility
from chalkyoke.storage.messages import Conflict, LeaseGone, Unavailable
from chalkyoke.storage.port import Store

# How often the leader repeats its word, in seconds.
ANNOUNCE_INTERVAL_S = 1.0
# Pause after a write, in seconds: a failed one is tried again, a done one is seen in the catalog.
WRITE_RETRY_S = 0.3
CONFIRMED_WRITE_RETRY_S = 1.3

STATE_OF_PHASE = {Phase.DONE: RolloutState.COMPLETED, Phase.UNDONE: RolloutState.ROLLED_BACK}

log = logger("rollouts")


def stored_outcome(state: CatalogState, order: RolloutOrder) -> RolloutStatus | None:
    """Give the end of an order as it stands in the store; nothing while it runs."""
    stored = matching_status(order, state.statuses.get(order.service))
    return None if stored is None or stored.state is RolloutState.RUNNING else stored


def current_order(state: CatalogState, share: NodeRollout, now: float) -> TrackedOrder:
    """Put an order and its answer together, as the store or the leader tells it."""
    order = share.order
    status = stored_outcome(state, order)
    if status is None and share.ended is not None:
        ended = STATE_OF_PHASE[share.ended]
        status = RolloutStatus(order.service, order.version, ended, order.revision)
    return TrackedOrder(order, now - share.elapsed(now).max_s, status)


class _LedOrder(msgspec.Struct):
    """An order that this node leads.

    :ivar phase: as last decided.
    :ivar written: the answer that was written last.
    """

    lead: RolloutLeader
    order: OrderName
    phase: Phase | None = None
    announced_at: float = float("-inf")
    written: RolloutState | None = None
    written_at: float = float("-inf")


class RolloutLeads:
    """Lead the orders that this node is to lead.

    :param presence: tells how much of the fleet this node sees.
    :param standing: tells what a replica takes.
    :param send: sends a message to a node by its link address.
    :param hear: takes the leader's word on this node.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        view: MembershipView,
        state: CatalogState,
        store: Store,
        write_status: WriteStatus,
        metrics: Metrics,
        presence: Callable[[], Presence],
        standing: Callable[[Replica], Eligibility],
        send: Callable[[str, RolloutUpdate], None],
        hear: Callable[[NodeRollout, RolloutUpdate], None],
        now: Callable[[], float],
    ) -> None:
        self._view = view
        self._state = state
        self._store = store
        self._write_status = write_status
        self._metrics = metrics
        self._presence = presence
        self._standing = standing
        self._send = send
        self._apply_locally = hear
        self._now = now
        self._leading: dict[str, _LedOrder] = {}
        self._writes: set[asyncio.Task[None]] = set()

    def leader(self, service: str) -> MemberRecord:
        """Name the node that leads a service's order."""
        return next(iter(self._view.ranked(f"rollout/{service}")), self._view.record)

    def receive_report(self, process: str, share: NodeRollout, report: RolloutReport) -> None:
        """Take a node's report.

        :param process: id of the node's process.
        """
        self._led_order(share).lead.apply_report(process, report)

    def drop_order(self, service: str) -> None:
        """Drop an order that was withdrawn."""
        self._leading.pop(service, None)

    def advance(self, share: NodeRollout) -> None:
        """Decide how far an order has come, and tell it; only where this node leads it."""
        service = share.order.service
        if self.leader(service).host != self._view.record.host:
            return
        order = current_order(self._state, share, self._now())
        leading = self._led_order(share)
        decision = self._decide(share, order, leading)
        self._log_decision(order, leading, decision)
        ended = stored_outcome(self._state, share.order)
        stored = matching_status(share.order, self._state.statuses.get(service))
        state = STATE_OF_PHASE.get(decision.phase, RolloutState.RUNNING)
        if ended is None and (stored is None or stored.state is not state):
            self._start_status_write(order, leading, state)
        # A version is left at once; that it is the only one holds from the answer in the store on.
        phase = decision.phase
        if phase is Phase.DONE and ended is None:
            phase = Phase.CLOSING
        self._announce(share, leading, phase)

    def _led_order(self, share: NodeRollout) -> _LedOrder:
        service, name = share.order.service, share.order.name
        found = self._leading.get(service)
        if found is None or found.order != name:
            found = self._leading[service] = _LedOrder(RolloutLeader(), name)
        return found

    def _decide(self, share: NodeRollout, order: TrackedOrder, leading: _LedOrder) -> Decision:
        if share.ended is Phase.UNDONE and not order.ended:
            return Decision(Phase.UNDONE)
        wanted = order.order
        new = [
            each
            for each in self._state.replicas.values()
            if each.service == wanted.service
            and each.version == wanted.version
            and not each.draining
        ]
        return leading.lead.decide(
            order,
            share.elapsed(self._now()).max_s,
            new_replicas=len(new),
            tried=any(self._standing(each) is Eligibility.TRIAL for each in new),
            live=[each.process for each in self._view.live()],
            sees_fleet=self._presence().share >= MIN_VISIBLE_FLEET_SHARE,
        )

    def _log_decision(self, order: TrackedOrder, leading: _LedOrder, decision: Decision) -> None:
        if leading.phase is decision.phase:
            return
        finding = decision.finding
        log.notice(
            "decided",
            service=order.order.service,
            to=order.order.version,
            phase=decision.phase,
            why=decision.why,
            passed_s=round(self._now() - order.since, 2),
            verdict=finding.verdict,
            route=finding.route,
            measure=finding.measure,
            ends=finding.ends,
            bad=finding.found,
            expected=round(finding.expected, 3),
            old_running=leading.lead.old_running(each.process for each in self._view.live()),
        )
        self._metrics.count("rollout_phases", service=order.order.service, phase=decision.phase)
        leading.phase = decision.phase

    def _announce(self, share: NodeRollout, leading: _LedOrder, phase: Phase) -> None:
        now = self._now()
        changed = share.phase(now) is not phase
        if not changed and now - leading.announced_at < ANNOUNCE_INTERVAL_S:
            return
        leading.announced_at = now
        order = share.order
        name = order.name
        message = RolloutUpdate(
            order.service,
            name.revision,
            phase,
            share.elapsed(now).min_s,
            epoch=name.epoch,
            digest=name.digest,
        )
        send_to_all(self._view, self._send, message)
        self._apply_locally(share, message)

    def _start_status_write(
        self, order: TrackedOrder, leading: _LedOrder, state: RolloutState
    ) -> None:
        """Write how an order stands, unless that is being done."""
        pause_s = CONFIRMED_WRITE_RETRY_S if leading.written is state else WRITE_RETRY_S
        if self._now() - leading.written_at < pause_s:
            return
        leading.written_at = self._now()
        task = asyncio.get_running_loop().create_task(self._write_answer(order, leading, state))
        self._writes.add(task)
        task.add_done_callback(self._writes.discard)

    async def _write_answer(
        self, order: TrackedOrder, leading: _LedOrder, state: RolloutState
    ) -> None:
        """Write under the condition that nobody has answered meanwhile: an end never changes."""
        key, document = self._write_status(order.order, state)
        held = self._state.statuses.get(order.order.service)
        expected = held.revision if held else 0
        written = await self._store.write(key, document, expected=expected)
        done = not isinstance(written, Unavailable | Conflict | LeaseGone)
        log.notice(
            "answered" if done else "answer_failed",
            service=order.order.service,
            to=order.order.version,
            state=state,
            expected=expected,
            outcome=type(written).__name__,
            why=written.reason if isinstance(written, Unavailable) else "",
        )
        if done:
            leading.written = state
