"""
tests.test_roll

A rolling upgrade of real nodes from the version in production to this one, under faults. The code
of the old version comes from the repository's history; without the history, the recorded frames and
records of ``test_versions.py`` take its place.
"""

import asyncio
import io
import subprocess
import tarfile
import tempfile
import tomllib
from pathlib import Path

from chalkyoke_fakes.soak import checkers
from chalkyoke_fakes.soak.play import RunConfig, play_seed

ROOT = Path(__file__).parents[1]
SOURCES = "packages/chalkyoke/src"
SEED = 74_002


def unpack(folder):
    """Unpack the packages of the version in production; return whether the history has them."""
    deployed = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    command = ["git", "archive", deployed["production"], SOURCES]
    archive = subprocess.run(command, cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        return False
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as packed:
        packed.extractall(folder, filter="data")
    return True


def test_a_rolling_upgrade_from_the_version_in_production_breaks_no_safety_guarantee():
    with tempfile.TemporaryDirectory(prefix="chalkyoke-old-") as folder:
        if not unpack(folder):
            assert list((ROOT / "tests/versions").glob("*.json"))
            return
        shape = RunConfig(seconds=8.0, requests_per_s=6.0, old_packages=Path(folder) / SOURCES)
        outcome = asyncio.run(play_seed(SEED, shape))
    assert checkers.run_checkers(outcome.observations, checkers.SAFETY_CHECKERS) == []
    assert len(outcome.observations.attempts) > 20
