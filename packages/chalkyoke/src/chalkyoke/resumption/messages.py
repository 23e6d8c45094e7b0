"""
chalkyoke.resumption.messages

Messages between the nodes that relay streams and those that keep their origins. All times are
relative, so that clocks of two nodes are never compared.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer

# Highest age of a stream, in seconds, where a node of an older build names none.
MAX_AGE_S = 30.0


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream.

    :param service: service of the replica that wrote the first event.
    :param version: software version of that replica.
    """

    service: str
    version: str


class Sought(msgspec.Struct, frozen=True, array_like=True):
    """Where and when a stream of unknown origin may have begun.

    :param service: service that would go on with the stream.
    :param age_s: how long ago the stream began at most, in seconds.
    :param route: key of the route; empty where a node of an older build names none.
    :param targets: digest of the route's services, as the sender knows them.
    """

    service: str
    age_s: Finite = MAX_AGE_S
    route: str = ""
    targets: int = 0


class VersionHistory(msgspec.Struct, frozen=True, array_like=True):
    """The software versions of a service's replicas in the recent past, as one node knows them.

    :param versions: the versions that had a replica in that time; at least two if there were more
        than one.
    :param covers_s: how far back the node knows them, in seconds.
    :param has_moved: whether the stream's route may have had other services in that time.
    :param is_confirmed: whether the store has confirmed, after the request, that the node's records
        are up to date. False from nodes of older builds.
    """

    versions: tuple[str, ...] = ()
    covers_s: Finite = 0.0
    has_moved: bool = False
    is_confirmed: bool = False


class StreamBegan(msgspec.Struct, frozen=True, array_like=True, tag="stream_began"):
    """A stream has begun, or was resumed; the receiver keeps its origin.

    :param stream: key of the stream; see :func:`chalkyoke.resumption.origins.stream_key`.
    :param keep_s: how long the caller may resume the stream, in seconds.
    """

    stream: int
    origin: Origin
    keep_s: Finite


class OriginRequest(msgspec.Struct, frozen=True, array_like=True, tag="origin_request"):
    """A node requests the origin of a stream that its caller resumes.

    :param number: number of the request, repeated in the answer.
    :param service: service that would go on with the stream.
    :param sought: the same service, and more; None from nodes of older builds.
    :param confirm: whether to confirm the version history with the store before answering.
    """

    number: Integer
    stream: int
    service: str
    sought: Sought | None = None
    confirm: bool = False


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True, tag="origin_answer"):
    """The answer to a request.

    :param origin: the origin of the stream; None if the sender does not know it.
    :param history: the sender's version history of the service, if it does not know the origin.
    """

    number: Integer
    origin: Origin | None = None
    history: VersionHistory = VersionHistory()


OriginMessage = StreamBegan | OriginRequest | OriginAnswer
ORIGIN_MESSAGES = (StreamBegan, OriginRequest, OriginAnswer)
