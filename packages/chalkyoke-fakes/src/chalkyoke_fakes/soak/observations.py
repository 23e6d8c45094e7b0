"""
chalkyoke_fakes.soak.observations

The records of a run, from callers, replicas and logs. All times are seconds since the run began.
"""

import math
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any


class Kind(StrEnum):
    """The kind of a request: whether it may be repeated, and whether its answer is a stream."""

    ONCE = "once"
    REPEATABLE = "repeatable"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self in (Kind.REPEATABLE, Kind.RESUMABLE)

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a promise."""

    promise: str
    detail: str


@dataclass(frozen=True, slots=True)
class CallerAttempt:
    """One request of a caller and its answer.

    :param status: HTTP status of the answer; 0 where no answer came.
    :param complete: whether the answer arrived up to its regular end.
    :param leaving_replica: the replica that answered, where its answer announced that it leaves.
    :param limiting_replica: the replica that answered, where its answer announced a limit.
    :param resumes: the attempt that began the stream, where this one takes it up.
    :param after: number of the last event that the caller had before; -1 for none.
    :param serving: number of replicas that served the stream's version when it was taken up.
    :param parts: the shared parts of the prompt.
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
    resumes: str = ""
    after: int = -1
    serving: int = 0
    parts: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class FocusPeriod:
    """A period in which callers open most new connections to one node."""

    node: str
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class Rejection:
    """A replica's answer that it has not run a request.

    :param retry_after_s: the ``Retry-After`` of the answer, in seconds; 0 where it had none.
    """

    request: str
    replica: str
    at: float
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A period in which a replica announced one limit.

    :param limit_per_s: the announced limit for all nodes together, in requests a second.
    """

    replica: str
    began: float
    ended: float
    limit_per_s: float


@dataclass(frozen=True, slots=True)
class ReplicaRun:
    """One run of a request at a replica.

    :param at: when the request arrived.
    :param parts: the shared parts of the prompt.
    :param ended: when the replica's work ended; infinite if it goes on.
    :param work_s: time that the work takes if nothing ends it early, in seconds.
    :param begun: when the work began, if that was later than ``at``.
    """

    request: str
    replica: str
    service: str
    team: str
    at: float
    body: bytes = b""
    parts: frozenset[str] = frozenset()
    ended: float = math.inf
    work_s: float = 0.0
    begun: float = 0.0

    @property
    def place(self) -> str:
        """The place of the replica."""
        return place_of(self.replica)


def place_of(replica: str) -> str:
    """Return the place of a replica, which later starts at the same address share.

    :param replica: id of the replica.
    """
    return replica.partition("+")[0].rsplit("-", 1)[0]


@dataclass(frozen=True, slots=True)
class LeftRequest:
    """A request whose caller left before the answer.

    :param at: when the caller's close reached the node.
    """

    request: str
    node: str
    at: float


@dataclass(frozen=True, slots=True)
class FaultPeriod:
    """A period in which a fault was active.

    :param fault: the kind of fault.
    :param target: the node, replica or ``store`` that the fault affected.
    """

    fault: str
    target: str
    began: float
    ended: float

    def overlaps(self, began: float, ended: float) -> bool:
        """Check whether this period overlaps with another one; the ends are included."""
        return self.began <= ended and began <= self.ended


@dataclass(frozen=True, slots=True)
class DrainStart:
    """The moment at which a replica's record announced that it leaves."""

    replica: str
    at: float


@dataclass(frozen=True, slots=True)
class Quota:
    """A team's quota for one window.

    :param max_requests: ``(rate * window + burst) * (1 + over) + slack``.
    """

    team: str
    max_requests: float
    window_s: float


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """The retry budget of a service: arrivals beyond the first of each request in a window.

    :param ratio: retries allowed for each first arrival.
    :param slack: retries allowed in addition.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(frozen=True, slots=True)
class TimeLimit:
    """The lowest time limit of a route in a version of the configuration.

    :param at: when the version was written.
    """

    at: float
    limit_s: float


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision of a node on a request, as its log has it.

    :param event: the kind of the decision.
    :param fields: the fields of the line.
    """

    node: str
    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class OverLimit:
    """A process that used more memory than its host has.

    :param used_mb: resident memory and bytes that arrived and were not read, in MB.
    """

    node: str
    at: float
    used_mb: float


