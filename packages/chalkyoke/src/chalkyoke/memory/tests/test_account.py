from types import SimpleNamespace

import pytest
from chalkyoke.memory.account import (
    BUFFER_LEVEL,
    LEAST_URGENT_LEVEL,
    MIN_SHARE_BYTES,
    MemoryAccount,
    Purpose,
)
from chalkyoke.memory.limit import MIN_LIMIT_BYTES, account_limit_bytes
from chalkyoke.memory.stopped import STOPPED_AFTER_S, stopped_by_size
from hypothesis import given
from hypothesis import strategies as st

LIMIT = 40_000_000


def account_with(total, purpose=Purpose.BODIES_KEPT):
    account = MemoryAccount(LIMIT)
    account.open(purpose).resize(total)
    return account


@given(st.lists(st.tuples(st.integers(0, 4), st.sampled_from(Purpose), st.integers(0, 10**6))))
def test_total_is_the_sum_of_all_buffers_whatever_the_order_of_changes(changes):
    """A refund that is lost or made twice would shrink the account for good."""
    account = MemoryAccount(LIMIT)
    charges = [account.open(Purpose.BODIES_READ) for _ in range(5)]
    for number, purpose, size in changes:
        charges[number].move(purpose)
        charges[number].resize(size)
        assert account.total == sum(each.size for each in charges)
        assert account.total == sum(account.by_purpose.values())
    for each in charges:
        each.release()
        each.release()
    assert account.total == 0 and not any(account.by_purpose.values())


def test_many_slow_readers_do_not_fill_the_account():
    """Load pattern: several hundred callers read slowly, and each buffer grows as it may."""
    account = MemoryAccount(LIMIT)
    buffers = [account.open(Purpose.RESPONSES_SENT) for _ in range(300)]
    for _ in range(50):
        for each in buffers:
            if each.size + 16_384 <= account.share:
                each.resize(each.size + 16_384)
    assert account.total <= LIMIT * BUFFER_LEVEL + 300 * MIN_SHARE_BYTES
    assert account.admits(MIN_SHARE_BYTES, 0.0)


def test_the_least_urgent_bodies_are_refused_first():
    account = account_with(int(LIMIT * LEAST_URGENT_LEVEL))
    urgencies = (0.0, 0.5, 1.0)
    admitted = []
    while account.total < LIMIT:
        admitted.append(tuple(account.admits(10_000, each) for each in urgencies))
        account.add(Purpose.BODIES_READ, 100_000)
    assert admitted[0] == (False, True, True)
    assert admitted[-1] == (False, False, False)
    assert all(list(each) == sorted(each) for each in admitted)


def test_large_bodies_leave_room_for_small_ones():
    """Load pattern: large bodies pile up before slow replicas; small requests are still read."""
    account = MemoryAccount(LIMIT)
    while account.admits(1_000_000, 0.0):
        account.add(Purpose.BODIES_KEPT, 1_000_000)
    assert account.admits(MIN_SHARE_BYTES, 0.0)
    assert not account.is_scarce


def test_requests_without_a_body_are_refused_at_the_limit_only():
    assert account_with(LIMIT - 1).admits(0, 0.0)
    assert not account_with(LIMIT).admits(0, 1.0)


def test_links_share_a_part_of_the_account():
    """Broadcasts to hundreds of slow peers must not each fill a buffer of their own."""
    account = MemoryAccount(LIMIT)
    before = account.link_share
    account.open(Purpose.LINKS).resize(LIMIT // 10)
    assert account.link_share == MIN_SHARE_BYTES < before


def test_nothing_is_refused_without_a_limit():
    account = MemoryAccount()
    account.add(Purpose.BODIES_READ, 10**12)
    assert account.admits(10**9, 0.0) and account.admits_any(10**9)
    assert not account.is_scarce and not account.is_exceeded


@pytest.mark.parametrize(
    ("host_mb", "program", "limit"),
    [(128, 60_000_000, 42_400_000), (552, 60_000_000, 381_600_000), (70, 60_000_000, None)],
)
def test_the_limit_is_what_the_program_and_the_reserve_leave(host_mb, program, limit):
    assert account_limit_bytes(host_mb, program) == (limit or MIN_LIMIT_BYTES)


def test_only_stopped_readers_are_released_the_largest_buffer_first():
    """A caller that still reads gets its complete response, however large its buffer is."""
    buffers = [
        SimpleNamespace(unsent_bytes=size, progress_at=at)
        for size, at in ((900, 90.0), (50, 10.0), (70, 20.0))
    ]
    assert stopped_by_size(buffers, 20.0 + STOPPED_AFTER_S) == [buffers[2], buffers[1]]
    assert stopped_by_size(buffers, 20.0) == []


def test_a_small_host_reads_one_large_body_at_a_time():
    """A body above a quarter of the account was refused however idle the host was."""
    account = MemoryAccount(10_000_000)
    assert account.admits(4_000_000, 0.0)
    account.open(Purpose.BODIES_READ).resize(4_000_000)
    assert not account.admits(4_000_000, 1.0)
    assert account.admits(MIN_SHARE_BYTES, 0.0)
