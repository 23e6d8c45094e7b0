"""
chalkyoke.membership.inside

The members of one failure domain. A few send each other their signs of life. Of many, each sends
them to a few monitors, which tell all others whom they hear: what a host spends on it does not
grow with the domain.
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
from chalkyoke.membership.state import NEVER_HEARD_S, Candidate, Change, Joined, Left, Member

# Members that all others send their signs of life to: three, so that a lost one and a frozen one
# leave one. The first of them report the domain to the others.
MONITORS = 3
# A process that knows few of its domain asks the monitors that there may be, and so many others in
# turn: asked all at once, 44 hosts that start together open 1,900 links.
CONTACTS_PER_BEAT = 1
# Hosts that are dead and no longer listed are forgotten after so many intervals.
FORGET_INTERVALS = 2400


def announced_state(record: MemberRecord) -> tuple[object, ...]:
    """Give what others go by in a record; versions of the catalog change far more often."""
    return (
        record.incarnation,
        record.address,
        record.leaving,
        record.ready,
        record.store_lost,
        record.edition,
    )


class OwnDomain:
    """Follow the members of this process's failure domain.

    :param record: this process.
    :param interval_s: time between heartbeats, in seconds.
    :ivar generation: grows with each change of who is alive and how they stand.
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

    # What the view asks.

    def live(self) -> list[MemberRecord]:
        """List the members that are believed alive, this process first."""
        alive = [member.record for member in self._members.values() if member.alive]
        return [self.record, *alive]

    def other_addresses(self) -> list[str]:
        """List the link addresses of the other members that are believed alive."""
        return [each.record.address for each in self._members.values() if each.alive]

    @property
    def spacing_s(self) -> float:
        """The time between two heartbeats, by the domain's size, in seconds."""
        return spacing_s(self._size(), self._interval_s)

    @property
    def is_large(self) -> bool:
        """Whether signs of life go to monitors only."""
        return self._size() > MAX_FULL_MESH_MEMBERS

    @property
    def is_monitor(self) -> bool:
        """Whether this process is a monitor."""
        return self.is_large and self.record.host in self._monitors()

    def monitor_ranking(self) -> list[MemberRecord]:
        """Rank the members for hearing and reporting their domain, best first."""
        if self._ranking[0] != self.generation:
            own = self.live()
            # Where all of a failure domain stop on plan, others still have to hear of it.
            staying = [each for each in own if not each.leaving] or own
            order = ranked_hosts(reporter_duty(self.record.failure_domain), staying)
            self._ranking = (self.generation, order)
        return self._ranking[1]

    def knows_senior_member(self, beat: int) -> bool:
        """Tell whether a member is alive that was there before this process.

        :param beat: of this process.
        """
        return any(
            each.alive and (each.beat > beat or each.last_beat_s == NEVER_HEARD_S)
            for each in self._members.values()
        )

    def may_be_incomplete(self) -> bool:
        """Tell whether this process may belong to a large domain that it doesn't know yet."""
        return not self.is_large and len(self._known_hosts()) > MAX_FULL_MESH_MEMBERS

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Take the hosts of this failure domain that are listed."""
        self._candidates = {each.host: each for each in candidates}

    def add_candidates(self, records: Iterable[MemberRecord]) -> None:
        """Take members that another one has told of for candidates."""
        for record in records:
            if record.host != self.record.host and record.host not in self._members:
                listed = Candidate(
                    record.host, record.address, record.failure_domain, record.capacity
                )
                self._candidates.setdefault(record.host, listed)

    def heartbeat_targets(self, beat: int) -> list[str]:
        """List the addresses to send a sign of life to.

        :param beat: number of this beat.
        """
        known = self._known_hosts()
        if self.is_monitor:
            return [*self.other_addresses(), *self._next_silent_address(known)]
        if self.is_large:
            return [each.address for each in self.monitor_ranking()[:MONITORS]]
        if len(known) > MAX_FULL_MESH_MEMBERS:
            return self._bootstrap_contacts(known, beat)
        return [known[host].address for host in sorted(known)]

    # Signs of life.

    def apply_record(self, record: MemberRecord, beat: int, now: float) -> list[Change]:
        """Take a member's own sign of life."""
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
        """Take the beat of a process whose record is known; a new one sends it whole soon."""
        member = self._members.get(host)
        if member is None or member.record.incarnation != incarnation:
            return []
        return self.apply_record(member.record, beat, now)

    def tick(self, now: float) -> list[Change]:
        """Find who has fallen silent.

        A member is alive while it is heard here, or by a monitor that is.
        """
        changes: list[Change] = []
        spacing = self.spacing_s
        patience = suspect_timeout_s(spacing, self._interval_s)
        listed = self._rosters.vouched_members(
            now, roster_timeout_s(spacing, self._interval_s), patience
        )
        for record in listed.values():
            changes += self._adopt_record(record, now - patience, listed)
        for member in self._members.values():
            spoken_for = now - member.last_beat_s <= patience or member.record.process in listed
            if spoken_for != member.alive:
                member.alive = spoken_for
                changes.append(Joined(member.record) if spoken_for else Left(member.record))
        self._forget_dead(now)
        self.generation += len(changes)
        return changes

    # Monitors.

    def digest(self) -> Digest:
        """Name what this process hears as a monitor."""
        return Digest(self.record.failure_domain, self.record.process, self._own_roster.version)

    def next_roster_change(self, now: float) -> RosterChange | None:
        """Give what a monitor has to tell the others now, if anything has changed."""
        if not self.is_large:
            # What was told runs out by itself, while all begin to hear each other.
            self._own_roster = OwnRoster()
            return None
        heard: list[MemberRecord] = []
        if self.is_monitor:
            patience = suspect_timeout_s(self.spacing_s, self._interval_s)
            heard = [self.record]
            heard += [
                each.record for each in self._members.values() if now - each.last_beat_s <= patience
            ]
        self._own_roster.update(heard)
        return self._own_roster.next_change(self.digest())

    def summary(self) -> Summary | None:
        """Tell all that this process hears, where it is a monitor."""
        return (
            Summary(self.digest(), self._own_roster.records) if self._own_roster.records else None
        )

    def apply_digest(self, digest: Digest, now: float) -> bool:
        """Take a monitor's word that it still hears the same.

        :return: whether the monitor is to be asked whom it hears.
        """
        if self._rosters.confirm(digest, now):
            return False
        return self._is_request_due(digest.reporter, now)

    def apply_roster_change(self, message: RosterChange, now: float) -> tuple[list[Change], bool]:
        """Take what has changed for a monitor.

        :return: changes of the view, and whether the monitor is to be asked for all.
        """
        fits = self._rosters.apply_change(message, now)
        ask = not fits and self._is_request_due(message.digest.reporter, now)
        return self.tick(now), ask

    def apply_summary(self, message: Summary, now: float) -> list[Change]:
        """Take all that another process hears, or believes, of this failure domain."""
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
        """List the likely monitors, and others in turn, for a process that knows few members."""
        order = ranked_hosts(reporter_duty(self.record.failure_domain), known.values())
        others = order[MONITORS:]
        turns = [others[(beat + each) % len(others)] for each in range(CONTACTS_PER_BEAT)]
        first = [each.address for each in (*order[:MONITORS], *turns)]
        return list(dict.fromkeys([*self.other_addresses(), *first]))

    def _next_silent_address(self, known: dict[str, Candidate | MemberRecord]) -> list[str]:
        """Give one host that is silent: one that came back may know nobody."""
        alive = {each.host for each in self.live()}
        silent = sorted(host for host in known if host not in alive)
        if not silent:
            return []
        self._probe_count += 1
        return [known[silent[self._probe_count % len(silent)]].address]

    def _adopt_record(
        self, record: MemberRecord, heard_before: float, listed: Mapping[str, MemberRecord]
    ) -> list[Change]:
        """Take the record of a member that a monitor hears.

        :param heard_before: who was heard here since then is known better here.
        :param listed: all that monitors hear, by process.
        """
        if record.host == self.record.host:
            return []
        member = self._members.get(record.host)
        if member is None:
            # Whether it is alive is found next.
            self._members[record.host] = Member(record, 0, NEVER_HEARD_S, alive=False)
            return []
        if record.incarnation == member.record.incarnation:
            if record.edition > member.record.edition:
                member.record = record
                self.generation += 1
            return []
        is_known_better = member.last_beat_s >= heard_before or member.record.process in listed
        if record.incarnation in member.retired or is_known_better:
            return []
        changes: list[Change] = [Left(member.record)] if member.alive else []
        member.record, member.beat, member.alive = record, 0, False
        return changes

    def _is_request_due(self, monitor: str, now: float) -> bool:
        """Tell whether a monitor was not asked within a heartbeat."""
        recent = {
            name: at for name, at in self._requested_at.items() if now - at < self._interval_s
        }
        is_new = monitor not in recent
        self._requested_at = {**recent, monitor: now} if is_new else recent
        return is_new

    def _forget_dead(self, now: float) -> None:
        """Drop hosts that are long dead and no longer listed, so that the view stays bounded."""
        limit = FORGET_INTERVALS * self._interval_s
        for host, member in list(self._members.items()):
            if (
                not member.alive
                and host not in self._candidates
                and now - member.last_beat_s > limit
            ):
                del self._members[host]
