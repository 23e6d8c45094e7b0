"""The decoders return an error for whatever is wrong with bytes, and raise nothing."""

import zlib
from typing import Any

import msgspec
import pytest
from chalkyoke.decoding.addresses import parse_address
from chalkyoke.decoding.bounds import Amount, Count, Decimal, Integer, Seconds, Version
from chalkyoke.decoding.decoder import (
    MAX_JSON_DEPTH,
    MAX_REASON_CHARS,
    convert,
    decode_json,
    decode_msgpack,
    decompress,
    unpack,
)
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from tests.odddata import DEPTHS, nest, odd_json, odd_msgpack, odd_values


class Document(msgspec.Struct):
    version: Version = ""
    count: Count = 0
    number: Integer = 0
    amount: Amount = 0
    decimal: Decimal = 0
    span: Seconds = 0
    items: list[dict[str, Amount]] = []
    other: Any = None


SOUND = {"version": "v1", "count": 1, "amount": 1.5, "items": [{"a": 1}], "other": {"b": [2]}}


# Guards against an exception of a decoder that a reader does not expect, as RecursionError was.
@given(odd_json(SOUND))
def test_json_becomes_a_value_that_messages_carry_or_an_error(data):
    read = decode_json(data, Document)
    if isinstance(read, Ok):
        found = read.ok_value
        found.other = None
        assert decode_msgpack(msgspec.msgpack.encode(found), Document) == Ok(found)
    else:
        assert 0 < len(read.err_value) <= MAX_REASON_CHARS


@given(odd_msgpack(SOUND))
def test_msgpack_becomes_a_value_or_an_error(data):
    for read in (decode_msgpack(data, Document), unpack(data)):
        assert isinstance(read, Ok) or 0 < len(read.err_value) <= MAX_REASON_CHARS


@given(odd_values)
def test_plain_values_become_a_value_or_an_error(value):
    assert isinstance(convert(value, Document), Ok | Err)


# Guards against two nodes that differ in whether they accept a document, by the stacks they read
# it on.
@pytest.mark.parametrize("depth", [*DEPTHS, MAX_JSON_DEPTH, MAX_JSON_DEPTH + 1])
def test_the_depth_of_json_is_bounded_whatever_the_stack(depth):
    def read_deeper(frames):
        if frames:
            return read_deeper(frames - 1)
        nested = decode_json(nest(depth).encode(), Any)
        objects = decode_json(nest(depth, opening='{"a":', closing="}").encode(), Any)
        return isinstance(nested, Ok), isinstance(objects, Ok)

    assert read_deeper(0) == read_deeper(300) == (depth <= MAX_JSON_DEPTH,) * 2


@given(st.text(alphabet='[]{}"\\a'))
def test_brackets_in_texts_do_not_count_as_depth(text):
    document = [text * 40, {text: text * 40}]
    assert decode_json(msgspec.json.encode(document), Any) == Ok(document)


@given(st.binary(max_size=200), st.integers(1, 300))
def test_compressed_bytes_never_grow_beyond_their_limit(data, limit):
    read = decompress(zlib.compress(data), limit)
    assert read == Ok(data) if len(data) <= limit else isinstance(read, Err)
    assert isinstance(decompress(zlib.compress(data)[:-1], 300), Err)
    assert isinstance(decompress(data, limit), Ok | Err)


def test_a_bomb_is_not_inflated():
    assert isinstance(decompress(zlib.compress(bytes(50_000_000)), 1000), Err)


@given(st.text())
def test_a_text_is_an_address_or_none(text):
    assert parse_address(text) is None or text.count(".") == 3


def test_addresses_have_an_ip_and_a_port():
    assert parse_address("10.0.0.1:8100") == ("10.0.0.1", 8100)
    for text in (
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        "10.0.0.1: 80",
        "10.0.0.1:8_0",
        "10.0.0.1:" + "1" * 5000,
        "10.0.0.1",
        ":80",
        "a.example:80",
        "10.0.0:80",
    ):
        assert parse_address(text) is None, text
