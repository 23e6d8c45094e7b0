import zlib

from chalkyoke.catalog.difference import apply_difference, encode_difference
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

MOST = 1_000_000
documents = st.lists(st.sampled_from([b'{"a":1}', b'{"b":2}', b",", b"}", b"", b"tail"])).map(
    b"".join
)


@given(documents, documents)
def test_a_difference_restores_the_new_document(base, target):
    assert apply_difference(base, encode_difference(base, target), MOST) == Ok(target)


@given(documents, documents, documents)
def test_a_difference_to_another_document_is_never_taken_for_one(base, other, target):
    restored = apply_difference(other, encode_difference(base, target), MOST)
    assert isinstance(restored, Err) or restored == Ok(target)


def test_one_record_of_many_costs_little():
    records = [b'{"route":"%d","host":"h%d"}' % (number, number * 7919) for number in range(1400)]
    base = b'{"version":1},' + b",".join(records)
    records[700] = b'{"route":"700","host":"moved"}'
    target = b'{"version":2},' + b",".join(records)
    assert len(encode_difference(base, target)) < 200 < len(zlib.compress(target, 1)) / 20


def test_what_is_no_difference_or_too_large_is_refused():
    assert isinstance(apply_difference(b"", b"no zlib", MOST), Err)
    assert isinstance(apply_difference(b"", zlib.compress(b"no edits"), MOST), Err)
    assert isinstance(apply_difference(b"", encode_difference(b"", b"x" * 2000), 1000), Err)
