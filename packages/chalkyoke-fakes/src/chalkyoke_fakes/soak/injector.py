"""
chalkyoke_fakes.soak.injector

Inject the faults of a plan into a fleet, from outside.
"""

import asyncio
import copy
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

from chalkyoke_fakes.replica import Replica, ReplicaFaults
from chalkyoke_fakes.soak.fleet import SoakFleet
from chalkyoke_fakes.soak.observations import (
    DrainStart,
    FaultPeriod,
    FocusPeriod,
    LimitPeriod,
    NodeStop,
    Observations,
    TimeLimit,
)
from chalkyoke_fakes.soak.oddentries import remove_odd_entries, write_odd_entries
from chalkyoke_fakes.soak.operators import Change, Operators
from chalkyoke_fakes.soak.plan import (
    MAX_FAULT_S,
    MIN_FAULT_S,
    ROLL,
    STORE_LINK_FAULTS,
    Fault,
    FaultStep,
    RollStep,
)
from chalkyoke_fakes.soak.relay import Relay, RelayFaults
from chalkyoke_fakes.soak.stops import is_prepared_for

RESTART_DELAY_S = 0.3
# How much longer than other faults callers prefer one node, in seconds: it is checked from 3 s on.
EXTRA_FOCUS_S = 4.0
STOP_TIMEOUT_S = 12.0
# Interval at which a process that starts is looked at, in seconds.
START_POLL_S = 0.01
# The shortest time for which a replica serves on after it announced leaving only in its answers; a
# replica that drains serves on for 2.6 times as long.
LEAVING_S = 2.5
# The ``Retry-After`` that a replica sends while it sheds, in seconds.
RETRY_AFTER_S = 3.0
# The limits that a replica announces one after the other, in requests a second, and the shortest
# period of each, in seconds. It exceeds 3 s, since checked windows begin 3 s after the first
# announcement.
LIMITS_PER_S = (1.0, 0.5)
MIN_LIMIT_PERIOD_S = 4.0
# How long work takes on a replica whose machine is disturbed, in percent of the usual time.
DISTURBED_PERCENT = 250
# A replica that pauses makes events this slowly for a while, so that streams are in progress, then
# sends nothing for a time between these, and goes on. All in seconds.
PAUSED_EVENT_S = 0.2
BEFORE_PAUSE_S = 0.6
MIN_PAUSE_S, MAX_PAUSE_S = 1.0, 1.6
# All or most replicas of one or all services are paused at once: the services and the share of
# their replicas, the shortest and longest pause, the time before it with streams in progress, and
# that after it until streams are as fast as before, in seconds. A change of the configuration comes
# up to ``CHANGE_BEFORE_S`` before the pause, another one within it.
PAUSED_SERVICES = (("model",), ("model",), ("seats",), ("model", "seats"))
PAUSED_SHARES = (0.6, 1.0, 1.0)
MIN_SERVICE_PAUSE_S, MAX_SERVICE_PAUSE_S = 0.8, 2.0
BEFORE_SERVICE_PAUSE_S = 1.2
AFTER_SERVICE_PAUSE_S = 1.6
CHANGE_BEFORE_S = 1.0
PAUSED_PLAIN_WORK_S = 0.6
# The number of requests or writes that a counted fault affects, and a number that is never used up.
FAULT_COUNT = 3
UNLIMITED_COUNT = 1_000_000
# Delay of a chunk on a slow link, share of lost chunks, and added latency of a slow store's calls.
SLOW_LINK_S = 0.2
LOST_CHUNK_SHARE = 0.05
SLOW_STORE_S = 0.4
# A fault counts as active for this long after its end.
AFTERMATH_S = 1.0
# A burst of plain requests: how long each runs, in seconds, how many a replica queues beyond its
# slots, and the demand as a multiple of what the replicas can run.
BURST_WORK_S = 0.25
BURST_QUEUE = 3
BURST_DEMAND = 1.3
# Numbers of whole events after which engines break off their streams, by engine.
BREAK_AFTER = (1, 3, 2)
# Share of whole answers that are sent once more, late.
COPIED_SHARE = 0.5
# How long the store is down for a restore from a snapshot, and how soon after that operators and
# replicas write the lost records again, in seconds.
RESTORE_OUTAGE_S = 0.5
REWRITE_DELAY_S = 0.5
# Targets of faults that have none of their own, so that only one of these is active at a time.
SHARED_TARGETS = {
    Fault.PLAIN_BURST: "burst",
    Fault.CALLERS_FLOOD: "callers",
    Fault.STREAMS_BREAK: "streams",
    Fault.CRASHING_PART: "parts",
    Fault.SERVICE_PAUSES: "services",
}
# Faults that may overlap with any other fault of the same target.
OVERLAPPING_FAULTS = frozenset(
    {
        Fault.REPLICA_LIMITS,
        Fault.REPLICA_DISTURBED,
        Fault.REPLICA_UNFRAMED,
        Fault.REPLICA_PAUSES,
        Fault.REPLICA_REPEATS,
        Fault.STORE_REPEATS,
        Fault.RELOAD,
    }
)
# Faults that excuse no request that is not served, so that they are not recorded.
UNRECORDED_FAULTS = frozenset(
    {
        Fault.CONFIGURE,
        Fault.REPLICA_DISTURBED,
        Fault.REPLICA_UNFRAMED,
        Fault.REPLICA_PAUSES,
        Fault.REPLICA_REPEATS,
        Fault.STORE_REPEATS,
        Fault.RELOAD,
    }
)


