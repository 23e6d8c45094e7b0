"""
chalkyokectl.limitstory

Report the rate limits that replicas announced, which processes count the attempts against them and
how many attempts were sent, from the collected log lines of several nodes.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from chalkyokectl.story import LogLine, number_of

# Length of the sliding window over which the largest number of attempts is reported.
WINDOW_S = 4.0


@dataclass(slots=True)
class ReplicaLimit:
    """Rate limits that one replica announced, and the attempts sent to it.

    :ivar changes: time of each change of the limit, the new limit in requests a second (None if the
        replica no longer announces one) and the host that logged it first.
    :ivar latest_values: limit in requests a second that each node logged last, by host.
    :ivar shares: fraction of the limit that each node granted last, by host.
    :ivar sends: time and host of each attempt sent since the replica first announced a limit.
    :ivar counted_sends: number of these attempts that each process counted; the empty name stands
        for nodes that counted alone.
    :ivar uncounted_sends: number of these attempts that were sent before their node knew the limit.
    """

    replica: str
    changes: list[tuple[float, float | None, str]] = field(default_factory=list)
    latest_values: dict[str, float | None] = field(default_factory=dict)
    shares: dict[str, float] = field(default_factory=dict)
    sends: list[tuple[float, str]] = field(default_factory=list)
    counted_sends: Counter[str] = field(default_factory=Counter)
    uncounted_sends: int = 0

    @property
    def max_window_sends(self) -> int:
        """Largest number of attempts sent within any WINDOW_S seconds."""
        times = sorted(at for at, _ in self.sends)
        return max(
            (sum(1 for at in times if start <= at < start + WINDOW_S) for start in times),
            default=0,
        )


def collect_limits(lines: Iterable[LogLine], replica: str = "") -> list[ReplicaLimit]:
    """Collect the limits of each replica that announced one.

    :param replica: selects one start of a replica; empty selects all.
    """
    found: dict[str, ReplicaLimit] = {}
    for line in sorted(lines, key=lambda each: each.at):
        name = str(line.fields.get("replica", ""))
        if line.event == "replica_limit" and replica in ("", name):
            _record_limit(found.setdefault(name, ReplicaLimit(name)), line)
        elif name in found and line.event == "limit_kept":
            found[name].shares[line.host] = number_of(line.fields, "share")
        elif name in found and line.event == "sent":
            _record_send(found[name], line)
    return list(found.values())


def _record_limit(limit: ReplicaLimit, line: LogLine) -> None:
    value = (
        None if line.fields.get("limit_per_s") is None else number_of(line.fields, "limit_per_s")
    )
    limit.latest_values[line.host] = value
    if not limit.changes or limit.changes[-1][1] != value:
        limit.changes.append((line.at, value, line.host))


def _record_send(limit: ReplicaLimit, line: LogLine) -> None:
    limit.sends.append((line.at, line.host))
    counting_process = line.fields.get("limit_kept_by")
    if counting_process is None:
        limit.uncounted_sends += 1
    else:
        limit.counted_sends[str(counting_process)] += 1


def format_limits(found: Iterable[ReplicaLimit]) -> Iterator[str]:
    """Format the limits of each replica as lines of text."""
    for each in found:
        yield (
            f"{each.replica}: {len(each.sends)} sends,"
            f" {each.max_window_sends} at most in {WINDOW_S:.0f} s"
        )
        for at, value, host in each.changes:
            announced = "names no limit any more" if value is None else f"takes {value:g} a second"
            yield f"  {at:.3f} {announced}, first heard by {host}"
        differ = {
            host for host, value in each.latest_values.items() if value != each.changes[-1][1]
        }
        if differ:
            yield f"  believed otherwise by {', '.join(sorted(differ))}"
        for host, share in each.shares.items():
            yield f"  {host} gives out {share:.0%} of it"
        for process, count in each.counted_sends.most_common():
            yield f"  {count} counted by {process or 'nodes alone'}"
        if each.uncounted_sends:
            yield f"  {each.uncounted_sends} not counted: sent before their node had heard"
