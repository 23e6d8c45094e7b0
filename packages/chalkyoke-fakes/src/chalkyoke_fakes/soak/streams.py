"""
chalkyoke_fakes.soak.streams

Check from what callers got that streams keep the software version that began them, and that streams
which callers resume go on.
"""

from chalkyoke_fakes.soak.observations import CallerAttempt, Kind, Observations, Violation

# The operators' bound on streams that callers resume: from this number of them on, while this many
# replicas serve their version, their share that goes on must be at least this part of the share of
# new streams that begin. A node counts ``CONTACT_S`` after its last fault and the store's.
MIN_RESUMED = 12
MIN_SERVING = 2
MIN_RESUMED_RATIO = 0.5
CONTACT_S = 3.0


def is_in_order(attempt: CallerAttempt, observations: Observations) -> bool:
    """Return whether an answer has the events that its caller lacked, each whole and once.

    An incomplete answer may end early, also within an event. Which version wrote an event is not
    judged here.
    """
    rest = attempt.body
    for written in list(zip(*observations.streams.values(), strict=True))[attempt.after + 1 :]:
        event = next((each for each in written if rest.startswith(each)), None)
        if event is None:
            return not attempt.complete and any(each.startswith(rest) for each in written)
        rest = rest[len(event) :]
    return not rest


def streams_keep_their_version(observations: Observations) -> list[Violation]:
    """Check that no stream has events of two software versions, over all attempts of its caller."""
    versions: dict[str, set[str]] = {}
    for each in observations.attempts:
        if each.kind.streams and each.status == 200:
            found = versions.setdefault(each.resumes or each.request, set())
            found |= _versions_of(each, observations)
    return [
        Violation("one version", f"{stream} has events of {sorted(found)}")
        for stream, found in versions.items()
        if len(found) > 1
    ]


def _versions_of(attempt: CallerAttempt, observations: Observations) -> set[str]:
    """Return the versions that wrote an answer's events."""
    return {
        version
        for version, events in observations.streams.items()
        if any(event in attempt.body for event in events)
    }


def resumed_streams_go_on(observations: Observations) -> list[Violation]:
    """Check that the share of resumed streams that go on is at least half of those that begin.

    Counted are attempts at nodes in touch with the others and the store, while no routes move and
    at least :data:`MIN_SERVING` replicas of the stream's version serve, from :data:`MIN_RESUMED`
    on.
    """
    streams = [
        each
        for each in observations.attempts
        if each.kind is Kind.RESUMABLE and _is_in_touch(each, observations)
    ]
    began = {each.request: each.began for each in observations.attempts}
    resumed = [
        each
        for each in streams
        if each.resumes
        and each.serving >= MIN_SERVING
        and not _have_routes_moved(began.get(each.resumes, 0.0), each.ended, observations)
    ]
    new = [each for each in streams if not each.resumes]
    if len(resumed) < MIN_RESUMED or not new:
        return []
    went_on = sum(each.status == 200 for each in resumed) / len(resumed)
    begun = sum(each.status == 200 for each in new) / len(new)
    if went_on >= MIN_RESUMED_RATIO * begun:
        return []
    return [
        Violation("streams go on", f"{went_on:.2f} of {len(resumed)} resumed, {begun:.2f} of new")
    ]


def _have_routes_moved(began: float, ended: float, observations: Observations) -> bool:
    """Check whether routes moved to other services, which cannot take a stream up."""
    return any(began <= at <= ended for at in observations.route_moves)


def _is_in_touch(attempt: CallerAttempt, observations: Observations) -> bool:
    began = attempt.began - CONTACT_S
    return not any(
        each.target in (attempt.node, "store") and each.overlaps(began, attempt.ended)
        for each in observations.faults
    )
