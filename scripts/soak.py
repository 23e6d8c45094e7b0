"""
scripts.soak

Play random faults against real node processes, seed after seed. Logs of seeds that broke something
are kept under ``out/soak``.
"""

import argparse
import asyncio
import sys
import time
from pathlib import Path

from chalkyoke_fakes.soak.play import RunConfig, count_caller_outcomes, play_seed

KEEP = Path("out/soak")


def main() -> int:
    """Play the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="how many")
    parser.add_argument("--first", type=int, default=int(time.time()), help="the first seed")
    parser.add_argument("--seconds", type=float, default=15.0, help="of faults, for each seed")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--replicas", type=int, default=1, help="of each service and zone")
    parser.add_argument(
        "--old", type=Path, help="checkout of another version, from which nodes are rolled to this"
    )
    parser.add_argument("--calm", action="store_true", help="no faults but the roll")
    chosen = parser.parse_args()
    zones = tuple("abc"[number % 3] for number in range(chosen.nodes))
    old = chosen.old and chosen.old.resolve() / "packages/chalkyoke/src"
    shape = RunConfig(zones, chosen.replicas, chosen.seconds, old_packages=old, calm=chosen.calm)
    red = 0
    for seed in range(chosen.first, chosen.first + chosen.seeds):
        outcome = asyncio.run(play_seed(seed, shape, KEEP))
        print(outcome.summary(), flush=True)
        if chosen.calm:
            print(f"    callers: {count_caller_outcomes(outcome.observations)}", flush=True)
        for broken in outcome.violations:
            print(f"    {broken.promise}: {broken.detail}", flush=True)
        red += bool(outcome.violations)
    print(f"soak: {chosen.seeds} seeds, {red} red")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
