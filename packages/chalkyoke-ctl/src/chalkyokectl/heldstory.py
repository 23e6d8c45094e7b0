"""
chalkyokectl.heldstory

Report which requests the quarantine holds back and on which evidence, from the collected log lines
of several nodes.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from chalkyokectl.story import LogLine

# Log channel of the quarantine, the ``slice`` of its lines.
QUARANTINE_CHANNEL = "chalkyoke.quarantine"


@dataclass(slots=True)
class HeldRequest:
    """Evidence against one request or one shared part of prompts, and when nodes held it back.

    :ivar replica_ends: time of the first report of each replica that ended while it ran the
        request, by the start of the replica.
    :ivar held_at: time at which each node began to hold the request back, by host.
    :ivar release_lines: lines about the release of the request.
    :ivar refusal_count: how often the request arrived while it was held back.
    :ivar last_at: time of the last line about the request.
    """

    digest: str
    replica_ends: dict[str, float] = field(default_factory=dict)
    held_at: dict[str, float] = field(default_factory=dict)
    release_lines: list[LogLine] = field(default_factory=list)
    refusal_count: int = 0
    last_at: float = 0.0


def collect_held_requests(lines: Iterable[LogLine], digest: str = "") -> list[HeldRequest]:
    """Collect the requests that were held back, ordered by the time of the first hold.

    :param digest: selects one request; empty selects all.
    """
    found: dict[str, HeldRequest] = {}
    for line in sorted(lines, key=lambda each: each.at):
        digests = [line.fields["digest"]] if line.fields.get("digest") else []
        listed = (*line.fields.get("digests", ()), *line.fields.get("parts", ()))
        for name in [*digests, *listed]:
            if digest in ("", name):
                _record_line(found.setdefault(name, HeldRequest(name)), line)
    held = [each for each in found.values() if each.held_at or each.refusal_count]
    return sorted(held, key=lambda each: min(each.held_at.values(), default=each.last_at))


def _record_line(request: HeldRequest, line: LogLine) -> None:
    request.last_at = line.at
    if line.event == "held_back":
        request.refusal_count += 1
    if line.fields.get("slice") != QUARANTINE_CHANNEL:
        return
    if line.event == "replica_ended":
        request.replica_ends.setdefault(str(line.fields.get("start")), line.at)
    elif line.event == "request_held":
        request.held_at.setdefault(line.host, line.at)
    elif line.event == "request_released":
        request.release_lines.append(line)


def format_held_requests(requests: Iterable[HeldRequest]) -> Iterator[str]:
    """Format each request and its evidence as lines of text."""
    for each in requests:
        yield f"{each.digest}: came {each.refusal_count} times while held back"
        for start, at in each.replica_ends.items():
            yield f"  {at:.3f} replica {start} ended under it"
        if each.held_at:
            first, last = min(each.held_at.values()), max(each.held_at.values())
            hosts = len(each.held_at)
            yield f"  {first:.3f} held back by {hosts} nodes within {last - first:.3f} s"
        for line in each.release_lines:
            yield f"  {line.at:.3f} {line.host} let it go: {line.fields.get('why')}"
