"""
scripts.proofs

The long form of the proofs: more seeds than the tests, printed with what happened in them.
``SEEDS=40 FIRST=1000 make proofs`` changes how many and which.
"""

import os
import sys
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))


Played = tuple[int, dict[str, int], str]


def world(seed: int) -> Played:
    """Play one seed of kills, cuts, holds and planned stops."""
    from tests.world import play

    try:
        return seed, {str(name): count for name, count in play(seed).items()}, ""
    except BaseException as error:
        return seed, {}, f"{type(error).__name__}: {error}"


def shedding(seed: int) -> Played:
    """Drive one scheduler under random overload, with the naive check."""
    from tests.overload import run_overload

    try:
        return (
            seed,
            {str(name): count for name, count in run_overload(seed, 4000).counts.items()},
            "",
        )
    except BaseException as error:
        return seed, {}, f"{type(error).__name__}: {error}"


def run(name: str, work: Callable[[int], Played], seeds: range) -> int:
    """Run one proof over all seeds and print it; give the number of red ones."""
    started = time.monotonic()
    total: Counter[str] = Counter()
    red = 0
    with ProcessPoolExecutor() as pool:
        for seed, counts, fault in pool.map(work, seeds):
            total.update(counts)
            if fault:
                red += 1
                print(f"{name}: seed {seed} is red: {fault}", flush=True)
    seconds = time.monotonic() - started
    print(f"{name}: seeds {seeds.start} to {seeds.stop - 1}, {red} red, {seconds:.0f} s")
    print(f"  {dict(sorted(total.items()))}", flush=True)
    return red


def main() -> None:
    """Run all proofs."""
    first, count = int(os.environ.get("FIRST", "100")), int(os.environ.get("SEEDS", "20"))
    seeds = range(first, first + count)
    red = run("promises", world, seeds) + run("shedding", shedding, seeds)
    sys.exit(1 if red else 0)


if __name__ == "__main__":
    main()
