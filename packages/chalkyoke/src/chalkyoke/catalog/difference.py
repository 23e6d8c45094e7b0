"""
chalkyoke.catalog.difference

The difference between two versions of a document: ranges to copy from the old version, and the new
bytes between them. One changed route among 1,400 takes 250 bytes instead of 33,000.
"""

import zlib
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

from chalkyoke.decoding.bounds import Count
from chalkyoke.decoding.decoder import decode_msgpack, decompress

# End of a record of a document. Documents are compared record by record, never by parts of records.
RECORD_END = b"}"


class _Edit(msgspec.Struct, frozen=True, array_like=True):
    """Copy a range of the old document, then append new bytes.

    :param start: offset of the range, in bytes.
    :param length: length of the range, in bytes.
    :param added: the bytes to append after the range.
    """

    start: Count
    length: Count
    added: bytes


class _Difference(msgspec.Struct, frozen=True, array_like=True):
    """All edits in order, and the CRC-32 of the new document."""

    checksum: int
    edits: tuple[_Edit, ...]


def encode_difference(base: bytes, target: bytes) -> bytes:
    """Encode the difference that turns one document into another.

    :return: the difference, compressed.
    """
    offsets = {record: start for start, record in _split_records(base)}
    edits: list[_Edit] = []
    start = end = 0
    added = bytearray()
    for _, record in _split_records(target):
        offset = offsets.get(record)
        if not added and base.startswith(record, end):
            end += len(record)
        elif offset is None:
            added += record
        else:
            edits.append(_Edit(start, end - start, bytes(added)))
            added.clear()
            start, end = offset, offset + len(record)
    edits.append(_Edit(start, end - start, bytes(added)))
    result = _Difference(zlib.crc32(target), tuple(edits))
    return zlib.compress(msgspec.msgpack.encode(result), 1)


def apply_difference(base: bytes, encoded: bytes, max_bytes: int) -> Result[bytes, str]:
    """Build the new document from the old one and a difference.

    :param base: the old document.
    :param encoded: the encoded difference.
    :param max_bytes: maximum size of the new document and of the decompressed difference.
    :return: the new document, or why the difference does not apply.
    """
    read = decompress(encoded, max_bytes).and_then(_decode_difference)
    if isinstance(read, Err):
        return Err(f"difference can't be decoded: {read.err_value}")
    decoded = read.ok_value
    document = bytearray()
    for edit in decoded.edits:
        document += base[edit.start : edit.start + edit.length]
        document += edit.added
        if len(document) > max_bytes:
            return Err("new document exceeds the size limit")
    if zlib.crc32(document) != decoded.checksum:
        return Err("checksum mismatch: the difference is based on another document")
    return Ok(bytes(document))


def _decode_difference(packed: bytes) -> Result[_Difference, str]:
    return decode_msgpack(packed, _Difference)


def _split_records(document: bytes) -> Iterator[tuple[int, bytes]]:
    """Split a document after each record end; yield the offset and bytes of each part."""
    start = 0
    while start < len(document):
        end = document.find(RECORD_END, start) + 1 or len(document)
        yield start, document[start:end]
        start = end
