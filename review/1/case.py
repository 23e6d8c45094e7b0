"""
A replica rejects a request and later sends that rejection once more. Is a request that runs once
sent to two replicas?
"""

import asyncio
import contextlib
import itertools
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HEARTBEAT_S,
    ZONES,
    Front,
    Record,
    Store,
    call,
    encode,
    make_configuration,
    make_route,
    own_network,
    read_body,
    read_head,
    run_case,
)

SLOTS, QUEUE = 6, 3
MEAN_WORK_S = 0.045
# Time that a request and its answer spend on the way: 1.4 ms each way between zones.
NET_S = 0.0028
# Calls at a steady rate, and once a second a clump of calls within a short time.
STEADY_PER_S = 100
CLUMP, CLUMP_S = 40, 0.04
# The disruption: for 5 s at a time, two of three replicas (share 0.6) send a second answer, late,
# after at most 3 in 100 of their answers.
TROUBLE_S, PAUSE_S, TROUBLES = 5.0, 2.0, 10
FAULTY = 2
EXTRA_SHARE = 0.03
LATE_S = 0.03


class Replica:
    """One replica of the registry service."""

    def __init__(self, name: str, zone: str, record: Record) -> None:
        self.id, self.zone, self.record = name, zone, record
        self.address = ""
        self.runs: Counter[str] = Counter()
        self.is_faulty = False
        self.answers, self.extras = 0, 0
        self._running, self._waiting = 0, 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._random = random.Random(name)
        self._late: set[asyncio.Task[None]] = set()

    async def start(self, ip: str) -> None:
        """Serve on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def entry(self, beat: int) -> dict[str, object]:
        """Return the entry in the store."""
        return {
            "service": "registry-api",
            "addr": self.address,
            "zone": self.zone,
            "version": 1,
            "slots": SLOTS,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": beat,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                await self._answer(first, headers, writer)
                await writer.drain()
        writer.close()

    async def _answer(
        self, first: str, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request, "X-Server-Load": f"{self._running},{self._waiting},6"}
        if headers.get("x-expect-instance", self.id) != self.id:
            writer.write(encode(421, {**echo, "X-Instance": self.id}, b""))
            return
        await asyncio.sleep(NET_S)
        self.answers += 1
        if self._running >= SLOTS and self._waiting >= QUEUE:
            self.record.write(self.id, "rejects", request)
            rejection = encode(503, {**echo, "X-Not-Run": "1"}, b"")
            writer.write(rejection)
            if self.is_faulty and self.extras + 1 <= EXTRA_SHARE * self.answers:
                self.extras += 1
                task = asyncio.create_task(self._send_again(request, rejection, writer))
                self._late.add(task)
                task.add_done_callback(self._late.discard)
            return
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self.runs[request] += 1
            self.record.write(self.id, "runs", request, first.split(" ")[0])
            await asyncio.sleep(MEAN_WORK_S * self._random.uniform(0.5, 1.5))
            self._running -= 1
        self.record.write(self.id, "answers", request)
        stamp = {"X-Server-Stamp": f"{self.id}.{request}"}
        writer.write(encode(200, {**echo, **stamp}, b"r" * 800))

    async def _send_again(
        self, request: str, rejection: bytes, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(LATE_S)
        if not writer.is_closing():
            self.record.write(self.id, "sends its rejection once more", request)
            writer.write(rejection)


async def play(temp: Path, record: Record, trouble: bool) -> bool:
    """Play the case and return whether a rule was broken."""
    store = Store()
    await store.start(own_network(250))
    replicas = [Replica(f"i-registry{n}", zone, record) for n, zone in enumerate(ZONES)]
    for each in replicas:
        await each.start(own_network(251))
    routes = [make_route("item-lookup", "non_idempotent", "registry-api")]
    store.put("op/config", make_configuration(routes, [{"name": "registry-api", "max-conns": 100}]))

    async def beat() -> None:
        for number in itertools.count(1):
            for each in replicas:
                store.put(f"servers/{each.id}", each.entry(number))
            await asyncio.sleep(HEARTBEAT_S)

    beating = asyncio.create_task(beat())
    zones = [zone for zone, count in zip(ZONES, (3, 2, 2), strict=True) for _ in range(count)]
    fronts = [Front(f"front-{zone}-{n}", zone, own_network(n)) for n, zone in enumerate(zones, 1)]
    statuses: dict[str, int] = {}
    try:
        seeds = [each.seed for each in fronts[:3]]
        for front in fronts:
            front.start(temp, store.address, seeds, bootstrap=True)
        for front in fronts:
            await front.wait_until_ready()
        await asyncio.sleep(2.0)
        await send_calls(fronts, replicas, record, statuses, trouble)
    finally:
        beating.cancel()
        for front in fronts:
            front.kill()
    return judge(replicas, record, statuses)


async def send_calls(
    fronts: list[Front],
    replicas: list[Replica],
    record: Record,
    statuses: dict[str, int],
    trouble: bool,
) -> None:
    """Send calls at a steady mean rate, and switch the disruption on and off."""
    drawn = random.Random(7)
    calls: set[asyncio.Task[None]] = set()

    async def send(front: Front, request: str) -> None:
        record.write("caller sends", request, "to", front.name)
        answer = await call(front, "POST", "/item-lookup/1", request, b"{}", 2500)
        statuses[request] = answer.status
        record.write("caller gets", answer.status, request)

    began = time.monotonic()
    length_s = TROUBLES * (TROUBLE_S + PAUSE_S)
    seconds = range(int(length_s))
    times = [n + drawn.random() for n in seconds for _ in range(STEADY_PER_S)]
    times += [n + drawn.uniform(0.0, CLUMP_S) for n in seconds for _ in range(CLUMP)]
    for number, at in enumerate(sorted(times), 1):
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        for each in replicas[:FAULTY]:
            each.is_faulty = trouble and at % (TROUBLE_S + PAUSE_S) < TROUBLE_S
        task = asyncio.create_task(send(drawn.choice(fronts), f"c{number}"))
        calls.add(task)
        task.add_done_callback(calls.discard)
    await asyncio.sleep(3.0)


def judge(replicas: list[Replica], record: Record, statuses: dict[str, int]) -> bool:
    """Check TWICE and REFUSED, as written, for requests that are not idempotent."""
    runs: Counter[str] = Counter()
    for each in replicas:
        runs.update(each.runs)
        record.write(each.id, "answers:", each.answers, "sent once more:", each.extras)
    twice = sorted(request for request, count in runs.items() if count > 1)
    refused = sorted(each for each, status in statuses.items() if status in (408, 421, 429, 503))
    refused = [each for each in refused if runs[each]]
    record.write("statuses", dict(Counter(statuses.values())), "runs", sum(runs.values()))
    record.write("TWICE:", twice)
    record.write("REFUSED:", refused)
    print(f"calls {len(statuses)}, run {len(runs)}, TWICE {twice}, REFUSED {refused}")
    return bool(twice or refused)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temp:
        sys.exit(run_case(play, FOLDER, temp))
