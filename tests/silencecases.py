"""
tests.silencecases

What happens beside replicas that fall silent, by name. Plays cases by hand with many seeds:
``python -m tests.silencecases --seeds 50 [NAME ...]``.
"""

import argparse
import asyncio
import sys
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from tests.gatewayfleet import run_check
from tests.memorynet import PartitionMode
from tests.silentreplicas import REPEATABLE, STREAM_S, Cut, Silences, play_silence

DOMAINS = ("a", "a", "b", "b", "c")
FIRST_SEED = 77
# Operators accept that two replicas work on one request for this long, in seconds.
MAX_OVERLAP_S = 0.4
# Time by which a replica that stays silent delays a request that may move, in seconds.
MAX_DELAY_S = 3.0
MIN_BEGUN = 20
# Time after which hosts that are cut off from replicas use a way around, in seconds.
CONTACT_S = 3.0


@dataclass(frozen=True)
class Case:
    """One case.

    :param make_change: gets the changes and a folder, and returns what is called at each silence.
    :param goes_on: whether silent replicas go on.
    :param reaches: whether all hosts reach all replicas, so that they can end work there.
    """

    silences: Silences = Silences()
    make_change: Callable = lambda changes, folder: lambda: None
    replicas: int = 8
    domains: tuple = DOMAINS
    versions: tuple = ("v1",)
    goes_on: bool = True
    reaches: bool = True


def _cut_hosts(mode):
    async def prepare(fleet):
        fleet.cut_from_replicas([0, 3], [*fleet.models, *fleet.seats], mode)
        await asyncio.sleep(CONTACT_S)

    return prepare


def _move_routes(changes, folder):
    return changes.move_routes


def _replace_key(changes, folder):
    return changes.replace_key


def _stop_and_reload(changes, folder):
    def change():
        changes.stop_next_node()
        changes.reload_nodes(folder)

    return change


async def _bound_engines(fleet):
    """Let engines reject streams beyond their slots, as real ones do."""
    for each in fleet.models:
        each.faults.most_streams = each.slots


# All replicas pause at once. A replica that gets a request meanwhile may reject it once it goes on.
ALL_PAUSE = Silences(paths=("/explain/1",), share=1.0, paused=True, prepare=_bound_engines)
TWO = Silences(second_services=True)
ALL_PATHS = ("/explain/1", "/chat/1", "/find/1", "/book/1")
CASES = {
    "silence alone, requests that must not be repeated": Case(Silences(paths=ALL_PATHS)),
    "routes move, requests that must not be repeated": Case(
        Silences(paths=ALL_PATHS, second_services=True), _move_routes
    ),
    "settings are reloaded": Case(
        make_change=lambda changes, folder: lambda: changes.reload_nodes(folder)
    ),
    "hosts stop": Case(make_change=lambda changes, folder: changes.stop_next_node),
    "hosts stop while settings are reloaded": Case(make_change=_stop_and_reload),
    "replicas stay silent": Case(
        Silences(60.0, may_fall_silent=lambda each: each.id in ("m0", "s0")),
        goes_on=False,
    ),
    "silent replicas leave": Case(make_change=lambda changes, folder: changes.drain_silent),
    "records of silent replicas go": Case(
        make_change=lambda changes, folder: changes.remove_silent
    ),
    "hosts are cut off from replicas (reset)": Case(
        Silences(prepare=_cut_hosts(PartitionMode.RESET)), reaches=False
    ),
    "hosts are cut off from replicas (silent)": Case(
        Silences(prepare=_cut_hosts(PartitionMode.SILENT)), reaches=False
    ),
    "hosts are cut off from replicas (reset) and hosts stop": Case(
        Silences(
            silence_s=0.01,
            paths=ALL_PATHS,
            prepare=_cut_hosts(PartitionMode.RESET),
        ),
        lambda changes, folder: changes.stop_next_node,
        reaches=False,
    ),
    "hosts are cut off from replicas and routes move": Case(
        Silences(prepare=_cut_hosts(PartitionMode.RESET), second_services=True),
        _move_routes,
        reaches=False,
    ),
    "hosts are cut off from replicas and a key is replaced": Case(
        Silences(prepare=_cut_hosts(PartitionMode.RESET)), _replace_key, reaches=False
    ),
    "the only replicas of a version are silent": Case(
        Silences(may_fall_silent=lambda each: each.version == "v1.1" or not each.engine),
        versions=("v1", "v1", "v1", "v1.1"),
    ),
    "callers resume streams": Case(Silences(resume_share=0.5)),
    "callers resume streams while routes move": Case(
        Silences(resume_share=0.5, second_services=True), _move_routes
    ),
    "callers resume streams while a key is replaced": Case(
        Silences(resume_share=0.5), _replace_key
    ),
    "callers resume streams of two versions": Case(
        Silences(resume_share=0.5), versions=("v1", "v1.1")
    ),
    "all replicas pause and routes move once others were sought": Case(
        replace(ALL_PAUSE, second_services=True, change_after_s=1.0), _move_routes, replicas=4
    ),
    "all replicas pause": Case(ALL_PAUSE),
    "all replicas pause, requests of all kinds": Case(replace(ALL_PAUSE, paths=ALL_PATHS)),
    "all replicas pause and a key is replaced once others were sought": Case(
        replace(ALL_PAUSE, change_after_s=1.0), _replace_key, replicas=4
    ),
    "all replicas pause and routes move at once": Case(
        replace(ALL_PAUSE, second_services=True), _move_routes
    ),
    "most replicas pause and routes move once others were sought": Case(
        replace(ALL_PAUSE, share=0.6, second_services=True, change_after_s=1.0), _move_routes
    ),
    "time limits are lowered": Case(make_change=lambda changes, folder: changes.lower_timeouts),
    "routes move at fifteen hosts": Case(TWO, _move_routes, domains=DOMAINS * 3),
    "a key is replaced at fifteen hosts": Case(make_change=_replace_key, domains=DOMAINS * 3),
}


