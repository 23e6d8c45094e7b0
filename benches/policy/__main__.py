"""
benches.policy.__main__

``python -m benches.policy --scenario FILE --seed N --json OUT``
"""

import argparse
from pathlib import Path

from benches.policy import report
from benches.policy.policies import POLICIES
from benches.policy.scenario import all_scenarios, load_scenarios

DEFAULT_SEEDS = 10


def main(arguments: list[str] | None = None) -> None:
    """Run the policy bench and print its tables."""
    parser = argparse.ArgumentParser(
        description="Compare scheduling policies on fake engines in virtual time."
    )
    parser.add_argument("--scenario", type=Path, action="append", help="a TOML file; default: all")
    parser.add_argument("--only", default="", help="run only scenarios whose names contain this")
    parser.add_argument("--seed", type=int, action="append", help="a seed; default: 1 to 10")
    parser.add_argument("--seeds", type=int, default=DEFAULT_SEEDS, help="number of seeds")
    parser.add_argument("--policy", action="append", choices=list(POLICIES), help="default: all")
    parser.add_argument("--json", type=Path, help="write all results to this file")
    parser.add_argument(
        "--brief", action="store_true", help="leave out the tables of single scenarios"
    )
    parsed = parser.parse_args(arguments)

    if parsed.scenario:
        scenarios = [each for path in parsed.scenario for each in load_scenarios(path)]
    else:
        scenarios = [each for each in all_scenarios() if parsed.only in each.name]
    seeds = parsed.seed or list(range(1, parsed.seeds + 1))
    results = report.run_all(scenarios, parsed.policy or list(POLICIES), seeds)
    rows = report.rows_by_scenario(results)
    tiers = {each.fleet: [tier["name"] for tier in each.tiers] for each in scenarios}
    if not parsed.policy:
        print(report.summary_table(rows, tiers) + "\n\n" + report.ablation_table(rows) + "\n")
    print(report.value_table(rows) + "\n")
    if not parsed.brief:
        print(report.scenario_tables(rows, tiers))
    print(
        "Short of the aims:" if (short := report.shortfalls(rows, tiers)) else "All aims reached."
    )
    for line in short:
        print(f"- {line}")
    if parsed.json:
        report.write_json(parsed.json, results)


if __name__ == "__main__":
    main()
