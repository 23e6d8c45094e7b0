from chalkyoke.memory.account import MIN_SHARE_BYTES, MemoryAccount, Purpose
from chalkyoke.memory.flow import RESUME_AFTER_S, ResponseFlow

# Replicas abort a response that stays unread for some seconds; this is the shortest assumed time.
REPLICA_PATIENCE_S = 2.0


def test_a_paused_response_is_read_again_before_the_replica_aborts_it():
    flow = ResponseFlow(MemoryAccount(40_000_000))
    flow.set_caller_can_read(False, 10.0)
    flow.on_check(20_000, 10.0 + RESUME_AFTER_S / 2)
    assert flow.is_paused
    flow.on_check(20_000, 10.0 + RESUME_AFTER_S)
    assert not flow.is_paused
    assert RESUME_AFTER_S < REPLICA_PATIENCE_S


def test_a_response_that_has_used_its_share_is_paused_again():
    account = MemoryAccount(40_000_000)
    flow = ResponseFlow(account)
    flow.set_caller_can_read(False, 0.0)
    flow.on_check(0, RESUME_AFTER_S)
    flow.on_received(0, account.share, 2.0)
    assert not flow.is_paused
    flow.on_received(0, account.share + 1, 2.0)
    assert flow.is_paused
    flow.on_check(account.share + 1, 2.0 + 5 * RESUME_AFTER_S)
    assert flow.is_paused


def test_nothing_more_is_buffered_for_slow_readers_when_the_account_is_full():
    account = MemoryAccount(40_000_000)
    account.add(Purpose.BODIES_KEPT, 39_000_000)
    flow = ResponseFlow(account)
    flow.set_caller_can_read(False, 0.0)
    flow.on_check(MIN_SHARE_BYTES, 100.0)
    assert flow.is_paused


def test_a_response_that_is_held_back_waits_for_its_share_without_the_delay_of_slow_readers():
    account = MemoryAccount(40_000_000)
    flow = ResponseFlow(account)
    flow.on_received(account.withheld_share, 0, 0.0)
    assert not flow.is_paused
    flow.on_received(account.withheld_share + 1, 0, 0.0)
    assert flow.is_paused
    flow.on_check(account.withheld_share - 1, 0.25)
    assert not flow.is_paused


def test_a_pause_for_a_response_that_is_held_back_ends_with_it():
    """The next send of the request would begin without reading its response."""
    account = MemoryAccount(40_000_000)
    flow = ResponseFlow(account)
    flow.on_received(account.withheld_share + 1, 0, 0.0)
    flow.on_response_ended()
    assert not flow.is_paused


def test_a_caller_that_reads_again_resumes_at_once():
    flow = ResponseFlow(MemoryAccount(40_000_000))
    flow.set_caller_can_read(False, 0.0)
    flow.set_caller_can_read(True, 0.1)
    assert not flow.is_paused


def test_without_a_limit_a_response_stays_paused_until_its_caller_reads():
    flow = ResponseFlow(MemoryAccount())
    flow.set_caller_can_read(False, 0.0)
    flow.on_check(0, 100.0)
    assert flow.is_paused
