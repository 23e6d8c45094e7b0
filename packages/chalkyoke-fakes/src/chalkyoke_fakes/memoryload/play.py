"""
chalkyoke_fakes.memoryload.play

Play one scenario against real processes, and report what became of nodes and requests.
"""

import asyncio
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from chalkyoke_fakes.memoryload.callerprocess import CallerOrder, CallerProcess
from chalkyoke_fakes.memoryload.disruptions import Disruptions
from chalkyoke_fakes.memoryload.fleet import LimitedFleet
from chalkyoke_fakes.memoryload.manners import Manner
from chalkyoke_fakes.memoryload.records import NodeEnd, PlayRecords, SentRequest
from chalkyoke_fakes.memoryload.scenarios import Scenario
from chalkyoke_fakes.memoryload.usage import BYTES_PER_MB
from chalkyoke_fakes.memoryload.watch import NodeWatch
from chalkyoke_fakes.replica import ENDLESS_ANSWERS

# Time with calm callers alone at the start, the time from there to a disruption, that in which all
# callers stop, and that in which all nodes must serve again, in seconds.
CALM_S = 2.0
DISRUPTION_S = 1.5
RECOVERY_TIMEOUT_S = 30.0
# Calm callers of each node.
CALM_CALLERS = 6
ANSWERS_IN_A_ROW = 3
# Interval at which the process of the stand-ins checks whether it is late, in seconds.
OWN_WATCH_S = 0.05


@dataclass(frozen=True, slots=True)
class PlayConfig:
    """The size and options of a play.

    :param limit_mb: memory of each node, in MB.
    :param seconds: how long callers send requests.
    :param is_accounted: whether the settings ask for accounting of memory.
    :param enforces: whether a process over its limit is killed.
    """

    limit_mb: float = 300.0
    seconds: float = 6.0
    seed: int = 1
    zones: tuple[str, ...] = ("a", "b", "c")
    is_accounted: bool = False
    enforces: bool = False


@dataclass(frozen=True, slots=True)
class PlayOutcome:
    """The records of a play, and the names of the requests that ran."""

    scenario: Scenario
    config: PlayConfig
    records: PlayRecords
    runs: Counter[str]

    @property
    def most_mb(self) -> float:
        """The most memory of a node that counted toward its limit, in MB."""
        return max(self.records.peak_bytes.values(), default=0) / BYTES_PER_MB

    def findings(self) -> list[str]:
        """Describe what must not happen, one line each."""
        records = self.records
        found = [
            f"{each.node} at {each.at:.1f} s: {each.end}, {each.detail}" for each in records.events
        ]
        found += [_describe("lost", each) for each in records.lost_requests()]
        found += [_describe("no answer", each) for each in records.unanswered_requests()]
        found += [_describe("ran", each) for each in records.false_refusals(self.runs)]
        found += [
            _describe("ran twice", each)
            for each in records.requests
            if not each.may_repeat and self.runs[each.name] > 1
        ]
        if records.recovered_s is None:
            found.append("not all nodes served again")
        return found

    def row(self) -> list[str]:
        """Return the cells of the play's row in a table; see :data:`COLUMNS`."""
        records = self.records
        over = [each.at for each in records.events if each.end is NodeEnd.OVER_LIMIT]
        others = Counter(
            str(each.ending) for each in records.requests if each.manner != Manner.CALM
        )
        ended = Counter(str(each.end) for each in records.events)
        ended.pop(NodeEnd.OVER_LIMIT, None)
        calm = records.endings(Manner.CALM)
        return [
            self.scenario.name,
            f"{self.config.limit_mb:.0f}",
            f"{self.most_mb:.0f}",
            f"{max(records.peak_unread_bytes.values(), default=0) / BYTES_PER_MB:.0f}",
            f"{len(over)}, first at {min(over):.1f} s" if over else "0",
            _join(ended) or "0",
            f"{records.share_served(Manner.CALM):.3f} of {calm.total()}",
            _join(others) or "none",
            str(len(records.lost_requests())),
            str(len(records.unanswered_requests())),
            f"{records.own_delay_s:.1f} s",
            "never" if records.recovered_s is None else f"{records.recovered_s:.1f} s",
        ]


COLUMNS = (
    "callers",
    "limit, MB",
    "most, MB",
    "unread, MB",
    "over the limit",
    "other ends",
    "calm served",
    "others' requests",
    "lost",
    "closed unanswered",
    "stand-ins late",
    "all serve after",
)


def _describe(what: str, each: SentRequest) -> str:
    return (
        f"{what}: {each.name} ({each.manner}) at {each.node}, "
        f"{each.began:.2f} to {each.ended:.2f} s: {each.ending} {each.status}"
    )


