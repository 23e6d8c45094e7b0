"""
benches.policy.report

Run scenarios over seeds and policies in parallel, and format the results as tables.
"""

import json
import math
import statistics
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from benches.policy.policies import BASELINES, POLICIES
from benches.policy.scenario import Scenario
from benches.policy.simulation import RunResult, Simulation

BOUND = "bound"
CHALKYOKE = "chalkyoke"
# The aims of the policy: minimum goodput in the top tier and in total as shares of the bound's,
# maximum wasted prefill in an overload as a share of least outstanding's, and minimum fairness.
MIN_TOP_TIER_SHARE = 0.99
MIN_TOTAL_SHARE = 0.95
MAX_WASTE_SHARE = 0.1
MIN_FAIRNESS = 0.95

Key = tuple[str, str]


def run_one(job: tuple[Scenario, str, int]) -> RunResult:
    """Run one scenario with one policy and one seed."""
    scenario, policy, seed = job
    return Simulation(scenario, POLICIES[policy](), seed).run()


def run_all(scenarios: list[Scenario], policies: list[str], seeds: list[int]) -> list[RunResult]:
    """Run every scenario with every policy and seed, on all processors."""
    jobs = [(each, policy, seed) for each in scenarios for policy in policies for seed in seeds]
    with ProcessPoolExecutor() as pool:
        return list(pool.map(run_one, jobs, chunksize=4))


@dataclass
class Row:
    """The means over all seeds of one policy in one scenario.

    :param spread: standard deviation of the goodput.
    :param wasted: prompt tokens processed for requests that were then cancelled.
    """

    goodput: float
    spread: float
    tiers: dict[str, float]
    wasted: float
    fairness: float
    value: float
    held: float
    returns: float
    beside_free: float


def rows_by_scenario(results: list[RunResult]) -> dict[Key, dict[str, Row]]:
    """Average results over seeds into rows by (scenario, fleet) and policy."""
    grouped: dict[Key, dict[str, list[RunResult]]] = defaultdict(lambda: defaultdict(list))
    for result in results:
        grouped[result.scenario, result.fleet][result.policy].append(result)
    return {
        key: {policy: _average(each) for policy, each in policies.items()}
        for key, policies in grouped.items()
    }


def _average(results: list[RunResult]) -> Row:
    goodputs = [each.goodput for each in results]
    fair = [each.fairness for each in results if not math.isnan(each.fairness)]
    tiers = {
        tier: statistics.mean(each.tier_goodput(tier) for each in results)
        for tier in results[0].demands
    }
    return Row(
        statistics.mean(goodputs),
        statistics.stdev(goodputs) if len(goodputs) > 1 else 0.0,
        tiers,
        statistics.mean(each.wasted_prefill for each in results),
        statistics.mean(fair) if fair else math.nan,
        statistics.mean(each.value.net for each in results),
        statistics.mean(each.value.held / max(1, each.value.demands) for each in results),
        statistics.mean(each.value.returns / max(1, each.value.demands) for each in results),
        statistics.mean(each.value.beside_free for each in results),
    )


def scenario_tables(rows: dict[Key, dict[str, Row]], tiers: dict[str, list[str]]) -> str:
    """Format one Markdown table for each scenario and fleet."""
    lines: list[str] = []
    for (scenario, fleet), policies in rows.items():
        names = tiers[fleet]
        lines += [f"### {scenario}, {fleet}", ""]
        lines.append(
            "| policy | goodput | spread | " + " | ".join(names) + " | wasted prefill | fairness |"
        )
        lines.append("|---|---|---|" + "---|" * (len(names) + 2))
        for policy, row in policies.items():
            by_tier = " | ".join(f"{row.tiers.get(name, math.nan):.3f}" for name in names)
            fairness = "" if math.isnan(row.fairness) else f"{row.fairness:.3f}"
            lines.append(
                f"| {policy} | {row.goodput:.3f} | {row.spread:.3f} | {by_tier} "
                f"| {row.wasted:,.0f} | {fairness} |"
            )
        lines.append("")
    return "\n".join(lines)


