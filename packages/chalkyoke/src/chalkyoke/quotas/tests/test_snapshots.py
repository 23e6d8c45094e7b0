"""The bounds of an owner's windows, the values in the store, and the calls that write them."""

import msgspec
import pytest
from chalkyoke.quotas.growth import TeamGrowth
from chalkyoke.quotas.ledger import new_ledger
from chalkyoke.quotas.ownersnapshots import Due, OwnerSnapshots
from chalkyoke.quotas.snapshotcalls import ReadBack, SnapshotCalls, WriteValue
from chalkyoke.quotas.snapshots import (
    FORMAT_VERSION,
    OwnerSnapshot,
    combine,
    make_team_snapshot,
    read_values,
)
from chalkyoke.quotas.window import QuotaLimits, SpendingWindow
from chalkyoke.storage.messages import (
    Conflict,
    Item,
    LeaseGone,
    LeaseGranted,
    Listing,
    Unavailable,
    Written,
)

LIMITS = QuotaLimits(8.0, 0.0, 0.0)
MOST, LEASABLE, ASSUMED = 1000.0, 800.0, 760.0
LOST = Unavailable("timed out", may_have_been_applied=True)


def make_owner(spent=0.0, at=0.0):
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 0.0)
    snapshots = OwnerSnapshots({"t": ledger}, 0.8, 0.95, 3.0)
    snapshots.open("t", 0.0, first=True)
    ledger.add_lease(spent, at)
    return ledger, snapshots


def snapshot_of(spent_at, now, share=1.0, limit=MOST):
    ledger, _ = make_owner()
    for at, cost in spent_at:
        ledger.add_lease(cost, at)
    return make_team_snapshot("t", limit, share, ledger.window.recent_sums(now))[0]


def test_cost_that_leaves_the_window_makes_no_room_for_newer_cost_than_the_snapshot_shows():
    """Guards against a bound of totals: the reader's window would lose the old cost at once."""
    ledger, snapshots = make_owner(spent=400.0, at=0.1)
    snapshots.acknowledged(snapshots.build(1, 7.5).number)
    assert ledger.window.spent(8.9) == 0.0
    assert snapshots.room("t", 8.9) == pytest.approx(100.0)


def test_an_unanswered_write_bounds_the_window_as_well_as_the_acknowledged_one():
    """Guards against spending that is hidden if the write with the lower sums was applied."""
    _, snapshots = make_owner(spent=400.0, at=0.1)
    snapshots.acknowledged(snapshots.build(1, 0.1).number)
    lower = snapshots.build(1, 9.0)
    assert snapshots.room("t", 9.0) == pytest.approx(100.0)
    snapshots.not_applied(lower.number)
    assert snapshots.room("t", 9.0) == pytest.approx(500.0)


@pytest.mark.parametrize(("spent", "is_due"), [(300.0, False), (700.0, True)])
def test_a_snapshot_is_lowered_only_if_a_restart_would_refuse_for_it(spent, is_due):
    """Guards against writes, each of which answers all watches, without a use for them."""
    ledger, snapshots = make_owner(spent=spent, at=0.1)
    snapshots.acknowledged(snapshots.build(1, 3.0).number)
    ledger.add_lease(60.0, 9.0)
    assert (snapshots.due(9.0) is Due.LATER) is is_due


def test_a_fallen_share_leaves_an_owner_its_part_of_the_bound():
    ledger, snapshots = make_owner(spent=300.0, at=10.0)
    snapshots.acknowledged(snapshots.build(1, 10.0).number)
    ledger.apply_share(0.5, 2.5, 10.0)
    assert snapshots.room("t", 10.0) == pytest.approx(-100.0), "all 300 are this side's own"


def test_a_lower_limit_scales_the_bound():
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 0.0)
    growth = TeamGrowth(SpendingWindow(8.0), MOST)
    ledger.add_lease(400.0, 1.0)
    growth.inherit(ledger, 1.0)
    ledger.apply_limit(500.0, 1.0)
    assert growth.room(ledger, 1.0) == pytest.approx(10.0)