def _join(counts: Counter[str]) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.most_common())


class Play:
    """One play of a scenario."""

    def __init__(self, fleet: LimitedFleet, scenario: Scenario, config: PlayConfig) -> None:
        self._fleet = fleet
        self._scenario = scenario
        self._config = config
        self._began = time.monotonic()
        self.records = PlayRecords()

    def elapsed_s(self) -> float:
        """Return the seconds since the play began."""
        return time.monotonic() - self._began

    async def run(self) -> None:
        """Play the scenario, and wait until all nodes serve again."""
        watch = NodeWatch(
            self._fleet,
            self.records,
            self._config.limit_mb,
            self.elapsed_s,
            enforces=self._config.enforces,
        )
        watching = asyncio.create_task(watch.run())
        own = asyncio.create_task(self._watch_own_loop())
        try:
            await self._send_load(watch)
            self.records.recovered_s = await self._wait_for_recovery()
        finally:
            own.cancel()
            watching.cancel()
        if watching.done() and not watching.cancelled():
            watching.result()

    async def _send_load(self, watch: NodeWatch) -> None:
        self._make_endless()
        until = CALM_S + self._config.seconds
        names = list(self._fleet.nodes)
        callers = {Manner.CALM: CALM_CALLERS, **self._scenario.callers}
        processes = [
            self._start_callers(name, manner, count, until)
            for manner, count in callers.items()
            for name in (names if self._calls_all(manner) else names[:1])
        ]
        await asyncio.sleep(CALM_S)
        try:
            await self._disrupt(watch)
            for each in processes:
                self.records.requests += await each.collect()
        finally:
            for each in processes:
                each.kill()

    async def _disrupt(self, watch: NodeWatch) -> None:
        await asyncio.sleep(DISRUPTION_S)
        disruptions = Disruptions(self._fleet, watch, self.records, self.elapsed_s)
        await asyncio.gather(*(disruptions.apply(each) for each in self._scenario.disruptions))

    def _calls_all(self, manner: Manner) -> bool:
        return manner is Manner.CALM or self._scenario.every_node

    def _start_callers(self, name: str, manner: Manner, count: int, until: float) -> CallerProcess:
        address = self._fleet.nodes[name].callers
        seed = self._config.seed
        since = 0.0 if manner is Manner.CALM else CALM_S
        order = CallerOrder(name, address, manner, count, seed, self._began, until, since)
        return CallerProcess(order, self._fleet.folder)

    async def _watch_own_loop(self) -> None:
        """Record how late this process is, in which the replicas and the store run."""
        while True:
            before = self.elapsed_s()
            await asyncio.sleep(OWN_WATCH_S)
            late_s = self.elapsed_s() - before - OWN_WATCH_S
            self.records.own_delay_s = max(self.records.own_delay_s, late_s)

    def _make_endless(self) -> None:
        places = [each for each in ENDLESS_ANSWERS if each != "event"]
        replicas = [each for each in self._fleet.replicas.values() if each.service == "endless"]
        for number, replica in enumerate(replicas):
            replica.faults.endless = places[(self._config.seed + number) % len(places)]

    async def _wait_for_recovery(self) -> float | None:
        began = self.elapsed_s()
        for name in self._fleet.nodes:
            in_a_row = 0
            while in_a_row < ANSWERS_IN_A_ROW:
                if self.elapsed_s() - began > RECOVERY_TIMEOUT_S:
                    return None
                answer = await self._fleet.send_request(name, "/find/1", method="GET")
                in_a_row = in_a_row + 1 if answer.status == 200 else 0
                await asyncio.sleep(0.05)
        return self.elapsed_s() - began


async def play_scenario(
    scenario: Scenario, config: PlayConfig, kept_logs: Path | None = None
) -> PlayOutcome:
    """Play a scenario.

    :param kept_logs: folder to which the logs of a play with findings are copied.
    """
    with tempfile.TemporaryDirectory(prefix="chalkyoke-memory-") as folder:
        fleet = LimitedFleet(
            Path(folder), config.zones, config.limit_mb, is_accounted=config.is_accounted
        )
        async with fleet:
            play = Play(fleet, scenario, config)
            await play.run()
            outcome = PlayOutcome(scenario, config, play.records, fleet.count_runs())
        if kept_logs is not None and outcome.findings():
            _keep_logs(Path(folder), kept_logs)
    return outcome


def _keep_logs(folder: Path, kept: Path) -> None:
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (kept / log.name).write_bytes(log.read_bytes())