def summary_table(rows: dict[Key, dict[str, Row]], tiers: dict[str, list[str]]) -> str:
    """Format one line for each scenario and fleet: chalkyoke, the bound and the best baseline."""
    lines = [
        "| scenario, fleet | ours | bound | best baseline | top tier, ours and bound | wasted, ours and "
        "least outstanding's | fairness |",
        "|---|---|---|---|---|---|---|",
    ]
    for (scenario, fleet), policies in rows.items():
        ours, bound, top = policies[CHALKYOKE], policies[BOUND], tiers[fleet][0]
        name, best = max(
            ((each, policies[each]) for each in BASELINES), key=lambda pair: pair[1].goodput
        )
        fairness = "" if math.isnan(ours.fairness) else f"{ours.fairness:.3f}"
        lines.append(
            f"| {scenario}, {fleet} | {ours.goodput:.3f} | {bound.goodput:.3f} "
            f"| {best.goodput:.3f} ({name}) | {ours.tiers[top]:.3f}, {bound.tiers[top]:.3f} "
            f"| {ours.wasted:,.0f}, {policies['least outstanding'].wasted:,.0f} | {fairness} |"
        )
    return "\n".join(lines)


def value_table(rows: dict[Key, dict[str, Row]]) -> str:
    """Format the value of service, timed from the first attempt, next to the goodput."""
    lines = [
        "| scenario, fleet | policy | goodput | value from the first try | held in vain | "
        "came back in vain | refused beside free slots |",
        "|---|---|---|---|---|---|---|",
    ]
    for (scenario, fleet), policies in rows.items():
        for policy, row in policies.items():
            lines.append(
                f"| {scenario}, {fleet} | {policy} | {row.goodput:.3f} | {row.value:.3f} "
                f"| {row.held:.3f} | {row.returns:.3f} | {row.beside_free:.1f} |"
            )
    return "\n".join(lines)


def ablation_table(rows: dict[Key, dict[str, Row]]) -> str:
    """Format the means over all scenarios and fleets for each policy."""
    lines = ["| policy | mean goodput | mean wasted prefill |", "|---|---|---|"]
    for policy in next(iter(rows.values())):
        goodput = statistics.mean(each[policy].goodput for each in rows.values())
        wasted = statistics.mean(each[policy].wasted for each in rows.values())
        lines.append(f"| {policy} | {goodput:.4f} | {wasted:,.0f} |")
    return "\n".join(lines)


def shortfalls(rows: dict[Key, dict[str, Row]], tiers: dict[str, list[str]]) -> list[str]:
    """Return a line for each aim of the policy that a scenario misses."""
    found: list[str] = []
    for (scenario, fleet), policies in rows.items():
        ours, bound = policies[CHALKYOKE], policies.get(BOUND)
        where = f"{scenario}, {fleet}"
        top = tiers[fleet][0]
        if bound is not None and ours.tiers[top] < MIN_TOP_TIER_SHARE * bound.tiers[top]:
            found.append(
                f"{where}: {top} {ours.tiers[top]:.3f} of the bound's {bound.tiers[top]:.3f}"
            )
        if bound is not None and ours.goodput < MIN_TOTAL_SHARE * bound.goodput:
            found.append(f"{where}: total {ours.goodput:.3f} of the bound's {bound.goodput:.3f}")
        for name in BASELINES:
            other = policies.get(name)
            if other is None:
                continue
            if ours.goodput < other.goodput:
                found.append(
                    f"{where}: total {ours.goodput:.3f} under {name}'s {other.goodput:.3f}"
                )
            if ours.wasted > other.wasted:
                found.append(f"{where}: waste {ours.wasted:,.0f} over {name}'s {other.wasted:,.0f}")
        least = policies.get("least outstanding")
        if (
            "overload" in scenario
            and least is not None
            and ours.wasted > MAX_WASTE_SHARE * least.wasted
        ):
            share = ours.wasted / least.wasted
            found.append(f"{where}: waste is {share:.2f} of least outstanding's")
        if ours.fairness < MIN_FAIRNESS:
            found.append(f"{where}: fairness {ours.fairness:.3f}")
    return found


def write_json(path: Path, results: list[RunResult]) -> None:
    """Write all results to a JSON file."""
    path.write_text(json.dumps([asdict(each) for each in results], indent=1), encoding="utf-8")
