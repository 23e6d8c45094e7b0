import itertools
import random

import pytest
from chalkyoke.membership.messages import Digest, Heartbeat, ShortHeartbeat, Summary
from chalkyoke.membership.owners import ranked_hosts
from chalkyoke.membership.rosters import checksum
from chalkyoke.membership.state import Candidate, Joined, Left
from chalkyoke.membership.view import MembershipView

from tests.memberfleet import DelayedFleet, Fleet, member_record

TWO = {"d1": ["a1", "a2", "a3"], "d2": ["b1", "b2", "b3"]}
ALL = {"a1", "a2", "a3", "b1", "b2", "b3"}


def test_all_processes_of_all_domains_are_seen():
    fleet = Fleet(TWO)
    fleet.run(3)
    assert all(fleet.live_hosts(viewer) == ALL for viewer in ALL)
    owners = {view.pool_owner("p").host for view in fleet.views.values()}
    assert len(owners) == 1


def test_silent_process_is_removed_from_every_view():
    fleet = Fleet(TWO)
    fleet.run(3)
    fleet.blocked.add("a1")
    fleet.run(6)
    assert all(fleet.live_hosts(viewer) == ALL - {"a1"} for viewer in ALL - {"a1"})


def test_each_side_of_a_partition_has_an_owner_and_views_merge_after_healing():
    fleet = Fleet(TWO)
    fleet.run(3)
    fleet.blocked = {(a, b) for a in TWO["d1"] for b in TWO["d2"]} | {
        (b, a) for a in TWO["d1"] for b in TWO["d2"]
    }
    fleet.run(6)
    assert fleet.live_hosts("a1") == set(TWO["d1"])
    assert fleet.views["b1"].pool_owner("p").host in TWO["d2"]
    fleet.blocked = set()
    fleet.run(4)
    assert all(fleet.live_hosts(viewer) == ALL for viewer in ALL)


def test_traffic_between_domains_does_not_grow_with_their_square():
    counts = []
    for size in (5, 20):
        fleet = Fleet({d: [f"{d}{i}" for i in range(size)] for d in ("x", "y")})
        fleet.run(3)
        before = fleet.cross_domain_messages
        fleet.run(10)
        counts.append(fleet.cross_domain_messages - before)
    assert 0 < counts[1] <= 1.25 * counts[0]


def test_restarted_host_replaces_its_earlier_incarnation_for_good():
    view = MembershipView(member_record("me"))
    old, new = member_record("h", incarnation=7), member_record("h", incarnation=8)
    assert view.receive("h:1", Heartbeat(old, 5), 0.0)[0] == [Joined(old)]
    assert view.receive("h:1", Heartbeat(new, 1), 0.1)[0] == [Left(old), Joined(new)]
    assert view.receive("h:1", Heartbeat(old, 6), 0.2)[0] == []
    assert view.find("h") == new


def test_duplicate_of_an_old_heartbeat_keeps_no_process_alive():
    view = MembershipView(member_record("me"))
    view.receive("h:1", Heartbeat(member_record("h"), 5), 0.0)
    view.receive("h:1", Heartbeat(member_record("h"), 5), 3.0)
    assert [type(each) for each in view.tick(3.1)] == [Left]


def test_a_leaving_process_owns_no_pool():
    view = MembershipView(member_record("me"))
    view.receive("h:1", Heartbeat(member_record("h"), 1), 0.0)
    view.update_self(leaving=True)
    assert view.pool_owner("any").host == "h"


def test_leaving_of_the_last_member_of_a_domain_is_reported():
    """Guards against a leaving last member that counts as owner of duties for 2.5 s more."""
    fleet = Fleet({"d1": ["a1", "a2"], "d2": ["b1"]})
    fleet.run(3)
    fleet.views["b1"].update_self(leaving=True)
    fleet.run(0.5)
    for viewer in ("a1", "a2"):
        assert fleet.views[viewer].find("b1").leaving


