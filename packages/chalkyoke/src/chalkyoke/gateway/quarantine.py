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
# Digests of the parts of a prompt that other requests may share.
SharedParts = tuple[bytes, ...]


class QuarantinePort(Protocol):
    """Finds and holds back the requests that end replicas."""

    def find_held(self, request: Identity, parts: SharedParts) -> bytes | None:
        """Return the digest of the request or of the part that is held back; None if none is."""

    def record_delivered(self, replica: Replica, request: Identity, parts: SharedParts) -> None:
        """Record that a replica has served a request in full."""

    def record_answer(self, replica: Replica) -> None:
        """Record that a replica has sent any answer."""

    def record_broken(
        self,
        admission: Admission,
        replica: Replica,
        request: bytes,
        output_s: float,
        parts: SharedParts,
    ) -> None:
        """Record that a replica broke off a run.

        :param output_s: time from its first to its last output, in seconds.
        """

    def record_abandoned(
        self, replica: Replica, request: bytes, output_s: float, parts: SharedParts
    ) -> None:
        """Record that the caller or this node has abandoned a run.

        :param output_s: time from the first to the last output of the replica, in seconds.
        """

    def record_unreachable(self, replica: Replica) -> None:
        """Record that no connection to a replica can be opened."""
