from chalkyoke.outcomes import Reason
from chalkyoke.scheduling.messages import Acquire, Grant, Release, Shed, Usage
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec
from chalkyoke.scheduling.versionroutes import version_route, without_version


def make_scheduler(versions):
    """Create a scheduler of upstreams with one slot each; ``versions`` maps them to versions."""
    by_version = {
        version: frozenset(each for each in versions if versions[each] == version)
        for version in versions.values()
    }
    spec = PoolSpec(
        "pool",
        tuple(UpstreamSpec(name, f"{name}:1", "d", 1, 1000, 50) for name in versions),
        (TierSpec("high", 0),),
        (TeamSpec("a"),),
        (
            RouteSpec("r", frozenset(versions)),
            *(RouteSpec(version_route("r", each), ids) for each, ids in by_version.items()),
        ),
    )
    return PoolScheduler(spec, lambda: 0.5, 0.0)


def acquire(scheduler, name, version=None, now=0.0):
    message = Acquire(name, 1, "pool", "r", "high", "a", 100, 100, (), 30.0, 0.0, version=version)
    return [each.action for each in scheduler.acquire("e1", "d", message, now)]


def test_a_stream_waits_for_its_version_while_upstreams_of_another_are_free():
    scheduler = make_scheduler({"u1": "v1", "u2": "v2", "u3": "v2"})
    [first] = acquire(scheduler, "x", "v1")
    assert isinstance(first, Grant) and first.upstream == "u1"
    assert acquire(scheduler, "y", "v1") == []
    [free] = acquire(scheduler, "z")
    assert free.upstream in ("u2", "u3")
    ended = Release("x", 1, "pool", "delivered", Usage(100, 0, 20, 0.1, 0.5))
    [next_grant] = [each.action for each in scheduler.release("d", ended, 1.0)]
    assert (next_grant.request, next_grant.upstream) == ("y", "u1")


def test_a_stream_whose_version_has_no_upstream_is_refused():
    [refusal] = acquire(make_scheduler({"u1": "v1"}), "x", "v2")
    assert isinstance(refusal, Shed) and refusal.reason is Reason.NO_UPSTREAM


def test_an_empty_version_is_a_version():
    [grant] = acquire(make_scheduler({"u1": "v1", "u2": ""}), "x", "")
    assert grant.upstream == "u2"


def test_a_stream_that_has_begun_precedes_new_requests_of_all_teams():
    """Guards against streams that were started last of all, since their goal had passed."""
    scheduler = make_scheduler({"u1": "v1", "u2": "v2"})
    acquire(scheduler, "w1"), acquire(scheduler, "w2")
    for number in range(3):
        assert acquire(scheduler, f"new{number}") == []
    assert acquire(scheduler, "begun", "v1") == []
    scheduler.tick(2.0)
    ended = Release("w1", 1, "pool", "delivered", Usage(100, 0, 20, 0.1, 0.5))
    [granted] = [each.action for each in scheduler.release("d", ended, 2.1)]
    assert (granted.request, granted.upstream) == ("begun", "u1")


def test_outputs_are_learned_under_the_route_in_the_catalog():
    assert without_version(version_route("r", "v1.1")) == without_version("r") == "r"
