"""
chalkyoke.links.messages

The frames of a link itself: both sides prove that they hold the fleet's key, and the listener
confirms what it took.
"""

import msgspec


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag="challenge"):
    """The listener's first frame."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The caller's answer.

    :param process: id of the calling process.
    :param address: ``ip:port`` of its own listener, where answers go.
    """

    process: str
    address: str
    failure_domain: str
    nonce: bytes
    mac: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """The listener's proof.

    :param kinds: the kinds of messages that it understands; empty where its version does not tell.
    """

    process: str
    mac: bytes
    kinds: tuple[str, ...] = ()


class Skipped(msgspec.Struct, frozen=True):
    """Stands for a message of a kind that is not known here; it never goes over a link."""

    kind: str


class Received(msgspec.Struct, frozen=True, array_like=True, tag="received"):
    """The listener's word that it has taken so many messages since the welcome.

    :param every_s: how often it says so while messages come, in seconds.
    """

    count: int
    interval_s: float
