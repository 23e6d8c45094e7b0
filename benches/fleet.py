"""
benches.fleet

Both example fleets as real processes under load, with an engine slowed down and a node killed
during the run, compared with the same nodes with the policy's features switched off.
"""

import asyncio
import signal
import tempfile
import tomllib
from pathlib import Path

import aiohttp
from chalkyoke_fakes.caller import ReplyOutcome
from chalkyoke_fakes.fleet import LocalFleet
from chalkyoke_fakes.load import Load

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
FLEETS = ("norrspar", "harano-prapti")
NODES = 7
# Duration of the load, and times after its start of the two faults.
RUN_S = 45.0
SLOW_AT_S = 12.0
KILL_AT_S = 20.0
# Factor on the time of every step of the slow engine.
SLOW_FACTOR = 5.0
SEED = 11

FEATURES_OFF = (
    "hold = false\nprefix = false\nlearn = false\nshed = false\nfair = false\nguard = false\n"
)
POLICIES = {
    "chalkyoke": "",
    "fewest running, no parts": f"[policy]\n{FEATURES_OFF}predict = false\n",
}


async def _run_fleet(name: str, policy: str) -> None:
    example = EXAMPLES / name
    plan = tomllib.loads((example / "load.toml").read_text(encoding="utf-8"))
    with tempfile.TemporaryDirectory(prefix="chalkyoke-bench-") as folder:
        fleet = LocalFleet.from_example(Path(folder), example)
        domains = sorted({each["failure_domain"] for each in fleet.platform["entry"]})
        fleet.platform["entry"] = [
            {"host": f"entry-{i + 1}", "failure_domain": domains[i % len(domains)]}
            for i in range(NODES)
        ]
        fleet.platform["settings"] = POLICIES[policy]
        connector = aiohttp.TCPConnector(limit=0)
        async with fleet, aiohttp.ClientSession(connector=connector) as session:
            load = Load(plan, [node.address for node in fleet.nodes.values()], session, SEED)
            faults = asyncio.create_task(_inject_faults(fleet, load))
            await load.send_load(RUN_S)
            await faults
            _print_results(name, policy, load, await fleet.counts())


async def _inject_faults(fleet: LocalFleet, load: Load) -> None:
    await asyncio.sleep(SLOW_AT_S)
    fast = next(iter(fleet.upstreams.values()))
    await fleet.set_faults(fast, slow=SLOW_FACTOR)
    await asyncio.sleep(KILL_AT_S - SLOW_AT_S)
    victim = list(fleet.nodes.values())[-1]
    victim.send_signal(signal.SIGKILL)
    load.nodes.remove(victim.address)


def _print_results(name: str, policy: str, load: Load, counts: dict[str, dict[str, int]]) -> None:
    lost = sum(
        tally.outcomes[ReplyOutcome.NOTHING] + tally.outcomes[ReplyOutcome.BAD]
        for tally in load.tallies.values()
    )
    doubled = sum(each["doubled"] for each in counts.values())
    wasted = sum(each.get("prefill_wasted", 0) for each in counts.values())
    done = sum(each.get("prefill_done", 0) for each in counts.values())
    print(f"\n### {name}, {policy}\n")
    print("| tier or service | sent | whole | share | not run | failed | unknown |")
    print("|---|---|---|---|---|---|---|")
    for tier, tally in sorted(load.tallies.items()):
        outcomes = tally.outcomes
        print(
            f"| {tier} | {tally.sent} | {outcomes[ReplyOutcome.WHOLE]} | {outcomes[ReplyOutcome.WHOLE] / tally.sent:.3f} "
            f"| {outcomes[ReplyOutcome.NOT_RUN]} | {outcomes[ReplyOutcome.FAILED]} | {outcomes[ReplyOutcome.UNKNOWN]} |"
        )
    print(
        f"\nWasted prefill {wasted:,} of {done:,} tokens; unaccounted for {lost}; "
        f"seen more than once {doubled}."
    )


async def main() -> None:
    """Run the benchmark and print its tables."""
    print("\n## Part fleet")
    for name in FLEETS:
        for policy in POLICIES:
            await _run_fleet(name, policy)
