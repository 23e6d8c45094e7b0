"""
scripts.proofs

Run the randomized checks of the tests with more seeds, and print the totals of their counts.
``SEEDS=40 FIRST=1000 make proofs`` sets the number of seeds and the first one.
"""

import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))


# Seed, counts by name, and the failure; the failure is empty if the seed passed.
SeedResult = tuple[int, dict[str, int], str]


def check_world(seed: int) -> SeedResult:
    """Simulate a fleet for one seed with kills, link cuts, holds and planned stops."""
    from tests.world import run_seed

    try:
        return seed, {str(name): count for name, count in run_seed(seed).items()}, ""
    except BaseException as error:
        return seed, {}, f"{type(error).__name__}: {error}"


def check_overload(seed: int) -> SeedResult:
    """Drive one scheduler under random overload, and check every refusal and grant naively."""
    from tests.overload import run_overload

    try:
        return (
            seed,
            {str(name): count for name, count in run_overload(seed, 4000).counts.items()},
            "",
        )
    except BaseException as error:
        return seed, {}, f"{type(error).__name__}: {error}"


def run_proof(name: str, run_seed: Callable[[int], SeedResult], seeds: range) -> int:
    """Run one check over all seeds, print the result, and return the number of failed seeds."""
    started = time.monotonic()
    total: Counter[str] = Counter()
    failed = 0
    with ProcessPoolExecutor() as pool:
        for seed, counts, failure in pool.map(run_seed, seeds):
            total.update(counts)
            if failure:
                failed += 1
                print(f"{name}: seed {seed} is red: {failure}", flush=True)
    seconds = time.monotonic() - started
    print(f"{name}: seeds {seeds.start} to {seeds.stop - 1}, {failed} red, {seconds:.0f} s")
    print(f"  {dict(sorted(total.items()))}", flush=True)
    return failed


def main() -> None:
    """Run all checks, and exit with 1 if any seed failed."""
    first, count = int(os.environ.get("FIRST", "100")), int(os.environ.get("SEEDS", "20"))
    seeds = range(first, first + count)
    failed = run_proof("promises", check_world, seeds) + run_proof(
        "shedding", check_overload, seeds
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
