"""
chalkyoke.membership.rosters

What the monitors of a large failure domain hear: who is alive there without being heard here.
"""

from collections.abc import Iterable, Mapping

import msgspec
import xxhash

from chalkyoke.membership.messages import Digest, MemberRecord, RosterChange


def checksum(records: Iterable[MemberRecord]) -> int:
    """Name a state of a failure domain, the same for all that see the same.

    Versions of the catalog are left out: they change in all members each time, and others hear of
    them by other ways.
    """
    standings = sorted((each.process, each.edition, each.address) for each in records)
    return xxhash.xxh64_intdigest(msgspec.msgpack.encode(standings)) >> 1


class Roster(msgspec.Struct):
    """What one monitor hears.

    :param records: by process.
    :param heard: when the monitor last said so, in seconds.
    """

    confirmed_s: float
    version: int = 0
    records: dict[str, MemberRecord] = msgspec.field(default_factory=dict)


class Rosters:
    """What all monitors of this failure domain hear, by their process ids."""

    def __init__(self) -> None:
        self._rosters: dict[str, Roster] = {}

    def confirm(self, digest: Digest, now: float) -> bool:
        """Note that a monitor still hears what a digest names.

        :return: whether that is what is known here; else the monitor is to be asked.
        """
        known = self._rosters.get(digest.reporter)
        if known is None or known.version != digest.version:
            return False
        known.confirmed_s = now
        return True

    def replace(self, monitor: str, records: Iterable[MemberRecord], now: float) -> None:
        """Take all that a monitor hears."""
        held = {each.process: each for each in records}
        self._rosters[monitor] = Roster(now, checksum(held.values()), held)

    def apply_change(self, message: RosterChange, now: float) -> bool:
        """Take what has changed for a monitor; a change that came twice does no harm.

        :return: whether what is known here now is what the monitor names.
        """
        monitor = message.digest.reporter
        roster = self._rosters.setdefault(monitor, Roster(now))
        for process in message.left:
            roster.records.pop(process, None)
        roster.records.update({each.process: each for each in message.joined})
        roster.version = checksum(roster.records.values())
        return self.confirm(message.digest, now)

    def vouched_members(
        self, now: float, patience_s: float, own_patience_s: float
    ) -> Mapping[str, MemberRecord]:
        """List who is heard by some monitor, by process, and forget monitors of long ago.

        :param patience_s: how long a monitor's word on others holds, in seconds.
        :param own_patience_s: how long its word on itself and other monitors holds, in seconds.
        """
        if not self._rosters:
            return {}
        for monitor, roster in list(self._rosters.items()):
            if now - roster.confirmed_s > patience_s:
                del self._rosters[monitor]
        found: dict[str, MemberRecord] = {}
        for roster in self._rosters.values():
            is_silent = now - roster.confirmed_s > own_patience_s
            for process, record in roster.records.items():
                if is_silent and process in self._rosters:
                    # Lost monitors would vouch for each other.
                    continue
                other = found.get(process)
                if other is None or record.edition > other.edition:
                    found[process] = record
        return found


class OwnRoster:
    """What this process hears as a monitor, and what it has told of it."""

    def __init__(self) -> None:
        self._members: dict[str, MemberRecord] = {}
        self._sent: dict[str, MemberRecord] = {}
        self.version = checksum(())

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """Who is heard, as last updated."""
        return tuple(self._members.values())

    def update(self, records: Iterable[MemberRecord]) -> None:
        """Take who is heard now."""
        held = {each.process: each for each in records}
        if not _same_members(held, self._members):
            self.version = checksum(held.values())
        self._members = held

    def next_change(self, digest: Digest) -> RosterChange | None:
        """Give what has changed since this was last called, if anything has."""
        if _same_members(self._members, self._sent):
            return None
        joined = tuple(
            each
            for process, each in self._members.items()
            if (told := self._sent.get(process)) is None or told.edition != each.edition
        )
        left = tuple(process for process in self._sent if process not in self._members)
        self._sent = self._members
        return RosterChange(digest, joined, left)


def _same_members(one: Mapping[str, MemberRecord], other: Mapping[str, MemberRecord]) -> bool:
    return one.keys() == other.keys() and all(
        each.edition == other[process].edition for process, each in one.items()
    )
