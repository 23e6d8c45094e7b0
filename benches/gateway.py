"""
benches.gateway

Cost of the path through a gateway node: its start, the latency that it adds to the first byte over
a direct call in the same run, and processor time by request and by event.
"""

import asyncio
import statistics
import tempfile
import time
from pathlib import Path

from chalkyoke_fakes.platformfleet import HOST, KEY, PlatformFleet
from chalkyoke_fakes.replica import Replica

from benches.statistics import fit_line, memory_mb, processor_s, quantile

# Requests sent to the engine and through the node, in turn.
LATENCY_ROUNDS = 150
RESTARTS = 3
# Events of an answer.
ANSWER_SIZES_EVENTS = (1, 100, 300)
REQUESTS_PER_SIZE = 30
IDLE_S = 5.0


async def _first_byte_s(fleet: PlatformFleet, address: str, number: int) -> float:
    headers = {
        "Host": HOST,
        "X-Request-Id": f"b{address}{number}",
        "X-Deadline-Ms": "8000",
        "X-Credential": KEY,
    }
    began = time.perf_counter()
    async with fleet.session.post(f"http://{address}/chat/1", headers=headers) as answer:
        await answer.content.readany()
        first = time.perf_counter() - began
        await answer.read()
    return first


def _pid(fleet: PlatformFleet) -> int:
    popen = fleet.nodes["n1"].popen
    assert popen is not None
    return popen.pid


async def _measure_latency(fleet: PlatformFleet, engine: Replica) -> None:
    engine.events, engine.faults.event_s = 2, 0.002
    direct, through = [], []
    for number in range(LATENCY_ROUNDS):
        direct.append(await _first_byte_s(fleet, engine.address, number))
        through.append(await _first_byte_s(fleet, fleet.nodes["n1"].callers, number))
    for name, pick in (("median", statistics.median), ("99 in 100", lambda v: quantile(v, 0.99))):
        one, other = pick(direct) * 1000, pick(through) * 1000
        print(f"| first byte, {name} | {one:.2f} ms | {other:.2f} ms | +{other - one:.2f} ms |")


async def _measure_processor(fleet: PlatformFleet, engine: Replica) -> None:
    engine.faults.event_s = 0.001
    points = []
    for size in ANSWER_SIZES_EVENTS:
        engine.events = size
        before = processor_s(_pid(fleet))
        for number in range(REQUESTS_PER_SIZE):
            await _first_byte_s(fleet, fleet.nodes["n1"].callers, 10_000 * size + number)
        spent = (processor_s(_pid(fleet)) - before) / REQUESTS_PER_SIZE
        points.append((float(size), spent))
        print(f"| {size} events | {spent * 1000:.2f} ms a request |")
    line = fit_line(points)
    print(
        f"processor time: {line.base * 1000:.2f} ms a request and {line.slope * 1e6:.1f} us an event"
        f" (largest residual {line.residual:.0%})"
    )


async def _measure_restarts(fleet: PlatformFleet) -> None:
    for _ in range(RESTARTS):
        node = fleet.nodes["n1"]
        assert node.popen is not None
        node.popen.kill()
        node.popen.wait()
        fleet.start_node("n1")
        await fleet.wait_until_ready("n1")
        pid = _pid(fleet)
        print(f"| a start until ready | {processor_s(pid):.2f} s | {memory_mb(pid):.0f} MB |")


async def main() -> None:
    """Run the benchmark and print its tables."""
    with tempfile.TemporaryDirectory(prefix="chalkyoke-bench-") as folder:
        async with PlatformFleet(Path(folder), ("a",)) as fleet:
            engine = next(each for each in fleet.replicas.values() if each.engine)
            engine.slots = 32
            print("| gateway node | processor | memory |")
            await _measure_restarts(fleet)
            print("\n| latency | direct | through a node | added |")
            await _measure_latency(fleet, engine)
            await _measure_processor(fleet, engine)
            before = processor_s(_pid(fleet))
            await asyncio.sleep(IDLE_S)
            idle = (processor_s(_pid(fleet)) - before) / IDLE_S
            print(f"idle: {idle:.2%} of a core; memory after this {memory_mb(_pid(fleet)):.0f} MB")
