"""
chalkyoke.tunnels.messages

The messages that open a tunnel. They are sent on a separate stream between two hosts, which carries
the bytes of the tunnel afterwards.
"""

from enum import StrEnum

import msgspec


class TunnelOutcome(StrEnum):
    """The answer of a host that is asked for a tunnel.

    ``UNREACHABLE``: the host reaches other replicas, but not this one. ``NO_PATH``: it reaches no
    replica, so its answer says nothing of this one. ``BUSY``: it takes no tunnels now.
    ``UNKNOWN_REPLICA``: no replica in its catalog has the address.
    """

    OPENED = "opened"
    UNREACHABLE = "unreachable"
    NO_PATH = "no_path"
    BUSY = "busy"
    UNKNOWN_REPLICA = "unknown_replica"


class TunnelRequest(msgspec.Struct, frozen=True, array_like=True, tag="tunnel_request"):
    """Ask a host to connect this stream to a replica.

    :param ip: address of the replica, as its record states it.
    """

    ip: str
    port: int


class TunnelAnswer(msgspec.Struct, frozen=True, array_like=True, tag="tunnel_answer"):
    """Answer a request; after ``opened``, the stream carries the bytes of the tunnel.

    :param outcome: a :class:`TunnelOutcome`; a later version may know others.
    """

    outcome: str


TUNNEL_REQUEST_KIND = str(TunnelRequest.__struct_config__.tag)
TUNNEL_MESSAGES = (TunnelRequest, TunnelAnswer)
