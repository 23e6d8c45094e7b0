"""
chalkyoke.gateway.origins

The origins of resumable streams, for the exchanges that begin or resume them.
"""

from typing import Protocol

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.reception import Admission
from chalkyoke.resumption.finder import FoundOrigin, OriginSource
from chalkyoke.resumption.messages import Origin, Sought
from chalkyoke.resumption.origins import route_key, stream_key, targets_digest

# How long after its first event a caller may resume a stream, as a multiple of the longest time
# that one attempt may take: a caller may retry for longer than the route's timeout.
KEEP_TIMEOUTS = 2.0


class OriginPort(Protocol):
    """Records the origins of streams that begin, and finds those of streams that are resumed."""

    def record_began(self, stream: int, origin: Origin, keep_s: float) -> None:
        """Keep the origin of a stream.

        :param keep_s: how long the caller may resume the stream, in seconds.
        """

    async def find(self, stream: int, sought: Sought) -> FoundOrigin:
        """Find what began a stream.

        :param sought: where and when it may have begun if no node keeps its origin.
        """


def is_resumed_by_caller(admission: Admission) -> bool:
    """Return whether a request resumes a stream that an earlier attempt of its caller began."""
    fields = admission.fields
    return admission.route.resumable and bool(fields.resumes or fields.last_event_id)


async def find_origin(origins: OriginPort, admission: Admission) -> FoundOrigin:
    """Find what began the stream that a caller resumes.

    A caller that does not name the attempt which began it may resume any stream of its team, so no
    record tells: the service must have run a single version for long enough, and the route must
    have no other service.
    """
    route = admission.route
    weighted = [each for each in route.targets if each.weight > 0]
    if not admission.fields.resumes and len(weighted) > 1:
        return FoundOrigin(None, OriginSource.UNKNOWN)
    sought = Sought(
        admission.service.name,
        _keep_s(admission),
        route_key(route.host, route.prefix),
        targets_digest((each.service, each.weight) for each in route.targets),
    )
    return await origins.find(_key_of(admission), sought)


def record_origin(origins: OriginPort, admission: Admission, replica: Replica) -> None:
    """Record that a replica has written the first event of a resumable stream for this attempt."""
    if admission.route.resumable:
        origin = Origin(replica.service, replica.version)
        origins.record_began(_key_of(admission), origin, _keep_s(admission))


def _key_of(admission: Admission) -> int:
    team = admission.team.name if admission.team else ""
    return stream_key(team, admission.fields.resumes or admission.request_id)


def _keep_s(admission: Admission) -> float:
    longest = max(admission.route.timeout_s, admission.fields.deadline_s or 0.0)
    return KEEP_TIMEOUTS * longest
