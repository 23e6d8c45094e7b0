import zlib

from chalkyoke.catalog.difference import apply_difference, encode_difference
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

MAX_BYTES = 1_000_000
documents = st.lists(st.sampled_from([b'{"a":1}', b'{"b":2}', b",", b"}", b"", b"tail"])).map(
    b"".join
)


@given(documents, documents)
def test_a_difference_restores_the_new_document(base, target):
    assert apply_difference(base, encode_difference(base, target), MAX_BYTES) == Ok(target)


@given(documents, documents, documents)
def test_a_difference_is_never_applied_to_the_wrong_base_document(base, other, target):
    restored = apply_difference(other, encode_difference(base, target), MAX_BYTES)
    assert isinstance(restored, Err) or restored == Ok(target)


def test_the_difference_of_one_changed_record_is_small():
    records = [b'{"route":"%d","host":"h%d"}' % (number, number * 7919) for number in range(1400)]
    base = b'{"version":1},' + b",".join(records)
    records[700] = b'{"route":"700","host":"moved"}'
    target = b'{"version":2},' + b",".join(records)
    assert len(encode_difference(base, target)) < 200 < len(zlib.compress(target, 1)) / 20


def test_invalid_and_oversized_differences_are_rejected():
    assert isinstance(apply_difference(b"", b"no zlib", MAX_BYTES), Err)
    assert isinstance(apply_difference(b"", zlib.compress(b"no edits"), MAX_BYTES), Err)
    assert isinstance(apply_difference(b"", encode_difference(b"", b"x" * 2000), 1000), Err)
