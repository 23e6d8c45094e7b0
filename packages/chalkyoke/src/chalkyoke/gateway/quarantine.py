"""
chalkyoke.gateway.quarantine

What an exchange asks and tells of requests that end the replicas that run them.
"""

from collections.abc import Callable
from typing import Protocol

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.reception import Admission

# Names a request; called only where something is known or to be noted, since it reads the body.
Identity = Callable[[], bytes]


class QuarantinePort(Protocol):
    """Requests that run under the ends of replicas."""

    def is_held(self, request: Identity) -> bool:
        """Tell whether a request is held back."""

    def record_delivered(self, replica: Replica, request: Identity) -> None:
        """Note that a replica has served a request whole."""

    def record_answer(self, replica: Replica) -> None:
        """Note that a replica has answered, whatever it was."""

    def record_broken(
        self, admission: Admission, replica: Replica, request: bytes, output_s: float
    ) -> None:
        """Note that a replica broke a run off.

        :param output_s: for how long it had been giving output, in seconds.
        """

    def record_abandoned(self, replica: Replica, request: bytes, output_s: float) -> None:
        """Note that this side has left a run.

        :param output_s: for how long the replica had been giving output, in seconds.
        """

    def record_unreachable(self, replica: Replica) -> None:
        """Note that a replica can't be connected to."""