@dataclass(frozen=True, slots=True)
class NodeExit:
    """A process that ended although it was neither stopped nor killed.

    :param code: its exit code; negative for the number of a signal.
    """

    node: str
    at: float
    code: int


@dataclass(frozen=True, slots=True)
class NodeStop:
    """A planned stop of a process.

    :param at: when it was told to stop.
    :param took_s: time until it ended or was killed, in seconds.
    :param code: its exit code; negative for the number of a signal.
    :param was_prepared: whether it handled the signal when it was told.
    """

    node: str
    at: float
    took_s: float
    code: int
    was_prepared: bool = True


@dataclass(frozen=True, slots=True)
class RefusedSender:
    """A caller that sent on for seconds while its request was refused.

    :param status: status of its answer; 0 for none.
    """

    request: str
    node: str
    began: float
    ended: float
    status: int


@dataclass
class Observations:
    """All records of a run.

    :ivar versions: for each process, the configuration versions that it logged, in order.
    :ivar recovered_s: how long after the last fault all nodes served again; None where they did
        not.
    :ivar rejections: requests that replicas rejected without running them.
    :ivar limit_periods: the limits that replicas announced.
    :ivar replica_exits: when replicas exited by themselves; each returns under its id as a new
        start.
    :ivar crashing_bodies: the number of request bodies that make replicas exit.
    :ivar crashing_parts: the parts of prompts that make replicas exit.
    :ivar focus_periods: when callers opened most new connections to one node.
    :ivar restore_times: when the store had been restored from a snapshot and its writers had
        written the lost records again.
    :ivar streams: the events of a complete stream, by the version that writes it.
    :ivar left_requests: requests whose callers left.
    :ivar uploads: ids of the requests whose bodies ended late.
    :ivar upload_periods: when callers of a node sent large bodies; no excuse for the node.
    :ivar over_limit: the first time that each process used more memory than its host has.
    :ivar exits: processes that ended by themselves.
    :ivar stops: the planned stops.
    :ivar refused_senders: callers that sent on while they were refused.
    :ivar peak_mb: for each node, the most memory that counted toward its limit, in MB.
    :ivar time_limits: the lowest time limit of the routes in each version of the configuration that
        changed it.
    :ivar route_moves: when routes moved to other services.
    :ivar halts: when the stand-ins themselves were not run by their machine, as begin and end.
    :ivar decisions: the nodes' decisions on each request, in order.
    :ivar node_faults: the lines in which nodes report faults of their own.
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
    streams: dict[str, tuple[bytes, ...]] = field(default_factory=dict)
    crashing_bodies: int = 0
    crashing_parts: list[str] = field(default_factory=list)
    focus_periods: list[FocusPeriod] = field(default_factory=list)
    left_requests: list[LeftRequest] = field(default_factory=list)
    uploads: set[str] = field(default_factory=set)
    upload_periods: list[FaultPeriod] = field(default_factory=list)
    over_limit: list[OverLimit] = field(default_factory=list)
    exits: list[NodeExit] = field(default_factory=list)
    stops: list[NodeStop] = field(default_factory=list)
    refused_senders: list[RefusedSender] = field(default_factory=list)
    peak_mb: dict[str, float] = field(default_factory=dict)
    time_limits: list[TimeLimit] = field(default_factory=list)
    route_moves: list[float] = field(default_factory=list)
    decisions: dict[str, list[Decision]] = field(default_factory=dict)
    node_faults: list[Decision] = field(default_factory=list)
    halts: list[tuple[float, float]] = field(default_factory=list)
