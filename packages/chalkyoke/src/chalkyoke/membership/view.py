"""
chalkyoke.membership.view

The membership of the fleet as one process sees it: direct heartbeats inside its failure domain,
and digests from a few reporters for the others, so that traffic does not grow with the square of
the fleet.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
import xxhash

from chalkyoke.membership.messages import (
    Digest,
    Heartbeat,
    MemberRecord,
    MembershipMessage,
    ShortHeartbeat,
    Summary,
    SummaryRequest,
)
from chalkyoke.membership.owners import owner, ranked
from chalkyoke.membership.state import Candidate, Change, ForeignDomain, Joined, Left, Member

# Members of a failure domain that report it to the others: two, so that one may fall silent.
REPORTERS = 2
DEFAULT_INTERVAL_S = 0.25
# A member is lost after so many intervals without a beat, a failure domain after more of them: what
# is heard of it has come a longer way.
SUSPECT_INTERVALS = 6
FOREIGN_SUSPECT_INTERVALS = 10
# Up to so many members a failure domain beats at the full rate. Beyond that each one's beats get
# sparser, so that what each one hears grows no more: it would be most of what an idle node of a
# domain of 20 spends.
FULL_RATE_MEMBERS = 8
# Sparser by this at most, and a member is lost there after so many beats that were due.
MOST_SPARSE = 4.0
SPARSE_SUSPECT_BEATS = 3.5
# Hosts that are dead and no longer listed are forgotten after so many intervals.
FORGET_INTERVALS = 2400
# The whole record is sent in so many beats after a change, and then in each so many.
FULL_AFTER_CHANGE = 4
FULL_EVERY = 5
# A new member reports nothing in its first beats: others know more of the domain than it does.
FIRST_BEATS = 2
SETTLED_BEATS = 3


@dataclass(frozen=True, slots=True)
class Send:
    """A message for the link listener at an address."""

    address: str
    message: MembershipMessage


class MembershipView:
    """Follow which processes are alive.

    :param record: this process.
    :param interval_s: time between heartbeats, in seconds.
    :ivar generation: grows with each change of what the view shows, for caches over it.

    Usage::

      >>> view = MembershipView(record, interval_s=0.25)
      >>> sends = view.beat(now=0.0)
      >>> changes, sends = view.receive("127.0.0.2:7000", heartbeat, now=0.1)
    """

    def __init__(self, record: MemberRecord, interval_s: float = DEFAULT_INTERVAL_S) -> None:
        self.record = record
        self.interval_s = interval_s
        self.generation = 0
        self._beat = 0
        self._next_inside = 0.0
        self._version = 0
        self._members: dict[str, Member] = {}
        self._foreign: dict[str, ForeignDomain] = {}
        self._candidates: dict[str, Candidate] = {}
        self._told: MemberRecord | None = None
        self._whole_until = 0
        self._last_summary: tuple[MemberRecord, ...] = ()
        self._asked: dict[str, tuple[int, float]] = {}

    @property
    def domain(self) -> str:
        """This process's failure domain."""
        return self.record.failure_domain

    # What others ask of the view.

    def live(self) -> list[MemberRecord]:
        """List the processes that are believed alive, this one included.

        :rtype: list[MemberRecord]
        """
        records = self._own_domain()
        for foreign in self._foreign.values():
            records.extend(foreign.records)
        return records

    def find(self, host: str) -> MemberRecord | None:
        """Find a live process by host id.

        :rtype: MemberRecord or None
        """
        return next((record for record in self.live() if record.host == host), None)

    def pool_owners(self, pool: str) -> list[MemberRecord]:
        """List the processes that may schedule a pool, its present owner first.

        The second is of another failure domain and the third of this process's own: when a domain
        is cut off, one of the three is on this side of the cut, and is asked at once, long before
        the membership tells of the cut.

        :rtype: list[MemberRecord]
        """
        fit = {each.host: each for each in self.live() if each.ready and not each.leaving}
        found = [fit[host] for host in ranked(f"pool/{pool}", fit)]
        elsewhere = [each for each in found if each.failure_domain != found[0].failure_domain]
        here = [each for each in found if each.failure_domain == self.domain]
        first = [*found[:1], *elsewhere[:1], *here[:1]]
        return list({each.host: each for each in [*first, *found]}.values())

    def pool_owner(self, pool: str) -> MemberRecord:
        """Give the process that schedules a pool; this one where nobody else can.

        :rtype: MemberRecord
        """
        fit = {each.host: each for each in self.live() if each.ready and not each.leaving}
        chosen = owner(f"pool/{pool}", fit)
        return fit[chosen] if chosen is not None else self.record

    def holds_duty(self, duty: str, holders: int = 1) -> bool:
        """Tell whether this process holds a duty for its failure domain.

        :param holders: how many processes of a failure domain hold it at once.
        :rtype: bool
        """
        return self.record.host in self.duty_holders(duty, holders)

    def duty_holders(
        self, duty: str, holders: int, able: Callable[[MemberRecord], bool] | None = None
    ) -> list[str]:
        """List the hosts of this failure domain that hold a duty for it.

        :param able: tells who can do it; others hold it only where too few can.
        """
        staying = [each for each in self._own_domain() if not each.leaving] or [self.record]
        order = ranked(f"{duty}/{self.domain}", [each.host for each in staying])
        can = {each.host for each in staying if able is None or able(each)}
        return sorted(order, key=lambda host: host not in can)[:holders]

    def introduction(self) -> Heartbeat:
        """Make the message with which this process makes itself known at an address.

        :rtype: Heartbeat
        """
        return Heartbeat(self.record, self._beat)

    # Events.

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Take the hosts that the platform's list or the settings name."""
        self._candidates = {each.host: each for each in candidates if each.host != self.record.host}

    def update_self(self, **changes: object) -> None:
        """Change what this process says of itself, for example ``leaving`` or ``revision``."""
        self.record = msgspec.structs.replace(self.record, **changes)
        self.generation += 1

    @property
    def spacing_s(self) -> float:
        """The time between two heartbeats inside this failure domain, by its size, in seconds."""
        members = 1 + sum(1 for each in self._members.values() if each.alive)
        return self.interval_s * min(MOST_SPARSE, max(1.0, members / FULL_RATE_MEMBERS))

    def beat(self, now: float) -> list[Send]:
        """Send the signs of life that are due; call once per interval.

        A change of this process's own record is told at once.

        :param now: seconds on this process's monotonic clock.
        :rtype: list[Send]
        """
        self._beat += 1
        sends: list[Send] = []
        if now >= self._next_inside or self.record != self._told:
            self._next_inside = now + self.spacing_s - self.interval_s / 2
            inside = self._heartbeat(self._heard_outside(now))
            sends += [Send(address, inside) for address in self._inside_targets()]
        if self._is_reporter():
            outside = self._heartbeat((self._own_digest(),))
            sends += [Send(address, outside) for address in self._outside_targets()]
        return sends

    def _heartbeat(self, digests: tuple[Digest, ...]) -> Heartbeat | ShortHeartbeat:
        """Make a sign of life: whole after a change of the record and each few beats."""
        record = self.record
        if record != self._told:
            self._told = record
            self._whole_until = self._beat + FULL_AFTER_CHANGE
        if self._beat <= self._whole_until or self._beat % FULL_EVERY == 0:
            return Heartbeat(record, self._beat, digests)
        return ShortHeartbeat(
            record.host, record.incarnation, record.failure_domain, self._beat, digests
        )

    def receive(
        self, sender: str, message: MembershipMessage, now: float
    ) -> tuple[list[Change], list[Send]]:
        """Take a message in.

        :param sender: address of the sender's link listener.
        :return: changes of the view, and answers.
        """
        if isinstance(message, Heartbeat):
            changes = self._take_record(message.record, message.beat, now)
            domain = message.record.failure_domain
            sends = self._take_digests(sender, domain, message.digests, now)
            if any(isinstance(each, Joined) for each in changes) or self._is_stranger(message):
                # A newcomer may know nobody else.
                sends.append(Send(sender, Summary(self._own_digest(), self._last_summary)))
                sends += [
                    Send(sender, Summary(each.digest, each.records))
                    for each in self._foreign.values()
                ]
            return changes, sends
        if isinstance(message, ShortHeartbeat):
            changes = self._take_short(message, now)
            domain = message.failure_domain
            return changes, self._take_digests(sender, domain, message.digests, now)
        if isinstance(message, SummaryRequest):
            return [], self._answer(sender, message)
        return self._take_summary(message, now), []

    def tick(self, now: float) -> list[Change]:
        """Find who has fallen silent.

        :rtype: list[Change]
        """
        changes: list[Change] = []
        spacing = self.spacing_s
        patience = max(SUSPECT_INTERVALS * self.interval_s, SPARSE_SUSPECT_BEATS * spacing)
        far_patience = FOREIGN_SUSPECT_INTERVALS * self.interval_s + 2 * (spacing - self.interval_s)
        for member in self._members.values():
            silent = now - member.heard > patience
            if member.alive and silent:
                member.alive = False
                changes.append(Left(member.record))
        for name, foreign in list(self._foreign.items()):
            if now - foreign.heard > far_patience:
                del self._foreign[name]
                changes.extend(Left(record) for record in foreign.records)
        self._forget(now)
        self.generation += len(changes)
        return changes

    # Own failure domain.

    def _own_domain(self) -> list[MemberRecord]:
        alive = [member.record for member in self._members.values() if member.alive]
        return [self.record, *alive]

    def _take_record(self, record: MemberRecord, beat: int, now: float) -> list[Change]:
        if record.failure_domain != self.domain or record.host == self.record.host:
            return []

        member = self._members.get(record.host)
        if member is None:
            self.generation += 1
            self._members[record.host] = Member(record, beat, now)
            return [Joined(record)]
        if record.incarnation in member.retired:
            return []
        if record != member.record or not member.alive:
            self.generation += 1
        if record.incarnation != member.record.incarnation:
            changes: list[Change] = [Left(member.record)] if member.alive else []
            member.retired.add(member.record.incarnation)
            member.record, member.beat, member.heard, member.alive = record, beat, now, True
            return [*changes, Joined(record)]
        if beat <= member.beat:
            return []

        member.record, member.beat, member.heard = record, beat, now
        if member.alive:
            return []
        member.alive = True
        return [Joined(record)]

    def _take_short(self, message: ShortHeartbeat, now: float) -> list[Change]:
        """Take the beat of a process whose record is known; a new one sends it whole soon."""
        member = self._members.get(message.host)
        if member is None or member.record.incarnation != message.incarnation:
            return []
        return self._take_record(member.record, message.beat, now)

    def _inside_targets(self) -> list[str]:
        known = {
            each.host: each.address
            for each in self._candidates.values()
            if each.failure_domain == self.domain
        }
        known.update({host: each.record.address for host, each in self._members.items()})
        return [known[host] for host in sorted(known)]

    def _forget(self, now: float) -> None:
        """Drop hosts that are long dead and no longer listed, so that the view stays bounded."""
        limit = FORGET_INTERVALS * self.interval_s
        for host, member in list(self._members.items()):
            if not member.alive and host not in self._candidates and now - member.heard > limit:
                del self._members[host]

    # Other failure domains.

    def _is_stranger(self, message: Heartbeat) -> bool:
        """Tell whether a heartbeat comes from an unknown process of another failure domain."""
        record = message.record
        if record.failure_domain == self.domain:
            return False
        known = self._foreign.get(record.failure_domain)
        return known is None or all(each.process != record.process for each in known.records)

    def _is_newcomer(self) -> bool:
        """Tell whether others of this failure domain know more of it than this process yet."""
        older = any(each.alive and each.beat > self._beat for each in self._members.values())
        return self._beat < (SETTLED_BEATS if older else FIRST_BEATS)

    def _is_reporter(self) -> bool:
        if self._is_newcomer():
            return False
        own = self._own_domain()
        # Where all of a failure domain stop on plan, others still have to hear of it.
        staying = [each for each in own if not each.leaving] or own
        hosts = [each.host for each in staying]
        return self.record.host in ranked(f"reporter/{self.domain}", hosts)[:REPORTERS]

    def _own_digest(self) -> Digest:
        records = tuple(sorted(self._own_domain(), key=lambda each: each.host))
        if records != self._last_summary:
            self._last_summary = records
            # Reporters that see the same name it alike, so that nobody asks each of them for it.
            self._version = xxhash.xxh64_intdigest(msgspec.msgpack.encode(records)) >> 1
        return Digest(self.domain, self.record.process, self._version)

    def _outside_targets(self) -> list[str]:
        by_domain: dict[str, dict[str, str]] = {}
        for each in self._candidates.values():
            if each.failure_domain != self.domain:
                by_domain.setdefault(each.failure_domain, {})[each.host] = each.address
        targets: list[str] = []
        for name, foreign in self._foreign.items():
            live = {each.host: each.address for each in foreign.records}
            targets += [live[host] for host in ranked(f"reporter/{name}", live)[:REPORTERS]]
        for name, listed in by_domain.items():
            # One candidate a beat in turn: it finds a domain that came back, and a dead reporter.
            hosts = sorted(listed)
            targets.append(listed[hosts[self._beat % len(hosts)]])
            if name not in self._foreign:
                targets.append(listed[hosts[(self._beat + 1) % len(hosts)]])
        return list(dict.fromkeys(targets))

    def _introduce(self, records: tuple[MemberRecord, ...]) -> None:
        """Take members of this failure domain that another one has told of for candidates."""
        for record in records:
            if record.host != self.record.host and record.host not in self._members:
                self._candidates.setdefault(
                    record.host, Candidate(record.host, record.address, record.failure_domain)
                )

    def _heard_outside(self, now: float) -> tuple[Digest, ...]:
        fresh = 2 * self.interval_s
        return tuple(
            each.digest for each in self._foreign.values() if now - each.heard_outside <= fresh
        )

    def _take_digests(
        self, sender: str, domain: str, digests: tuple[Digest, ...], now: float
    ) -> list[Send]:
        sends: list[Send] = []
        for digest in digests:
            if digest.failure_domain == self.domain:
                continue
            known = self._foreign.get(digest.failure_domain)
            if known is None or known.digest.version != digest.version:
                if self._is_new_question(digest, now):
                    sends.append(Send(sender, SummaryRequest(digest)))
                if known is None:
                    continue
            known.heard = now
            if domain != self.domain:
                known.heard_outside = now
        return sends

    def _is_new_question(self, digest: Digest, now: float) -> bool:
        """Tell whether the members behind a digest were not asked for within a heartbeat."""
        version, asked = self._asked.get(digest.failure_domain, (0, 0.0))
        if version == digest.version and now - asked < self.interval_s:
            return False
        self._asked[digest.failure_domain] = (digest.version, now)
        return True

    def _answer(self, sender: str, message: SummaryRequest) -> list[Send]:
        if message.digest.failure_domain == self.domain:
            return [Send(sender, Summary(self._own_digest(), self._last_summary))]
        known = self._foreign.get(message.digest.failure_domain)
        return [] if known is None else [Send(sender, Summary(known.digest, known.records))]

    def _take_summary(self, message: Summary, now: float) -> list[Change]:
        name = message.digest.failure_domain
        if name == self.domain:
            self._introduce(message.records)
            return []
        known = self._foreign.get(name)
        before = {each.process: each for each in known.records} if known else {}
        after = {each.process: each for each in message.records}
        outside = known.heard_outside if known else now
        self._foreign[name] = ForeignDomain(message.digest, message.records, now, outside)
        self.generation += 1

        changes: list[Change] = [Left(before[key]) for key in before if key not in after]
        changes += [Joined(after[key]) for key in after if key not in before]
        return changes
