import random

import msgspec
import pytest
from chalkyoke.quotas.ledger import HandedOffWindow, new_ledger
from chalkyoke.quotas.messages import QuotaRequest, QuotaSpent
from chalkyoke.quotas.owner import Presence, QuotaOwner
from chalkyoke.quotas.window import WINDOW_PARTS

from .fleet import LIMITS, TEAM, Fleet

MOST = LIMITS.window_limit(TEAM.rate_per_s, TEAM.burst)


def play(fleet, demand, seconds, seed=1, events=(), only=None):
    """Send requests of a few thousand tokens.

    :param demand: demand as a multiple of the team's rate.
    :param events: pairs of a time in seconds and a function that is called with the fleet.
    :param only: names of the nodes that get requests; all nodes if None.
    """
    rng = random.Random(seed)
    events = sorted(events, key=lambda each: each[0])
    end = fleet.now + seconds
    while fleet.now < end:
        while events and events[0][0] <= fleet.now:
            events.pop(0)[1](fleet)
        cost = rng.choice((200, 1200, 3000, 3000, 9000))
        names = only or [name for side in fleet.sides for name in side]
        weights = [1 + 5 * (name % 3 == 0) for name in names]
        fleet.send_request(rng.choices(names, weights)[0], cost)
        fleet.now += rng.expovariate(demand * TEAM.rate_per_s / 3280)


def kill_event(names):
    return lambda fleet: fleet.kill(*names)


def refused_share(fleet):
    asked = len(fleet.passed) + len(fleet.refused)
    return len(fleet.refused) / asked


@pytest.mark.parametrize("demand", [4.0, 8.0])
def test_a_team_with_demand_far_above_its_quota_stays_within_the_limit(demand):
    fleet = Fleet()
    play(fleet, demand, 30)
    assert 0.6 * MOST < fleet.worst_window() <= MOST


def test_a_team_within_its_quota_is_hardly_ever_refused():
    fleet = Fleet()
    play(fleet, 0.8, 60)
    assert refused_share(fleet) < 0.01


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("demand", [1.0, 4.0])
def test_kills_of_owners_and_nodes_keep_the_limit(seed, demand):
    rng = random.Random(seed)
    kills = [(at, kill_event(rng.sample(range(9), 3))) for at in (6, 8, 11, 15, 21)]
    fleet = Fleet()
    play(fleet, demand, 30, seed, kills)
    assert fleet.worst_window() <= MOST


@pytest.mark.parametrize("at", [1.0, 2.0, 4.0, 9.0])
def test_killing_all_nodes_keeps_the_limit_and_the_service(at):
    fleet = Fleet()
    play(fleet, 4.0, 24, events=[(at, lambda fleet: fleet.kill(*range(9)))])
    assert fleet.worst_window() <= MOST

    fleet = Fleet()
    play(fleet, 0.55, 20, events=[(8, lambda fleet: fleet.kill(*range(9)))])
    assert refused_share(fleet) < 0.06


@pytest.mark.parametrize(("seed", "at"), [(123, 4.48), (70, 4.82), (149, 2.28)])
def test_killing_all_nodes_during_an_initial_burst_keeps_the_limit(seed, at):
    """The whole limit is spent just before, within little more than half of a window."""
    fleet = Fleet()
    play(fleet, 8.0, 16, seed, [(at, lambda fleet: fleet.kill(*range(9)))])
    assert fleet.worst_window() <= 0.98 * MOST


def lose_owner(fleet):
    fleet.lose(fleet.owner_of(next(iter(fleet.sides[0]))))


@pytest.mark.parametrize("at", [8.5, 9.0, 10.5, 13.0])
def test_losing_the_first_owner_after_a_first_start_keeps_the_limit(at):
    """The successor was never an owner, and must not assume that nothing was spent."""
    fleet = Fleet()
    fleet.now = 5.0
    play(fleet, 8.0, 18, events=[(at, lose_owner)])
    assert fleet.worst_window() <= MOST


def test_planned_owner_changes_refuse_no_requests():
    """Nodes leave as planned and return, one after the other; each owner hands off its window."""
    fleet = Fleet()

    def stopping(name):
        return lambda fleet: fleet.leave(name)

    events = [(10.0 + 2 * n, stopping(n)) for n in range(9)]
    play(fleet, 0.9, 32, events=events)
    assert refused_share(fleet) < 0.01
    assert fleet.worst_window() <= MOST


