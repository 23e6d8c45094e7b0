"""
chalkyoke.resumption.messages

Messages between the nodes that relay streams and those that keep their origins. All times are
relative, so that clocks of two nodes are never compared.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream.

    :param service: service of the replica that wrote the first event.
    :param version: software version of that replica.
    """

    service: str
    version: str


class VersionHistory(msgspec.Struct, frozen=True, array_like=True):
    """The software versions of a service's replicas in the recent past, as one node knows them.

    :param versions: all versions that had a replica in that time.
    :param covers_s: how far back the node knows them, in seconds.
    """

    versions: tuple[str, ...] = ()
    covers_s: Finite = 0.0


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
    """

    number: Integer
    stream: int
    service: str


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
