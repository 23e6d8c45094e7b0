import asyncio

import falcon.asgi
import falcon.testing
from chalkyoke import problems
from chalkyoke.configuration.messages import ListedHost
from chalkyoke.configuration.resources import build_resources, read_document
from chalkyoke.invariants import require
from chalkyoke.node.fleet import FleetView


def host(name, leaving=False, **labels):
    return ListedHost(name, "127.0.0.1:1", "d1", leaving, labels)


def view(document, *hosts):
    return FleetView(build_resources(read_document(document).unwrap()).unwrap(), hosts)


MODEL = {
    "service": [
        {"name": "m", "protocol": "completions", "selector": {"kind": "engine"}, "shards": 4}
    ],
    "upstream_class": [
        {"name": "any", "selector": {"kind": "engine"}, "slots": 2},
        {
            "name": "new",
            "selector": {"kind": "engine", "hw": "g4"},
            "slots": 9,
            "labels": {"fast": "yes"},
        },
    ],
    "route": [
        {"name": "all", "service": "m"},
        {
            "name": "desk",
            "service": "m",
            "match": {"channel": ["desk"]},
            "upstreams": {"fast": "yes"},
        },
        {"name": "away", "service": "m", "match": {"channel": {"not": ["desk"]}, "x": "y"}},
    ],
    "tier": [{"name": "used", "rank": 0}, {"name": "unused", "rank": 1}],
    "team": [{"name": "t", "tiers": ["used"]}],
}


def test_every_request_goes_to_a_shard_that_has_upstreams():
    fleet = view(MODEL, host("e1", kind="engine"), host("e2", kind="engine", hw="g4"))
    filled = {name for name, pool in fleet.pools.items() if pool.upstreams}
    assert {fleet.pool("m", f"r{i}") for i in range(200)} == filled
    assert sum(len(pool.upstreams) for pool in fleet.pools.values()) == 2


def test_the_most_specific_class_and_route_win():
    fleet = view(MODEL, host("e1", kind="engine"), host("e2", kind="engine", hw="g4"))
    slots = {up.id: up.slots for pool in fleet.pools.values() for up in pool.upstreams}
    assert slots == {"e1": 2, "e2": 9}
    assert fleet.route("m", {"channel": "desk"}).name == "desk"
    assert fleet.route("m", {"channel": "kiosk", "x": "y"}).name == "away"
    assert fleet.route("m", {}).name == "all"


def test_a_fleet_view_lists_routes_without_upstream_and_unused_tiers():
    fleet = view(MODEL, host("e1", kind="engine"))
    assert fleet.routes_without_upstream() == ["desk"]
    assert fleet.unused_tiers() == ["unused"]


def test_a_leaving_upstream_is_not_dispatched_to():
    fleet = view(MODEL, host("e1", kind="engine", leaving=True), host("e2", kind="engine"))
    assert not fleet.may_dispatch("e1")
    assert not fleet.may_dispatch("gone")
    assert fleet.may_dispatch("e2")


def test_an_invariant_broken_in_a_page_reaches_the_loop_exception_handler():
    class Page:
        async def on_get(self, req, resp):
            require(False, "a promise")

    async def main():
        seen = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: seen.append(context["exception"]))
        app = falcon.asgi.App()
        app.add_route("/", Page())
        problems.stop_on_broken_invariants(app)
        async with falcon.testing.ASGIConductor(app) as conductor:
            result = await conductor.simulate_get("/")
        assert result.status_code == 500
        assert "a promise" in str(seen[0])

    asyncio.run(main())
