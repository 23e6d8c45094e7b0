"""
benches.fleet

Both fleets at today's sizes as real processes under load, with a node killed and an engine slowed
in the middle; beside the same nodes with the policy's parts switched off.
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
HOSTS = 7
SECONDS = 45.0
SLOW_AT = 12.0
KILL_AT = 20.0
SLOW = 5.0
SEED = 11

OFF = "hold = false\nprefix = false\nlearn = false\nshed = false\nfair = false\nguard = false\n"
POLICIES = {
    "chalkyoke": "",
    "fewest running, no parts": f"[policy]\n{OFF}predict = false\n",
}


async def _run(name: str, policy: str) -> None:
    example = EXAMPLES / name
    plan = tomllib.loads((example / "load.toml").read_text(encoding="utf-8"))
    with tempfile.TemporaryDirectory(prefix="chalkyoke-bench-") as folder:
        fleet = LocalFleet.from_example(Path(folder), example)
        domains = sorted({each["failure_domain"] for each in fleet.platform["entry"]})
        fleet.platform["entry"] = [
            {"host": f"entry-{i + 1}", "failure_domain": domains[i % len(domains)]}
            for i in range(HOSTS)
        ]
        fleet.platform["settings"] = POLICIES[policy]
        connector = aiohttp.TCPConnector(limit=0)
        async with fleet, aiohttp.ClientSession(connector=connector) as session:
            load = Load(plan, [node.address for node in fleet.nodes.values()], session, SEED)
            faults = asyncio.create_task(_disturb(fleet, load))
            await load.send_load(SECONDS)
            await faults
            _print(name, policy, load, await fleet.counts())


async def _disturb(fleet: LocalFleet, load: Load) -> None:
    await asyncio.sleep(SLOW_AT)
    fast = next(iter(fleet.upstreams.values()))
    await fleet.set_faults(fast, slow=SLOW)
    await asyncio.sleep(KILL_AT - SLOW_AT)
    victim = list(fleet.nodes.values())[-1]
    victim.send_signal(signal.SIGKILL)
    load.nodes.remove(victim.address)


def _print(name: str, policy: str, load: Load, counts: dict[str, dict[str, int]]) -> None:
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
        told = tally.outcomes
        print(
            f"| {tier} | {tally.sent} | {told[ReplyOutcome.WHOLE]} | {told[ReplyOutcome.WHOLE] / tally.sent:.3f} "
            f"| {told[ReplyOutcome.NOT_RUN]} | {told[ReplyOutcome.FAILED]} | {told[ReplyOutcome.UNKNOWN]} |"
        )
    print(
        f"\nWasted prefill {wasted:,} of {done:,} tokens; unaccounted for {lost}; "
        f"seen more than once {doubled}."
    )


async def main() -> None:
    """Run the part and print its tables."""
    print("\n## Part fleet")
    for name in FLEETS:
        for policy in POLICIES:
            await _run(name, policy)
