"""
scripts.memory_load

Load real node processes until their memory is used, and print one row of a table for each scenario.
The findings and logs of plays in which something went wrong are kept under ``out/memory``.
"""

import argparse
import asyncio
import sys
from collections.abc import Iterable
from pathlib import Path

from chalkyoke_fakes.memoryload.play import COLUMNS, PlayConfig, PlayOutcome, play_scenario
from chalkyoke_fakes.memoryload.scenarios import SCENARIOS, Scenario, draw_scenario

KEPT_FOLDER = Path("out/memory")
SHOWN_FINDINGS = 4


def main() -> int:
    """Play the scenarios that the command line names; return 1 if any of them has findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--scenarios", nargs="*", choices=list(SCENARIOS), default=None, metavar="SCENARIO"
    )
    parser.add_argument("--list", action="store_true", help="print the scenarios and end")
    parser.add_argument("--drawn", type=int, default=0, help="number of drawn scenarios to play")
    parser.add_argument("--limits", type=float, nargs="+", default=[300.0], help="MB of a node")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--accounted", action="store_true", help="ask for accounting of memory")
    parser.add_argument("--kill", action="store_true", help="kill a process over its limit")
    arguments = parser.parse_args()
    if arguments.list:
        print("\n".join(SCENARIOS))
        return 0
    names = list(SCENARIOS) if arguments.scenarios is None else arguments.scenarios
    if arguments.drawn and arguments.scenarios is None:
        names = []
    plays = [(SCENARIOS[each], arguments.seed) for each in names]
    seeds = range(arguments.seed, arguments.seed + arguments.drawn)
    plays += [(draw_scenario(seed), seed) for seed in seeds]
    print(_format_row(COLUMNS), _format_row("---" for _ in COLUMNS), sep="\n", flush=True)
    failed = 0
    for limit_mb in arguments.limits:
        for scenario, seed in plays:
            zones = tuple("abc"[number % 3] for number in range(arguments.nodes))
            config = PlayConfig(
                limit_mb, arguments.seconds, seed, zones, arguments.accounted, arguments.kill
            )
            failed += _play(scenario, config)
    return 1 if failed else 0


def _play(scenario: Scenario, config: PlayConfig) -> bool:
    options = f"{'-accounted' * config.is_accounted}{'-kill' * config.enforces}"
    name = f"{scenario.name}-{config.limit_mb:.0f}-{config.seed}{options}"
    kept = KEPT_FOLDER / name.replace(" ", "-")
    outcome = asyncio.run(play_scenario(scenario, config, kept))
    print(_format_row(outcome.row()), flush=True)
    return _report_findings(outcome, kept)


def _report_findings(outcome: PlayOutcome, kept: Path) -> bool:
    findings = outcome.findings()
    if findings:
        (kept / "findings.txt").write_text("\n".join(findings) + "\n", encoding="utf-8")
    for each in findings[:SHOWN_FINDINGS]:
        print(f"    {each}", file=sys.stderr, flush=True)
    return bool(findings)


def _format_row(cells: Iterable[str]) -> str:
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    sys.exit(main())
