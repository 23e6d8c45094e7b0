"""
chalkyokectl.versionstory

Report the version that each node runs, from the collected log lines of several nodes.
"""

from collections.abc import Iterable, Iterator

from chalkyokectl.story import LogLine

# Shown for nodes that log no version when they start.
UNREPORTED_VERSION = "before 0.2.0"


def find_last_starts(lines: Iterable[LogLine]) -> dict[str, LogLine]:
    """Return the line of the last start of each node, by host."""
    found: dict[str, LogLine] = {}
    for line in sorted(lines, key=lambda each: each.at):
        if line.event == "started":
            found[line.host] = line
    return found


def format_versions(found: dict[str, LogLine]) -> Iterator[str]:
    """Format a line for each node, then the number of nodes of each version."""
    counts: dict[str, int] = {}
    for host, line in sorted(found.items()):
        version = str(line.fields.get("version", UNREPORTED_VERSION))
        counts[version] = counts.get(version, 0) + 1
        yield f"{host}: {version}, started {line.fields.get('at', '')}"
    for version, count in sorted(counts.items()):
        yield f"{version}: {count} of {len(found)} nodes"
