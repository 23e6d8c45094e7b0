from chalkyoke.scheduling.overlaps import Overlaps
from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.state import PoolSpec, RouteSpec
from hypothesis import given
from hypothesis import strategies as st

from .test_goals import upstream

NAMES = st.frozensets(st.sampled_from("uvwxyz"), max_size=4)


@given(st.lists(NAMES, max_size=8))
def test_routes_overlap_if_they_share_an_upstream(sets):
    routes = [RouteSpec(f"r{number}", names) for number, names in enumerate(sets)]
    overlaps = Overlaps(routes)
    for one in routes:
        for other in routes:
            shared = bool(one.upstreams & other.upstreams)
            assert ((one.name, other.name) in overlaps) == shared


def test_unknown_route_overlaps_none():
    overlaps = Overlaps([RouteSpec("r", frozenset("u"))])
    assert ("r", "gone") not in overlaps and ("gone", "gone") not in overlaps


class CountedSet(frozenset):
    """A set of upstreams that counts intersections with other sets."""

    compared = 0

    def __and__(self, other):
        CountedSet.compared += 1
        return frozenset.__and__(self, other)


def test_configuration_of_many_routes_compares_only_distinct_sets():
    """Comparing 1,400 routes over 140 upstreams in pairs would block an event loop for 6 s."""
    names = CountedSet(f"u{number}" for number in range(140))
    routes = tuple(RouteSpec(f"r{number}", names) for number in range(1400))
    CountedSet.compared = 0
    upstreams = tuple(upstream(name) for name in names)
    pool = PoolState(PoolSpec("pool", upstreams, (), (), routes))
    assert CountedSet.compared < 10
    assert ("r0", "r1399") in pool.overlaps and len(pool.eligible["r7"]) == 140
