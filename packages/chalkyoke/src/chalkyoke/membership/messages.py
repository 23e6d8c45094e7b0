"""
chalkyoke.membership.messages

What hosts say to each other about who is alive.
"""

import msgspec


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """One process as it describes itself.

    :param incarnation: random number of the process; a restarted host has another one.
    :param address: ``ip:port`` of its link listener.
    :param leaving: whether it is in a planned stop.
    :param ready: whether it has a configuration and may own pools.
    :param revision: configuration revision in force there.
    :param hosts_version: version of the host list that it holds.
    :param store_lost: whether the store does not answer it, while it may answer others.
    :param edition: grows with each change of what others go by; of two records of a process the
        one with the higher edition is the newer.
    :param capacity: what the host can bear, in cores; see ``owners.capacity_class``.
    :param store_epoch: the store's epoch that ``hosts_version`` is of; 0 is not known.
    """

    host: str
    incarnation: int
    address: str
    administration: str
    failure_domain: str
    leaving: bool
    ready: bool
    revision: int
    hosts_version: int
    store_lost: bool = False
    edition: int = 0
    capacity: float = 1.0
    store_epoch: int = 0

    @property
    def process(self) -> str:
        """The id of the process: host and incarnation."""
        return f"{self.host}/{self.incarnation:x}"


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Names one state of a failure domain's membership, as one of its reporters sees it.

    :param version: checksum of the members' records, the same for all that see the same.
    """

    failure_domain: str
    reporter: str
    version: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """A sign of life with the whole record: after a change, and now and then.

    :param digests: they keep other failure domains alive in the receiver's view.
    """

    record: MemberRecord
    beat: int
    digests: tuple[Digest, ...] = ()


class ShortHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A sign of life of a process whose record has not changed."""

    host: str
    incarnation: int
    failure_domain: str
    beat: int
    digests: tuple[Digest, ...] = ()


class SummaryRequest(msgspec.Struct, frozen=True, array_like=True, tag="summary_request"):
    """Ask for the members behind a digest."""

    digest: Digest


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """The live members of one failure domain."""

    digest: Digest
    records: tuple[MemberRecord, ...]


class RosterChange(msgspec.Struct, frozen=True, array_like=True, tag="roster"):
    """What has changed of the members that a monitor of a large failure domain hears.

    :param digest: names what the monitor hears now, so that a lost message is noticed.
    :param joined: members that are new there or have changed.
    :param left: ids of the processes that it hears no more.
    """

    digest: Digest
    joined: tuple[MemberRecord, ...]
    left: tuple[str, ...]


MembershipMessage = Heartbeat | ShortHeartbeat | SummaryRequest | Summary | RosterChange
MEMBERSHIP_MESSAGES = (Heartbeat, ShortHeartbeat, SummaryRequest, Summary, RosterChange)
