from chalkyoke.scheduling.pool import PoolState
from chalkyoke.scheduling.state import PoolSpec, UpstreamSpec


def spec(name, prefill=35_000):
    return UpstreamSpec(name, "127.0.0.1:1", "z", 4, prefill, 180, setup_s=0.05)


def test_new_upstream_starts_with_median_speed_of_similar_ones():
    pool = PoolState(PoolSpec("p", (spec("a"), spec("b"), spec("c"))))
    for name, factor in (("a", 0.6), ("b", 0.7), ("c", 3.0)):
        pool.upstreams[name].speed.adopt_factors(factor, factor, 9)
    pool.configure(PoolSpec("p", (spec("a"), spec("b"), spec("c"), spec("d"), spec("e", 9_000))))
    assert pool.upstreams["d"].speed.prefill_factor == 0.7
    assert pool.upstreams["e"].speed.prefill_factor == 1.0, "initial estimates differ"
