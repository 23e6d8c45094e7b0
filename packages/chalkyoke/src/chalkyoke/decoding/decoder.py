"""
chalkyoke.decoding.decoder

The decoders. Each returns the decoded value, or the reason why the bytes can't be decoded.
"""

import itertools
import re
import zlib
from typing import Any, TypeVar

import msgpack
import msgspec
from result import Err, Ok, Result

# Maximum depth of nested arrays and objects in JSON, several times that of the deepest document.
# The decoder's own limit depends on the stack of its caller, so that two nodes could disagree.
MAX_JSON_DEPTH = 64
# Maximum length of a reason, in characters: it may quote the bytes.
MAX_REASON_CHARS = 200

_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))
# What the decoders raise for bytes that they can't decode.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)

T = TypeVar("T")


def decode_json(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode JSON into a type.

    :param kind: the type; its bounds apply.
    :return: the value, or why the bytes are no JSON of that type.
    """
    if _is_too_deep(data):
        return Err(f"nested deeper than {MAX_JSON_DEPTH} levels")
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except DECODE_ERRORS as error:
        return Err(describe(error))


def decode_msgpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Decode msgpack into a type.

    :param kind: the type; its bounds apply.
    :return: the value, or why the bytes are no msgpack of that type.
    """
    try:
        return Ok(msgspec.msgpack.decode(data, type=kind))
    except DECODE_ERRORS as error:
        return Err(describe(error))


def unpack(data: bytes) -> Result[Any, str]:
    """Decode msgpack into lists, maps with keys that are text or bytes, and plain values.

    :return: the value, or why the bytes are no msgpack.
    """
    try:
        return Ok(msgpack.unpackb(data))
    except (*DECODE_ERRORS, msgpack.UnpackException) as error:
        return Err(describe(error))


def convert(value: object, kind: type[T]) -> Result[T, str]:
    """Convert decoded plain values into a type.

    :param kind: the type; its bounds apply.
    :return: the converted value, or why it does not have that type.
    """
    try:
        return Ok(msgspec.convert(value, kind, builtin_types=(bytes,)))
    except DECODE_ERRORS as error:
        return Err(describe(error))


def decompress(data: bytes, max_bytes: int) -> Result[bytes, str]:
    """Decompress a complete zlib stream.

    :param max_bytes: maximum size of the decompressed bytes; at least 1.
    :return: the bytes, or why the stream can't be decompressed.
    """
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, max_bytes)
    except zlib.error as error:
        return Err(describe(error))
    if inflater.unconsumed_tail:
        return Err(f"larger than {max_bytes} bytes")
    return Ok(inflated) if inflater.eof else Err("the compressed bytes are incomplete")


def describe(error: Exception) -> str:
    """Return what an error says, in at most :data:`MAX_REASON_CHARS` characters."""
    return (str(error) or type(error).__name__)[:MAX_REASON_CHARS]


def _is_too_deep(data: bytes) -> bool:
    """Return whether JSON is nested deeper than :data:`MAX_JSON_DEPTH`."""
    if data.count(b"[") + data.count(b"{") <= MAX_JSON_DEPTH:
        return False
    brackets = _STRING.sub(b"", data).translate(None, _NOT_BRACKETS)
    depths = itertools.accumulate(1 if each in b"[{" else -1 for each in brackets)
    return any(depth > MAX_JSON_DEPTH for depth in depths)
