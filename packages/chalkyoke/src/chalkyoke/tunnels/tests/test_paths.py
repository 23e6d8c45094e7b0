"""The states of the paths to replicas."""

from chalkyoke.tunnels.paths import (
    MAX_CHECK_INTERVAL_S,
    MAX_TUNNEL_BACKOFF_S,
    MIN_CHECK_INTERVAL_S,
    MIN_TUNNEL_BACKOFF_S,
    PathTable,
)

ADDRESS = ("10.0.0.1", 80)


def test_a_lost_path_is_checked_ever_more_rarely_until_it_is_back():
    paths, now = PathTable(), 10.0
    assert paths.record_lost(ADDRESS, now) and not paths.record_lost(ADDRESS, now)
    waits = []
    for _ in range(4):
        due = now + MIN_CHECK_INTERVAL_S
        while not paths.is_check_due(ADDRESS, due):
            due += MIN_CHECK_INTERVAL_S
        waits.append(due - now)
        now = due
        paths.record_check_failed(ADDRESS, now)
    assert waits == sorted(waits) and waits[0] == MIN_CHECK_INTERVAL_S
    assert waits[-1] == MAX_CHECK_INTERVAL_S
    assert paths.record_reached(ADDRESS) and not paths.record_reached(ADDRESS)
    assert not paths.is_lost(ADDRESS) and not paths.is_check_due(ADDRESS, now + 100.0)


def test_no_tunnel_is_tried_for_a_while_after_none_could_be_opened():
    paths = PathTable()
    paths.record_no_tunnel(ADDRESS, 10.0)
    assert not paths.may_tunnel(ADDRESS, 10.1)
    assert paths.may_tunnel(ADDRESS, 10.0 + MIN_TUNNEL_BACKOFF_S)
    for _ in range(40):
        paths.record_no_tunnel(ADDRESS, 10.0)
    assert not paths.may_tunnel(ADDRESS, 10.0 + MIN_TUNNEL_BACKOFF_S)
    assert paths.may_tunnel(ADDRESS, 10.0 + MAX_TUNNEL_BACKOFF_S)
    assert not paths.is_lost(ADDRESS) and paths.lost == []
    paths.prune(set())
    assert paths.may_tunnel(ADDRESS, 10.1)
