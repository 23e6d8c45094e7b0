"""
chalkyoke.node.listening

Start to listen on the addresses of a node.
"""

from collections.abc import Awaitable, Callable

from chalkyoke.exceptions import ListenError


async def listen(start: Callable[[], Awaitable[None]], address: str) -> None:
    """Start to listen on an address.

    :param start: binds the address and accepts connections.
    :param address: ``ip:port``.
    :raises ListenError: if the address can't be bound.
    """
    try:
        await start()
    except OSError as error:
        raise ListenError(address, error) from error
