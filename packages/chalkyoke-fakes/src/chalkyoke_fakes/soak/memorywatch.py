"""
chalkyoke_fakes.soak.memorywatch

Watch the memory of the nodes' processes beside large uploads, and whether they end by themselves.
"""

import asyncio
from collections.abc import Callable

from chalkyoke_fakes.memoryload.usage import (
    BYTES_PER_MB,
    peak_resident_bytes,
    resident_bytes,
    unread_bytes,
)
from chalkyoke_fakes.soak.fleet import HOST_MB, SoakFleet
from chalkyoke_fakes.soak.observations import NodeExit, Observations, OverLimit, Violation
from chalkyoke_fakes.soak.plan import Fault

# Interval at which the processes are looked at, in seconds, and the number of looks between two
# reads of unread bytes.
WATCH_S = 0.1
UNREAD_EACH = 4
# A suspended process reads nothing, and catches up for this long afterwards, in seconds.
CATCH_UP_S = 1.0


class MemoryWatch:
    """Record processes that exceed their host's memory, and those that end by themselves.

    :param ending: nodes whose processes are being ended or replaced on purpose.
    :param now: returns the seconds since the run began.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        observations: Observations,
        ending: set[str],
        now: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._observations = observations
        self._ending = ending
        self._now = now
        self._reported: set[int] = set()
        self._unread: dict[int, int] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        turn = 0
        while True:
            for name in self._fleet.nodes:
                await self._check_node(name, turn % UNREAD_EACH == 0)
            turn += 1
            await asyncio.sleep(WATCH_S)

    async def _check_node(self, name: str, reads_unread: bool) -> None:
        node = self._fleet.nodes[name]
        popen = node.popen
        if popen is None or name in self._ending or popen.pid in self._reported:
            return
        if popen.poll() is not None:
            self._reported.add(popen.pid)
            exited = NodeExit(name, self._now(), popen.returncode)
            self._observations.exits.append(exited)
            self._fleet.start_node(name, first_start=False)
            return
        if reads_unread:
            listening = (node.callers, node.ready, node.links, node.metrics)
            self._unread[popen.pid] = await asyncio.to_thread(unread_bytes, popen.pid, listening)
        used = resident_bytes(popen.pid) + self._unread.get(popen.pid, 0)
        used_mb = max(used, peak_resident_bytes(popen.pid)) / BYTES_PER_MB
        peak_mb = self._observations.peak_mb
        peak_mb[name] = max(peak_mb.get(name, 0.0), used_mb)
        if used_mb > HOST_MB:
            self._reported.add(popen.pid)
            self._observations.over_limit.append(OverLimit(name, self._now(), used_mb))


def memory_stays_within_its_limit(observations: Observations) -> list[Violation]:
    """Check that no process uses more memory than its host has.

    Bytes that have arrived and are not read count, so that a suspended process is not judged.
    """
    return [
        Violation("memory", f"{each.node} used {each.used_mb:.0f} MB at {each.at:.1f} s")
        for each in observations.over_limit
        if not any(
            fault.fault == Fault.NODE_FREEZE
            and fault.target == each.node
            and fault.overlaps(each.at - CATCH_UP_S, each.at)
            for fault in observations.faults
        )
    ]


def processes_end_when_told(observations: Observations) -> list[Violation]:
    """Check that no process ends unless it is stopped or killed."""
    return [
        Violation("exits", f"{each.node} ended with {each.code} at {each.at:.1f} s")
        for each in observations.exits
    ]
