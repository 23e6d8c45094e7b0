"""
chalkyoke_fakes.soak.causes

Tell from the logs of the nodes why requests ended.
"""

from collections import Counter
from collections.abc import Iterable
from typing import Any

from chalkyoke_fakes.soak.observations import CallerAttempt, Observations

# The decisions that are collected, and those that tell the end of a request.
ENDS = frozenset({"cut_off", "ended", "expired", "refused", "given_up", "held_back", "left"})
COLLECTED = ENDS | {"sent", "kept"}
# The lines in which a node reports that one of its loops failed, or that it ends by itself.
NODE_FAULTS = frozenset({"loop_failed", "fatal", "start_failed"})


def is_node_fault(entry: dict[str, Any]) -> bool:
    """Return whether a line reports a fault of a node of this build.

    Older builds name no place in the code; their faults are not judged in a rolling upgrade.
    """
    event = entry.get("event")
    return event in NODE_FAULTS and ("where" in entry or event == "start_failed")


def describe_cause(request: str, observations: Observations) -> str:
    """Describe the end of a request by the last line that its nodes logged about it."""
    found = "no line"
    for each in observations.decisions.get(request, ()):
        if each.event in ENDS:
            fields = each.fields
            what = [fields.get("reason"), fields.get("end"), fields.get("follows")]
            found = " ".join([each.event, *(str(part) for part in what if part)])
    return found


def count_causes(attempts: Iterable[CallerAttempt], observations: Observations) -> Counter[str]:
    """Count requests by kind, by the status that their callers got, and by their end."""
    return Counter(
        f"{each.kind} {each.status}: {describe_cause(each.request, observations)}"
        for each in attempts
    )
