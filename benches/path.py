"""
benches.path

Cost of the path through a node: added latency, processor time by chunk and request, memory, and a
retry that is forwarded to the node that issued its token. Ratios compare figures of the same run.
"""

import asyncio
import hashlib
import itertools
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
from chalkyoke_fakes.caller import Caller, ReplyOutcome
from chalkyoke_fakes.fleet import LocalFleet

from benches.statistics import fit_line, memory_mb, processor_s, quantile

KEY = "bench-key"
ENGINES = 4
# Requests sent to the engine and through the node, in turn.
LATENCY_ROUNDS = 60
LATENCY_TOKENS = 30
# A burst sends two times this number of streams.
BURST_STREAMS = 48
# Output tokens of an answer.
ANSWER_SIZES_TOKENS = (1, 60, 120, 240)
RETRIES = 60
IDLE_S = 10.0

PLATFORM: dict[str, Any] = {
    "lag_s": 0.1,
    "entry": [{"host": f"n{i}", "failure_domain": f"d{i}"} for i in (1, 2)],
    "engine": [
        {
            "id": f"e{i}",
            "failure_domain": "d1",
            "labels": {"kind": "engine"},
            "slots": 32,
            "decode_tokens_per_s": 100,
            "prefill_tokens_per_s": 100_000,
            "batch_slowdown": 1.2,
        }
        for i in range(ENGINES)
    ],
}
RESOURCES: dict[str, Any] = {
    "tier": [{"name": "t", "rank": 0}],
    "team": [
        {"name": "m", "tiers": ["t"], "key_sha256": [hashlib.sha256(KEY.encode()).hexdigest()]}
    ],
    "service": [{"name": "model", "protocol": "completions", "selector": {"kind": "engine"}}],
    "upstream_class": [
        {
            "name": "e",
            "selector": {"kind": "engine"},
            "slots": 32,
            "decode_tokens_per_s": 100,
            "prefill_tokens_per_s": 100_000,
            "batch_slowdown": 1.2,
        }
    ],
    "route": [{"name": "r", "service": "model"}],
}


def _body(tokens: int) -> dict[str, Any]:
    return {
        "model": "model",
        "prompt": "a question of some length " * 20,
        "max_tokens": tokens,
        "fake_output_tokens": tokens,
        "stream": True,
    }


async def _stream_gaps(
    session: aiohttp.ClientSession, address: str, tokens: int
) -> tuple[float, list[float]]:
    """Stream one answer; return the seconds to its first byte and between its reads."""
    started = time.perf_counter()
    headers = {"Authorization": f"Bearer {KEY}"}
    moments: list[float] = []
    async with session.post(
        f"http://{address}/v1/completions", json=_body(tokens), headers=headers
    ) as response:
        async for _ in response.content.iter_any():
            moments.append(time.perf_counter())
    gaps = [late - early for early, late in itertools.pairwise(moments)]
    return moments[0] - started, gaps


async def _measure_latency(fleet: LocalFleet, session: aiohttp.ClientSession) -> list[str]:
    engine = fleet.upstreams["e0"].address
    node = fleet.nodes["n1"].address
    first: dict[str, list[float]] = {"engine": [], "node": []}
    gaps: dict[str, list[float]] = {"engine": [], "node": []}
    for _ in range(LATENCY_ROUNDS):
        for name, address in (("engine", engine), ("node", node)):
            one, some = await _stream_gaps(session, address, LATENCY_TOKENS)
            first[name].append(one)
            gaps[name] += some
    lines = []
    for what, table in (("first byte", first), ("between chunks", gaps)):
        for share, word in ((0.5, "median"), (0.99, "99 in 100")):
            direct, through = quantile(table["engine"], share), quantile(table["node"], share)
            lines.append(
                f"| {what}, {word} | {direct * 1e3:.2f} ms | {through * 1e3:.2f} ms "
                f"| {(through - direct) * 1e3:+.2f} ms | {through / direct:.2f} |"
            )
    return lines


