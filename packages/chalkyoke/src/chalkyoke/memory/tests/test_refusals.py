from chalkyoke.memory.account import MIN_SHARE_BYTES, MemoryAccount, Purpose
from chalkyoke.memory.bodygrants import PIECE_BYTES, BodyGrants
from chalkyoke.memory.guard import NEARLY_FULL_SHARE, RELIEVED_SHARE, ResidentGuard
from chalkyoke.memory.refusals import QUIET_S, Refusals

from .test_bodygrants import Uploader

HOST_MB = 100.0
HOST_BYTES = 100_000_000


def test_refusals_begin_and_end_once_however_many_there_are():
    """One line for each refusal would tell neither when the host began nor when it stopped."""
    refusals = Refusals()
    assert refusals.on_tick(0.0) is None
    assert [refusals.on_refused(0.1 * number) for number in range(50)] == [True] + 49 * [False]
    assert refusals.on_tick(4.9 + QUIET_S / 2) is None
    ended = refusals.on_tick(5.0 + QUIET_S)
    assert ended is not None and ended.refused == 50 and round(ended.lasted_s, 1) == 4.9
    assert refusals.on_tick(100.0) is None
    assert refusals.on_refused(101.0)


def test_large_bodies_are_not_read_while_the_process_nearly_fills_its_host():
    """What the account does not see took the host over its limit."""
    account = MemoryAccount(40_000_000)
    guard = ResidentGuard(account, HOST_MB)
    grants = BodyGrants(account)
    account.open(Purpose.BODIES_KEPT).resize(10_000_000)
    upload = Uploader(grants, 0.0)
    upload.send(MIN_SHARE_BYTES, 0.0)
    assert account.admits(1_000_000, 0.0) and upload.is_read
    assert guard.on_measured(int(HOST_BYTES * NEARLY_FULL_SHARE))
    assert not guard.on_measured(int(HOST_BYTES * RELIEVED_SHARE) + 1)
    assert not account.admits(1_000_000, 1.0) and account.admits(MIN_SHARE_BYTES, 0.0)
    upload.send(PIECE_BYTES, 0.0)
    grants.tick(0.1)
    assert not upload.is_read and not upload.is_refused
    assert guard.on_measured(int(HOST_BYTES * RELIEVED_SHARE) - 1)
    grants.tick(0.2)
    assert account.admits(1_000_000, 0.0) and upload.is_read


def test_a_process_that_keeps_freed_memory_still_reads_large_bodies():
    """The allocator may keep what was freed for good: no upload would ever be read again."""
    account = MemoryAccount(40_000_000)
    ResidentGuard(account, HOST_MB).on_measured(HOST_BYTES)
    assert account.admits(1_000_000, 0.0)