@pytest.mark.parametrize("first", [0, 1])
def test_of_two_handed_off_windows_the_one_with_more_spending_counts(first):
    """After two quick changes of the owner, the last but one reports an old window."""
    owner = QuotaOwner(LIMITS, first_start=False, identity=9)
    owner.start_owning(TEAM, Presence(9, 9), 100.0)
    windows = [tuple([100.0] * 40), tuple([5000.0] * 40)]
    for index in (first, 1 - first):
        report = QuotaSpent("t", f"n{index}", 0.0, 90.0, windows[index])
        owner.apply_spending_report(TEAM, report, Presence(9, 9), 100.01)
    grant = owner.answer_request(TEAM, QuotaRequest("t", 1, 1e9, 0.0, 1), Presence(9, 9), 100.02)
    assert grant.amount == 0 and 190_000 < grant.spent <= 200_000


def test_a_partition_keeps_the_limit_and_each_side_serves_its_share():
    events = [
        (8, lambda fleet: fleet.cut(range(6), range(6, 9))),
        (14, lambda fleet: fleet.cut(range(9))),
    ]
    fleet = Fleet()
    play(fleet, 4.0, 26, events=events)
    assert fleet.worst_window() <= MOST

    fleet = Fleet()
    play(fleet, 0.55, 26, events=events)
    assert refused_share(fleet) < 0.05


def lower_quota(fleet):
    fleet.team = msgspec.structs.replace(TEAM, rate_per_s=12_000, burst=12_000)


def test_a_lowered_quota_limits_later_spending():
    fleet = Fleet()
    play(fleet, 1.0, 30, events=[(10, lower_quota)])
    lowered = LIMITS.window_limit(12_000, 12_000)
    assert fleet.worst_window() <= MOST
    assert fleet.worst_window(since=10.0) <= lowered


def test_a_lowered_quota_refuses_no_request_for_earlier_spending():
    fleet = Fleet()
    play(fleet, 1.0, 10)
    lower_quota(fleet)
    play(fleet, 0.3, 10)
    early = [at for at, _ in fleet.refused if 10.0 <= at < 18.0]
    assert len(early) <= 0.02 * len([at for at, _ in fleet.passed if 10.0 <= at < 18.0])


def raise_quota(fleet):
    fleet.team = TEAM


def lower_quota_far(fleet):
    fleet.team = msgspec.structs.replace(TEAM, rate_per_s=600, burst=600)


def test_a_quota_that_falls_and_rises_several_times_holds_in_each_window():
    """Guards against spending that a lower quota hides from the higher one that follows it."""
    fleet = Fleet()
    dips = [10.0, 12.5, 15.0]
    falls = [(at, lower_quota_far) for at in dips]
    rises = [(at + 0.2, raise_quota) for at in dips]
    play(fleet, 4.0, 26, events=sorted(falls + rises, key=lambda event: event[0]))
    assert fleet.worst_window() <= MOST


def test_less_urgent_requests_are_refused_first_unless_they_are_cheap():
    fleet = Fleet()
    while fleet.send_request(0, 3000, rank=2):
        pass
    assert not fleet.send_request(0, 3000, rank=2)
    assert fleet.send_request(0, 3000, rank=0)
    assert fleet.send_request(0, 200, rank=2)


def cut_in_halves(fleet):
    fleet.cut_unnoticed(2.0, range(3), range(3, 6))


@pytest.mark.parametrize("seed", range(3))
def test_each_side_of_a_partition_keeps_serving_its_usual_load(seed):
    """The new owner of a side knows the earlier spending, and counts only its share of it."""
    fleet = Fleet(6)
    fleet.team = msgspec.structs.replace(TEAM, rate_per_s=200_000, burst=200_000)
    play(fleet, 5.6, 22, seed, events=[(10, cut_in_halves)])
    refused = [at for at, _ in fleet.refused if at >= 12.0]
    passed = [at for at, _ in fleet.passed if at >= 12.0]
    assert len(refused) <= 0.06 * len(passed), (
        "without copies and shares of the rest, 8 to 17 in 100 are refused"
    )


def heal(fleet):
    fleet.reach = None
    fleet.cut(range(9))


@pytest.mark.parametrize("seed", [1279, 2889, 1714])
def test_losing_an_owner_just_after_a_healed_partition_keeps_the_limit(seed):
    """The successor's copy contains the cost that the other side leased."""
    fleet = Fleet()
    events = [
        (6.6, lambda fleet: fleet.cut_unnoticed(0.55, range(6), range(6, 9))),
        (13.5, heal),
        (15.6, kill_event((8, 3, 7, 2, 6))),
    ]
    play(fleet, 4.0, 26, seed, events)
    assert fleet.worst_window() <= MOST


@pytest.mark.parametrize("seed", [1812, 2634, 2313])
def test_successive_partitions_under_overload_keep_the_limit(seed):
    """Nodes that detect a partition late spend their own share and report it to the owners."""
    fleet = Fleet()
    three = (range(3), range(3, 6), range(6, 9))
    events = [
        (7.4, lambda fleet: fleet.cut_unnoticed(1.4, range(3), range(3, 9))),
        (11.0, heal),
        (13.4, lambda fleet: fleet.cut_unnoticed(2.4, *three)),
        (18.8, heal),
    ]
    play(fleet, 8.0, 28, seed, events)
    assert fleet.worst_window() <= MOST


