"""
chalkyoke.links.broadcast

Tell all nodes of the fleet something. Of a large failure domain some are told, and relay it.
"""

from collections.abc import Callable
from typing import Any, Protocol, TypeVar, cast

import msgspec


class BroadcastTargets(Protocol):
    """Who is there to be told, as the membership knows it."""

    def broadcast_targets(self) -> tuple[list[str], list[str]]:
        """List link addresses of nodes, and of those that are to tell their failure domain."""

    def domain_addresses(self) -> list[str]:
        """List the link addresses of the other members of this failure domain."""


class RelayableMessage(Protocol):
    """A message that says whether its receiver tells the other nodes of its failure domain."""

    @property
    def relay(self) -> bool:
        """Whether it does."""


M = TypeVar("M", bound=RelayableMessage)


def send_to_all(audience: BroadcastTargets, send: Callable[[str, M], None], message: M) -> int:
    """Tell all other nodes.

    :param send: sends a message to a node by its link address.
    :return: how many nodes were told directly, those that relay included.
    """
    direct, relays = audience.broadcast_targets()
    for address in direct:
        send(address, message)
    for address in relays:
        send(address, _with_relay(message, relay=True))
    return len(direct) + len(relays)


def relay_to_domain(audience: BroadcastTargets, send: Callable[[str, M], None], message: M) -> None:
    """Tell the other nodes of this failure domain, where the message asks for it."""
    if not message.relay:
        return
    told = _with_relay(message, relay=False)
    for address in audience.domain_addresses():
        send(address, told)


def _with_relay(message: M, *, relay: bool) -> M:
    """Copy a message; a protocol can't say that it is a struct, as all messages are."""
    marked: M = msgspec.structs.replace(cast(Any, message), relay=relay)
    return marked
