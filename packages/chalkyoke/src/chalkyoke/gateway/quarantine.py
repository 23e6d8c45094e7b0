"""
chalkyoke.gateway.quarantine

The port to the quarantine of requests that end the replicas that run them.
"""

from collections.abc import Callable
from typing import Protocol

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.reception import Admission

# Returns the digest of a request. Call it only when needed, since it reads the whole body.
Identity = Callable[[], bytes]


class QuarantinePort(Protocol):
    """Finds and holds back the requests that end replicas."""

    def is_held(self, request: Identity) -> bool:
        """Return whether a request is held back."""

    def record_delivered(self, replica: Replica, request: Identity) -> None:
        """Record that a replica has served a request in full."""

    def record_answer(self, replica: Replica) -> None:
        """Record that a replica has sent any answer."""

    def record_broken(
        self, admission: Admission, replica: Replica, request: bytes, output_s: float
    ) -> None:
        """Record that a replica broke off a run.

        :param output_s: time from its first to its last output, in seconds.
        """

    def record_abandoned(self, replica: Replica, request: bytes, output_s: float) -> None:
        """Record that the caller or this node has abandoned a run.

        :param output_s: time from the first to the last output of the replica, in seconds.
        """

    def record_unreachable(self, replica: Replica) -> None:
        """Record that no connection to a replica can be opened."""
