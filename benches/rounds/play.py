"""
benches.rounds.play

Run days on the users' bench, a few at a time, and store its reports and journal entries.
"""

import shutil
import subprocess
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

# A day of a small site takes 20 to 60 s and one of 80 hosts 10 minutes; a longer run has hung.
PLAY_TIMEOUT_S = 1_800.0


@dataclass(frozen=True, slots=True)
class Play:
    """One day to run on one version.

    :param variant: name of the version.
    :param tree: root of the version's working tree.
    :param site: the site file.
    :param seed: seed of the random draws; 0 stands for the day's own seed.
    """

    variant: str
    tree: Path
    site: Path
    day: str
    seed: int = 0

    @property
    def report(self) -> str:
        """The file name of the report."""
        return f"{self.variant}--{self.site.stem}--{self.day}--{self.seed}.json"


@dataclass(frozen=True, slots=True)
class Bench:
    """The bench's command and its options.

    :param program: path of the bench's program.
    :param out: folder for reports and printed tables.
    :param why: text of the journal entries.
    :param charged: whether processor time counts; without it, a repeated run mostly gives the same
        figures.
    """

    program: Path
    out: Path
    why: str
    charged: bool = False

    def run(self, play: Play) -> str:
        """Run one day.

        :return: the problem, or an empty string.
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
        # The bench's exit code also reflects broken rules, which the report lists. A run has failed
        # only if it has written no report.
        return "" if report.exists() else f"{play.report}: {done.stderr.strip()[-300:]}"

    def build(self, tree: Path) -> str:
        """Build a version once, before its days run concurrently.

        :return: the end of the error output, or an empty string.
        """
        done = subprocess.run(
            [str(self.program), "build"], cwd=tree, capture_output=True, text=True
        )
        return done.stderr.strip()[-300:] if done.returncode else ""


def play_all(
    bench: Bench, plays: Iterable[Play], jobs: int, on_done: Callable[[str], None]
) -> list[str]:
    """Run days concurrently, except those that already have a report.

    :param jobs: days that run at a time.
    :param on_done: called with the name of each report once it is written, or with the problem.
    :return: the problems.
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
    """Copy the journal entries of a version's runs into the project's journal.

    :return: the number of files that were new.
    """
    kept = 0
    for entry in sorted((tree / "journal").rglob("*")):
        target = repository / entry.relative_to(tree)
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, target)
            kept += 1
    return kept
