"""
chalkyoke.membership.view

The membership of the fleet as one process sees it: heartbeats inside its failure domain, and
digests from a few reporters for the other domains, so that traffic does not grow with the square of
the fleet.
"""

from collections.abc import Callable, Iterable

import msgspec

from chalkyoke.membership.inside import OwnDomain, announced_state
from chalkyoke.membership.messages import (
    Digest,
    Heartbeat,
    MemberRecord,
    MembershipMessage,
    RosterChange,
    ShortHeartbeat,
    Summary,
    SummaryRequest,
)
from chalkyoke.membership.outside import REPORTERS, OtherDomains
from chalkyoke.membership.owners import ranked_hosts
from chalkyoke.membership.rosters import checksum
from chalkyoke.membership.spacing import MAX_FULL_MESH_MEMBERS, foreign_timeout_s, report_interval_s
from chalkyoke.membership.state import Candidate, Change, Joined

DEFAULT_INTERVAL_S = 0.25
# Number of heartbeat intervals after a change of the record in which heartbeats are full. Later,
# heartbeats whose number is a multiple of FULL_EVERY_BEATS are full, and the others are short.
FULL_BEATS_AFTER_CHANGE = 4
FULL_EVERY_BEATS = 5
# Number of heartbeats in which a new member does not report its domain, because other members know
# more of it.
NEWCOMER_BEATS = 2
# Number of these heartbeats if an older member is alive: the new member waits longer.
NEWCOMER_BEATS_WITH_SENIORS = 3
# Number of these heartbeats while the new member knows only a few of many candidates: it waits
# longest.
LARGE_NEWCOMER_BEATS = 8


class OutgoingMessage(msgspec.Struct, frozen=True):
    """A message to send to the link listener at an address."""

    address: str
    message: MembershipMessage


