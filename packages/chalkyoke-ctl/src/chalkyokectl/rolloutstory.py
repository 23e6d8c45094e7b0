"""
chalkyokectl.rolloutstory

Report the course of roll-outs from the collected log lines of several nodes.
"""

from collections.abc import Iterable, Iterator

from chalkyokectl.story import LogLine

# Log channel of roll-outs, the ``slice`` of their lines.
ROLLOUT_CHANNEL = "chalkyoke.rollouts"
# Events that every node logs. Equal ones of several nodes are printed as one line.
EVENTS_OF_EVERY_NODE = frozenset(("ordered", "withdrawn", "phase"))


def select_rollout_lines(lines: Iterable[LogLine], service: str = "") -> list[LogLine]:
    """Select the lines about roll-outs, oldest first.

    :param service: selects the roll-outs of one service; empty selects all.
    """
    found = [
        line
        for line in lines
        if line.fields.get("slice") == ROLLOUT_CHANNEL
        and service in ("", line.fields.get("service"))
    ]
    return sorted(found, key=lambda line: line.at)


def format_rollout_lines(lines: Iterable[LogLine]) -> Iterator[str]:
    """Format the lines as text; equal events of several nodes become one line with their number."""
    groups: dict[tuple[object, ...], list[LogLine]] = {}
    for line in lines:
        groups.setdefault(_group_key(line), []).append(line)
    for group in groups.values():
        first, last = group[0], group[-1]
        service = first.fields.get("service")
        if len(group) == 1:
            yield f"{first.at:.3f} {first.host} {service} {first.event}: {first.format_details()}"
        else:
            hosts = len({line.host for line in group})
            where = f"{hosts} nodes within {last.at - first.at:.3f} s"
            yield f"{first.at:.3f} {where} {service} {first.event}: {first.format_details()}"


def _group_key(line: LogLine) -> tuple[object, ...]:
    """Return a key that equal events of one roll-out order share; other lines have a key each."""
    if line.event not in EVENTS_OF_EVERY_NODE:
        return (id(line),)
    fields = line.fields
    return line.event, fields.get("service"), fields.get("to"), fields.get("phase")
