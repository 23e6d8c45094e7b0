"""
chalkyoke.membership.messages

Messages by which hosts exchange membership state.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """The state that one process announces about itself.

    :param incarnation: random number of the process; a restarted host has another one.
    :param address: ``ip:port`` of its link listener.
    :param leaving: whether the process is in a planned stop.
    :param ready: whether the process has a configuration and may own pools.
    :param revision: revision of the configuration that the process applies.
    :param hosts_version: version of the process's host list.
    :param store_lost: whether this process can't reach the store; other processes may still do.
    :param edition: grows with each change of the fields in ``inside.announced_state``; of two
        records of a process the one with the higher edition is the newer.
    :param capacity: processor capacity of the host, in cores; see ``owners.capacity_class``.
    :param store_epoch: epoch of the store to which ``hosts_version`` belongs; 0 if unknown.
    """

    host: str
    incarnation: int
    address: str
    administration: str
    failure_domain: str
    leaving: bool
    ready: bool
    revision: Integer
    hosts_version: Integer
    store_lost: bool = False
    edition: Integer = 0
    capacity: Finite = 1.0
    store_epoch: Integer = 0

    @property
    def process(self) -> str:
        """The id of the process: host and incarnation in hexadecimal."""
        return f"{self.host}/{self.incarnation:x}"


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one state of a failure domain's membership, as one of its reporters sees it.

    :param version: checksum of the members' records; processes with equal views compute the same.
    """

    failure_domain: str
    reporter: str
    version: int


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="heartbeat"):
    """A heartbeat with the full record, sent after a change and periodically.

    :param digests: digests of other failure domains, which keep these alive in the receiver's view.
    """

    record: MemberRecord
    beat: Integer
    digests: tuple[Digest, ...] = ()


class ShortHeartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A heartbeat without the record, for a process whose record has not changed."""

    host: str
    incarnation: int
    failure_domain: str
    beat: Integer
    digests: tuple[Digest, ...] = ()


class SummaryRequest(msgspec.Struct, frozen=True, array_like=True, tag="summary_request"):
    """Requests the member records that a digest identifies."""

    digest: Digest


class Summary(msgspec.Struct, frozen=True, array_like=True, tag="summary"):
    """A snapshot of the live members of one failure domain."""

    digest: Digest
    records: tuple[MemberRecord, ...]


class RosterChange(msgspec.Struct, frozen=True, array_like=True, tag="roster"):
    """A delta of the members from which a monitor of a large failure domain receives heartbeats.

    :param digest: identifies the monitor's roster after the delta, which reveals a lost message.
    :param joined: members that are new in the roster or have changed.
    :param left: ids of the processes that were removed from the roster.
    """

    digest: Digest
    joined: tuple[MemberRecord, ...]
    left: tuple[str, ...]


MembershipMessage = Heartbeat | ShortHeartbeat | SummaryRequest | Summary | RosterChange
MEMBERSHIP_MESSAGES = (Heartbeat, ShortHeartbeat, SummaryRequest, Summary, RosterChange)
