"""
chalkyoke.links.broadcast

Broadcasts of messages to all nodes of the fleet. In a large failure domain some nodes receive the
message and relay it to the others.
"""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar, cast

import msgspec


class BroadcastTargets(Protocol):
    """The recipients of a broadcast, as the membership view lists them."""

    def broadcast_targets(self) -> tuple[list[str], list[str]]:
        """List the link addresses of nodes that don't relay, and of nodes that relay."""

    def domain_addresses(self) -> list[str]:
        """List the link addresses of the other members of this failure domain."""


class RelayableMessage(Protocol):
    """A message with a flag for relaying it."""

    @property
    def relay(self) -> bool:
        """Whether the receiver forwards the message to the other nodes of its failure domain."""


M = TypeVar("M", bound=RelayableMessage)


def send_to_all(targets: BroadcastTargets, send: Callable[[str, M], None], message: M) -> int:
    """Send a message to all other nodes of the fleet, directly or through relays.

    :param send: sends a message to a node by its link address.
    :return: number of nodes to which the message was sent directly, relays included.
    """
    direct, relays = targets.broadcast_targets()
    for address in direct:
        send(address, message)
    for address in relays:
        send(address, _with_relay(message, relay=True))
    return len(direct) + len(relays)


def relay_to_domain(targets: BroadcastTargets, send: Callable[[str, M], None], message: M) -> None:
    """Forward a message to the other nodes of this failure domain, if its flag is set."""
    if not message.relay:
        return
    relayed = _with_relay(message, relay=False)
    for address in targets.domain_addresses():
        send(address, relayed)


def _with_relay(message: M, *, relay: bool) -> M:
    """Copy a message with another flag; a Protocol can't express that messages are structs."""
    marked: M = msgspec.structs.replace(cast(Any, message), relay=relay)
    return marked
