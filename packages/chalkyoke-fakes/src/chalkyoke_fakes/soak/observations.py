"""
chalkyoke_fakes.soak.observations

What callers, replicas and logs showed during a run. All times are seconds since the run began.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """What a request may bear."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self in (Kind.REPEATABLE, Kind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Whether its answer is a series of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One attempt of a caller and what came of it.

    :param status: 0 where no answer came.
    :param whole: whether the answer ended as an answer ends.
    :param leaving: the replica whose answer this was, where the answer said that it leaves.
    :param limited: the replica whose answer this was, where the answer named a limit.
    """

    request: str
    kind: Kind
    node: str
    team: str
    began: float
    ended: float
    deadline_s: float
    status: int
    body: bytes
    complete: bool
    leaving_replica: str = ""
    limiting_replica: str = ""


@dataclass(frozen=True, slots=True)
class Rejection:
    """A replica answered that it has not run a request.

    :param rest_s: for how long it asked for rest; 0 where it did not.
    """

    request: str
    replica: str
    at: float
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A replica named a limit for some time.

    :param limit_per_s: requests a second that it said it takes from all nodes.
    """

    replica: str
    began: float
    ended: float
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class ReplicaRun:
    """One run of a request at a replica."""

    request: str
    replica: str
    service: str
    team: str
    at: float
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A time in which something was at fault.

    :param what: the kind of fault.
    :param target: the node, replica or ``store`` that it struck.
    """

    fault: str
    target: str
    began: float
    ended: float

    def overlaps(self, began: float, ended: float) -> bool:
        """Tell whether it overlaps with another time."""
        return self.began <= ended and began <= self.ended


@dataclass(frozen=True, slots=True)
class DrainStart:
    """A replica declared that it leaves."""

    replica: str
    at: float


@dataclass(frozen=True, slots=True)
class Quota:
    """What a team may have within a window: ``(rate * window + burst) * (1 + over) + slack``."""

    team: str
    max_requests: float
    window_s: float


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """How many arrivals beyond the first of each request a service may get in a window."""

    ratio: float
    slack: float
    window_s: float


@dataclass
class Observations:
    """All that a run showed.

    :ivar versions: for each process, the configuration versions that it logged, in order.
    :ivar recovered_s: how long after the last fault all nodes served again; nothing where not.
    :ivar turned_away: what replicas have not run.
    :ivar limited: the limits that replicas have named.
    :ivar ends: when replicas have ended by themselves; each is back under its id as a new start.
    :ivar crashing: how many bodies there were that end replicas.
    :ivar restored: when the store came back from a copy, and its writers wrote again.
    :ivar stream: the body of a whole stream.
    """

    attempts: list[CallerAttempt] = field(default_factory=list)
    runs: list[ReplicaRun] = field(default_factory=list)
    rejections: list[Rejection] = field(default_factory=list)
    limit_periods: list[LimitPeriod] = field(default_factory=list)
    replica_exits: dict[str, list[float]] = field(default_factory=dict)
    faults: list[FaultPeriod] = field(default_factory=list)
    drains: list[DrainStart] = field(default_factory=list)
    restore_times: list[float] = field(default_factory=list)
    versions: dict[str, list[int]] = field(default_factory=dict)
    quotas: list[Quota] = field(default_factory=list)
    retry_limit: RetryLimit = RetryLimit(0.2, 100.0, 10.0)
    recovered_s: float | None = 0.0
    stream: bytes = b""
    crashing_bodies: int = 0
