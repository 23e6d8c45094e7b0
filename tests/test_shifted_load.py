"""Outputs that vary by a factor of 100 on engines of different speed; see tests.shiftedload."""

import msgspec
from chalkyoke.gateway.settings import GATEWAY_FEATURES

from tests.shiftedload import ShiftedLoad


def count_cut_off_streams(features, seeds, load):
    """Count the streams that are cut off at their deadline."""
    total = 0
    for seed in seeds:
        load_run = ShiftedLoad(seed, load=load, features=features).run_load(14.0)
        total += sum(each.cut for each in load_run.scores.values())
    return total


def test_short_requests_leave_fast_engines_to_streams_that_miss_their_deadline_elsewhere():
    """The feature is off by default: it delays first outputs, which costs more with tight goals."""
    sparing = msgspec.structs.replace(GATEWAY_FEATURES, spare=True)
    assert count_cut_off_streams(sparing, (1, 2), 0.8) <= 0.6 * count_cut_off_streams(
        GATEWAY_FEATURES, (1, 2), 0.8
    )
