"""
tests.leavingcallers

Callers that leave a fleet of real processes before they have an answer.
"""

import asyncio
import itertools
import random
import tempfile
import time
from pathlib import Path

from chalkyoke_fakes.leaving import (
    PIPELINED_REQUESTS,
    Leave,
    encode_request,
    leave_node,
    measure_abandoned_work,
)
from chalkyoke_fakes.platformfleet import PlatformFleet
from chalkyoke_fakes.replica import READ_LIMIT_BYTES
from chalkyoke_fakes.soak.fleet import SoakFleet

ZONES = ("a", "a", "b", "b", "c")
REPLICAS_PER_ZONE = 2
HOST_MB = 128.0
SECONDS = 4.0
REQUESTS_PER_S = 12.0
# Time between a request and the close of its caller, in seconds.
LEAVES_AFTER_S = 0.3
READS_NOTHING_FOR_S = 1.0
# Duration of work that nobody ends, in seconds.
WORK_S = 2.5
EVENTS = 8
ANSWER_BYTES = 400_000
# Time after the last close in which work ends or held bytes arrive, in seconds.
SETTLING_S = 3.0
# Links hold all bytes up for a part of each period, in seconds.
HOLD_PERIOD_S = 2.0
HELD_S = 1.2
PATHS = {"POST": "/chat/1", "PUT": "/explain/1", "GET": "/find/1"}


class LeavingCallers:
    """Send requests whose callers leave, and measure what replicas still do for them.

    :param ways: how the callers leave, one after the other.
    :param body_bytes: size of the request bodies.
    """

    def __init__(self, fleet, ways, body_bytes=0, seed=1):
        self._fleet = fleet
        self._ways = itertools.cycle(ways)
        self._body = b"x" * body_bytes
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)

    async def run(self, seconds=SECONDS, held=()):
        """Send requests for some seconds, and wait until nothing follows from them.

        :param held: when links hold all bytes up; may grow meanwhile.
        :rtype: AbandonedWork
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        leaving = []
        while loop.time() < until:
            leaving.append(asyncio.create_task(self._leave()))
            await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S))
        departures = await asyncio.gather(*leaving)
        await asyncio.sleep(SETTLING_S)
        return measure_abandoned_work(departures, self._fleet.replicas.values(), held)

    def _leave(self):
        how = next(self._ways)
        node = self._random.choice(list(self._fleet.nodes.values()))
        count = PIPELINED_REQUESTS if how is Leave.PIPELINED else 1
        requests = dict(self._make_request(how) for _ in range(count))
        is_reading = how not in (Leave.UNREAD, Leave.UNREAD_RESET)
        after_s = LEAVES_AFTER_S if is_reading else READS_NOTHING_FOR_S
        return leave_node(node.callers, requests, after_s, how)

    def _make_request(self, how):
        name = f"left{next(self._numbers)}"
        method = self._random.choice(list(PATHS))
        body = self._body or (b"x" * 2_000 if how is Leave.UPLOADING else b"{}")
        return name, encode_request(name, method, PATHS[method], body)


async def hold_links(fleet, periods):
    """Hold up all bytes on the links to replicas for a part of each period, until cancelled.

    :param periods: receives the begin and the end of each time, on the monotonic clock.
    """
    while True:
        _set_held(fleet, True)
        periods.append((time.monotonic(), time.monotonic() + HELD_S))
        await asyncio.sleep(HELD_S)
        _set_held(fleet, False)
        await asyncio.sleep(HOLD_PERIOD_S - HELD_S)


def _set_held(fleet, held):
    for relay in fleet.replica_relays.values():
        relay.faults.silent_to_target = relay.faults.silent_to_caller = held


def make_fleet(folder, held, read_limit_bytes):
    if held:
        return SoakFleet(folder, ZONES, REPLICAS_PER_ZONE)
    fleet = PlatformFleet(folder, ZONES)
    fleet.memory = {"limit_mb": HOST_MB}
    fleet.read_limit_bytes = read_limit_bytes
    return fleet


def measure(ways, *, body_bytes=0, held=False, read_limit_bytes=READ_LIMIT_BYTES, **faults):
    """Start a fleet, let callers leave it and return what replicas did for them.

    :param held: whether links to replicas hold up bytes.
    :param read_limit_bytes: bytes of a request that a replica receives before it reads them.
    :param faults: faults of all replicas.
    :rtype: AbandonedWork
    """

    async def main():
        with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
            async with make_fleet(Path(folder), held, read_limit_bytes) as fleet:
                await _wait_until_served(fleet)
                for replica in fleet.replicas.values():
                    replica.faults.work_s = WORK_S
                    replica.faults.event_s = WORK_S / EVENTS
                    for name, value in faults.items():
                        setattr(replica.faults, name, value)
                periods = []
                holding = asyncio.create_task(hold_links(fleet, periods)) if held else None
                try:
                    return await LeavingCallers(fleet, ways, body_bytes).run(held=periods)
                finally:
                    if holding is not None:
                        holding.cancel()

    return asyncio.run(main())


async def _wait_until_served(fleet):
    for name in fleet.nodes:

        async def is_served(name=name):
            answers = [
                await fleet.send_request(name, path, method=method, body=b"{}")
                for method, path in PATHS.items()
            ]
            return all(each.status == 200 for each in answers)

        await fleet.wait_until(is_served, f"{name} to serve")
