"""
benches.rounds.__main__

``python -m benches.rounds play|compare|ablate``: see ``docs/rounds.md``.
"""

import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated

import typer

from benches.rounds import compare as comparing
from benches.rounds.compare import Difference, Key
from benches.rounds.play import Bench, Play, copy_journal, play_all
from benches.rounds.report import Report, read_report
from benches.rounds.variant import Variant, VariantError, check_out, parse

REPOSITORY = Path(__file__).parents[2]
OUT = Path("out/rounds")

app = typer.Typer(add_completion=False, help=__doc__)
Program = Annotated[Path, typer.Option("--bench", help="the bench's program", exists=True)]
Sites = Annotated[
    list[Path], typer.Option("--site", help="site file; may be repeated", exists=True)
]
Days = Annotated[str, typer.Option(help="comma-separated names of days")]
Seeds = Annotated[str, typer.Option(help="comma-separated seeds; 0 is the day's own seed")]
Why = Annotated[str, typer.Option(help="text of the journal entries")]
Tag = Annotated[str, typer.Option(help="name of the round; its reports go to out/rounds/TAG")]
Jobs = Annotated[int, typer.Option(min=1, help="days that run at a time")]
Charged = Annotated[bool, typer.Option(help="count processor time; runs are then less repeatable")]


@app.command()
def play(
    bench: Program,
    site: Sites,
    variant: Annotated[list[str], typer.Option(help="NAME=REVISION[:PART,PART]; two or more")],
    tag: Tag,
    why: Why,
    days: Days = "trouble-1,scale-1,trouble-2,scale-2,trouble-3",
    seeds: Seeds = "0,1",
    jobs: Jobs = 4,
    charged: Charged = False,
) -> None:
    """Run the same days and seeds on each variant, then compare each with the first."""
    variants = _parse_variants(variant)
    wanted = Bench(bench.resolve(), (OUT / tag).resolve(), why, charged)
    _play_variants(wanted, variants, [each.resolve() for each in site], days, seeds, jobs)
    for each in variants[1:]:
        _print_comparison(wanted.out, variants[0].name, each.name)


@app.command()
def compare(tag: Tag, before: str, after: str) -> None:
    """Compare two variants of a finished round."""
    _print_comparison(OUT / tag, before, after)


@app.command()
def ablate(
    bench: Program,
    site: Sites,
    tag: Tag,
    why: Why,
    parts: Annotated[str, typer.Option(help="comma-separated parts of the policy")],
    revision: str = ".",
    days: Days = "trouble-1,scale-1,trouble-2,scale-2,trouble-3",
    seeds: Seeds = "0,1",
    jobs: Jobs = 4,
) -> None:
    """Switch parts of the policy off one at a time; each row shows the worth of one part."""
    names = [part for part in parts.split(",") if part]
    variants = [Variant("whole", revision), *(Variant(n, revision, (n,)) for n in names)]
    wanted = Bench(bench.resolve(), (OUT / tag).resolve(), why)
    _play_variants(wanted, variants, [each.resolve() for each in site], days, seeds, jobs)
    whole = _read_reports(wanted.out, "whole")
    rows = []
    for name in names:
        pairs = comparing.matched(_read_reports(wanted.out, name), whole)
        rows += [
            Difference(f"{name}: {row.name}", row.before, row.after, row.spread, row.pairs)
            for row in comparing.by_day(pairs)
        ]
    _print_table("what each part is worth (before: without it; after: with it)", rows)


def _parse_variants(written: Iterable[str]) -> list[Variant]:
    try:
        return [parse(each) for each in written]
    except VariantError as error:
        raise typer.BadParameter(str(error)) from error


def _play_variants(
    bench: Bench, variants: list[Variant], sites: list[Path], days: str, seeds: str, jobs: int
) -> None:
    bench.out.mkdir(parents=True, exist_ok=True)
    plays: list[Play] = []
    trees: list[Path] = []
    for variant in variants:
        try:
            tree = check_out(variant, REPOSITORY, (OUT / "trees").resolve())
        except VariantError as error:
            raise typer.BadParameter(str(error)) from error
        if problem := bench.build(tree):
            typer.echo(f"{variant.name} can't be built: {problem}", err=True)
            raise typer.Exit(1)
        trees.append(tree)
        plays += [
            Play(variant.name, tree, site, day, int(seed))
            for site in sites
            for day in days.split(",")
            for seed in seeds.split(",")
        ]
    problems = play_all(bench, plays, jobs, lambda done: typer.echo(done, err=True))
    for tree in trees:
        copy_journal(tree, REPOSITORY)
    for problem in problems:
        typer.echo(f"not played: {problem}", err=True)


def _read_reports(out: Path, variant: str) -> dict[Key, Report]:
    reports: dict[Key, Report] = {}
    for path in sorted(out.glob(f"{variant}--*.json")):
        _, site, day, seed = path.stem.split("--")
        reports[site, day, int(seed)] = read_report(path)
    return reports


def _print_comparison(out: Path, before: str, after: str) -> None:
    pairs = comparing.matched(_read_reports(out, before), _read_reports(out, after))
    if not pairs:
        typer.echo(f"{before} and {after} have no played day in common under {out}", err=True)
        raise typer.Exit(1)
    _print_table(f"worth: {before} -> {after}", comparing.by_day(pairs))
    _print_table("parts, kinds of request, prices", comparing.by_part(pairs))
    _print_table(f"weakest windows of {after}", comparing.by_window(pairs))
    for (site, day, seed), both in pairs.items():
        for name, report in zip((before, after), both, strict=True):
            if report.broken or report.fault:
                typer.echo(f"{name} {site} {day} {seed}: {report.broken} {report.fault}")


def _print_table(title: str, rows: Iterable[Difference]) -> None:
    typer.echo(f"\n{title}\n{'':52} before   after    diff  margin  pairs")
    for row in rows:
        verdict = "noise" if row.noise else "differs"
        figures = f"{row.before:7.3f} {row.after:7.3f} {row.mean:+7.3f} {row.margin:7.3f}"
        typer.echo(f"{row.name[:52]:52}{figures} {row.pairs:6}  {verdict}")


if __name__ == "__main__":
    sys.exit(app())
