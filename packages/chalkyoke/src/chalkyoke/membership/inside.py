"""
chalkyoke.membership.inside

The members of this process's failure domain. In a small domain all members send heartbeats to each
other. In a large one each member sends them to a few monitors, which broadcast their rosters of
live members, so that the cost per host does not grow with the domain.
"""

from collections.abc import Iterable, Mapping

from chalkyoke.membership.messages import Digest, MemberRecord, RosterChange, Summary
from chalkyoke.membership.outside import reporter_duty
from chalkyoke.membership.owners import ranked_hosts
from chalkyoke.membership.rosters import OwnRoster, Rosters
from chalkyoke.membership.spacing import (
    MAX_FULL_MESH_MEMBERS,
    roster_timeout_s,
    spacing_s,
    suspect_timeout_s,
)
from chalkyoke.membership.state import NO_HEARTBEAT_S, Candidate, Change, Joined, Left, Member

# Number of members that receive the heartbeats of all others in a large domain: three, so that one
# remains when one is lost and another is frozen. The best ranked of them report the domain to other
# domains.
MONITORS = 3
# A process that knows few members of its domain contacts the likely monitors and, per heartbeat,
# this many other hosts in rotation. If each contacted all, 44 hosts that start together would open
# 1,900 links.
CONTACTS_PER_BEAT = 1
# Number of heartbeat intervals after which dead hosts that are no longer candidates are removed.
FORGET_INTERVALS = 2400


def announced_state(record: MemberRecord) -> tuple[object, ...]:
    """Return the fields of a record whose changes are announced at once.

    Catalog versions are not among them, because they change far more often.
    """
    return (
        record.incarnation,
        record.address,
        record.leaving,
        record.ready,
        record.store_lost,
        record.edition,
    )


