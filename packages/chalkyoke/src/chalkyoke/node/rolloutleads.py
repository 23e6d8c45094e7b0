"""
chalkyoke.node.rolloutleads

The roll-out orders that this node leads: decides the phase of each, announces it to all nodes, and
writes its status to the store for the operators.
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
from chalkyoke.rollouts.noderollout import NodeRollout
from chalkyoke.rollouts.resources import (
    OrderName,
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    TrackedOrder,
    matching_status,
)
from chalkyoke.rollouts.standing import Eligibility
from chalkyoke.storage.messages import Conflict, LeaseGone, Unavailable
from chalkyoke.storage.port import Store

# How often the leader repeats its announcement, in seconds.
ANNOUNCE_INTERVAL_S = 1.0
# Pause after a write of a status, in seconds. A failed write is retried after the first one; the
# second one gives a successful write time to arrive in the catalog.
WRITE_RETRY_S = 0.3
CONFIRMED_WRITE_RETRY_S = 1.3

STATE_OF_PHASE = {Phase.DONE: RolloutState.COMPLETED, Phase.UNDONE: RolloutState.ROLLED_BACK}

log = logger("rollouts")


def stored_outcome(state: CatalogState, order: RolloutOrder) -> RolloutStatus | None:
    """Return the final status of an order in the store, or None while the order runs."""
    stored = matching_status(order, state.statuses.get(order.service))
    return None if stored is None or stored.state is RolloutState.RUNNING else stored


def current_order(state: CatalogState, rollout: NodeRollout, now: float) -> TrackedOrder:
    """Combine an order with its final status from the store or else from the leader."""
    order = rollout.order
    status = stored_outcome(state, order)
    if status is None and rollout.ended is not None:
        ended = STATE_OF_PHASE[rollout.ended]
        status = RolloutStatus(order.service, order.version, ended, order.revision)
    return TrackedOrder(order, now - rollout.elapsed(now).max_s, status)


class _LedOrder(msgspec.Struct):
    """An order that this node leads.

    :ivar phase: the phase that was decided last.
    :ivar announced_at: the time of the last announcement, in seconds.
    :ivar written: the state of the last successful write.
    :ivar written_at: the time of the last attempt to write, in seconds.
    """

    lead: RolloutLeader
    order: OrderName
    phase: Phase | None = None
    announced_at: float = float("-inf")
    written: RolloutState | None = None
    written_at: float = float("-inf")


class RolloutLeads:
    """Lead the roll-out orders for which this node ranks first.

    :param presence: returns how much of the fleet this node sees.
    :param standing: returns which requests a replica takes.
    :param send: sends a message to a node by its link address.
    :param apply_locally: applies an announcement on this node.
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
        apply_locally: Callable[[NodeRollout, RolloutUpdate], None],
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
        self._apply_locally = apply_locally
        self._now = now
        self._led_orders: dict[str, _LedOrder] = {}
        self._write_tasks: set[asyncio.Task[None]] = set()

    def leader(self, service: str) -> MemberRecord:
        """Return the node that leads a service's order; this node if it knows no other."""
        return next(iter(self._view.ranked(f"rollout/{service}")), self._view.record)

    def receive_report(self, process: str, rollout: NodeRollout, report: RolloutReport) -> None:
        """Add a node's report to the evidence of an order.

        :param process: id of the node's process.
        """
        self._led_order(rollout).lead.apply_report(process, report)

    def drop_order(self, service: str) -> None:
        """Drop the state of an order that was withdrawn."""
        self._led_orders.pop(service, None)

    def advance(self, rollout: NodeRollout) -> None:
        """Decide the phase of an order and announce it, if this node leads the order."""
        service = rollout.order.service
        if self.leader(service).host != self._view.record.host:
            return
        tracked = current_order(self._state, rollout, self._now())
        led = self._led_order(rollout)
        decision = self._decide(rollout, tracked, led)
        self._log_decision(tracked, led, decision)
        ended = stored_outcome(self._state, rollout.order)
        stored = matching_status(rollout.order, self._state.statuses.get(service))
        state = STATE_OF_PHASE.get(decision.phase, RolloutState.RUNNING)
        if ended is None and (stored is None or stored.state is not state):
            self._start_status_write(tracked, led, state)
        # A rollback is announced at once. A completed roll-out is announced as closing until the
        # store has its final status.
        phase = decision.phase
        if phase is Phase.DONE and ended is None:
            phase = Phase.CLOSING
        self._announce(rollout, led, phase)

    def _led_order(self, rollout: NodeRollout) -> _LedOrder:
        service, name = rollout.order.service, rollout.order.name
        found = self._led_orders.get(service)
        if found is None or found.order != name:
            found = self._led_orders[service] = _LedOrder(RolloutLeader(), name)
        return found

    def _decide(self, rollout: NodeRollout, tracked: TrackedOrder, led: _LedOrder) -> Decision:
        if rollout.ended is Phase.UNDONE and not tracked.ended:
            return Decision(Phase.UNDONE)
        order = tracked.order
        new = [
            each
            for each in self._state.replicas.values()
            if each.service == order.service and each.version == order.version and not each.draining
        ]
        return led.lead.decide(
            tracked,
            rollout.elapsed(self._now()).max_s,
            new_replicas=len(new),
            tried=any(self._standing(each) is Eligibility.TRIAL for each in new),
            live=[each.process for each in self._view.live()],
            sees_fleet=self._presence().share >= MIN_VISIBLE_FLEET_SHARE,
        )

    def _log_decision(self, tracked: TrackedOrder, led: _LedOrder, decision: Decision) -> None:
        if led.phase is decision.phase:
            return
        finding = decision.finding
        log.notice(
            "decided",
            service=tracked.order.service,
            to=tracked.order.version,
            phase=decision.phase,
            why=decision.why,
            passed_s=round(self._now() - tracked.since, 2),
            verdict=finding.verdict,
            route=finding.route,
            measure=finding.measure,
            ends=finding.ends,
            bad=finding.found,
            expected=round(finding.expected, 3),
            old_running=led.lead.old_running(each.process for each in self._view.live()),
        )
        self._metrics.count("rollout_phases", service=tracked.order.service, phase=decision.phase)
        led.phase = decision.phase

    def _announce(self, rollout: NodeRollout, led: _LedOrder, phase: Phase) -> None:
        now = self._now()
        changed = rollout.phase(now) is not phase
        if not changed and now - led.announced_at < ANNOUNCE_INTERVAL_S:
            return
        led.announced_at = now
        order = rollout.order
        name = order.name
        message = RolloutUpdate(
            order.service,
            name.revision,
            phase,
            rollout.elapsed(now).min_s,
            epoch=name.epoch,
            digest=name.digest,
        )
        send_to_all(self._view, self._send, message)
        self._apply_locally(rollout, message)

    def _start_status_write(
        self, tracked: TrackedOrder, led: _LedOrder, state: RolloutState
    ) -> None:
        """Start a write of an order's status, unless the pause after the last write still runs."""
        pause_s = CONFIRMED_WRITE_RETRY_S if led.written is state else WRITE_RETRY_S
        if self._now() - led.written_at < pause_s:
            return
        led.written_at = self._now()
        task = asyncio.get_running_loop().create_task(self._write_order_status(tracked, led, state))
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)

    async def _write_order_status(
        self, tracked: TrackedOrder, led: _LedOrder, state: RolloutState
    ) -> None:
        """Write a status if no other node wrote one meanwhile: a final status never changes."""
        key, document = self._write_status(tracked.order, state)
        expected = self._state.stored_revision(key)
        written = await self._store.write(key, document, expected=expected)
        done = not isinstance(written, Unavailable | Conflict | LeaseGone)
        log.notice(
            "answered" if done else "answer_failed",
            service=tracked.order.service,
            to=tracked.order.version,
            state=state,
            expected=expected,
            outcome=type(written).__name__,
            why=written.reason if isinstance(written, Unavailable) else "",
        )
        if done:
            led.written = state