def test_the_windows_of_two_owners_add_up():
    """Guards against one side of a partition that hides the spending of the other."""
    sides = [snapshot_of([(20.0, 100.0)], 20.0, 0.6), snapshot_of([(20.0, 150.0)], 20.0, 0.4)]
    assert combine(sides, MOST, LEASABLE, 1e9).bound[-1] == pytest.approx(450.0)


def test_a_missing_owners_share_is_assumed_to_be_spent():
    side = [snapshot_of([(12.1, 50.0)], 20.0, 0.5)]
    assert combine(side, MOST, LEASABLE, ASSUMED).bound[-1] == pytest.approx(50 + 100 + 380)


def test_a_team_whose_limit_has_changed_fivefold_has_no_snapshot():
    each = snapshot_of([(20.0, 100.0)], 20.0)
    assert combine([each], 5 * MOST, LEASABLE, ASSUMED) is None
    assert combine([each], MOST / 5, LEASABLE, ASSUMED) is None
    assert combine([each], MOST / 2, LEASABLE, 1e9).bound[-1] == pytest.approx(100.0)


def test_values_of_another_epoch_are_ignored_and_unreadable_ones_reported():
    good = msgspec.msgpack.encode(OwnerSnapshot(FORMAT_VERSION, 7, (snapshot_of([], 20.0),)))
    assert list(read_values([good], 7).teams) == ["t"]
    assert not read_values([good], 8).teams
    assert read_values([good], 8).complete
    for bad in (b"", b"\xc1", msgspec.msgpack.encode([FORMAT_VERSION + 1, 7, {}])):
        assert not read_values([good, bad], 7).complete


def begin_write(now=1.0):
    """Return an owner whose first write has just been sent."""
    ledger, snapshots = make_owner(spent=50.0, at=0.5)
    calls = SnapshotCalls(snapshots, "k")
    calls.apply(calls.next_write(1, now), LeaseGranted(9, 6.0, 3), now)
    write = calls.next_write(1, now)
    assert isinstance(write, WriteValue)
    assert (write.expected, write.epoch) == (0, 3)
    return ledger, snapshots, calls, write


@pytest.mark.parametrize("applied", [True, False])
def test_a_lost_answer_is_resolved_by_reading_back(applied):
    _, snapshots, calls, write = begin_write()
    calls.apply(write, LOST, 3.0)
    assert calls.next_write(1, 3.0) is None, "backs off first"
    assert isinstance(calls.next_write(1, 4.0), ReadBack)
    own = (Item("k", write.value, 5),) if applied else ()
    calls.apply(ReadBack(), Listing(own, 5, 3), 4.0)
    again = calls.next_write(1, 4.0)
    if applied:
        assert again is None
        assert snapshots.room("t", 4.0) == pytest.approx(100.0)
    else:
        assert again.expected == 0


def test_a_conflict_is_resolved_by_the_revision_that_the_store_has():
    """A write whose answer was lost was applied after the read-back."""
    _, _, calls, write = begin_write()
    calls.apply(write, Conflict(), 1.0)
    assert isinstance(calls.next_write(1, 1.0), ReadBack)
    calls.apply(ReadBack(), Listing((Item("k", b"late", 6),), 6, 3), 1.0)
    assert calls.next_write(1, 1.0).expected == 6


@pytest.mark.parametrize("answer", [LeaseGone(), Written(4, 4)])
def test_a_lost_lease_or_a_restored_store_needs_a_new_lease_and_write(answer):
    _, _, calls, write = begin_write()
    calls.apply(write, answer, 1.0)
    assert type(calls.next_write(1, 1.0)).__name__ == "GrantLease"


def test_all_owners_together_stay_within_the_stores_rate():
    _, _, calls, write = begin_write()
    calls.apply(write, Written(1, 3), 1.0)
    made = 0
    for step in range(1000):
        calls.store_restored(0)
        calls._repeat = True
        made += calls.next_write(340, 1.0 + step * 0.01) is not None
    assert made <= 4 + 10 * 300 / 340
