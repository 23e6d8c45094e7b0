"""
chalkyoke.quarantine.runs

Runs of this node that ended without an answer, by the start of the replica they were at, until it
is known whether that replica has ended. A reset of a living replica, a lost answer, a cut link and
a replica that ended look alike at that moment.
"""

import msgspec

from chalkyoke.quarantine.messages import SuspectRun

# How long a broken run waits for the news that its replica has ended, in seconds. A record goes
# within three heartbeats of some 1.2 s; the rest is for the store and for peers.
KEPT_S = 6.0
# The same for a run that its caller or this node had left: a replica may end of it shortly after.
LEFT_KEPT_S = 1.0
# An output of so many seconds shows that the replica had survived the beginning of the run, so that
# its end counts half: chats of many seconds lie under most ends, and would be suspected by that
# alone.
LONG_OUTPUT_S = 0.25
LONG_RUN_WEIGHT = 0.5


class _Run(msgspec.Struct, frozen=True):
    request: bytes
    weight: float
    at: float
    until: float


class UnansweredRuns:
    """Remember runs that ended without an answer."""

    def __init__(self) -> None:
        self._runs: dict[str, list[_Run]] = {}

    def add(self, start: str, request: bytes, now: float, *, output_s: float, broken: bool) -> None:
        """Remember a run.

        :param start: of the replica.
        :param output_s: how long the replica had been giving output, in seconds.
        :param broken: whether the replica broke it off, rather than this side.
        """
        weight = LONG_RUN_WEIGHT if output_s >= LONG_OUTPUT_S else 1.0
        until = now + (KEPT_S if broken else LEFT_KEPT_S)
        self._runs.setdefault(start, []).append(_Run(request, weight, now, until))

    def note_alive(self, start: str) -> None:
        """Forget what broke off before at a replica that has answered since."""
        self._runs.pop(start, None)

    def pop(self, start: str, now: float) -> tuple[SuspectRun, ...]:
        """Take out the runs under the end of a replica."""
        found = self._runs.pop(start, [])
        return tuple(
            SuspectRun(each.request, each.weight, now - each.at)
            for each in found
            if each.until >= now
        )

    def starts(self, now: float) -> list[str]:
        """List the starts of replicas at which runs still wait to be explained."""
        for start, runs in list(self._runs.items()):
            if all(each.until < now for each in runs):
                del self._runs[start]
        return list(self._runs)
