"""
chalkyokectl.limitstory

Tell which limits replicas have named, who counts what they get and what they got, from the
collected log lines of several nodes.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from chalkyokectl.story import Line

# What is counted as one window, in seconds.
WINDOW_S = 4.0


@dataclass(slots=True)
class NamedLimit:
    """What the logs say of one replica's limits.

    :ivar values: what it took from when on, in requests a second; nothing where it named none.
    :ivar believed: what each node believed last, by host.
    :ivar keepers: what each node gave out last, as a part of the limit, by host.
    :ivar sends: when requests were sent to it from its first word on, and the host that sent them.
    :ivar counted_by: how many of these each process had counted; empty for a node alone.
    """

    replica: str
    values: list[tuple[float, float | None, str]] = field(default_factory=list)
    believed: dict[str, float | None] = field(default_factory=dict)
    keepers: dict[str, float] = field(default_factory=dict)
    sends: list[tuple[float, str]] = field(default_factory=list)
    counted_by: Counter[str] = field(default_factory=Counter)
    uncounted: int = 0

    @property
    def most(self) -> int:
        """The most requests that were sent within a window."""
        times = sorted(at for at, _ in self.sends)
        return max(
            (sum(1 for at in times if began <= at < began + WINDOW_S) for began in times),
            default=0,
        )


def limits(lines: Iterable[Line], replica: str = "") -> list[NamedLimit]:
    """Gather what is said of each replica that has named a limit.

    :param replica: only of this start of a replica; empty is all.
    """
    found: dict[str, NamedLimit] = {}
    for line in sorted(lines, key=lambda each: each.at):
        name = str(line.fields.get("replica", ""))
        if line.event == "replica_limit" and replica in ("", name):
            _note_word(found.setdefault(name, NamedLimit(name)), line)
        elif name in found and line.event == "limit_kept":
            found[name].keepers[line.host] = float(line.fields["share"])
        elif name in found and line.event == "sent":
            _note_sent(found[name], line)
    return list(found.values())


def _note_word(limit: NamedLimit, line: Line) -> None:
    value = line.fields.get("limit_per_s")
    limit.believed[line.host] = value
    if not limit.values or limit.values[-1][1] != value:
        limit.values.append((line.at, value, line.host))


def _note_sent(limit: NamedLimit, line: Line) -> None:
    limit.sends.append((line.at, line.host))
    keeper = line.fields.get("limit_kept_by")
    if keeper is None:
        limit.uncounted += 1
    else:
        limit.counted_by[str(keeper)] += 1


def show(found: Iterable[NamedLimit]) -> Iterator[str]:
    """Word what is known of each."""
    for each in found:
        yield f"{each.replica}: {len(each.sends)} sends, {each.most} at most in {WINDOW_S:.0f} s"
        for at, value, host in each.values:
            word = "names no limit any more" if value is None else f"takes {value:g} a second"
            yield f"  {at:.3f} {word}, first heard by {host}"
        differ = {host for host, value in each.believed.items() if value != each.values[-1][1]}
        if differ:
            yield f"  believed otherwise by {', '.join(sorted(differ))}"
        for host, share in each.keepers.items():
            yield f"  {host} gives out {share:.0%} of it"
        for process, count in each.counted_by.most_common():
            yield f"  {count} counted by {process or 'nodes alone'}"
        if each.uncounted:
            yield f"  {each.uncounted} not counted: sent before their node had heard"
