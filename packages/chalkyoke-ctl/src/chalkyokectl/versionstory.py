"""
chalkyokectl.versionstory

Tell which version each node runs, from the collected log lines of several nodes.
"""

from collections.abc import Iterable, Iterator

from chalkyokectl.story import Line

UNTOLD = "before 0.2.0"


def versions(lines: Iterable[Line]) -> dict[str, Line]:
    """Find the last start of each node, by host."""
    found: dict[str, Line] = {}
    for line in sorted(lines, key=lambda each: each.at):
        if line.event == "started":
            found[line.host] = line
    return found


def show(found: dict[str, Line]) -> Iterator[str]:
    """Word a line for each node, and how many nodes there are of each version."""
    counts: dict[str, int] = {}
    for host, line in sorted(found.items()):
        version = str(line.fields.get("version", UNTOLD))
        counts[version] = counts.get(version, 0) + 1
        yield f"{host}: {version}, started {line.fields.get('at', '')}"
    for version, count in sorted(counts.items()):
        yield f"{version}: {count} of {len(found)} nodes"
