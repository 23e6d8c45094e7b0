"""
chalkyoke_fakes.platformdemo

Start three gateway nodes on loopback addresses with stand-ins of the platform's store and replicas.
Send a few dozen requests, kill a node and a replica in the middle, let another replica restart
under its id, and compare each caller's answer with the runs of the replicas.
"""

import asyncio
import collections
import signal
import sys
import tempfile
from pathlib import Path

from chalkyoke_fakes.platformfleet import CallerResponse, PlatformFleet

REQUESTS = 48
KILL_NODE_AT_REQUEST = 16
RESTART_REPLICA_AT_REQUEST = 22
KILL_REPLICA_AT_REQUEST = 28
PAUSE_S = 0.03
PATHS = ("/chat/1", "/explain/1", "/book/1", "/find/1")


def describe_response(got: CallerResponse) -> str:
    """Describe a caller's answer in a word or two."""
    if got.status == 0:
        return "no answer"
    if not got.whole:
        return "broken off"
    return {200: "whole", 503: "not run", 502: "unknown"}.get(got.status, str(got.status))


async def send_request(
    fleet: PlatformFleet, number: int, alive: list[str]
) -> tuple[int, str, CallerResponse]:
    """Send one request and print the result.

    :return: the request's number, the description of its answer and the answer.
    """
    node = alive[number % len(alive)]
    got = await fleet.send_request(node, PATHS[number % len(PATHS)], request_id=f"demo-{number}")
    print(
        f"#{number:02d} {PATHS[number % len(PATHS)]:<12} by {node}: {describe_response(got)}",
        flush=True,
    )
    return number, describe_response(got), got


async def main() -> None:
    """Run the demo; exits with status 1 where its check fails."""
    with tempfile.TemporaryDirectory(prefix="chalkyoke-demo-") as folder:
        async with PlatformFleet(Path(folder)) as fleet:
            print(f"-- platform: {len(fleet.nodes)} nodes, {len(fleet.replicas)} replicas")
            alive = list(fleet.nodes)
            tasks = []
            for number in range(REQUESTS):
                tasks.append(asyncio.create_task(send_request(fleet, number, alive)))
                await asyncio.sleep(PAUSE_S)
                if number == KILL_NODE_AT_REQUEST:
                    victim = alive.pop()
                    print(f"-- killing {victim} (SIGKILL)")
                    fleet.nodes[victim].send_signal(signal.SIGKILL)
                if number == RESTART_REPLICA_AT_REQUEST:
                    print("-- a replica ends and starts again under its id")
                    fleet.replicas["s1"].faults.renamed = False
                    fleet.replicas["s1"].exit_and_restart()
                if number == KILL_REPLICA_AT_REQUEST:
                    print("-- a replica crashes")
                    await fleet.replicas["m0"].crash()
            check_runs(fleet, await asyncio.gather(*tasks))


def check_runs(fleet: PlatformFleet, results: list[tuple[int, str, CallerResponse]]) -> None:
    """Compare the callers' answers with the runs of the replicas.

    Exits with status 1 where a request that may not be repeated ran twice, where a request answered
    "not run" did run, or where fewer than 80 % of the answers are whole.
    """
    runs = fleet.count_runs()
    single = [n for n in range(REQUESTS) if PATHS[n % len(PATHS)] in ("/chat/1", "/book/1")]
    doubled = [n for n in single if runs[f"demo-{n}"] > 1]
    untrue = [n for n, answer, _ in results if answer == "not run" and runs[f"demo-{n}"]]
    counts = collections.Counter(answer for _, answer, _ in results)
    print(
        f"demo: {len(results)} sent, {dict(counts)}, {len(doubled)} doubled, {len(untrue)} untrue"
    )
    if doubled or untrue or counts["whole"] < REQUESTS * 0.8:
        sys.exit(1)