def owner(pool, hosts):
    return ranked_hosts(pool, [Candidate(host, f"{host}:1", "d1") for host in hosts])[0].host


def test_only_the_pools_of_a_removed_host_move():
    hosts = [f"h{i}" for i in range(10)]
    pools = [f"p{i}" for i in range(300)]
    gone = random.Random(1).choice(hosts)
    moved = [p for p in pools if owner(p, hosts) != owner(p, [h for h in hosts if h != gone])]
    assert all(owner(p, hosts) == gone for p in moved)
    assert owner("p", hosts) == owner("p", reversed(hosts))


def test_short_heartbeat_keeps_a_known_process_alive_and_adds_no_unknown_one():
    view = MembershipView(member_record("me"))
    short = ShortHeartbeat("h", 1, "d1", 9)
    assert view.receive("h:1", short, 0.0) == ([], [])
    view.receive("h:1", Heartbeat(member_record("h"), 8), 0.0)
    view.receive("h:1", short, 1.4)
    assert view.tick(2.5) == []
    assert view.receive("h:1", ShortHeartbeat("h", 2, "d1", 99), 2.6) == ([], [])
    assert [type(each) for each in view.tick(3.0)] == [Left]


def test_changed_record_is_sent_in_full_at_once():
    view = MembershipView(member_record("me"))
    view.set_candidates([Candidate("h", "h:1", "d1")])
    kinds = [type(view.due_messages(i)[0].message) for i in range(1, 20)]
    assert ShortHeartbeat in kinds
    view.update_self(revision=2)
    assert view.due_messages(20)[0].message.record.revision == 2


def test_every_change_of_the_view_raises_its_generation():
    view = MembershipView(member_record("me"))
    shown, seen = [], []
    digest = Digest("d2", "x/1", 1)
    for step in (
        lambda: view.receive("h:1", Heartbeat(member_record("h"), 1), 0.0),
        lambda: view.receive("h:1", Heartbeat(member_record("h", ready=False), 2), 0.1),
        lambda: view.receive("h:1", Heartbeat(member_record("h", incarnation=2), 1), 0.2),
        lambda: view.update_self(leaving=True),
        lambda: view.receive("x:1", Summary(digest, (member_record("x", "d2"),)), 0.3),
        lambda: view.tick(60.0),
        lambda: view.receive("h:1", ShortHeartbeat("h", 2, "d1", 9), 61.0),
    ):
        step()
        shown.append(view.live())
        seen.append(view.generation)
    assert all(one != other for one, other in itertools.pairwise(shown))
    assert all(one < other for one, other in itertools.pairwise(seen))


def newcomer(host, domain="d1"):
    return MembershipView(member_record(host, domain, incarnation=77))


def test_new_member_does_not_report_its_domain_to_other_domains():
    fleet = Fleet(TWO)
    fleet.run(3)
    shown = {each.host for each in fleet.views["b1"].live()}
    fresh = newcomer("a9")
    for _ in range(3):
        for send in fresh.due_messages(0.0):
            assert send.message.digests == ()
        changes, _ = fleet.views["b1"].receive("a9:1", fresh.full_heartbeat(), fleet.now)
        assert changes == []
    assert {each.host for each in fleet.views["b1"].live()} == shown


def test_new_member_learns_of_all_others_from_one_seed():
    fleet = Fleet(TWO)
    fleet.run(3)
    fresh = newcomer("a9")
    seed = fleet.views["a1"]
    _, sends = seed.receive("a9:1", fresh.full_heartbeat(), fleet.now)
    for send in sends:
        if send.address == "a9:1":
            fresh.receive(seed.record.address, send.message, 0.0)
    contacted = {send.address for send in fresh.due_messages(0.1)}
    for host in TWO["d1"]:
        assert fleet.views[host].record.address in contacted
    assert {each.host for each in fresh.live()} >= set(TWO["d2"])


