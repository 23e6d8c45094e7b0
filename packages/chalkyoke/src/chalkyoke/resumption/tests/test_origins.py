import pytest
from chalkyoke.resumption.messages import Origin, VersionHistory
from chalkyoke.resumption.origins import MAX_ORIGINS, KeptOrigins, only_version, stream_key

FIRST, SECOND = Origin("model", "v1"), Origin("model", "v1.1")


def test_an_origin_is_kept_until_the_caller_can_no_longer_resume():
    kept = KeptOrigins()
    kept.put(1, FIRST, until=4.0, now=0.0)
    assert kept.find(1, 3.9) == FIRST and kept.find(1, 4.0) is None
    kept.drop_expired(4.0)
    assert len(kept) == 0


def test_a_known_origin_is_kept_for_longer_but_never_replaced():
    kept = KeptOrigins()
    kept.put(1, FIRST, until=4.0, now=0.0)
    kept.put(1, SECOND, until=9.0, now=1.0)
    assert kept.find(1, 8.0) == FIRST
    kept.put(1, FIRST, until=2.0, now=1.0)
    assert kept.find(1, 8.0) == FIRST
    kept.put(1, SECOND, until=20.0, now=9.0)
    assert kept.find(1, 10.0) == SECOND


def test_the_oldest_origins_are_dropped_first():
    kept = KeptOrigins()
    for stream in range(MAX_ORIGINS + 5):
        kept.put(stream, FIRST, until=4.0, now=0.0)
    assert len(kept) == MAX_ORIGINS
    assert kept.find(4, 0.0) is None and kept.find(5, 0.0) == FIRST


def test_attempts_of_two_teams_never_share_a_key():
    assert stream_key("a", "r1") == stream_key("a", "r1") < 2**63
    assert stream_key("a", "r1") != stream_key("b", "r1") != stream_key("b", "r2")


@pytest.mark.parametrize(
    ("histories", "found"),
    [
        ([VersionHistory(("v1",), 30.0)], "v1"),
        ([VersionHistory(("",), 30.0)], ""),
        ([VersionHistory(("v1",), 7.0)], None),
        ([VersionHistory(("v1",), 2.0), VersionHistory(("v1",), 30.0)], "v1"),
        ([VersionHistory(("v1",), 30.0), VersionHistory(("v1", "v2"), 2.0)], None),
        ([VersionHistory(("v1",), 30.0), VersionHistory(("v2",), 30.0)], None),
        ([VersionHistory(), VersionHistory(("v1",), 30.0)], "v1"),
        ([VersionHistory(("v1",), 30.0), VersionHistory((), 2.0, has_moved=True)], None),
        ([VersionHistory()], None),
        ([], None),
    ],
)
def test_without_a_record_only_a_single_version_for_long_enough_can_have_begun_a_stream(
    histories, found
):
    assert only_version(histories, 8.0) == found