async def _run_burst(fleet: LocalFleet, caller: Caller, tokens: int) -> tuple[float, float, int]:
    """Send many streams at once.

    :return: the node's processor time and the elapsed time in seconds, and the number of answers
        that came back whole.
    """
    node = fleet.nodes["n1"]
    before, started = processor_s(node.popen.pid), time.perf_counter()
    replies = await asyncio.gather(
        *(caller.complete(node.address, _body(tokens)) for _ in range(BURST_STREAMS * 2))
    )
    elapsed = time.perf_counter() - started
    whole = sum(reply.outcome is ReplyOutcome.WHOLE for reply in replies)
    return processor_s(node.popen.pid) - before, elapsed, whole


async def _measure_cost(fleet: LocalFleet, caller: Caller) -> list[str]:
    points: list[tuple[float, float]] = []
    lines = []
    for tokens in ANSWER_SIZES_TOKENS:
        used, elapsed, whole = await _run_burst(fleet, caller, tokens)
        count = BURST_STREAMS * 2
        points.append((tokens, used / count))
        lines.append(
            f"| {tokens} | {whole}/{count} | {count / elapsed:.0f} | {count * tokens / elapsed:.0f} "
            f"| {used / count * 1e3:.2f} ms | {used / elapsed * 100:.0f}% |"
        )
    line = fit_line(points)
    lines.append("")
    lines.append(
        f"Processor time: {line.base * 1e3:.2f} ms a request and {line.slope * 1e6:.1f} us a streamed "
        f"chunk (least squares over {len(ANSWER_SIZES_TOKENS)} sizes, largest residual {line.residual:.0%})."
    )
    return lines


async def _measure_retries(fleet: LocalFleet, caller: Caller) -> list[str]:
    """Measure the replay of an answer at the issuer of its token and through another host."""
    times: dict[str, list[float]] = {"n1": [], "n2": []}
    token = await caller.take_token(fleet.nodes["n1"].address)
    await caller.complete(fleet.nodes["n1"].address, _body(20), Chalkyoke_Token=token)
    for _ in range(RETRIES):
        for host, found in times.items():
            address = fleet.nodes[host].address
            reply = await caller.complete(address, _body(20), Chalkyoke_Token=token)
            found.append(reply.total_s)
    own, other = (statistics.median(times[host]) for host in ("n1", "n2"))
    lookups = []
    assert fleet.store is not None
    for _ in range(RETRIES):
        started = time.perf_counter()
        async with fleet.session.get(f"http://{fleet.store.address}/v1/kv/none?raw") as response:
            await response.read()
        lookups.append(time.perf_counter() - started)
    look_up = statistics.median(lookups)
    return [
        f"A retry answered by its issuer takes {own * 1e3:.2f} ms, forwarded from another host "
        f"{other * 1e3:.2f} ms (ratio {other / own:.2f}); a look-up in the key-value stand-in alone "
        f"takes {look_up * 1e3:.2f} ms, and each would count against its rate."
    ]


async def main() -> None:
    """Run the benchmark and print its tables."""
    with tempfile.TemporaryDirectory(prefix="chalkyoke-bench-") as folder:
        fleet = LocalFleet(Path(folder), PLATFORM, RESOURCES)
        connector = aiohttp.TCPConnector(limit=0)
        async with fleet, aiohttp.ClientSession(connector=connector) as session:
            caller = Caller(session, KEY)
            await asyncio.sleep(2)
            idle = {host: memory_mb(node.popen.pid) for host, node in fleet.nodes.items()}
            before = {host: processor_s(node.popen.pid) for host, node in fleet.nodes.items()}
            await asyncio.sleep(IDLE_S)
            used = {
                host: processor_s(node.popen.pid) - before[host]
                for host, node in fleet.nodes.items()
            }
            print("\n## Part path\n")
            print(f"Memory of an idle node: {max(idle.values()):.0f} MB.")
            share = max(used.values()) / IDLE_S
            print(f"Processor time of an idle node: {share:.2%} of a core.\n")
            print("| latency | engine | through a node | added | ratio |\n|---|---|---|---|---|")
            print("\n".join(await _measure_latency(fleet, session)))
            print(
                "\n| tokens | whole | requests a second | chunks a second | processor a request | core |"
            )
            print("|---|---|---|---|---|---|")
            print("\n".join(await _measure_cost(fleet, caller)))
            print("\n" + "\n".join(await _measure_retries(fleet, caller)))
            loaded = max(memory_mb(node.popen.pid) for node in fleet.nodes.values())
            print(f"\nMemory of the loaded node after this: {loaded:.0f} MB.")
