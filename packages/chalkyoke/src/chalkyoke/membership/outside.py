"""
chalkyoke.membership.outside

State of the other failure domains, as received from their reporters.
"""

from collections.abc import Iterable, Mapping

from chalkyoke.membership.messages import Digest, MemberRecord, Summary
from chalkyoke.membership.owners import ranked_hosts
from chalkyoke.membership.spacing import foreign_timeout_s, report_interval_s
from chalkyoke.membership.state import Candidate, Change, ForeignDomain, Joined, Left

# Number of members of a failure domain that report it to the others: two, so that one may fail.
REPORTERS = 2


def reporter_duty(domain: str) -> str:
    """Return the name of the duty of reporting a failure domain and monitoring its members."""
    return f"reporter/{domain}"


class OtherDomains:
    """Track the failure domains to which this process does not belong.

    :param domain: this process's own failure domain.
    :param interval_s: time between heartbeats, in seconds.
    """

    def __init__(self, domain: str, interval_s: float) -> None:
        self._domain = domain
        self._interval_s = interval_s
        self._domains: dict[str, ForeignDomain] = {}
        self._requested_at: dict[str, tuple[int, float]] = {}

    def records(self) -> list[MemberRecord]:
        """List the live processes of the other failure domains."""
        return [record for each in self._domains.values() for record in each.records]

    def summaries(self) -> list[Summary]:
        """Build one summary per known failure domain, for a process that has just started."""
        return [Summary(each.digest, each.records) for each in self._domains.values()]

    def find_domain(self, domain: str) -> ForeignDomain | None:
        """Return a failure domain that is believed alive, or None."""
        return self._domains.get(domain)

    def rankings(self) -> dict[str, list[MemberRecord]]:
        """Rank the processes of each failure domain for reporting it, best first."""
        return {
            name: ranked_hosts(reporter_duty(name), each.records)
            for name, each in self._domains.items()
        }

    def is_live_member(self, record: MemberRecord) -> bool:
        """Return whether a process is a known live member of its failure domain."""
        known = self._domains.get(record.failure_domain)
        return known is not None and any(each.process == record.process for each in known.records)

    def direct_digests(self, now: float) -> tuple[Digest, ...]:
        """List the digests that were recently received directly from their failure domains.

        Other digests are not forwarded: versions have no order, so an outdated one would keep
        circulating along with the current one.
        """
        return tuple(
            each.digest
            for each in self._domains.values()
            if each.digest.version in self._current_versions(each, now)
        )

    def apply_digest(self, sender_domain: str, digest: Digest, now: float) -> bool:
        """Apply a digest, which keeps its failure domain alive in the view.

        :return: whether to request the member records of the digest from its sender.
        """
        known = self._domains.get(digest.failure_domain)
        if known is None:
            return self._is_request_due(digest, now)
        known.last_digest_s = now
        if sender_domain == digest.failure_domain:
            self._record_direct_version(known, digest, now)
        return known.digest.version != digest.version and self._is_request_due(digest, now)

    def apply_summary(self, sender: str, message: Summary, now: float) -> list[Change]:
        """Apply a snapshot of the members of a failure domain.

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
        """Remove failure domains whose digests have stopped.

        :param spacing: time between heartbeats inside this process's own domain, in seconds.
        """
        timeout = foreign_timeout_s(spacing, self._interval_s)
        changes: list[Change] = []
        for name, foreign in list(self._domains.items()):
            if now - foreign.last_digest_s > timeout:
                del self._domains[name]
                changes.extend(Left(record) for record in foreign.records)
        return changes

    def report_targets(self, candidates: Iterable[Candidate], beat: int) -> list[str]:
        """List the addresses to report to: the reporters of other domains and rotating candidates.

        Candidates in rotation find a domain that has returned, and replace a dead reporter.

        :param beat: number of this heartbeat.
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
        """Record a version received directly from its failure domain, and drop expired ones."""
        current = self._current_versions(known, now)
        known.direct_versions = {each: known.direct_versions[each] for each in current} | {
            digest.version: now
        }

    def _current_versions(self, known: ForeignDomain, now: float) -> set[int]:
        """Return the versions that were recently received directly from a failure domain."""
        validity_s = 2 * report_interval_s(len(known.records), self._interval_s)
        return {each for each, at in known.direct_versions.items() if now - at <= validity_s}

    def _is_request_due(self, digest: Digest, now: float) -> bool:
        """Return whether no request for this digest was sent within a heartbeat interval."""
        version, asked = self._requested_at.get(digest.failure_domain, (0, 0.0))
        if version == digest.version and now - asked < self._interval_s:
            return False
        self._requested_at[digest.failure_domain] = (digest.version, now)
        return True


def _is_from_reporter(sender: str, message: Summary) -> bool:
    """Return whether a summary comes from its original reporter, not from a forwarding process."""
    reporter = message.digest.reporter
    return any(each.process == reporter and each.address == sender for each in message.records)
