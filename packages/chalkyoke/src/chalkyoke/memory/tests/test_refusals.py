"""Log lines of refusals for lack of memory."""

from chalkyoke.memory.refusals import QUIET_S, RefusalLog


# Guards against a log line for each of thousands of refused requests.
def test_a_period_of_refusals_begins_and_ends_once():
    refusals = RefusalLog()
    assert refusals.take_ended(0.0) is None
    begun = [refusals.on_refused(size, 1.0 + size / 1000) for size in (100, 900, 0)]
    assert begun == [True, False, False]
    assert refusals.take_ended(1.0 + QUIET_S / 2) is None
    ended = refusals.take_ended(1.9 + QUIET_S)
    assert (ended.requests, ended.largest) == (3, 900)
    assert refusals.take_ended(100.0) is None
    assert refusals.on_refused(1, 101.0)
