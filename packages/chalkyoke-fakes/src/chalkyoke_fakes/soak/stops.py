"""
chalkyoke_fakes.soak.stops

Check that each planned stop is heard: the process ends by itself, in time and without an error.
"""

import signal
from pathlib import Path

from chalkyoke_fakes.soak.observations import Observations, Violation

# Signals that a process blocks, ignores or catches, in its status.
SIGNAL_MASKS = ("SigBlk:", "SigIgn:", "SigCgt:")


def is_prepared_for(pid: int, number: signal.Signals) -> bool:
    """Return whether a signal does not end a process by its default action.

    That is so from the first lines of a node's code on; the interpreter takes some time before.
    """
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines()
    except OSError:
        return False
    masks = [int(line.split()[1], 16) for line in lines if line.startswith(SIGNAL_MASKS)]
    return any(mask & 1 << (number - 1) for mask in masks)


def stops_are_heard(observations: Observations) -> list[Violation]:
    """Check that each process that was told to stop ended with exit code 0.

    A process that has not ended after the stop's time limit was killed. One whose interpreter had
    not run its first lines yet ends by the default action.
    """
    return [
        Violation(
            "stops", f"{each.node} ended with {each.code} {each.took_s:.1f} s after {each.at:.1f} s"
        )
        for each in observations.stops
        if each.code and (each.was_prepared or each.code != -signal.SIGTERM)
    ]