class MembershipView:
    """Track which processes of the fleet are alive.

    :param record: the record of this process.
    :param interval_s: time between heartbeats, in seconds.

    Usage::

      >>> view = MembershipView(record, interval_s=0.25)
      >>> sends = view.due_messages(now=0.0)
      >>> changes, sends = view.receive("127.0.0.2:7000", heartbeat, now=0.1)
    """

    def __init__(self, record: MemberRecord, interval_s: float = DEFAULT_INTERVAL_S) -> None:
        self.interval_s = interval_s
        self._own_domain = OwnDomain(record, interval_s)
        self._other_domains = OtherDomains(record.failure_domain, interval_s)
        self._generation = 0
        self._beat = 0
        self._next_heartbeat_s = 0.0
        self._next_report_s = 0.0
        self._candidates: list[Candidate] = []
        self._announced = msgspec.structs.replace(record, incarnation=-1)
        self._full_until_beat = 0
        self._summary: tuple[int, Summary] | None = None
        self._reported_version = 0
        self._announced_digests: tuple[Digest, ...] = ()
        self._ranks: tuple[int, dict[str, list[MemberRecord]]] = (-1, {})

    @property
    def record(self) -> MemberRecord:
        """The record of this process, as announced to others."""
        return self._own_domain.record

    @property
    def domain(self) -> str:
        """This process's failure domain."""
        return self.record.failure_domain

    @property
    def generation(self) -> int:
        """Grows with each change of the live processes or their announced state; keys caches."""
        return self._generation + self._own_domain.generation

    @property
    def spacing_s(self) -> float:
        """Time between two heartbeats inside this failure domain, by its size, in seconds."""
        return self._own_domain.spacing_s

    @property
    def foreign_timeout_s(self) -> float:
        """Time without a digest after which another failure domain counts as lost, in seconds."""
        return foreign_timeout_s(self.spacing_s, self.interval_s)

    @property
    def is_monitor(self) -> bool:
        """Whether this process receives the heartbeats of its whole failure domain."""
        return self._own_domain.is_monitor

    # Queries.

    def live(self) -> list[MemberRecord]:
        """List the processes that are believed alive, this one included.

        :rtype: list[MemberRecord]
        """
        return self._own_domain.live() + self._other_domains.records()

    def find(self, host: str) -> MemberRecord | None:
        """Return the live process of a host id, or None.

        :rtype: MemberRecord or None
        """
        return next((record for record in self.live() if record.host == host), None)

    def ranked(self, duty: str) -> list[MemberRecord]:
        """Rank the processes eligible for a fleet-wide duty, its present owner first.

        :rtype: list[MemberRecord]
        """
        if self._ranks[0] != self.generation:
            self._ranks = (self.generation, {})
        known = self._ranks[1]
        if duty not in known:
            fit = {each.host: each for each in self.live() if each.ready and not each.leaving}
            known[duty] = ranked_hosts(duty, fit.values())
        return known[duty]

    def pool_owners(self, pool: str) -> list[MemberRecord]:
        """List the processes that may schedule a pool, its present owner first.

        The second is of another failure domain and the third of this process's own. When a domain
        is partitioned, one of the three is on this side of the partition and can be asked at once,
        long before the membership detects the partition.

        :rtype: list[MemberRecord]
        """
        found = self.ranked(f"pool/{pool}")
        elsewhere = [each for each in found if each.failure_domain != found[0].failure_domain]
        here = [each for each in found if each.failure_domain == self.domain]
        first = [*found[:1], *elsewhere[:1], *here[:1]]
        return list({each.host: each for each in [*first, *found]}.values())

    def pool_owner(self, pool: str) -> MemberRecord:
        """Return the process that schedules a pool; this process if no other is eligible.

        :rtype: MemberRecord
        """
        return next(iter(self.ranked(f"pool/{pool}")), self.record)

    def holds_duty(self, duty: str, holders: int = 1) -> bool:
        """Return whether this process holds a duty for its failure domain.

        :param holders: number of processes of a failure domain that hold the duty at once.
        :rtype: bool
        """
        return self.record.host in self.duty_holders(duty, holders)

    def duty_holders(
        self, duty: str, holders: int, able: Callable[[MemberRecord], bool] | None = None
    ) -> list[str]:
        """List the hosts of this failure domain that hold a duty for it.

        :param able: returns whether a process can perform the duty; processes that can't are
            listed only if too few can.
        """
        staying = [each for each in self._own_domain.live() if not each.leaving] or [self.record]
        order = ranked_hosts(f"{duty}/{self.domain}", staying)
        if able is not None:
            order.sort(key=lambda each: not able(each))
        return [each.host for each in order[:holders]]

    def domain_addresses(self) -> list[str]:
        """List the link addresses of the other members of this failure domain."""
        return self._own_domain.other_addresses()

    def broadcast_targets(self) -> tuple[list[str], list[str]]:
        """List the addresses for a broadcast to the whole fleet.

        In a large failure domain these are the first monitors, which have links to all members.

        :return: link addresses of nodes that don't relay, and of nodes that relay the message to
            their failure domain.
        """
        direct: list[str] = []
        relays: list[str] = []
        for ranking in [
            self._own_domain.monitor_ranking(),
            *self._other_domains.rankings().values(),
        ]:
            first = ranking[:REPORTERS]
            own_host = self.record.host
            if len(ranking) <= MAX_FULL_MESH_MEMBERS or own_host in {each.host for each in first}:
                direct += [each.address for each in ranking if each.host != own_host]
            else:
                relays += [each.address for each in first]
        return direct, relays

    def full_heartbeat(self) -> Heartbeat:
        """Build a heartbeat with the full record, for the first contact with an address.

        :rtype: Heartbeat
        """
        return Heartbeat(self.record, self._beat)

    # Events.

    def set_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates: the hosts that the platform's list or the settings name."""
        self._candidates = [each for each in candidates if each.host != self.record.host]
        self._own_domain.set_candidates(
            each for each in self._candidates if each.failure_domain == self.domain
        )

    def update_self(self, **changes: object) -> None:
        """Update fields of this process's record, for example ``leaving`` or ``revision``."""
        before = self.record
        after = msgspec.structs.replace(before, **changes)
        if announced_state(before) != announced_state(after):
            after = msgspec.structs.replace(after, edition=before.edition + 1)
            self._generation += 1
        self._own_domain.record = after

    def due_messages(self, now: float) -> list[OutgoingMessage]:
        """Return the heartbeats, roster deltas and reports that are due; call once per interval.

        A change of this process's announced state makes a heartbeat due at once.

        :param now: seconds on this process's monotonic clock.
        :rtype: list[OutgoingMessage]
        """
        self._beat += 1
        sends: list[OutgoingMessage] = []
        has_changed = announced_state(self.record) != announced_state(self._announced)
        if not self._own_domain.is_large:
            has_changed = has_changed or self.record != self._announced
        digests = self._current_digests(now)
        if now >= self._next_heartbeat_s or has_changed or self._has_new_foreign_digests(digests):
            self._next_heartbeat_s = now + self.spacing_s - self.interval_s / 2
            self._announced_digests = digests
            inside = self._heartbeat(digests)
            sends += [
                OutgoingMessage(address, inside)
                for address in self._own_domain.heartbeat_targets(self._beat)
            ]
        sends += self._roster_change_messages(now)
        if self._is_reporter():
            sends += self._report_messages(now)
        return sends

    def receive(
        self, sender: str, message: MembershipMessage, now: float
    ) -> tuple[list[Change], list[OutgoingMessage]]:
        """Apply a received message.

        :param sender: address of the sender's link listener.
        :return: changes of the view, and answers.
        """
        if isinstance(message, Heartbeat):
            return self._apply_heartbeat(sender, message, now)
        if isinstance(message, ShortHeartbeat):
            changes: list[Change] = []
            if message.failure_domain == self.domain:
                changes = self._own_domain.apply_short_heartbeat(
                    message.host, message.incarnation, message.beat, now
                )
            return changes, self._apply_digests(
                sender, message.failure_domain, message.digests, now
            )
        if isinstance(message, SummaryRequest):
            return [], self._answer_request(sender, message)
        if isinstance(message, RosterChange):
            changes, needs_summary = self._own_domain.apply_roster_change(message, now)
            return changes, [
                OutgoingMessage(sender, SummaryRequest(message.digest))
            ] if needs_summary else []
        return self._apply_summary(sender, message, now), []

    def tick(self, now: float) -> list[Change]:
        """Update which processes are alive, by the time of their last heartbeat or digest.

        :rtype: list[Change]
        """
        inside = self._own_domain.tick(now)
        outside = self._other_domains.tick(self.spacing_s, now)
        self._generation += len(outside)
        return inside + outside

    # Sending.

    def _heartbeat(self, digests: tuple[Digest, ...]) -> Heartbeat | ShortHeartbeat:
        """Build a heartbeat: full after a change and periodically, otherwise short."""
        record = self.record
        if record != self._announced:
            self._announced = record
            self._full_until_beat = self._beat + FULL_BEATS_AFTER_CHANGE
        if self._beat <= self._full_until_beat or self._beat % FULL_EVERY_BEATS == 0:
            return Heartbeat(record, self._beat, digests)
        return ShortHeartbeat(
            record.host, record.incarnation, record.failure_domain, self._beat, digests
        )

    def _current_digests(self, now: float) -> tuple[Digest, ...]:
        digests = self._other_domains.direct_digests(now)
        return (*digests, self._own_domain.digest()) if self._own_domain.is_monitor else digests

    def _has_new_foreign_digests(self, digests: tuple[Digest, ...]) -> bool:
        """Return whether a monitor has foreign digests that its members have not received yet.

        Forwarding them at once makes the members of a starting fleet (five domains of 39 hosts)
        know each other within 1.5 s instead of 3.5 s; until then each owner uses only its share of
        the quotas.
        """
        announced = {(each.failure_domain, each.version) for each in self._announced_digests}
        current = {(each.failure_domain, each.version) for each in digests}
        return self._own_domain.is_monitor and not current <= announced

    def _roster_change_messages(self, now: float) -> list[OutgoingMessage]:
        """Return the messages that broadcast a delta of this monitor's roster to its domain."""
        change = self._own_domain.next_roster_change(now)
        if change is None:
            return []
        return [OutgoingMessage(address, change) for address in self.domain_addresses()]

    def _report_messages(self, now: float) -> list[OutgoingMessage]:
        """Return the reports to other domains that are due; a changed digest is due at once."""
        digest = self._own_summary().digest
        if now < self._next_report_s and digest.version == self._reported_version:
            return []
        self._reported_version = digest.version
        spacing = report_interval_s(len(self._own_domain.live()), self.interval_s)
        self._next_report_s = now + spacing - self.interval_s / 2
        outside = self._heartbeat((digest,))
        targets = self._other_domains.report_targets(self._candidates, self._beat)
        return [OutgoingMessage(address, outside) for address in targets]

    def _is_newcomer(self) -> bool:
        """Return whether this process was started too recently to report its failure domain."""
        if self._own_domain.may_be_incomplete():
            return self._beat < LARGE_NEWCOMER_BEATS
        older = self._own_domain.knows_senior_member(self._beat)
        return self._beat < (NEWCOMER_BEATS_WITH_SENIORS if older else NEWCOMER_BEATS)

    def _is_reporter(self) -> bool:
        reporters = [each.host for each in self._own_domain.monitor_ranking()[:REPORTERS]]
        return self.record.host in reporters and not self._is_newcomer()

    def _own_summary(self) -> Summary:
        """Return a snapshot of the live members of this failure domain."""
        if self._summary is None or self._summary[0] != self.generation:
            records = tuple(sorted(self._own_domain.live(), key=lambda each: each.host))
            # Reporters with equal views compute equal versions, so a version is requested once.
            digest = Digest(self.domain, self.record.process, checksum(records))
            self._summary = (self.generation, Summary(digest, records))
        return self._summary[1]

    # Receiving.

    def _apply_heartbeat(
        self, sender: str, message: Heartbeat, now: float
    ) -> tuple[list[Change], list[OutgoingMessage]]:
        record = message.record
        changes: list[Change] = []
        sends: list[OutgoingMessage] = []
        if record.failure_domain == self.domain:
            changes = self._own_domain.apply_record(record, message.beat, now)
            if record.leaving:
                # Announce the stop at once, so that other members send it no more work.
                sends += self._roster_change_messages(now)
        sends += self._apply_digests(sender, record.failure_domain, message.digests, now)
        is_foreign = record.failure_domain != self.domain
        is_unknown = is_foreign and not self._other_domains.is_live_member(record)
        if is_unknown or any(isinstance(each, Joined) for each in changes):
            # A process that has just started may know no other member.
            own = self._own_summary() if is_unknown else self._own_domain.summary()
            snapshots = [own or self._own_summary(), *self._other_domains.summaries()]
            sends += [OutgoingMessage(sender, each) for each in snapshots]
        return changes, sends

    def _apply_digests(
        self, sender: str, domain: str, digests: tuple[Digest, ...], now: float
    ) -> list[OutgoingMessage]:
        sends: list[OutgoingMessage] = []
        for digest in digests:
            if digest.failure_domain != self.domain:
                needs_summary = self._other_domains.apply_digest(domain, digest, now)
            else:
                needs_summary = domain == self.domain and self._own_domain.apply_digest(digest, now)
            if needs_summary:
                sends.append(OutgoingMessage(sender, SummaryRequest(digest)))
        return sends

    def _answer_request(self, sender: str, message: SummaryRequest) -> list[OutgoingMessage]:
        wanted = message.digest
        if wanted.failure_domain == self.domain:
            roster = self._own_domain.summary()
            is_roster = roster is not None and roster.digest.version == wanted.version
            return [
                OutgoingMessage(sender, roster if roster and is_roster else self._own_summary())
            ]
        known = self._other_domains.find_domain(wanted.failure_domain)
        return (
            [] if known is None else [OutgoingMessage(sender, Summary(known.digest, known.records))]
        )

    def _apply_summary(self, sender: str, message: Summary, now: float) -> list[Change]:
        if message.digest.failure_domain == self.domain:
            return self._own_domain.apply_summary(message, now)
        self._generation += 1
        return self._other_domains.apply_summary(sender, message, now)
