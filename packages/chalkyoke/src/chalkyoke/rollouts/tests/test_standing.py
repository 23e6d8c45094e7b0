"""Eligibility of replicas while operators order versions."""

from types import SimpleNamespace

from chalkyoke.rollouts.resources import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
    TrackedOrder,
    matching_status,
)
from chalkyoke.rollouts.standing import Eligibility, VersionEligibility

USUAL, TRIAL, NOTHING = Eligibility.USUAL, Eligibility.TRIAL, Eligibility.NOTHING


def replicas(*versions):
    return [SimpleNamespace(service="s", version=each) for each in versions]


def order(version, revision, state=None):
    given = RolloutOrder("s", version, version, 20.0, revision)
    status = state and RolloutStatus("s", version, state, revision + 1)
    return {"s": TrackedOrder(given, 0.0, status)}


def eligibilities(versions, *names):
    return [versions.eligibility("s", each) for each in names]


def test_without_an_order_all_versions_take_all_requests():
    versions = VersionEligibility()
    versions.rebuild({}, replicas("1", "2"))
    assert eligibilities(versions, "1", "2") == [USUAL, USUAL]


def test_ordered_version_is_tried_and_then_used_alone_or_excluded():
    versions = VersionEligibility()
    versions.rebuild(order("2", 5), replicas("1", "2"))
    assert eligibilities(versions, "1", "2") == [USUAL, TRIAL]
    versions.rebuild(order("2", 5, RolloutState.COMPLETED), replicas("1", "2"))
    assert eligibilities(versions, "1", "2") == [NOTHING, USUAL]
    versions.rebuild(order("2", 5, RolloutState.ROLLED_BACK), replicas("1", "2"))
    assert eligibilities(versions, "1", "2") == [USUAL, NOTHING]


def test_order_for_the_only_running_version_excludes_no_replica():
    versions = VersionEligibility()
    versions.rebuild(order("1", 5), replicas("1"))
    assert eligibilities(versions, "1") == [USUAL]


def test_replica_list_without_the_old_replicas_does_not_end_a_trial():
    versions = VersionEligibility()
    versions.rebuild(order("2", 5), replicas("1", "2"))
    versions.rebuild(order("2", 5), replicas("2"))
    assert eligibilities(versions, "2") == [TRIAL]


def test_version_of_a_withdrawn_or_replaced_order_is_excluded_until_ordered_again():
    for after in ({}, order("3", 8)):
        versions = VersionEligibility()
        versions.rebuild(order("2", 5), replicas("1", "2"))
        versions.rebuild(after, replicas("1", "2"))
        assert eligibilities(versions, "1", "2") == [USUAL, NOTHING]
        versions.rebuild(order("2", 9), replicas("1", "2"))
        assert eligibilities(versions, "2") == [TRIAL]


def test_status_of_an_earlier_order_does_not_match_a_later_one():
    given = order("2", 9)["s"].order
    assert matching_status(given, RolloutStatus("s", "2", RolloutState.ROLLED_BACK, 6)) is None
    assert matching_status(given, RolloutStatus("s", "1", RolloutState.RUNNING, 10)) is None
    assert matching_status(given, RolloutStatus("s", "2", RolloutState.RUNNING, 10)) is not None
