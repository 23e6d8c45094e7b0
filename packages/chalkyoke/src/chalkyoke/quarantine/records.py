"""
chalkyoke.quarantine.records

Parser for the records of held requests in the store. The key holds the digest of the request in
hexadecimal. Nodes write records without a value; an operator who writes the value ``released``
releases the request at all nodes.
"""

from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from chalkyoke.quarantine.identity import DIGEST_BYTES
from chalkyoke.quarantine.messages import HeldRecord
from chalkyoke.storage.messages import Item

T = TypeVar("T")

RELEASED = b"released"


def parse_held_record(name: str, value: bytes) -> Result[HeldRecord, str]:
    """Parse the record of a held request.

    :param name: digest of the request, in hexadecimal.
    :return: the record, or the reason why the digest is invalid.
    """
    try:
        request = bytes.fromhex(name)
    except ValueError as error:
        return Err(str(error))
    if len(request) != DIGEST_BYTES:
        return Err(f"it has {len(request)} bytes")
    return Ok(HeldRecord(request, is_released=value.strip() == RELEASED))


def with_held_records(
    parse_other: Callable[[Item], Result[T, str]], prefix: str
) -> Callable[[Item], Result[T | HeldRecord, str]]:
    """Return a parser for records of held requests under a prefix and for all other records.

    :param parse_other: parser for records without the prefix.
    """

    def read(item: Item) -> Result[T | HeldRecord, str]:
        if not item.key.startswith(prefix):
            return parse_other(item)
        return parse_held_record(item.key.removeprefix(prefix), item.value)

    return read
