"""
chalkyokectl.heldstory

Tell which requests are held back and by which evidence, from the collected log lines of several
nodes.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from chalkyokectl.story import Line

SLICE = "chalkyoke.quarantine"


@dataclass(slots=True)
class HeldRequest:
    """What the logs say of one request.

    :ivar ends: when it was told first that a replica had ended under it, by the replica's start.
    :ivar held_at: when nodes held it back, by host.
    :ivar came_again: how often it came while it was held back.
    """

    digest: str
    ends: dict[str, float] = field(default_factory=dict)
    held_at: dict[str, float] = field(default_factory=dict)
    released: list[Line] = field(default_factory=list)
    came_again: int = 0
    last_at: float = 0.0


def suspicions(lines: Iterable[Line], digest: str = "") -> list[HeldRequest]:
    """Gather what is said of each request that was held back, the first one first.

    :param digest: only of this request; empty is all.
    """
    found: dict[str, HeldRequest] = {}
    for line in sorted(lines, key=lambda each: each.at):
        named = [line.fields["digest"]] if "digest" in line.fields else []
        for name in [*named, *line.fields.get("digests", ())]:
            if digest in ("", name):
                _note(found.setdefault(name, HeldRequest(name)), line)
    held = [each for each in found.values() if each.held_at or each.came_again]
    return sorted(held, key=lambda each: min(each.held_at.values(), default=each.last_at))


def _note(request: HeldRequest, line: Line) -> None:
    request.last_at = line.at
    if line.event == "held_back":
        request.came_again += 1
    if line.fields.get("slice") != SLICE:
        return
    if line.event == "replica_ended":
        request.ends.setdefault(str(line.fields.get("start")), line.at)
    elif line.event == "request_held":
        request.held_at.setdefault(line.host, line.at)
    elif line.event == "request_released":
        request.released.append(line)


def show(requests: Iterable[HeldRequest]) -> Iterator[str]:
    """Word what is known of each."""
    for each in requests:
        yield f"{each.digest}: came {each.came_again} times while held back"
        for start, at in each.ends.items():
            yield f"  {at:.3f} replica {start} ended under it"
        if each.held_at:
            first, last = min(each.held_at.values()), max(each.held_at.values())
            hosts = len(each.held_at)
            yield f"  {first:.3f} held back by {hosts} nodes within {last - first:.3f} s"
        for line in each.released:
            yield f"  {line.at:.3f} {line.host} let it go: {line.fields.get('why')}"
