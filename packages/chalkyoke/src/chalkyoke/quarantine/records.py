"""
chalkyoke.quarantine.records

Read the records in the store that say which requests are held back: a key with the request's name
in hexadecimal. Nodes write it without a value; an operator who writes ``released`` there lets the
request go at all nodes.
"""

from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from chalkyoke.quarantine.identity import DIGEST_BYTES
from chalkyoke.quarantine.messages import HeldRecord
from chalkyoke.storage.messages import Item

T = TypeVar("T")

RELEASED = b"released"


def read_held(name: str, value: bytes) -> Result[HeldRecord, str]:
    """Read the record of a request.

    :param name: of the request, in hexadecimal.
    :return: what it says, or why it can't be read.
    """
    try:
        request = bytes.fromhex(name)
    except ValueError as error:
        return Err(str(error))
    if len(request) != DIGEST_BYTES:
        return Err(f"it has {len(request)} bytes")
    return Ok(HeldRecord(request, is_released=value.strip() == RELEASED))


def with_held_records(
    read_others: Callable[[Item], Result[T, str]], prefix: str
) -> Callable[[Item], Result[T | HeldRecord, str]]:
    """Read records under a prefix as those of held requests, and all others as before."""

    def read(item: Item) -> Result[T | HeldRecord, str]:
        if not item.key.startswith(prefix):
            return read_others(item)
        return read_held(item.key.removeprefix(prefix), item.value)

    return read