class Injector:
    """Inject faults into a fleet.

    :param observations: receives the records of the faults, for the checkers.
    :param now: returns the seconds since the run began.
    :param send_crashing: makes callers send a body for some seconds.
    :param start_slow_readers: makes callers of a node read long answers slowly.
    :param send_burst: makes callers send plain requests at a rate per second for some seconds.
    :param send_flood: makes one team send far more than usual for some seconds.
    :param send_streams: makes callers begin streams, and take broken ones up, for some seconds.
    :param send_crashing_part: makes callers send prompts with a part for some seconds.
    :param start_uploads: makes callers of a node send bodies that end late.
    :param start_large_uploads: makes callers of a node send large bodies for some seconds.
    :param start_refused_senders: makes callers of a node send on while they are refused.
    :param prefer_node: makes callers open most connections to a node; to any node if empty.
    :ivar ending: nodes whose processes are being stopped, killed or replaced.
    :ivar active_targets: nodes, places of replicas and the store that currently have a fault.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        observations: Observations,
        now: Callable[[], float],
        send_crashing: Callable[[bytes, float], None],
        start_slow_readers: Callable[[str], None],
        send_burst: Callable[[float, float], Awaitable[None]],
        send_flood: Callable[[float], None],
        send_streams: Callable[[float], Awaitable[None]],
        send_crashing_part: Callable[[str, float], None],
        prefer_node: Callable[[str], None],
        start_uploads: Callable[[str], None],
        start_large_uploads: Callable[[str, float], None],
        start_refused_senders: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._observations = observations
        self._now = now
        self.send_crashing = send_crashing
        self._start_slow_readers = start_slow_readers
        self.send_burst = send_burst
        self.send_flood = send_flood
        self.send_streams = send_streams
        self.send_crashing_part = send_crashing_part
        self.prefer_node = prefer_node
        self._start_uploads = start_uploads
        self._start_large_uploads = start_large_uploads
        self._start_refused_senders = start_refused_senders
        self.ending: set[str] = set()
        self.active_targets: set[str] = set()
        self._operators = Operators(fleet.make_configuration, fleet.configure)

    async def inject_fault(self, step: FaultStep) -> None:
        """Apply one fault and end it; a fault is skipped while its target has another one."""
        if step.fault is Fault.SLOW_READERS:
            # No fault of the node: it must serve all others as before.
            self._start_slow_readers(step.target)
            return
        if step.fault is Fault.LARGE_UPLOADS:
            self._start_large_uploads(step.target, step.duration_s)
            return
        if step.fault is Fault.REFUSED_SENDERS:
            self._start_refused_senders(step.target)
            return
        if step.fault is Fault.LATE_UPLOADS:
            self._start_uploads(step.target)
            step = replace(step, fault=Fault.NODE_STOP)
        if step.fault is Fault.CALLERS_FOCUS:
            await self._focus_callers(step)
            return
        place = step.target or SHARED_TARGETS.get(step.fault, "store")
        if step.fault in OVERLAPPING_FAULTS:
            place = f"{place}, {step.fault}"
        if place in self.active_targets or (step.fault is Fault.ALL_KILL and self.active_targets):
            return
        if step.fault.startswith("node_") and step.target in self.ending:
            return
        self.active_targets.add(place)
        began = self._now()
        try:
            await self._apply_fault(step)
        finally:
            self.active_targets.discard(place)
            self._record_fault(step, place, began)

    async def roll_node(self, step: RollStep) -> None:
        """Replace a host by one of the other build, once no other fault is active on it."""
        while step.node in self.active_targets | self.ending:
            await asyncio.sleep(0.05)
        self.active_targets.add(step.node)
        began = self._now()
        try:
            await self._stop_and_restart(step.node, step.is_new)
            await self._fleet.wait_until_ready(step.node)
        finally:
            self.active_targets.discard(step.node)
            self._observations.faults.append(
                FaultPeriod(ROLL, step.node, began, self._now() + AFTERMATH_S)
            )

    def _record_fault(self, step: FaultStep, place: str, began: float) -> None:
        if step.fault in UNRECORDED_FAULTS:
            return
        places = list(self._fleet.nodes) if step.fault is Fault.ALL_KILL else [place]
        for each in places:
            self._observations.faults.append(
                FaultPeriod(step.fault, each, began, self._now() + AFTERMATH_S)
            )

    async def _apply_fault(self, step: FaultStep) -> None:
        name = step.fault.value
        if step.fault in (Fault.REPLICA_REPEATS, Fault.STORE_REPEATS):
            await self._repeat_answers(step)
        elif name.startswith("node_"):
            await self._apply_node_fault(step)
        elif step.fault is Fault.ALL_KILL:
            await self._kill_and_restart(list(self._fleet.nodes))
        elif name.startswith("links_"):
            await self._apply_relay_fault(self._fleet.link_relays[step.target], step)
        elif step.fault in STORE_LINK_FAULTS:
            await self._apply_relay_fault(self._fleet.store_relays[step.target], step)
        elif name.startswith("store_"):
            await self._apply_store_fault(step)
        elif name.startswith("replica_"):
            await self._apply_replica_fault(step)
        elif step.fault is Fault.OTHER_WRITERS:
            await self._write_foreign_records(step)
        elif step.fault is Fault.ODD_ENTRIES:
            await self._write_odd_entries(step)
        elif step.fault is Fault.CRASHING_REQUEST:
            await self._send_crashing_body(step)
        elif step.fault is Fault.CRASHING_PART:
            await self._send_crashing_part(step)
        elif step.fault is Fault.PLAIN_BURST:
            await self._fill_plain_replicas(step)
        elif step.fault is Fault.CALLERS_FLOOD:
            self.send_flood(step.duration_s)
            await asyncio.sleep(step.duration_s)
        elif step.fault is Fault.STREAMS_BREAK:
            await self._break_streams(step)
        elif step.fault is Fault.SERVICE_PAUSES:
            await self._pause_services(step)
        elif step.fault is Fault.RELOAD:
            await self._reload_node(step.target)
        else:
            await self._operators.change_timeout()
            self._record_time_limit()

    # Nodes.

    async def _apply_node_fault(self, step: FaultStep) -> None:
        node = self._fleet.nodes[step.target]
        if step.fault is Fault.NODE_FREEZE:
            node.send_signal(signal.SIGSTOP)
            await asyncio.sleep(step.duration_s)
            node.send_signal(signal.SIGCONT)
        elif step.fault is Fault.NODE_KILL:
            await self._kill_and_restart([step.target])
        else:
            await self._stop_and_restart(step.target)

    async def _stop_and_restart(self, name: str, is_new: bool | None = None) -> None:
        """Stop a node on plan and start it again.

        :param is_new: whether it runs the new build from then on; None for no change.
        """
        self.ending.add(name)
        began = self._now()
        was_prepared = self._is_prepared_for(name, signal.SIGTERM)
        self._fleet.nodes[name].send_signal(signal.SIGTERM)
        code = await self._wait_for_exit(name)
        stop = NodeStop(name, began, self._now() - began, code, was_prepared)
        self._observations.stops.append(stop)
        if is_new is not None:
            self._fleet.choose_build(name, is_new=is_new)
        self._fleet.start_node(name, first_start=False)
        self.ending.discard(name)

    async def _reload_node(self, name: str) -> None:
        """Send SIGHUP, once the process has run the first lines of its code."""
        while not self._is_prepared_for(name, signal.SIGHUP):
            await asyncio.sleep(START_POLL_S)
        self._fleet.nodes[name].send_signal(signal.SIGHUP)

    def _is_prepared_for(self, name: str, number: signal.Signals) -> bool:
        popen = self._fleet.nodes[name].popen
        return popen is not None and is_prepared_for(popen.pid, number)

    async def _wait_for_exit(self, name: str) -> int:
        """Wait until a process has ended, kill it after a time, and return its exit code."""
        popen = self._fleet.nodes[name].popen
        assert popen is not None
        end = self._now() + STOP_TIMEOUT_S
        while popen.poll() is None and self._now() < end:
            await asyncio.sleep(0.05)
        if popen.poll() is None:
            self._fleet.nodes[name].send_signal(signal.SIGKILL)
        return popen.wait()

    async def _kill_and_restart(self, names: list[str]) -> None:
        self.ending.update(names)
        for name in names:
            self._fleet.nodes[name].send_signal(signal.SIGKILL)
        for name in names:
            popen = self._fleet.nodes[name].popen
            assert popen is not None
            popen.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        for name in names:
            self._fleet.start_node(name, first_start=False)
        self.ending.difference_update(names)

    # Relays.

    async def _repeat_answers(self, step: FaultStep) -> None:
        """Let a replica, or the store to one node, send half of its answers once more, late."""
        is_store = step.fault is Fault.STORE_REPEATS
        relays = self._fleet.store_relays if is_store else self._fleet.replica_relays
        relays[step.target].late_copies.share = COPIED_SHARE
        await asyncio.sleep(step.duration_s)
        relays[step.target].late_copies.share = 0.0

    async def _apply_relay_fault(self, relay: Relay, step: FaultStep) -> None:
        if step.fault in (Fault.LINKS_DEAD, Fault.STORE_DEAD, Fault.REPLICA_DEAD):
            relay.silence_open_connections()
            return
        silent = RelayFaults(silent_to_target=True, silent_to_caller=True)
        kinds = {
            Fault.LINKS_SILENT: silent,
            Fault.LINKS_ONE_WAY: RelayFaults(silent_to_target=True),
            Fault.LINKS_SLOW: RelayFaults(delay_s=SLOW_LINK_S),
            Fault.LINKS_RESET: RelayFaults(refuse=True),
            Fault.LINKS_LOSSY: RelayFaults(lost_share=LOST_CHUNK_SHARE),
            Fault.STORE_CUT: silent,
            Fault.STORE_REFUSES: RelayFaults(refuse=True),
            Fault.REPLICA_SILENT: silent,
            Fault.REPLICA_RESET: RelayFaults(refuse=True),
        }
        relay.faults = copy.copy(kinds[step.fault])
        if relay.faults.refuse:
            relay.reset_connections()
        await asyncio.sleep(step.duration_s)
        relay.clear_faults()

    # The store.

    async def _apply_store_fault(self, step: FaultStep) -> None:
        faults = self._fleet.store.faults
        if step.fault is Fault.STORE_RESTORED:
            await self._restore_store(step)
            return
        if step.fault is Fault.STORE_FORGETS:
            await self._fleet.store.forget_history()
            return
        if step.fault is Fault.STORE_LOSES:
            faults.lose_writes = FAULT_COUNT
        faults.down = step.fault is Fault.STORE_DOWN
        faults.silent = step.fault is Fault.STORE_SILENT
        faults.slow_s = SLOW_STORE_S if step.fault is Fault.STORE_SLOW else 0.0
        await asyncio.sleep(step.duration_s)
        faults.down = faults.silent = False
        faults.slow_s, faults.lose_writes = 0.0, 0

    async def _restore_store(self, step: FaultStep) -> None:
        """Restore the store from a snapshot after a short outage; its last writes are lost."""
        store = self._fleet.store
        copied = store.take_snapshot()
        await asyncio.sleep(step.duration_s)
        store.faults.down = True
        await asyncio.sleep(RESTORE_OUTAGE_S)
        await store.restore_snapshot(copied)
        store.faults.down = False
        await asyncio.sleep(REWRITE_DELAY_S)
        await store.rewrite_lost_writes()
        self._observations.restore_times.append(self._now())

    # Replicas.

    async def _apply_replica_fault(self, step: FaultStep) -> None:
        replica = self._fleet.replica_at(step.target)
        if replica is None:
            return
        if step.fault is Fault.REPLICA_CRASH:
            await self._crash_replica(replica)
        elif step.fault is Fault.REPLICA_RETURNS:
            replica.faults.renamed = False
            replica.exit_and_restart()
            await asyncio.sleep(replica.faults.back_after_s + step.duration_s)
        elif step.fault is Fault.REPLICA_LEAVES:
            await self._drain_replica(replica)
        elif step.fault is Fault.REPLICA_SAYS_LEAVING:
            await self._announce_leaving(replica, step)
        elif step.fault is Fault.REPLICA_RESTS:
            replica.faults.shed, replica.faults.rest_s = UNLIMITED_COUNT, RETRY_AFTER_S
            await asyncio.sleep(step.duration_s)
            replica.faults.shed, replica.faults.rest_s = 0, 0.0
        elif step.fault is Fault.REPLICA_LIMITS:
            await self._announce_limits(replica, step)
        elif step.fault is Fault.REPLICA_UNFRAMED:
            replica.faults.unframed = True
            await asyncio.sleep(step.duration_s)
            replica.faults.unframed = False
        elif step.fault is Fault.REPLICA_PAUSES:
            await self._pause_replica(replica, step)
        elif step.fault is Fault.REPLICA_DISTURBED:
            replica.faults.time_percent = DISTURBED_PERCENT
            await asyncio.sleep(step.duration_s)
            replica.faults.time_percent = 100
        elif step.fault in (Fault.REPLICA_SILENT, Fault.REPLICA_RESET, Fault.REPLICA_DEAD):
            await self._apply_relay_fault(self._fleet.replica_relays[step.target], step)
        else:
            faults = replica.faults
            counts = {
                Fault.REPLICA_FAILS: "fail",
                Fault.REPLICA_LOSES: "lose_answers",
                Fault.REPLICA_BREAKS: "break_streams",
                Fault.REPLICA_EXTRA: "extra_answers",
                Fault.REPLICA_SHEDS: "shed",
            }
            setattr(faults, counts[step.fault], FAULT_COUNT)
            await asyncio.sleep(step.duration_s)
            setattr(faults, counts[step.fault], 0)

    async def _pause_replica(self, replica: Replica, step: FaultStep) -> None:
        """Let a sound replica send nothing for a time, in the middle of its answers, and go on."""
        share = (step.duration_s - MIN_FAULT_S) / (MAX_FAULT_S - MIN_FAULT_S)
        pause_s = MIN_PAUSE_S + share * (MAX_PAUSE_S - MIN_PAUSE_S)
        replica.faults.event_s = PAUSED_EVENT_S
        await asyncio.sleep(BEFORE_PAUSE_S)
        replica.faults.silent_until = replica.now() + pause_s
        await asyncio.sleep(pause_s)
        replica.faults.event_s = ReplicaFaults().event_s

    async def _announce_limits(self, replica: Replica, step: FaultStep) -> None:
        """Let a replica announce a limit, then a lower one, then none, without enforcing them."""
        for limit_per_s in LIMITS_PER_S:
            name, began = replica.id, self._now()
            replica.faults.limit_per_s = limit_per_s
            await asyncio.sleep(MIN_LIMIT_PERIOD_S + step.duration_s)
            self._observations.limit_periods.append(
                LimitPeriod(name, began, self._now(), limit_per_s)
            )
        replica.faults.limit_per_s = -1.0

    async def _send_crashing_body(self, step: FaultStep) -> None:
        """Make all replicas exit under requests with one body, and let callers send that body."""
        self._observations.crashing_bodies += 1
        body = b"crashing-%d" % self._observations.crashing_bodies
        replicas = list(self._fleet.replicas.values())
        for replica in replicas:
            replica.faults.crash_bodies |= {body}
            replica.faults.renamed = False
        self.send_crashing(body, step.duration_s)
        await asyncio.sleep(step.duration_s)

    async def _send_crashing_part(self, step: FaultStep) -> None:
        """Make engines exit under prompts with one part, and let callers send such prompts."""
        part = f"bad{len(self._observations.crashing_parts):x}"
        self._observations.crashing_parts.append(part)
        for replica in self._fleet.engines():
            replica.faults.crash_parts |= {part}
            replica.faults.renamed = False
        self.send_crashing_part(part, step.duration_s)
        await asyncio.sleep(step.duration_s)

    async def _focus_callers(self, step: FaultStep) -> None:
        """Let callers open most new connections to one node, which is no fault of the node."""
        if "focus" in self.active_targets:
            return
        self.active_targets.add("focus")
        began = self._now()
        self.prefer_node(step.target)
        await asyncio.sleep(step.duration_s + EXTRA_FOCUS_S)
        self.prefer_node("")
        self.active_targets.discard("focus")
        self._observations.focus_periods.append(FocusPeriod(step.target, began, self._now()))

    async def _break_streams(self, step: FaultStep) -> None:
        """Let engines break off most streams, while callers take them up at any node."""
        for number, replica in enumerate(self._fleet.engines()):
            replica.faults.break_streams = UNLIMITED_COUNT
            replica.faults.break_after = BREAK_AFTER[number % len(BREAK_AFTER)]
        try:
            await self.send_streams(step.duration_s)
        finally:
            for replica in self._fleet.engines():
                replica.faults.break_streams = 0
                replica.faults.break_after = ReplicaFaults().break_after

    async def _fill_plain_replicas(self, step: FaultStep) -> None:
        """Bound the plain replicas' slots and queues, and let more callers come than they hold."""
        plain = [each for each in self._fleet.replicas.values() if each.service == "seats"]
        for replica in plain:
            replica.faults.work_s, replica.faults.queue = BURST_WORK_S, BURST_QUEUE
        rate_per_s = BURST_DEMAND * sum(each.slots for each in plain) / BURST_WORK_S
        try:
            await self.send_burst(rate_per_s, step.duration_s)
        finally:
            for replica in plain:
                replica.faults.work_s, replica.faults.queue = ReplicaFaults().work_s, -1

    async def _write_foreign_records(self, step: FaultStep) -> None:
        """Write unreadable or foreign replica records, one of them over a live replica's record."""
        store = self._fleet.store
        replica = next(iter(self._fleet.replicas.values()))
        await store.put("servers/other-1", b"\xff\x00")
        await store.put("servers/other-2", b'{"service":"seats","addr":"127.0.0.1:1","state":"up"}')
        await store.put(f"servers/{replica.id}", b'{"state": 7}')
        await asyncio.sleep(step.duration_s)
        await replica.write_record(replica.state)
        await store.remove("servers/other-1")
        await store.remove("servers/other-2")

    async def _write_odd_entries(self, step: FaultStep) -> None:
        """Write entries that no reader can use, and then the next configuration."""
        source = random.Random(step.at)
        await write_odd_entries(self._fleet.store, source)
        await asyncio.sleep(step.duration_s)
        await remove_odd_entries(self._fleet.store)
        await self._change_configuration(source)

    async def _crash_replica(self, replica: Replica) -> None:
        """Crash a replica and replace it at its address; the old record is removed 1 s later."""
        await replica.crash()
        await asyncio.sleep(RESTART_DELAY_S)
        await self._fleet.replace_replica(replica)
        await asyncio.sleep(1.0)
        await self._fleet.store.remove(f"servers/{replica.id}")

    async def _announce_leaving(self, replica: Replica, step: FaultStep) -> None:
        """Let a replica announce only in its answers that it leaves, serve on and then end."""
        replica.faults.says_leaving = True
        await asyncio.sleep(LEAVING_S + step.duration_s)
        await replica.crash()
        await self._fleet.store.remove(f"servers/{replica.id}")
        await self._fleet.replace_replica(replica)

    async def _drain_replica(self, replica: Replica) -> None:
        await replica.write_record("draining")
        self._observations.drains.append(DrainStart(replica.id, self._now()))
        await asyncio.sleep(LEAVING_S * 2.6)
        await replica.crash()
        await self._fleet.store.remove(f"servers/{replica.id}")
        await self._fleet.replace_replica(replica)

    # Pauses of services beside changes of the configuration.

    async def _pause_services(self, step: FaultStep) -> None:
        """Pause most processes of services at once, beside changes of the configuration."""
        source = random.Random(f"{step.at} {step.duration_s}")
        services, share = source.choice(PAUSED_SERVICES), source.choice(PAUSED_SHARES)
        pause_s = source.uniform(MIN_SERVICE_PAUSE_S, MAX_SERVICE_PAUSE_S)
        self._slow_services(services, is_slow=True)
        before_s = source.uniform(0.0, CHANGE_BEFORE_S)
        within_s = source.uniform(0.0, pause_s)
        await asyncio.sleep(BEFORE_SERVICE_PAUSE_S - before_s)
        await self._change_configuration(source)
        await asyncio.sleep(before_s)
        paused = [
            each
            for service in services
            for each in self._fleet.replicas_of(service)
            if source.random() < share
        ]
        for replica in paused:
            replica.faults.paused_until = replica.now() + pause_s
        await asyncio.sleep(within_s)
        await self._change_configuration(source)
        await asyncio.sleep(pause_s - within_s + AFTER_SERVICE_PAUSE_S)
        self._slow_services(services, is_slow=False)

    def _slow_services(self, services: tuple[str, ...], *, is_slow: bool) -> None:
        """Let replicas work for some time on each request, and decline what exceeds their slots."""
        usual = ReplicaFaults()
        for replica in [each for service in services for each in self._fleet.replicas_of(service)]:
            faults = replica.faults
            faults.event_s = PAUSED_EVENT_S if is_slow else usual.event_s
            faults.work_s = PAUSED_PLAIN_WORK_S if is_slow else usual.work_s
            faults.most_streams = replica.slots if is_slow else usual.most_streams
            faults.queue = 0 if is_slow else usual.queue

    async def _change_configuration(self, source: random.Random) -> None:
        change = source.choice(list(Change))
        await self._operators.apply(change, source)
        self._record_time_limit()
        if change in (Change.ROUTES, Change.IN_A_ROW):
            self._observations.route_moves.append(self._now())

    def _record_time_limit(self) -> None:
        limit = TimeLimit(self._now(), self._operators.lowest_timeout_s)
        self._observations.time_limits.append(limit)
