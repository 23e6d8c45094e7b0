"""
chalkyoke.gateway.trials

What an exchange asks and tells of versions that operators have ordered.
"""

from typing import Protocol

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.reception import Admission


class RolloutPort(Protocol):
    """Orders to move a service to replicas of another version."""

    def claim_trial(self, admission: Admission, *, again: bool) -> bool:
        """Tell whether a request is to go to the version under trial; it is counted then."""

    def return_trial(self, admission: Admission) -> None:
        """Take back that a request goes to the version under trial."""

    def may_send(self, replica: Replica) -> bool:
        """Tell whether a replica that was granted may still be sent to."""

    def record_sent(self, replica: Replica) -> None:
        """Count a request that goes to a replica."""

    def record_finished(self, replica: Replica) -> None:
        """Count a request that the replica no longer works on."""

    def record_outcome(
        self,
        admission: Admission,
        replica: Replica,
        *,
        failed: bool,
        output_tokens: int,
        took_s: float,
    ) -> None:
        """Count how a request ended.

        :param took_s: from the send to the end, in seconds; 0 where it tells nothing.
        """
