"""
chalkyoke_fakes.memoryload.watch

Watch the processes of nodes: their memory, and whether they end by themselves.
"""

import asyncio
import signal
from collections.abc import Callable

from chalkyoke_fakes.memoryload.fleet import LimitedFleet
from chalkyoke_fakes.memoryload.records import NodeEnd, NodeEvent, PlayRecords
from chalkyoke_fakes.memoryload.usage import (
    BYTES_PER_MB,
    peak_resident_bytes,
    resident_bytes,
    unread_bytes,
)

# Interval at which memory is read, and number of such intervals between two reads of unread bytes,
# which take longer.
WATCH_S = 0.05
UNREAD_EACH = 4
# Time between the end of a process and its next start, in seconds.
RESTART_S = 1.0


class NodeWatch:
    """Watch nodes, and restart those that ended.

    :param enforces: whether a process over its limit is killed, as the platform does.
    :param now: returns the seconds since the play began.
    :ivar expected_down: nodes that are being stopped or killed on purpose.
    """

    def __init__(
        self,
        fleet: LimitedFleet,
        records: PlayRecords,
        limit_mb: float,
        now: Callable[[], float],
        *,
        enforces: bool = False,
    ) -> None:
        self._fleet = fleet
        self._records = records
        self._limit_bytes = limit_mb * BYTES_PER_MB
        self._now = now
        self._enforces = enforces
        self._over: set[int] = set()
        self._unread: dict[str, int] = {}
        self.expected_down: set[str] = set()

    async def run(self) -> None:
        """Watch until cancelled."""
        turn = 0
        while True:
            for name in self._fleet.nodes:
                await self._check_node(name, turn % UNREAD_EACH == 0)
            self._fleet.drop_bodies()
            turn += 1
            await asyncio.sleep(WATCH_S)

    async def _check_node(self, name: str, reads_unread: bool) -> None:
        node = self._fleet.nodes[name]
        popen = node.popen
        if popen is None or name in self.expected_down:
            return
        if popen.poll() is not None:
            self._note(name, NodeEnd.BY_ITSELF, f"exit code {popen.returncode}")
            await self._restart(name)
            return
        if reads_unread:
            listening = (node.callers, node.links, node.ready, node.metrics)
            self._unread[name] = await asyncio.to_thread(unread_bytes, popen.pid, listening)
        unread = self._unread.get(name, 0)
        resident = resident_bytes(popen.pid)
        self._records.note_usage(name, resident, unread)
        # A peak between two looks counts as well.
        counted = max(resident + unread, peak_resident_bytes(popen.pid))
        self._records.note_usage(name, counted, 0)
        if counted > self._limit_bytes and popen.pid not in self._over:
            self._over.add(popen.pid)
            self._note(name, NodeEnd.OVER_LIMIT, f"{counted / BYTES_PER_MB:.0f} MB")
            if self._enforces:
                node.send_signal(signal.SIGKILL)
                popen.wait()
                await self._restart(name)

    async def _restart(self, name: str) -> None:
        self.expected_down.add(name)
        await asyncio.sleep(RESTART_S)
        self._fleet.start_node(name, first_start=False)
        self.expected_down.discard(name)

    def _note(self, name: str, end: NodeEnd, detail: str) -> None:
        self._records.events.append(NodeEvent(name, self._now(), end, detail))
