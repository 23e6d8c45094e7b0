"""
scripts.soak

Inject random faults into real node processes, one seed after the other. The logs of seeds that
broke a promise are kept under ``out/soak``.
"""

import argparse
import asyncio
import sys
import time
from pathlib import Path

from chalkyoke_fakes.soak.causes import count_causes
from chalkyoke_fakes.soak.dispatched import count_dispatched, find_cut
from chalkyoke_fakes.soak.plan import Fault
from chalkyoke_fakes.soak.play import (
    KIND_BY_PATH,
    RunConfig,
    count_caller_outcomes,
    play_seed,
)

KEPT_LOGS_FOLDER = Path("out/soak")


def main() -> int:
    """Run the seeds that the command line names; return 1 if any of them broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first seed")
    parser.add_argument(
        "--seconds", type=float, default=15.0, help="duration of the faults of each seed"
    )
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--replicas", type=int, default=1, help="replicas of each service and zone")
    parser.add_argument(
        "--old",
        type=Path,
        help="checkout of another version, from which the nodes are rolled to this one",
    )
    parser.add_argument("--calm", action="store_true", help="inject no faults besides the roll")
    parser.add_argument(
        "--only",
        type=Fault,
        nargs="+",
        default=[],
        metavar="FAULT",
        help=f"kinds of faults to inject, of: {', '.join(Fault)}",
    )
    parser.add_argument(
        "--rate", type=float, default=8.0, help="requests a second to each node, on average"
    )
    parser.add_argument(
        "--paths", nargs="+", default=list(KIND_BY_PATH), choices=list(KIND_BY_PATH)
    )
    parser.add_argument(
        "--causes", action="store_true", help="count the cut requests by the ends in the logs"
    )
    arguments = parser.parse_args()
    zones = tuple("abc"[number % 3] for number in range(arguments.nodes))
    old = arguments.old and arguments.old.resolve() / "packages/chalkyoke/src"
    shape = RunConfig(
        zones,
        arguments.replicas,
        arguments.seconds,
        arguments.rate,
        old_packages=old,
        calm=arguments.calm,
        only=frozenset(arguments.only),
        paths=tuple(arguments.paths),
    )
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        outcome = asyncio.run(play_seed(seed, shape, KEPT_LOGS_FOLDER))
        print(outcome.summary(), flush=True)
        if arguments.calm:
            print(f"    callers: {count_caller_outcomes(outcome.observations)}", flush=True)
        if arguments.causes:
            cut = find_cut(outcome.observations)
            dispatched = count_dispatched(outcome.observations)
            print(f"    cut: {len(cut)} of {dispatched} passed on", flush=True)
            for cause, count in count_causes(cut, outcome.observations).most_common():
                print(f"    {count} {cause}", flush=True)
        for broken in outcome.violations:
            print(f"    {broken.promise}: {broken.detail}", flush=True)
        failed += bool(outcome.violations)
    print(f"soak: {arguments.seeds} seeds, {failed} red")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
