"""
chalkyoke.links.messages

Messages of the link protocol itself: the handshake, in which both sides prove that they hold the
fleet's key, and the listener's confirmations.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer


class Challenge(msgspec.Struct, frozen=True, array_like=True, tag="challenge"):
    """The listener's first message, with the nonce for the caller's proof."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The caller's answer, with its proof and its nonce.

    :param process: id of the calling process.
    :param address: ``ip:port`` of the caller's own listener, to which answers are sent.
    """

    process: str
    address: str
    failure_domain: str
    nonce: bytes
    mac: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """The listener's proof.

    :param kinds: the kinds of messages that the listener understands; empty if its version does not
        announce them.
    """

    process: str
    mac: bytes
    kinds: tuple[str, ...] = ()


class Skipped(msgspec.Struct, frozen=True):
    """Replaces a received message of an unknown kind; it is never sent over a link."""

    kind: str


class Received(msgspec.Struct, frozen=True, array_like=True, tag="received"):
    """The listener's confirmation of received messages.

    :param count: number of messages received since the welcome.
    :param every_s: interval of confirmations while messages arrive, in seconds.
    """

    count: Integer
    every_s: Finite
