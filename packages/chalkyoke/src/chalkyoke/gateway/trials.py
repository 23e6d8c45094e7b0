"""
chalkyoke.gateway.trials

The port to the rollouts of versions that operators have ordered.
"""

from typing import Protocol

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.reception import Admission


class RolloutPort(Protocol):
    """Moves services to replicas of another version, as ordered."""

    def claim_trial(self, admission: Admission, *, again: bool) -> bool:
        """Return whether a request goes to the version under trial, and count it there if so.

        :param again: whether the request has been tried before.
        """

    def return_trial(self, admission: Admission) -> None:
        """Undo the count of a request that does not go to the version under trial after all."""

    def may_send(self, replica: Replica) -> bool:
        """Return whether a request may still be sent to the replica of its grant."""

    def record_sent(self, replica: Replica) -> None:
        """Count a request that is sent to a replica."""

    def record_finished(self, replica: Replica) -> None:
        """Count a request that the replica no longer processes."""

    def record_outcome(
        self,
        admission: Admission,
        replica: Replica,
        *,
        failed: bool,
        output_tokens: int,
        took_s: float,
    ) -> None:
        """Count the outcome of a request.

        :param took_s: time from the send to the end, in seconds; 0 if it has no meaning.
        """
