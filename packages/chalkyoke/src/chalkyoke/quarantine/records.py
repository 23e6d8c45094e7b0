"""
chalkyoke.quarantine.records

Read the records in the store that say which requests are held back: a key with the request's name
in hexadecimal, without a value.
"""

from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from chalkyoke.quarantine.identity import NAME_BYTES
from chalkyoke.quarantine.messages import HeldRecord
from chalkyoke.storage.messages import Item

T = TypeVar("T")


def read_held(name: str) -> Result[HeldRecord, str]:
    """Read the name of a request.

    :return: what it names, or why it can't be read.
    """
    try:
        request = bytes.fromhex(name)
    except ValueError as error:
        return Err(str(error))
    if len(request) != NAME_BYTES:
        return Err(f"it has {len(request)} bytes")
    return Ok(HeldRecord(request))


def read_also_held(
    read_others: Callable[[Item], Result[T, str]], prefix: str
) -> Callable[[Item], Result[T | HeldRecord, str]]:
    """Read records under a prefix as those of held requests, and all others as before."""

    def read(item: Item) -> Result[T | HeldRecord, str]:
        if not item.key.startswith(prefix):
            return read_others(item)
        return read_held(item.key.removeprefix(prefix))

    return read
