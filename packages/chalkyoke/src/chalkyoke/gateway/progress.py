"""
chalkyoke.gateway.progress

The attempts of one request to get an answer from a replica.
"""

import msgspec

from chalkyoke.gateway.verdict import SendCounts


class Progress(msgspec.Struct):
    """The attempts of one request so far.

    :ivar tried: replicas that were tried, one entry for each attempt to send.
    :ivar attempt: number of the latest grant that was asked for.
    :ivar declined: whether a replica has declined the request.
    :ivar unused_grants: number of grants that could not be used.
    :ivar searches: number of searches since a silent replica was given up.
    """

    sends: SendCounts = msgspec.field(default_factory=SendCounts)
    tried: list[str] = msgspec.field(default_factory=list)
    attempt: int = 0
    declined: bool = False
    unused_grants: int = 0
    searches: int = 0
