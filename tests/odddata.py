"""
tests.odddata

Bytes and values as no writer of ours makes them, for tests of decoders: drawn bytes, JSON and
msgpack that is nested deeply or holds odd numbers, and mutations of sound documents.
"""

import json

import msgpack
from hypothesis import strategies as st

# Literals of JSON that decoders differ in, and numbers that no message can carry.
ODD_LITERALS = (
    "null true false NaN Infinity -Infinity -0 -0.0 1e400 -1e400 1e308 1e-400 01 1. +1 0x10"
    f" {2**31} {2**53} {2**63 - 1} {2**63} {2**64 - 1} {2**64} {-(2**63)} {-(2**63) - 1} {10**30}"
    f' {"1" * 4299} {"1" * 4301} -1 65535 65536 "" "\\ud800" "\\u0000" [] {{}}'
).split()
DEPTHS = (1, 64, 65, 500, 1_000, 100_000)


def nest(depth, inner="0", opening="[", closing="]"):
    """Return JSON that is nested to a depth."""
    return opening * depth + inner + closing * depth


odd_literals = st.one_of(
    st.sampled_from(ODD_LITERALS),
    st.sampled_from(DEPTHS).map(nest),
    st.sampled_from(DEPTHS).map(lambda depth: nest(depth, opening='{"a":', closing="}")),
    st.integers().map(str),
    st.floats().map(repr),
    st.text(max_size=8).map(json.dumps),
)


def paths_of(document, path=()):
    """List the paths of all values in a document of dicts and lists."""
    yield path
    pairs = document.items() if isinstance(document, dict) else enumerate(document)
    for key, value in pairs:
        if isinstance(value, dict | list):
            yield from paths_of(value, (*path, key))
        else:
            yield (*path, key)


def replace_value(document, path, value):
    """Return a copy of a document with the value at a path replaced."""
    if not path:
        return value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = replace_value(copy[path[0]], path[1:], value)
    return copy


@st.composite
def mutated_json(draw, document):
    """Draw a sound document with odd values, an odd further field, or changed bytes."""
    paths = list(paths_of(document))
    literals = []
    for path in draw(st.lists(st.sampled_from(paths), max_size=3, unique=True)):
        try:
            document = replace_value(document, path, f"@{len(literals)}@")
        except (KeyError, IndexError, TypeError):
            continue
        literals.append(draw(odd_literals))
    if isinstance(document, dict) and draw(st.booleans()):
        document = {**document, "unknown": f"@{len(literals)}@"}
        literals.append(draw(odd_literals))
    text = json.dumps(document)
    for number, literal in enumerate(literals):
        text = text.replace(f'"@{number}@"', literal)
    data = text.encode("utf-8", "surrogatepass")
    return draw(changed_bytes(data)) if draw(st.booleans()) else data


@st.composite
def changed_bytes(draw, data):
    """Draw bytes with one range replaced by drawn bytes."""
    start = draw(st.integers(0, len(data)))
    end = draw(st.integers(start, min(len(data), start + 8)))
    return data[:start] + draw(st.binary(max_size=8)) + data[end:]


def odd_json(document):
    """Draw JSON that is odd in any of these ways."""
    return st.one_of(
        st.binary(max_size=64), odd_literals.map(lambda text: text.encode()), mutated_json(document)
    )


odd_numbers = st.one_of(
    st.integers(-(2**63), 2**64 - 1),
    st.sampled_from([0, -1, 2**53, 2**63 - 1, 2**63, 2**64 - 1, -(2**63)]),
    st.floats(),
)
odd_values = st.recursive(
    st.one_of(odd_numbers, st.none(), st.booleans(), st.text(max_size=8), st.binary(max_size=8)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.one_of(st.text(max_size=4), st.integers(0, 9)), inner, max_size=3),
    ),
    max_leaves=8,
)
deep_msgpack = st.sampled_from(DEPTHS).flatmap(
    lambda depth: st.sampled_from([b"\x91" * depth + b"\xc0", b"\x81\xa1a" * depth + b"\xc0"])
)
# Headers of arrays, maps, texts and extensions that announce more than follows.
long_msgpack = st.sampled_from(
    [
        b"\xdd\xff\xff\xff\xff",
        b"\xdd\x00\x40\x00\x00",
        b"\xdd\x01\x00\x00\x00" * 500,
        b"\xdf\x00\x40\x00\x00",
        b"\xdb\x7f\xff\xff\xff",
        b"\xc9\x7f\xff\xff\xff\x01",
        b"\xd7\xff" + b"\xff" * 8,
        b"\xc1",
    ]
)


@st.composite
def mutated_msgpack(draw, value):
    """Draw the msgpack of a value of lists and dicts with odd values or changed bytes."""
    paths = [path for path in paths_of(value) if path]
    for path in draw(st.lists(st.sampled_from(paths), max_size=3, unique=True)):
        try:
            value = replace_value(value, path, draw(odd_values))
        except (KeyError, IndexError, TypeError):
            continue
    data = msgpack.packb(value)
    return draw(changed_bytes(data)) if draw(st.booleans()) else data


def odd_msgpack(value):
    """Draw msgpack that is odd in any of these ways."""
    return st.one_of(
        st.binary(max_size=64),
        deep_msgpack,
        long_msgpack,
        odd_values.map(msgpack.packb),
        mutated_msgpack(value),
    )
