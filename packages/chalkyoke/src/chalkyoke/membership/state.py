"""
chalkyoke.membership.state

What one process believes about the others. Views may differ between processes at any time;
nothing that must be safe relies on them.
"""

import msgspec

from chalkyoke.membership.messages import Digest, MemberRecord

# When a member was last heard that was never heard, in seconds.
NEVER_HEARD_S = float("-inf")


class Candidate(msgspec.Struct, frozen=True):
    """A host that the platform's list or the settings name; it may be dead.

    :param capacity: what the host can bear, in cores.
    """

    host: str
    address: str
    failure_domain: str
    capacity: float = 1.0


class Member(msgspec.Struct):
    """One process of this failure domain.

    :param heard: when its beat last advanced, in seconds on this process's clock; long ago where
        only others have heard it.
    :param retired: earlier incarnations of the host, which never come back.
    """

    record: MemberRecord
    beat: int
    last_beat_s: float
    alive: bool = True
    retired: set[int] = msgspec.field(default_factory=set)


class ForeignDomain(msgspec.Struct):
    """Another failure domain, as the freshest of its reporters tells it.

    :param heard: when a digest of it last came in.
    :param direct: when each version last came straight from there, lately.
    """

    digest: Digest
    records: tuple[MemberRecord, ...]
    last_digest_s: float
    direct_versions: dict[int, float] = msgspec.field(default_factory=dict)


class Joined(msgspec.Struct, frozen=True):
    """A process came into the view."""

    record: MemberRecord


class Left(msgspec.Struct, frozen=True):
    """A process went out of the view."""

    record: MemberRecord


Change = Joined | Left