class OwnDomain:
    """Track the members of this process's failure domain.

    :param record: the record of this process.
    :param interval_s: time between heartbeats, in seconds.
    :ivar generation: grows with each change of the live members or their announced state.
    """

    def __init__(self, record: MemberRecord, interval_s: float) -> None:
        self.record = record
        self.generation = 0
        self._interval_s = interval_s
        self._members: dict[str, Member] = {}
        self._candidates: dict[str, Candidate] = {}
        self._rosters = Rosters()
        self._own_roster = OwnRoster()
        self._requested_at: dict[str, float] = {}
        self._probe_count = 0
        self._ranking: tuple[int, list[MemberRecord]] = (-1, [])

    # Queries of the view.

    def live(self) -> list[MemberRecord]:
        """List the members that are believed alive, this process first."""
        alive = [member.record for member in self._members.values() if member.alive]
        return [self.record, *alive]

    def other_addresses(self) -> list[str]:
        """List the link addresses of the other members that are believed alive."""
        return [each.record.address for each in self._members.values() if each.alive]

    @property
    def spacing_s(self) -> float:
        """Time between two heartbeats for the present size of the domain, in seconds."""
        return spacing_s(self._size(), self._interval_s)

    @property
    def is_large(self) -> bool:
        """Whether the domain is so large that heartbeats go to monitors only."""
        return self._size() > MAX_FULL_MESH_MEMBERS

    @property
    def is_monitor(self) -> bool:
        """Whether this process is a monitor; False in a small domain."""
        return self.is_large and self.record.host in self._monitors()

    def monitor_ranking(self) -> list[MemberRecord]:
        """Rank the members for monitoring and reporting their domain, best first."""
        if self._ranking[0] != self.generation:
            own = self.live()
            # If all members are in a planned stop, some of them still report that.
            staying = [each for each in own if not each.leaving] or own
            order = ranked_hosts(reporter_duty(self.record.failure_domain), staying)
            self._ranking = (self.generation, order)
        return self._ranking[1]

    def knows_senior_member(self, beat: int) -> bool:
        """Return whether a live member was started before this process.

        :param beat: heartbeat number of this process.
        """
        return any(
            each.alive and (each.beat > beat or each.last_beat_s == NO_HEARTBEAT_S)
            for each in self._members.values()
        )

    def may_be_incomplete(self) -> bool:
        """Return whether the domain may be large and most of its members not known yet."""
        return not self.is_large and len(self._known_hosts()) > MAX_FULL_MESH_MEMBERS

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the candidate hosts of this failure domain."""
        self._candidates = {each.host: each for each in candidates}

    def add_candidates(self, records: Iterable[MemberRecord]) -> None:
        """Add unknown members from another process's summary to the candidates."""
        for record in records:
            if record.host != self.record.host and record.host not in self._members:
                listed = Candidate(
                    record.host, record.address, record.failure_domain, record.capacity
                )
                self._candidates.setdefault(record.host, listed)

    def heartbeat_targets(self, beat: int) -> list[str]:
        """List the addresses to which to send a heartbeat.

        :param beat: number of this heartbeat.
        """
        known = self._known_hosts()
        if self.is_monitor:
            return [*self.other_addresses(), *self._next_silent_address(known)]
        if self.is_large:
            return [each.address for each in self.monitor_ranking()[:MONITORS]]
        if len(known) > MAX_FULL_MESH_MEMBERS:
            return self._bootstrap_contacts(known, beat)
        return [known[host].address for host in sorted(known)]

    # Heartbeats.

    def apply_record(self, record: MemberRecord, beat: int, now: float) -> list[Change]:
        """Apply a full heartbeat of a member; messages of retired incarnations are ignored."""
        if record.host == self.record.host:
            return []
        member = self._members.get(record.host)
        if member is None:
            self.generation += 1
            self._members[record.host] = Member(record, beat, now)
            return [Joined(record)]
        if record.incarnation in member.retired:
            return []
        if announced_state(record) != announced_state(member.record) or not member.alive:
            self.generation += 1
        if record.incarnation != member.record.incarnation:
            changes: list[Change] = [Left(member.record)] if member.alive else []
            member.retired.add(member.record.incarnation)
            member.record, member.beat, member.last_beat_s, member.alive = record, beat, now, True
            return [*changes, Joined(record)]
        if beat <= member.beat:
            return []

        member.record, member.beat, member.last_beat_s = record, beat, now
        if member.alive:
            return []
        member.alive = True
        return [Joined(record)]

    def apply_short_heartbeat(
        self, host: str, incarnation: int, beat: int, now: float
    ) -> list[Change]:
        """Apply a short heartbeat; unknown processes are ignored until their full heartbeat."""
        member = self._members.get(host)
        if member is None or member.record.incarnation != incarnation:
            return []
        return self.apply_record(member.record, beat, now)

    def tick(self, now: float) -> list[Change]:
        """Update which members are alive.

        A member is alive while its heartbeats arrive here or at a monitor that is itself alive.
        """
        changes: list[Change] = []
        spacing = self.spacing_s
        timeout = suspect_timeout_s(spacing, self._interval_s)
        listed = self._rosters.listed_members(
            now, roster_timeout_s(spacing, self._interval_s), timeout
        )
        for record in listed.values():
            changes += self._adopt_record(record, now - timeout, listed)
        for member in self._members.values():
            is_alive = now - member.last_beat_s <= timeout or member.record.process in listed
            if is_alive != member.alive:
                member.alive = is_alive
                changes.append(Joined(member.record) if is_alive else Left(member.record))
        self._forget_dead(now)
        self.generation += len(changes)
        return changes

    # Monitors.

    def digest(self) -> Digest:
        """Return the digest of this process's own roster."""
        return Digest(self.record.failure_domain, self.record.process, self._own_roster.version)

    def next_roster_change(self, now: float) -> RosterChange | None:
        """Return the delta for a monitor to broadcast now, or None if nothing has changed."""
        if not self.is_large:
            # Rosters sent before expire by themselves while all members resume direct heartbeats.
            self._own_roster = OwnRoster()
            return None
        directly_live: list[MemberRecord] = []
        if self.is_monitor:
            timeout = suspect_timeout_s(self.spacing_s, self._interval_s)
            directly_live = [self.record]
            directly_live += [
                each.record for each in self._members.values() if now - each.last_beat_s <= timeout
            ]
        self._own_roster.update(directly_live)
        return self._own_roster.next_change(self.digest())

    def summary(self) -> Summary | None:
        """Return a snapshot of this process's roster, or None if the roster is empty."""
        return (
            Summary(self.digest(), self._own_roster.records) if self._own_roster.records else None
        )

    def apply_digest(self, digest: Digest, now: float) -> bool:
        """Apply the digest of a monitor's roster.

        :return: whether to request the roster from the monitor.
        """
        if self._rosters.confirm(digest, now):
            return False
        return self._is_request_due(digest.reporter, now)

    def apply_roster_change(self, message: RosterChange, now: float) -> tuple[list[Change], bool]:
        """Apply a delta of a monitor's roster.

        :return: changes of the view, and whether to request the full roster from the monitor.
        """
        fits = self._rosters.apply_change(message, now)
        needs_summary = not fits and self._is_request_due(message.digest.reporter, now)
        return self.tick(now), needs_summary

    def apply_summary(self, message: Summary, now: float) -> list[Change]:
        """Apply a snapshot of this failure domain: another process's roster or its view."""
        self.add_candidates(message.records)
        if len(message.records) <= MAX_FULL_MESH_MEMBERS:
            return []
        self._rosters.replace(message.digest.reporter, message.records, now)
        return self.tick(now)

    # Private.

    def _size(self) -> int:
        return 1 + sum(1 for each in self._members.values() if each.alive)

    def _monitors(self) -> list[str]:
        return [each.host for each in self.monitor_ranking()[:MONITORS]]

    def _known_hosts(self) -> dict[str, Candidate | MemberRecord]:
        known: dict[str, Candidate | MemberRecord] = dict(self._candidates)
        known.update({host: each.record for host, each in self._members.items()})
        return known

    def _bootstrap_contacts(
        self, known: dict[str, Candidate | MemberRecord], beat: int
    ) -> list[str]:
        """List the likely monitors and other hosts in rotation, while few members are known."""
        order = ranked_hosts(reporter_duty(self.record.failure_domain), known.values())
        others = order[MONITORS:]
        turns = [others[(beat + each) % len(others)] for each in range(CONTACTS_PER_BEAT)]
        first = [each.address for each in (*order[:MONITORS], *turns)]
        return list(dict.fromkeys([*self.other_addresses(), *first]))

    def _next_silent_address(self, known: dict[str, Candidate | MemberRecord]) -> list[str]:
        """Return one silent host's address in rotation; a returning host may know no member."""
        alive = {each.host for each in self.live()}
        silent = sorted(host for host in known if host not in alive)
        if not silent:
            return []
        self._probe_count += 1
        return [known[silent[self._probe_count % len(silent)]].address]

    def _adopt_record(
        self, record: MemberRecord, heartbeat_since_s: float, listed: Mapping[str, MemberRecord]
    ) -> list[Change]:
        """Apply the record of a member from a monitor's roster.

        :param heartbeat_since_s: the known record stays if its last heartbeat is not older than
            this time.
        :param listed: member records on any monitor's roster, by process id.
        """
        if record.host == self.record.host:
            return []
        member = self._members.get(record.host)
        if member is None:
            # The caller then determines whether the member is alive.
            self._members[record.host] = Member(record, 0, NO_HEARTBEAT_S, alive=False)
            return []
        if record.incarnation == member.record.incarnation:
            if record.edition > member.record.edition:
                member.record = record
                self.generation += 1
            return []
        is_known_better = member.last_beat_s >= heartbeat_since_s or member.record.process in listed
        if record.incarnation in member.retired or is_known_better:
            return []
        changes: list[Change] = [Left(member.record)] if member.alive else []
        member.record, member.beat, member.alive = record, 0, False
        return changes

    def _is_request_due(self, monitor: str, now: float) -> bool:
        """Return whether no request was sent to a monitor within a heartbeat interval."""
        recent = {
            name: at for name, at in self._requested_at.items() if now - at < self._interval_s
        }
        is_new = monitor not in recent
        self._requested_at = {**recent, monitor: now} if is_new else recent
        return is_new

    def _forget_dead(self, now: float) -> None:
        """Remove hosts that are long dead and no longer candidates, to bound the view."""
        limit = FORGET_INTERVALS * self._interval_s
        for host, member in list(self._members.items()):
            if (
                not member.alive
                and host not in self._candidates
                and now - member.last_beat_s > limit
            ):
                del self._members[host]
