"""
chalkyoke.membership.rosters

Rosters of a large failure domain: the members from which each monitor receives heartbeats. They
show which members are alive although they send no heartbeats to this process.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from chalkyoke.membership.messages import Digest, MemberRecord, RosterChange


def checksum(records: Iterable[MemberRecord]) -> int:
    """Compute the version of a set of member records; equal sets give equal versions.

    Catalog versions are left out: they change in all members at once and are announced by other
    messages.
    """
    standings = sorted((each.process, each.edition, each.address) for each in records)
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(standings)) >> 1


class Roster(msgspec.Struct):
    """The members from which one monitor receives heartbeats.

    :param confirmed_s: when the monitor last confirmed the roster, in seconds.
    :param records: member records by process id.
    """

    confirmed_s: float
    version: int = 0
    records: dict[str, MemberRecord] = msgspec.field(default_factory=dict)


class Rosters:
    """The rosters of all monitors of this failure domain, by the monitors' process ids."""

    def __init__(self) -> None:
        self._rosters: dict[str, Roster] = {}

    def confirm(self, digest: Digest, now: float) -> bool:
        """Record that a monitor's roster still has the version of a digest.

        :return: whether the known roster has that version; if not, the caller requests a summary.
        """
        known = self._rosters.get(digest.reporter)
        if known is None or known.version != digest.version:
            return False
        known.confirmed_s = now
        return True

    def replace(self, monitor: str, records: Iterable[MemberRecord], now: float) -> None:
        """Replace the roster of a monitor by a full snapshot."""
        held = {each.process: each for each in records}
        self._rosters[monitor] = Roster(now, checksum(held.values()), held)

    def apply_change(self, message: RosterChange, now: float) -> bool:
        """Apply a delta to the roster of a monitor; applying a delta twice is harmless.

        :return: whether the resulting roster has the version that the monitor announced.
        """
        monitor = message.digest.reporter
        roster = self._rosters.setdefault(monitor, Roster(now))
        for process in message.left:
            roster.records.pop(process, None)
        roster.records.update({each.process: each for each in message.joined})
        roster.version = checksum(roster.records.values())
        return self.confirm(message.digest, now)

    def listed_members(
        self, now: float, timeout_s: float, own_timeout_s: float
    ) -> Mapping[str, MemberRecord]:
        """List the members on any monitor's roster by process id, and drop expired rosters.

        :param timeout_s: how long a roster is valid for members that are no monitors, in seconds.
        :param own_timeout_s: how long a roster is valid for the monitor itself and for other
            monitors, in seconds.
        """
        if not self._rosters:
            return {}
        for monitor, roster in list(self._rosters.items()):
            if now - roster.confirmed_s > timeout_s:
                del self._rosters[monitor]
        found: dict[str, MemberRecord] = {}
        for roster in self._rosters.values():
            is_silent = now - roster.confirmed_s > own_timeout_s
            for process, record in roster.records.items():
                if is_silent and process in self._rosters:
                    # Lost monitors would otherwise keep each other alive.
                    continue
                other = found.get(process)
                if other is None or record.edition > other.edition:
                    found[process] = record
        return found


class OwnRoster:
    """The roster of this process as a monitor, and the last state sent to other members."""

    def __init__(self) -> None:
        self._members: dict[str, MemberRecord] = {}
        self._sent: dict[str, MemberRecord] = {}
        self.version = checksum(())

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """The member records of the roster, as last updated."""
        return tuple(self._members.values())

    def update(self, records: Iterable[MemberRecord]) -> None:
        """Replace the members of the roster; its version changes only if an edition does."""
        held = {each.process: each for each in records}
        if not _same_members(held, self._members):
            self.version = checksum(held.values())
        self._members = held

    def next_change(self, digest: Digest) -> RosterChange | None:
        """Return the delta since the previous call, or None if nothing has changed."""
        if _same_members(self._members, self._sent):
            return None
        joined = tuple(
            each
            for process, each in self._members.items()
            if (sent := self._sent.get(process)) is None or sent.edition != each.edition
        )
        left = tuple(process for process in self._sent if process not in self._members)
        self._sent = self._members
        return RosterChange(digest, joined, left)


def _same_members(one: Mapping[str, MemberRecord], other: Mapping[str, MemberRecord]) -> bool:
    return one.keys() == other.keys() and all(
        each.edition == other[process].edition for process, each in one.items()
    )
