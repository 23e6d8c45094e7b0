"""
chalkyoke.quarantine.runs

Runs of this node that broke without an answer, by the start of the replica. They are kept until it
is known whether the replica has ended: at first a reset by a live replica, a lost answer, a cut
link and the end of the replica look the same.
"""

import msgspec

from chalkyoke.quarantine.messages import SuspectPart, SuspectRun

# Time for which a broken run is kept until the end of its replica is reported, in seconds. A
# replica's record is removed within three heartbeats of some 1.2 s; the rest is for delays of the
# store and of other nodes.
BROKEN_RUN_RETENTION_S = 6.0
# The same time for a run that its caller or this node abandoned, in seconds: the run may end the
# replica shortly afterwards.
LEFT_RUN_RETENTION_S = 1.0
# Duration of output, in seconds, from which a run counts with LONG_RUN_WEIGHT: the replica survived
# the beginning of the run. Chats of many seconds are running at most replica ends, and would be
# suspected for that alone.
LONG_OUTPUT_S = 0.25
# Weight of an end as evidence against such a run; other runs have the weight 1.
LONG_RUN_WEIGHT = 0.5


class _Run(msgspec.Struct, frozen=True):
    request: bytes
    weight: float
    at: float
    until: float
    parts: tuple[bytes, ...]


class UnansweredRuns:
    """Keep runs that broke without an answer until the fate of their replica is known."""

    def __init__(self) -> None:
        self._runs: dict[str, list[_Run]] = {}

    def add(
        self,
        start: str,
        request: bytes,
        now: float,
        *,
        output_s: float,
        broken: bool,
        parts: tuple[bytes, ...] = (),
    ) -> None:
        """Add a run that broke now.

        :param start: start of the replica.
        :param output_s: duration of the output so far, in seconds.
        :param broken: whether the replica broke off the run, rather than this side.
        :param parts: digests of the shared parts of the prompt.
        """
        weight = LONG_RUN_WEIGHT if output_s >= LONG_OUTPUT_S else 1.0
        until = now + (BROKEN_RUN_RETENTION_S if broken else LEFT_RUN_RETENTION_S)
        self._runs.setdefault(start, []).append(_Run(request, weight, now, until, parts))

    def discard(self, start: str) -> None:
        """Drop the broken runs at a replica that has answered since."""
        self._runs.pop(start, None)

    def pop(self, start: str, now: float) -> tuple[SuspectRun, ...]:
        """Remove the runs at a replica that has ended, and return those not expired."""
        found = self._runs.pop(start, [])
        return tuple(
            SuspectRun(
                each.request, each.weight, now - each.at, parts=tuple(map(SuspectPart, each.parts))
            )
            for each in found
            if each.until >= now
        )

    def starts(self, now: float) -> list[str]:
        """Drop expired runs and list the starts of replicas that have runs left."""
        for start, runs in list(self._runs.items()):
            if all(each.until < now for each in runs):
                del self._runs[start]
        return list(self._runs)
