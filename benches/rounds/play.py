"""
benches.rounds.play

Play days on the users' bench, a few at a time, and keep its reports and journal entries.
"""

import shutil
import subprocess
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

# A day of a small site plays in 20 to 60 s, one of 80 hosts in 10 minutes; what takes longer hangs.
PLAY_TIMEOUT_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Play:
    """One day to play.

    :param variant: name of the version that plays it.
    :param tree: where that version lies.
    :param seed: other luck; 0 is the day's own.
    """

    variant: str
    tree: Path
    site: Path
    day: str
    seed: int = 0

    @property
    def report(self) -> str:
        """Name of the report's file."""
        return f"{self.variant}--{self.site.stem}--{self.day}--{self.seed}.json"


@dataclass(frozen=True, slots=True)
class Bench:
    """How the bench is called.

    :param program: its path.
    :param out: where reports and printed tables go.
    :param why: the line that goes into the journal.
    :param charged: whether processor time counts; without, a play mostly repeats.
    """

    program: Path
    out: Path
    why: str
    charged: bool = False

    def run(self, play: Play) -> str:
        """Play one day.

        :return: what went wrong, or an empty text.
        """
        report = self.out / play.report
        words = [str(self.program), "run", str(play.site), play.day, "--report", str(report)]
        words += ["--why", f"{self.why} [{play.variant}]"]
        if play.seed:
            words += ["--seed", str(play.seed)]
        if not self.charged:
            words.append("--no-cpu")
        try:
            done = subprocess.run(
                words, cwd=play.tree, capture_output=True, text=True, timeout=PLAY_TIMEOUT_S
            )
        except subprocess.TimeoutExpired:
            return f"{play.report}: no end after {PLAY_TIMEOUT_S:.0f} s"
        report.with_suffix(".txt").write_text(done.stdout + done.stderr)
        # The bench's exit code also tells of broken rules, which the report holds; only a play
        # that left no report has failed.
        return "" if report.exists() else f"{play.report}: {done.stderr.strip()[-300:]}"

    def build(self, tree: Path) -> str:
        """Build a version once, before its days are played at the same time.

        :return: what went wrong, or an empty text.
        """
        done = subprocess.run(
            [str(self.program), "build"], cwd=tree, capture_output=True, text=True
        )
        return done.stderr.strip()[-300:] if done.returncode else ""


def play_all(
    bench: Bench, plays: Iterable[Play], jobs: int, on_done: Callable[[str], None]
) -> list[str]:
    """Play days, some at a time; what has a report already is not played again.

    :param tell: called with each report's name once it is written.
    :return: what went wrong.
    """

    def play_one(play: Play) -> str:
        if (bench.out / play.report).exists():
            return ""
        problem = bench.run(play)
        on_done(problem or play.report)
        return problem

    with ThreadPoolExecutor(jobs) as pool:
        return [problem for problem in pool.map(play_one, plays) if problem]


def copy_journal(tree: Path, repository: Path) -> int:
    """Copy the journal entries that a version's plays left into the project's journal.

    :return: how many files were new.
    """
    kept = 0
    for entry in sorted((tree / "journal").rglob("*")):
        target = repository / entry.relative_to(tree)
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, target)
            kept += 1
    return kept
