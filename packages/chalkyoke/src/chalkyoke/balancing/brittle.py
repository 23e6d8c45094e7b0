"""
chalkyoke.balancing.brittle

Replicas that fall over if they reject too many requests. They state the highest number of
rejections a second in their answers. Pure logic: time is an argument, in seconds.
"""

import msgspec

# Validity of a statement without a further answer, in seconds: replicas that fell over are back
# after some seconds, and their first answers would come too late.
STATEMENT_VALID_S = 10.0
# Longest pause after a rejection, in seconds, for replicas that survive hardly any.
MAX_PAUSE_S = 2.0


class _Statement(msgspec.Struct):
    max_rejections_per_s: float
    at: float


class BrittleReplicas:
    """Keep what replicas state about the rejections that they survive."""

    def __init__(self) -> None:
        self._statements: dict[str, dict[str, _Statement]] = {}

    def record_answer(
        self, service: str, replica: str, max_rejections_per_s: float | None, now: float
    ) -> None:
        """Record the statement in an answer.

        :param max_rejections_per_s: rejections a second above which the replica falls over; None if
            the answer does not state any.
        """
        if max_rejections_per_s is not None:
            statements = self._statements.setdefault(service, {})
            statements[replica] = _Statement(max_rejections_per_s, now)
        elif service in self._statements:
            self._statements[service].pop(replica, None)

    def is_brittle(self, service: str, now: float) -> bool:
        """Return whether a replica of a service may fall over."""
        statements = self._statements.get(service)
        if not statements:
            return False
        for replica, each in list(statements.items()):
            if now - each.at > STATEMENT_VALID_S:
                del statements[replica]
        return bool(statements)

    def pause_s(self, service: str, replica: str, nodes: int) -> float:
        """Return for how long one node sends nothing to a replica that has rejected a request.

        If all nodes pause for that long, the replica rejects no more than it survives.

        :param nodes: number of nodes that may exist in the fleet.
        :return: seconds; 0 for a replica that is not brittle.
        """
        statement = self._statements.get(service, {}).get(replica)
        if statement is None:
            return 0.0
        if statement.max_rejections_per_s <= 0:
            return MAX_PAUSE_S
        return min(MAX_PAUSE_S, nodes / statement.max_rejections_per_s)
