"""
chalkyoke.membership.outside

The other failure domains, as their reporters tell of them.
"""

from collections.abc import Iterable, Mapping

from chalkyoke.membership.messages import Digest, MemberRecord, Summary
from chalkyoke.membership.owners import ranked_hosts
from chalkyoke.membership.spacing import foreign_timeout_s, report_interval_s
from chalkyoke.membership.state import Candidate, Change, ForeignDomain, Joined, Left

# Members of a failure domain that report it to the others: two, so that one may fall silent.
REPORTERS = 2


def reporter_duty(domain: str) -> str:
    """Name the duty of reporting a failure domain, and of hearing its members."""
    return f"reporter/{domain}"


class OtherDomains:
    """Follow the failure domains that this process does not belong to.

    :param domain: this process's own.
    :param interval_s: time between heartbeats, in seconds.
    """

    def __init__(self, domain: str, interval_s: float) -> None:
        self._domain = domain
        self._interval_s = interval_s
        self._domains: dict[str, ForeignDomain] = {}
        self._requested_at: dict[str, tuple[int, float]] = {}

    def records(self) -> list[MemberRecord]:
        """List their live processes."""
        return [record for each in self._domains.values() for record in each.records]

    def summaries(self) -> list[Summary]:
        """Tell all that is known of them, for a newcomer."""
        return [Summary(each.digest, each.records) for each in self._domains.values()]

    def find_domain(self, domain: str) -> ForeignDomain | None:
        """Find a failure domain that is believed alive."""
        return self._domains.get(domain)

    def rankings(self) -> dict[str, list[MemberRecord]]:
        """Rank the processes of each failure domain for reporting it, best first."""
        return {
            name: ranked_hosts(reporter_duty(name), each.records)
            for name, each in self._domains.items()
        }

    def is_live_member(self, record: MemberRecord) -> bool:
        """Tell whether a process is among the live ones of its failure domain."""
        known = self._domains.get(record.failure_domain)
        return known is not None and any(each.process == record.process for each in known.records)

    def direct_digests(self, now: float) -> tuple[Digest, ...]:
        """List the digests that came straight from their failure domains lately.

        Others are not passed on: versions have no order, so that an outdated one would go round
        beside the current one.
        """
        return tuple(
            each.digest
            for each in self._domains.values()
            if each.digest.version in self._current_versions(each, now)
        )

    def apply_digest(self, sender_domain: str, digest: Digest, now: float) -> bool:
        """Take the sign of life of a failure domain.

        :return: whether its sender is to be asked for the members behind it.
        """
        known = self._domains.get(digest.failure_domain)
        if known is None:
            return self._is_request_due(digest, now)
        known.last_digest_s = now
        if sender_domain == digest.failure_domain:
            self._record_direct_version(known, digest, now)
        return known.digest.version != digest.version and self._is_request_due(digest, now)

    def apply_summary(self, sender: str, message: Summary, now: float) -> list[Change]:
        """Take the members of a failure domain.

        :param sender: address of the sender's link listener.
        """
        name = message.digest.failure_domain
        known = self._domains.get(name)
        if known is not None and _is_from_reporter(sender, message):
            self._record_direct_version(known, message.digest, now)
        before = {each.process: each for each in known.records} if known else {}
        after = {each.process: each for each in message.records}
        direct = known.direct_versions if known else {message.digest.version: now}
        self._domains[name] = ForeignDomain(message.digest, message.records, now, direct)

        changes: list[Change] = [Left(before[key]) for key in before if key not in after]
        changes += [Joined(after[key]) for key in after if key not in before]
        return changes

    def tick(self, spacing: float, now: float) -> list[Change]:
        """Find which failure domains have fallen silent.

        :param spacing: between heartbeats inside this process's own, in seconds.
        """
        patience = foreign_timeout_s(spacing, self._interval_s)
        changes: list[Change] = []
        for name, foreign in list(self._domains.items()):
            if now - foreign.last_digest_s > patience:
                del self._domains[name]
                changes.extend(Left(record) for record in foreign.records)
        return changes

    def report_targets(self, candidates: Iterable[Candidate], beat: int) -> list[str]:
        """List the addresses to report to: other reporters, and some candidate in turn.

        A candidate in turn finds a domain that came back, and a dead reporter.

        :param beat: number of this beat.
        """
        found: list[str] = []
        for order in self.rankings().values():
            found += [each.address for each in order[:REPORTERS]]
        for name, listed in self._candidates_by_domain(candidates).items():
            hosts = sorted(listed)
            found.append(listed[hosts[beat % len(hosts)]].address)
            if name not in self._domains:
                found.append(listed[hosts[(beat + 1) % len(hosts)]].address)
                likely = ranked_hosts(reporter_duty(name), listed.values())
                found += [each.address for each in likely[:REPORTERS]]
        return list(dict.fromkeys(found))

    def _candidates_by_domain(
        self, candidates: Iterable[Candidate]
    ) -> Mapping[str, dict[str, Candidate]]:
        found: dict[str, dict[str, Candidate]] = {}
        for each in candidates:
            if each.failure_domain != self._domain:
                found.setdefault(each.failure_domain, {})[each.host] = each
        return found

    def _record_direct_version(self, known: ForeignDomain, digest: Digest, now: float) -> None:
        """Note a version that came straight from its failure domain, and drop those of long ago."""
        current = self._current_versions(known, now)
        known.direct_versions = {each: known.direct_versions[each] for each in current} | {
            digest.version: now
        }

    def _current_versions(self, known: ForeignDomain, now: float) -> set[int]:
        """List the versions that came straight from a failure domain lately."""
        lasts_s = 2 * report_interval_s(len(known.records), self._interval_s)
        return {each for each, at in known.direct_versions.items() if now - at <= lasts_s}

    def _is_request_due(self, digest: Digest, now: float) -> bool:
        """Tell whether the members behind a digest were not asked for within a heartbeat."""
        version, asked = self._requested_at.get(digest.failure_domain, (0, 0.0))
        if version == digest.version and now - asked < self._interval_s:
            return False
        self._requested_at[digest.failure_domain] = (digest.version, now)
        return True


def _is_from_reporter(sender: str, message: Summary) -> bool:
    """Tell whether a summary comes from the process that made it, and not from one that has it."""
    reporter = message.digest.reporter
    return any(each.process == reporter and each.address == sender for each in message.records)