def play(case: Case, seed: int = FIRST_SEED) -> Cut:
    """Play a case in virtual time, and return what was found."""
    found = []

    async def check(fleet):
        with tempfile.TemporaryDirectory() as folder:

            def make_change(changes):
                return case.make_change(changes, Path(folder))

            found.append(await play_silence(fleet, case.silences, make_change, seed))

    run_check(
        check,
        seed=seed - FIRST_SEED,
        domains=case.domains,
        replicas=case.replicas,
        versions=case.versions,
    )
    return found[0]


def check_nothing_is_cut(found):
    assert min(found.begun.values()) > MIN_BEGUN
    assert not found.cut, (found.cut, found.begun, found.statuses)


def check_overlap(found):
    assert found.overlap_s <= MAX_OVERLAP_S


def check_moved(found):
    """Check that requests that may move do so soon where a replica stays silent."""
    moved = [each for each in found.asked if each.path in REPEATABLE and each.answer.status]
    served = [each for each in moved if each.is_whole]
    overdue = [each.path for each in moved if each.answer.status == 504]
    assert not overdue, overdue
    late = [each for each in served if each.answer.took_s > STREAM_S + MAX_DELAY_S]
    assert not late, [(each.path, each.answer.took_s) for each in late]
    cut = {path: number for path, number in found.cut.items() if path in REPEATABLE}
    assert not cut, (cut, found.begun, found.statuses)


def check_case(case: Case, found: Cut) -> None:
    """Check what must hold in a case."""
    if case.goes_on:
        check_nothing_is_cut(found)
    else:
        check_moved(found)
    if case.reaches:
        check_overlap(found)
    if case.silences.resume_share:
        assert found.resumed > 0


def main() -> int:
    """Play cases with many seeds, and print what they found; return 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", metavar="NAME", help="cases; all if none is named")
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=FIRST_SEED)
    arguments = parser.parse_args()
    failed = 0
    for name in arguments.names or CASES:
        failed += _play_seeds(name, range(arguments.first, arguments.first + arguments.seeds))
    return 1 if failed else 0


def _play_seeds(name, seeds):
    begun, cut, overlap_s, red = 0, 0, 0.0, []
    for seed in seeds:
        try:
            found = play(CASES[name], seed)
            begun, cut = begun + found.begun.total(), cut + found.cut.total()
            overlap_s = max(overlap_s, found.overlap_s)
            check_case(CASES[name], found)
        except AssertionError as error:
            red.append(seed)
            print(f"    seed {seed}: {str(error)[:400]}", flush=True)
    print(
        f"{name}: {len(seeds)} seeds, {len(red)} red {red}; {begun} begun, {cut} cut, "
        f"two replicas for {overlap_s:.3f} s at most",
        flush=True,
    )
    return len(red)


if __name__ == "__main__":
    sys.exit(main())
