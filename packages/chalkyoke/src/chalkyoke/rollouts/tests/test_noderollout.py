"""One node's part in an order: its requests to a version under trial, and its reports."""

from chalkyoke.rollouts.exposure import Exposure, ExposureBounds
from chalkyoke.rollouts.lead import Phase, RolloutLeader
from chalkyoke.rollouts.messages import RolloutUpdate
from chalkyoke.rollouts.noderollout import UPDATE_TTL_S, NodeRollout
from chalkyoke.rollouts.resources import RolloutOrder

BOUNDS = ExposureBounds(share=0.1, slack=0.0)


def make_rollout(over_s=20.0):
    order = RolloutOrder("s", "2", 2, over_s, 5)
    return NodeRollout(order, Exposure(BOUNDS, 3, lambda: 0.0), 0.0, 0.0)


def update(node, phase, now, least_s=0.0):
    node.apply_update(RolloutUpdate("s", 5, phase, least_s), now)


def send(node, count, now, lasts_s=0.1):
    taken = 0
    for _ in range(count):
        taken += node.admit_to_new_version(lasts_s, now, again=False)
        node.exposure.count_sent()
    return taken


def test_new_version_gets_no_requests_without_a_current_update_of_the_leader():
    node = make_rollout()
    assert send(node, 100, 1.0) == 0
    update(node, Phase.TRIAL, 1.0)
    assert send(node, 100, 1.1) > 0
    assert send(node, 100, 1.1 + UPDATE_TTL_S) == 0


def test_trial_uses_its_fraction_of_the_operators_share_and_no_retries():
    node = make_rollout()
    update(node, Phase.TRIAL, 0.0)
    assert send(node, 1000, 0.1) == 49
    node.exposure.count_sent()
    assert not any(node.admit_to_new_version(0.1, 0.2, again=True) for _ in range(100))


def test_requests_that_outlast_the_deadline_move_first_and_all_move_after_it():
    node = make_rollout()
    update(node, Phase.CLOSING, 16.0)
    send(node, 400, 16.0)
    while node.admit_to_new_version(0.1, 16.1, again=False):
        pass
    assert node.admit_to_new_version(4.0, 16.1, again=True)
    update(node, Phase.CLOSING, 20.1)
    assert all(node.admit_to_new_version(0.1, 20.1, again=True) for _ in range(100))


def test_rolled_back_version_stays_so_despite_updates_of_another_leader():
    node = make_rollout()
    update(node, Phase.TRIAL, 0.0)
    update(node, Phase.UNDONE, 0.5)
    update(node, Phase.TRIAL, 0.6)
    assert send(node, 100, 0.7) == 0
    assert node.report(0.7, 0, whole=True).undone


def test_age_of_an_order_is_at_least_what_another_node_reports():
    node = make_rollout()
    node.update_elapsed(7.0, 5.0)
    assert (node.elapsed(5.0).min_s, node.elapsed(5.0).max_s) == (7.0, 7.0)


def test_reports_may_be_repeated_and_later_ones_do_not_change_sent_ones():
    node, lead = make_rollout(), RolloutLeader()
    node.count_end("r", "", failed=False, ratio=1.0)
    first = node.report(1.0, 2, whole=False)
    node.count_end("r", "", failed=True, ratio=0.0)
    second = node.report(1.2, 2, whole=False)
    for report in (first, first, second, second):
        lead.apply_report("n1", report)
    (total,) = lead.tallies()
    assert (total.ends, total.failures, total.slowness) == (2, 1, {0: 1})
    # The node reports one more than it has while others may follow.
    assert lead.old_running(["n1"]) == 3
    assert lead.old_running(["n1", "silent"]) == 4
