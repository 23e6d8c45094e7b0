"""The tool that compares versions on the bench: reading of reports, pairing, and noise."""

import tomllib

import pytest

from benches.rounds import compare
from benches.rounds.report import Report, Window, from_document
from benches.rounds.variant import VariantError, parse, switched_off

DOCUMENT = {
    "G": 0.58,
    "parts": [["whole day", 0.28, 0.87], ["worst windows", 0.4, 0.33]],
    "prices": [["machine-seconds", 475.0, 0.016]],
    "classes": [{"name": "checks", "worth": 0.7}],
    "windows": [{"name": "40", "n": 100, "not_owed": 40, "worth": 0.2}],
    "breaks": {},
    "fault": None,
}


def report(worth: float, window: float = 0.5) -> Report:
    return Report(
        worth, {"whole day": worth}, {"calls": 0.0}, {}, (Window(40.0, 60, window),), {}, ""
    )


def test_a_report_is_read_from_the_document_of_the_bench() -> None:
    read = from_document(DOCUMENT)
    assert read.worth == 0.58
    assert read.parts["worst windows"] == 0.33
    assert read.prices["machine-seconds"] == 0.016
    assert read.windows == (Window(40.0, 60, 0.2),)
    assert read.fault == "" and read.broken == {}


def test_only_seeds_that_both_versions_ran_are_paired() -> None:
    before = {("s", "d", 1): report(0.5), ("s", "d", 2): report(0.5)}
    after = {("s", "d", 2): report(0.6), ("s", "d", 3): report(0.9)}
    assert list(compare.matched(before, after)) == [("s", "d", 2)]


def test_a_difference_within_the_spread_of_the_pairs_is_noise() -> None:
    mixed = compare.difference("worth", [(0.50, 0.55), (0.50, 0.46), (0.50, 0.52)])
    assert mixed.mean == pytest.approx(0.01)
    assert mixed.noise
    steady = compare.difference("worth", [(0.50, 0.55), (0.40, 0.46), (0.60, 0.65)])
    assert steady.mean == pytest.approx(0.0533, abs=1e-3)
    assert not steady.noise


def test_a_single_pair_counts_as_noise() -> None:
    assert compare.difference("worth", [(0.1, 0.9)]).noise


def test_tables_list_days_parts_and_the_weakest_windows() -> None:
    pairs = compare.matched(
        {("s", "d", seed): report(0.5, 0.4) for seed in (1, 2)},
        {("s", "d", seed): report(0.6, 0.3) for seed in (1, 2)},
    )
    assert [row.name for row in compare.by_day(pairs)] == ["all", "s d"]
    parts = compare.by_part(pairs)
    assert [row.name for row in parts] == ["part: whole day"], "a price that is nothing is left out"
    (window,) = compare.by_window(pairs)
    assert window.name == "s d 40 s"
    assert window.after == pytest.approx(0.3)


def test_a_variant_names_a_revision_and_the_parts_that_are_off() -> None:
    variant = parse("nohold=HEAD~2:hold,guard")
    assert (variant.name, variant.revision, variant.off) == ("nohold", "HEAD~2", ("hold", "guard"))
    assert parse("base=0b926aa").off == ()
    for wrong in ("HEAD", "a b=HEAD", "x=HEAD:Hold!"):
        with pytest.raises(VariantError):
            parse(wrong)


def test_parts_are_switched_off_in_the_settings_template() -> None:
    assert switched_off("[node]\n", ()) == "[node]\n"
    assert 'off = ["hold", "guard"]' in switched_off("[node]\n", ("hold", "guard"))
    with pytest.raises(VariantError):
        switched_off("[scheduling]\noff = []\n", ("hold",))


def test_a_part_that_the_template_switches_on_is_switched_off() -> None:
    """Guards against settings that no node loads: a part in both lists, or two sections."""
    template = '[scheduling]\npooled = true\non = ["best_fit", "spare"]\n\n[logs]\nlevel = "INFO"\n'
    changed = tomllib.loads(switched_off(template, ("best_fit", "hold")))
    assert changed["scheduling"] == {"off": ["hold"], "pooled": True, "on": ["spare"]}
    assert changed["logs"] == {"level": "INFO"}