def test_assumed_spending_is_not_returned():
    """After all nodes are killed, nodes that own a team for a moment have leased nothing."""
    owner = QuotaOwner(LIMITS, first_start=False, identity=9)
    owner.start_owning(TEAM, Presence(5, 9), 0.5)
    assert owner.release_unowned(lambda _: False, 0.9) == []

    owner.start_owning(TEAM, Presence(3, 9), 1.0)
    asked = owner.answer_request(TEAM, QuotaRequest("t", 1, 500.0, 0.0, 1), Presence(3, 9), 1.1)
    assert asked.amount == 500.0
    (returned,) = owner.release_unowned(lambda _: False, 1.2)
    assert sum(returned.parts) == 500.0


@pytest.mark.parametrize("seed", range(3))
def test_refunds_under_overload_keep_the_limit(seed):
    """A third of the admitted requests is refused before it runs, and its cost is refunded."""
    rng = random.Random(seed)
    fleet = Fleet()
    waiting = []

    def refund_due(fleet):
        while waiting and waiting[0][0] <= fleet.now:
            _, node, cost, lease_window = waiting.pop(0)
            node.leases.refund("t", cost, lease_window, node.local(fleet.now))

    while fleet.now < 30.0:
        refund_due(fleet)
        cost, name = rng.choice((200, 1200, 3000, 9000)), rng.randrange(9)
        node = fleet.nodes[name]
        if fleet.send_request(name, cost) and rng.random() < 0.33:
            fleet.passed.pop()
            lease_window = node.leases.lease_window("t")
            waiting.append((fleet.now + rng.uniform(0.0, 2.0), node, cost, lease_window))
            waiting.sort(key=lambda each: each[0])
        fleet.now += rng.expovariate(6.0 * TEAM.rate_per_s / 3350)
    assert 0.6 * MOST < fleet.worst_window() <= MOST


def test_owner_changes_while_a_host_is_missing_refuse_no_requests():
    """A window is handed off although a host is missing; the host may be restarting."""
    fleet = Fleet()
    fleet.team = msgspec.structs.replace(TEAM, rate_per_s=200_000, burst=200_000)
    fleet.lose(8)
    events = [(10.0 + 2 * n, lambda fleet, n=n: fleet.leave(n)) for n in range(8)]
    play(fleet, 4.0, 30, events=events)
    late = [at for at, _ in fleet.refused if at > 9.0]
    assert len(late) <= 0.01 * len(fleet.passed)


def test_the_retry_delay_follows_the_growth_of_the_share_and_not_the_window():
    """Guards against a retry delay that ignores the growth of the owner's share.

    After a power loss at 78 hosts, callers got a delay of 7.6 s, while the owner's share of the
    limit, a third at its start, grew by an eighth per second.
    """
    owner = QuotaOwner(LIMITS, first_start=False, identity=9)
    owner.start_owning(TEAM, Presence(3, 9), 0.5)
    while owner.answer_request(
        TEAM, QuotaRequest("t", 1, 3000.0, 0.0, 1), Presence(3, 9), 0.6
    ).amount:
        pass
    grant = owner.answer_request(TEAM, QuotaRequest("t", 2, 3000.0, 0.0, 1), Presence(9, 9), 0.6)
    assert grant.amount == 0 and grant.retry_after_s < 0.2
    later = 0.6 + grant.retry_after_s + 0.05
    assert owner.answer_request(
        TEAM, QuotaRequest("t", 3, 3000.0, 0.0, 1), Presence(9, 9), later
    ).amount
    cut = owner.answer_request(TEAM, QuotaRequest("t", 4, 9000.0, 0.0, 1), Presence(3, 9), later)
    assert cut.amount == 0 and cut.retry_after_s > 1.0


@pytest.mark.parametrize("copied", [True, False])
def test_the_same_spending_by_two_clocks_counts_once(copied):
    """Two nodes report the same window, with slightly different edges of its parts."""
    ledger = new_ledger(LIMITS, 1, MOST, 1.0, 10.0)
    spikes = tuple(9000.0 if part % 4 == 0 else 0.0 for part in range(WINDOW_PARTS))
    shifted = (*spikes[1:], 0.0)
    ledger.resume_window(HandedOffWindow(spikes, copied=copied), 10.0)
    ledger.resume_window(HandedOffWindow(shifted, copied=copied), 10.0)
    assert ledger.window.spent(10.0) == sum(spikes)