def test_pool_owners_are_listed_in_order_of_succession():
    fleet = Fleet(TWO)
    fleet.run(3)
    view = fleet.views["a1"]
    owners = [each.host for each in view.pool_owners("p")]
    assert sorted(owners) == sorted(TWO["d1"] + TWO["d2"])
    assert view.pool_owner("p").host == owners[0]


def test_first_three_pool_owners_cover_both_sides_of_a_partition():
    three = {"d1": ["a1", "a2", "a3"], "d2": ["b1", "b2"], "d3": ["c1", "c2"]}
    fleet = Fleet(three)
    fleet.run(3)
    for number in range(20):
        first = set()
        for host in ("a1", "b1", "c1"):
            owners = fleet.views[host].pool_owners(f"p{number}")
            domains = [each.failure_domain for each in owners]
            assert domains[0] != domains[1]
            assert fleet.views[host].domain in domains[:3]
            assert len({each.host for each in owners}) == 7
            first.add((owners[0].host, owners[1].host))
        assert len(first) == 1


def large(count):
    return {"d1": [f"a{n}" for n in range(count)], "d2": ["b1", "b2"]}


def test_messages_per_member_do_not_grow_with_a_large_domain():
    messages_per_member = []
    for count in (8, 24):
        fleet = Fleet(large(count))
        fleet.run(10)
        fleet.message_count = 0
        fleet.run(10)
        assert len(fleet.live_hosts("a0")) == count + 2
        messages_per_member.append(fleet.message_count / count)
    assert messages_per_member[1] <= 1.25 * messages_per_member[0]


def test_large_domain_removes_a_silent_member_in_seconds_and_no_other():
    fleet = Fleet(large(24))
    fleet.run(10)
    fleet.blocked.add("a7")
    fleet.run(3.5)
    for viewer in ("a0", "a23", "b1"):
        assert "a7" not in fleet.live_hosts(viewer)
    fleet.run(20)
    assert len(fleet.live_hosts("a0")) == 25


def test_change_is_broadcast_at_once_in_a_large_domain():
    fleet = Fleet(large(24))
    fleet.run(10)
    fleet.views["a3"].update_self(leaving=True)
    fleet.run(0.25)
    assert fleet.views["a9"].find("a3").leaving


# Guards against an outdated summary that keeps circulating among the members of a domain, so that
# they compute another owner of a pool than the other domains do.
def test_an_outdated_summary_of_a_domain_does_not_last():
    domains = {name: [f"{name}{number}" for number in range(6)] for name in "abcd"}
    fleet = DelayedFleet(domains)
    fleet.run(4.0)
    assert {len(fleet.live_hosts(host)) for host in fleet.views} == {24}
    few = (fleet.views["d0"].record,)
    outdated = Summary(Digest("d", few[0].process, checksum(few)), few)
    for host in ("b1", "b3", "b5"):
        fleet.views[host].receive("b0:1", outdated, fleet.now)
    fleet.run(1.0)
    for _ in range(200):
        fleet.run(0.03)
        assert {len(fleet.live_hosts(host)) for host in fleet.views} == {24}


# Guards against incomplete views of other domains after a simultaneous restart of all hosts: their
# first summaries, with few members, kept circulating along with the later ones.
@pytest.mark.parametrize("size", [4, 12])
def test_views_are_complete_soon_after_a_simultaneous_restart(size):
    domains = {name: [f"{name}{number}" for number in range(size)] for name in "abc"}
    fleet = DelayedFleet(domains)
    fleet.run(4.0)
    for each in fleet.candidates:
        fleet.kill(each.host)
    for each in fleet.candidates:
        fleet.start(each.host, incarnation=2)
    fleet.run(3.0)
    for _ in range(40):
        fleet.run(0.05)
        assert {len(fleet.live_hosts(host)) for host in fleet.views} == {3 * size}
