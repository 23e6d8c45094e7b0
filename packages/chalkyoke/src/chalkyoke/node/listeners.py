"""
chalkyoke.node.listeners

The HTTP listeners of one gateway node.
"""

import msgspec

from chalkyoke.gateway.settings import ListenSection
from chalkyoke.http1.server import StartHandler
from chalkyoke.node.listener import Listener, ListenerParts
from chalkyoke.node.listening import ListenAddress


class NodeListeners(msgspec.Struct, frozen=True):
    """The HTTP listeners of a node.

    :param metrics: None if the node has no address for it.
    """

    callers: Listener
    ready: Listener
    metrics: Listener | None

    @property
    def all(self) -> list[Listener]:
        """All listeners."""
        found = [self.callers, self.ready]
        return found if self.metrics is None else [*found, self.metrics]

    def needed(self, links: ListenAddress) -> tuple[ListenAddress, ...]:
        """Return the addresses without which a node does not serve, in the order of listening.

        The page that tells why the node is not ready is the first, and callers come last.

        :param links: the address for links of other nodes.
        """
        return self.ready.listen_address, links, self.callers.listen_address


def make_listeners(
    addresses: ListenSection,
    parts: ListenerParts,
    start_exchange: StartHandler,
    start_page: StartHandler,
) -> NodeListeners:
    """Make the listeners of a node; none listens yet.

    :param start_exchange: starts the handler of a caller's request.
    :param start_page: starts the handler of a request for a page of the node.
    """
    callers = parts.for_callers(addresses.callers, start_exchange)
    ready = parts.for_pages(addresses.ready, start_page)
    metrics = parts.for_pages(addresses.metrics, start_page) if addresses.metrics else None
    return NodeListeners(callers, ready, metrics)
