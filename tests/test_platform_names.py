"""
tests.test_platform_names

The names of the platform occur in one small folder, and only the start-up code imports it.
"""

import re
from pathlib import Path

SOURCES = Path(__file__).parent.parent / "packages"
ADAPTER = SOURCES / "chalkyoke/src/chalkyoke/platform"
PLATFORM_NAMES = re.compile(
    r"X-(Server-Stamp|Not-Run|Expect-Instance|Token-Count|Prefix-Hash|Credential|Server-Load"
    r"|Weights-Version|Pin-Ms|Length-Hint|Kv-|Tenant|Hold|Model)|Kv-(From|Fetch)"
    r"|kv-(watch|txn|range|key|lease|keep)|path-prefix|api-keys|servers/|op/config",
    re.IGNORECASE,
)
MAX_ADAPTER_LINES = 600


def sources():
    for path in SOURCES.rglob("*.py"):
        fakes = "chalkyoke-fakes" in path.parts
        if "tests" not in path.parts and not fakes and ADAPTER not in path.parents:
            yield path


def test_platform_names_occur_only_in_the_adapter():
    found = [
        f"{path.relative_to(SOURCES)}: {match.group(0)}"
        for path in sources()
        for match in PLATFORM_NAMES.finditer(path.read_text(encoding="utf-8"))
    ]
    assert found == []


def test_only_the_start_up_code_imports_the_platform():
    importers = [
        path.name
        for path in sources()
        if re.search(r"(from|import) chalkyoke\.platform", path.read_text(encoding="utf-8"))
    ]
    assert importers == ["gatewayd.py"]


def test_the_adapter_stays_small():
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < MAX_ADAPTER_LINES
