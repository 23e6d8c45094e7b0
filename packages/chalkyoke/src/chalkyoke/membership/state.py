"""
chalkyoke.membership.state

The state that one process keeps about the others. Views may differ between processes at any time,
so nothing that needs agreement for safety relies on them.
"""

import msgspec

from chalkyoke.membership.messages import Digest, MemberRecord

# Time of the last heartbeat, in seconds, of a member that has never sent one to this process.
NO_HEARTBEAT_S = float("-inf")


class Candidate(msgspec.Struct, frozen=True):
    """A host that the platform's list or the settings name; it may be down.

    :param capacity: processor capacity of the host, in cores.
    """

    host: str
    address: str
    failure_domain: str
    capacity: float = 1.0


class Member(msgspec.Struct):
    """One process of this failure domain.

    :param last_beat_s: when its heartbeat number last advanced, in seconds on this process's clock;
        ``NO_HEARTBEAT_S`` if only other processes receive its heartbeats.
    :param retired: earlier incarnations of the host; their messages are ignored.
    """

    record: MemberRecord
    beat: int
    last_beat_s: float
    alive: bool = True
    retired: set[int] = msgspec.field(default_factory=set)


class ForeignDomain(msgspec.Struct):
    """Another failure domain, by the latest summary from one of its reporters.

    :param last_digest_s: when its last digest arrived, in seconds on this process's clock.
    :param direct_versions: recent versions received directly from the domain, with the time of the
        last receipt of each in seconds.
    """

    digest: Digest
    records: tuple[MemberRecord, ...]
    last_digest_s: float
    direct_versions: dict[int, float] = msgspec.field(default_factory=dict)


class Joined(msgspec.Struct, frozen=True):
    """A process was added to the view."""

    record: MemberRecord


class Left(msgspec.Struct, frozen=True):
    """A process was removed from the view."""

    record: MemberRecord


Change = Joined | Left
