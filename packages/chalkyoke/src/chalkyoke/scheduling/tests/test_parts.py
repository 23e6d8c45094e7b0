from chalkyoke.scheduling.estimates import OutputModel, QuantileTracker, SpeedModel
from chalkyoke.scheduling.prefixes import PrefixIndex
from hypothesis import given
from hypothesis import strategies as st


def test_slowed_engine_is_predicted_slow_after_a_few_reports():
    speed = SpeedModel(8000, 50, 1.5, 8)
    for _ in range(12):
        speed.learn_tokens(40, 4.0, 1)
    assert 4.0 < speed.token_time(1) / (1 / 50) < 5.5


def test_stalled_engine_is_predicted_slower_without_any_token():
    speed = SpeedModel(8000, 50, 1.5, 8)
    before = speed.token_time(1)
    for _ in range(5):
        speed.learn_tokens(0, 1.0, 1)
    assert speed.token_time(1) > 2 * before


@given(st.lists(st.floats(1, 4000), min_size=40, max_size=60), st.sampled_from([0.15, 0.5]))
def test_quantile_tracker_stays_near_range_of_samples(samples, quantile):
    tracker = QuantileTracker(quantile, samples[0])
    for sample in samples:
        tracker.learn(sample)
    assert 0.3 * min(samples) <= tracker.value <= 3 * max(samples)


def test_team_output_lengths_take_precedence_over_route_lengths():
    model = OutputModel()
    for _ in range(50):
        model.learn("r", "short", 20)
        model.learn("r", "long", 900)
    assert model.predict("r", "short", 4000).median < 60
    assert model.predict("r", "long", 4000).median > 500
    assert model.predict("r", "long", 100).median <= 100


def test_only_leading_blocks_count_as_cached():
    index = PrefixIndex()
    index.add_upstream("a", 10)
    index.add_upstream("b", 10)
    index.insert_blocks("a", (1, 2, 3))
    index.insert_blocks("b", (1, 9))
    assert index.matches((1, 2, 3, 4)) == {"a": 3, "b": 1}
    index.drop_blocks("a", (1,))
    assert index.matches((1, 2, 3)) == {"b": 1}


def test_full_cache_evicts_least_recently_used_blocks():
    index = PrefixIndex()
    index.add_upstream("a", 2)
    index.insert_blocks("a", (1, 2))
    index.insert_blocks("a", (1, 5))
    assert index.matches((1, 2)) == {"a": 1}
    index.remove_upstream("a")
    assert index.matches((1,)) == {}


def test_cache_misses_shrink_assumed_capacity():
    index = PrefixIndex()
    index.add_upstream("a", 100)
    for _ in range(30):
        index.correct_capacity("a", 5, 0)
    index.insert_blocks("a", tuple(range(100)))
    assert 5 < index.matches(tuple(range(100)))["a"] < 40
