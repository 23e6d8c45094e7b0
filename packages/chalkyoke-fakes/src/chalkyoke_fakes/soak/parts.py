"""
chalkyoke_fakes.soak.parts

Check that parts of prompts that end replicas are held back, and that a node which gets most new
connections serves as before.
"""

from collections.abc import Iterable

from chalkyoke_fakes.soak.observations import CallerAttempt, Kind, Observations, Violation
from chalkyoke_fakes.soak.plan import Fault

# The number of ends under a part after which hosts in touch must know of it, the time that they
# have for that in seconds, and the number of its runs that are allowed afterwards.
ENDS_TO_KNOW = 5
SPREAD_S = 3.0
MAX_LATER_RUNS = 3
# Sound prompts count from this many seconds after the last of these ends, and at least this share
# of those served before must begin; fewer attempts than this show nothing.
SOUND_AFTER_S = 6.0
MIN_SOUND_SHARE = 0.5
MIN_ATTEMPTS = 20
# A node that gets most new connections serves at least this share of what was served before, from
# this many seconds on.
MIN_FOCUSED_SHARE = 0.75
FOCUS_GRACE_S = 3.0
# The period before, in seconds, with which shares are compared.
COMPARED_S = 4.0
# A node may have outdated state for this long after a fault.
AFTERMATH_S = 4.0
DISTURBING = ("node_", "links_", "all_", "store_", "roll")


def crashing_parts_are_held_back(observations: Observations) -> list[Violation]:
    """Check that a part of prompts that ends replicas is held back once all nodes could know it.

    Each of its runs ends a replica here. Periods with a fault of a node, a link or the store are
    skipped.
    """
    violations: list[Violation] = []
    for part in observations.crashing_parts:
        runs = sorted(each.at for each in observations.runs if part in each.parts)
        if len(runs) <= ENDS_TO_KNOW or _is_disturbed(runs[0], runs[-1], observations):
            continue
        later = [at for at in runs if at > runs[ENDS_TO_KNOW - 1] + SPREAD_S]
        if len(later) > MAX_LATER_RUNS:
            what = f"{part} ran {len(runs)} times, {len(later)} late"
            violations.append(Violation("parts held back", what))
    return violations


def sound_prompts_are_served(observations: Observations) -> list[Violation]:
    """Check that sound prompts are served while a part that they don't have is held back."""
    violations: list[Violation] = []
    for part in observations.crashing_parts:
        asked = [each.began for each in observations.attempts if part in each.parts]
        ends = sorted(each.at for each in observations.runs if part in each.parts)
        if not ends:
            continue
        since = ends[:ENDS_TO_KNOW][-1] + SOUND_AFTER_S
        if _has_fault(asked[0] - COMPARED_S, asked[-1], observations, but=Fault.CRASHING_PART):
            continue
        sound = [each for each in observations.attempts if _is_sound_prompt(each, observations)]
        before = _sent_between(sound, asked[0] - COMPARED_S, asked[0])
        after = _sent_between(sound, since, asked[-1])
        share = _compare_served(before, after)
        if share is not None and share < MIN_SOUND_SHARE:
            what = f"{share:.2f} of sound prompts beside {part}"
            violations.append(Violation("sound prompts", what))
    return violations


def focused_nodes_serve(observations: Observations) -> list[Violation]:
    """Check that a node which gets most new connections serves as large a share as before."""
    violations: list[Violation] = []
    for focus in observations.focus_periods:
        if _has_fault(focus.began - COMPARED_S, focus.ended, observations):
            continue
        first = [each for each in observations.attempts if not each.resumes]
        before = _sent_between(first, focus.began - COMPARED_S, focus.began)
        after = _sent_between(first, focus.began + FOCUS_GRACE_S, focus.ended)
        share = _compare_served(before, after)
        if share is not None and share < MIN_FOCUSED_SHARE:
            what = f"{share:.2f} served while most connections went to {focus.node}"
            violations.append(Violation("focus", what))
    return violations


def _is_sound_prompt(attempt: CallerAttempt, observations: Observations) -> bool:
    if attempt.kind not in (Kind.STREAM, Kind.RESUMABLE) or attempt.resumes:
        return False
    return not set(attempt.parts) & set(observations.crashing_parts)


def _sent_between(
    attempts: Iterable[CallerAttempt], since: float, until: float
) -> list[CallerAttempt]:
    """List the attempts of a period; a request over its quota says nothing of the node."""
    return [each for each in attempts if since <= each.began < until and each.status != 429]


def _compare_served(before: list[CallerAttempt], after: list[CallerAttempt]) -> float | None:
    """Return the share served after as a share of that before; None if too few were sent."""
    if min(len(before), len(after)) < MIN_ATTEMPTS:
        return None
    served = [sum(each.status == 200 for each in part) / len(part) for part in (before, after)]
    return served[1] / served[0] if served[0] else None


def _is_disturbed(began: float, ended: float, observations: Observations) -> bool:
    return any(
        each.fault.startswith(DISTURBING) and each.overlaps(began - AFTERMATH_S, ended)
        for each in observations.faults
    )


def _has_fault(began: float, ended: float, observations: Observations, but: str = "") -> bool:
    faults = [*observations.faults, *observations.upload_periods]
    return any(each.overlaps(began, ended) for each in faults if each.fault != but)
