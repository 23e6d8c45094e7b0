from types import SimpleNamespace

from chalkyoke.catalog.resources import Catalog, Route, RouteKind, Service, Target, Team
from chalkyoke.gateway.intake import Intake
from chalkyoke.gateway.ports import RequestFields
from chalkyoke.memory.account import MemoryAccount, Purpose

LIMIT = 40_000_000
TARGETS = (Target("s", 1.0),)
ROUTES = tuple(
    Route(name, "h", f"/{name}/", TARGETS, RouteKind.STREAM, 8.0, 0.5, 0.3, rank=rank)
    for rank, name in enumerate(("urgent", "usual", "idle"))
)
TEAMS = {"vip": Team("vip", ("v",), rank=0), "low": Team("low", ("l",), rank=9)}


def intake_with(total):
    catalog = Catalog(1, ROUTES, {"s": Service("s")}, TEAMS)
    account = MemoryAccount(LIMIT)
    account.add(Purpose.BODIES_KEPT, total)
    refused = []
    headers = SimpleNamespace(
        read_request=lambda headers: RequestFields("r", key=dict(headers).get(b"key"))
    )
    intake = Intake(account, headers, lambda: catalog, refused.append)

    def admits(path, key=None):
        return intake(path, [(b"host", b"h"), (b"key", key)], 10_000)

    return admits, refused


def test_requests_are_refused_by_the_rank_of_their_team_and_route():
    admits, refused = intake_with(int(LIMIT * 0.88))
    assert admits(b"/urgent/x", "v") and admits(b"/idle/x", "v")
    assert not admits(b"/idle/x", "l") and not admits(b"/none/x", "v")
    assert [each.length for each in refused] == [10_000, 10_000]
    assert refused[0].rank > 0 and refused[1].rank is None


def test_all_requests_are_read_while_there_is_room():
    admits, refused = intake_with(0)
    assert admits(b"/idle/x", "l") and admits(b"/none/x")
    assert refused == []
