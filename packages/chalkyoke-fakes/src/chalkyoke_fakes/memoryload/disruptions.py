"""
chalkyoke_fakes.memoryload.disruptions

Planned stops, kills, large configurations and large records of other writers.
"""

import asyncio
import signal
from collections.abc import Callable

from chalkyoke_fakes.memoryload.fleet import EXTRA_ROUTES, LimitedFleet, make_configuration
from chalkyoke_fakes.memoryload.records import NodeEnd, NodeEvent, PlayRecords
from chalkyoke_fakes.memoryload.scenarios import Disruption
from chalkyoke_fakes.memoryload.watch import NodeWatch

# Longest time that a planned stop may take, and the time after a kill until the next start, in
# seconds.
STOP_TIMEOUT_S = 12.0
RESTART_DELAY_S = 0.3
# Number of large configurations, and the time between two of them, in seconds.
CONFIGURATIONS = 6
CONFIGURATION_S = 0.5
# Size of a value that another writer leaves in the store in bytes, and the number of such values.
LARGE_VALUE_BYTES = 1_000_000
LARGE_VALUES = 40


class Disruptions:
    """Disrupt a fleet.

    :param now: returns the seconds since the play began.
    """

    def __init__(
        self,
        fleet: LimitedFleet,
        watch: NodeWatch,
        records: PlayRecords,
        now: Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._watch = watch
        self._records = records
        self._now = now
        self._version = 1

    async def apply(self, disruption: Disruption) -> None:
        """Apply one disruption and wait for its end."""
        names = list(self._fleet.nodes)
        if disruption in (Disruption.STOP_ONE, Disruption.KILL_ONE):
            names = names[:1]
        if disruption in (Disruption.STOP_ONE, Disruption.STOP_ALL):
            await asyncio.gather(*(self._stop_node(each) for each in names))
        elif disruption in (Disruption.KILL_ONE, Disruption.KILL_ALL):
            await asyncio.gather(*(self._kill_node(each) for each in names))
        elif disruption is Disruption.CONFIGURE:
            await self._configure()
        else:
            await self._write_large_records()

    async def _stop_node(self, name: str) -> None:
        node = self._fleet.nodes[name]
        popen = node.popen
        if popen is None or name in self._watch.expected_down:
            return
        self._watch.expected_down.add(name)
        node.send_signal(signal.SIGTERM)
        end = self._now() + STOP_TIMEOUT_S
        while popen.poll() is None and self._now() < end:
            await asyncio.sleep(0.05)
        if popen.poll() is None:
            self._note(name, NodeEnd.NOT_STOPPED, f"within {STOP_TIMEOUT_S} s")
            node.send_signal(signal.SIGKILL)
            popen.wait()
        elif popen.returncode:
            self._note(name, NodeEnd.EXIT_CODE, str(popen.returncode))
        self._fleet.start_node(name, first_start=False)
        self._watch.expected_down.discard(name)

    async def _kill_node(self, name: str) -> None:
        node = self._fleet.nodes[name]
        if node.popen is None or name in self._watch.expected_down:
            return
        self._watch.expected_down.add(name)
        began = self._now()
        node.send_signal(signal.SIGKILL)
        node.popen.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        self._fleet.start_node(name, first_start=False)
        self._records.outages.append((name, began, self._now()))
        self._watch.expected_down.discard(name)

    async def _configure(self) -> None:
        """Write large configurations and then a small one."""
        for number in range(CONFIGURATIONS):
            self._version += 1
            extra = EXTRA_ROUTES + number % 2
            await self._fleet.configure(make_configuration(self._version, extra))
            await asyncio.sleep(CONFIGURATION_S)
        self._version += 1
        await self._fleet.configure(make_configuration(self._version))

    async def _write_large_records(self) -> None:
        """Write large records of no replica, and remove them."""
        store = self._fleet.store
        names = [f"servers/other-{number}" for number in range(LARGE_VALUES)]
        for name in names:
            await store.put(name, b"z" * LARGE_VALUE_BYTES)
        await asyncio.sleep(CONFIGURATION_S * CONFIGURATIONS)
        for name in names:
            await store.remove(name)

    def _note(self, name: str, end: NodeEnd, detail: str) -> None:
        self._records.events.append(NodeEvent(name, self._now(), end, detail))
