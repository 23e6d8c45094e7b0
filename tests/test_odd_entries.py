"""
tests.test_odd_entries

Guards against one odd entry in the store that ends every node. Another writer left a configuration
or a roll-out order that was nested too deeply, or held a number that no message can carry: all
nodes that read it ended, and ended again at each start.
"""

import asyncio
import json

import pytest
from chalkyoke_fakes.platformfleet import default_configuration

from tests.gatewayfleet import run_check
from tests.odddata import nest, replace_value

PATHS = ("/chat/1", "/explain/1", "/find/1", "/book/1")
NODES = 4
ASK_INTERVAL_S = 0.02
# Seconds for which callers ask beside each step.
STEP_S = 1.5
NESTED = nest(100_000)


def configuration(version, **fields):
    return {**default_configuration(version), **fields}


def encode_with(document, path, literal):
    """Encode a document with a value, given as JSON text, at the path of a field."""
    return json.dumps(replace_value(document, path, "@")).replace('"@"', literal).encode()


def odd_configurations():
    document = default_configuration(2)
    yield "nested", nest(100_000, opening='{"a":', closing="}").encode()
    yield "nested_field", encode_with({**document, "unknown": 0}, ("unknown",), NESTED)
    yield "not_utf8", b"\xff\xfe"
    yield "empty", b""
    yield "unknown_kind", encode_with(document, ("routes", 0, "kind"), '"sometimes"')
    for literal in (str(2**64), str(10**30), "1e400", "-1"):
        yield f"version_{literal}", encode_with(document, ("version",), literal)
    for path in (
        ("limits", "max-header-bytes"),
        ("routes", 2, "timeout-ms"),
        ("routes", 2, "priority"),
        ("services", 1, "max-conns"),
        ("tenants", 0, "priority"),
    ):
        yield f"{path[-1]}_of_{path[0]}", encode_with(document, path, str(10**30))


ODD_CONFIGURATIONS = dict(odd_configurations())


class Callers:
    """Ask the nodes one after the other, without a stop, and keep all answers."""

    def __init__(self, fleet):
        self.answers = []
        self.fleet = fleet
        self.nodes = list(range(len(fleet.nodes)))
        self._task = asyncio.ensure_future(self._ask())

    async def _ask(self):
        tasks = []
        try:
            for number in range(100_000):
                node = self.nodes[number % len(self.nodes)]
                path = PATHS[number % len(PATHS)]
                tasks.append(asyncio.ensure_future(self._send(node, path)))
                await asyncio.sleep(ASK_INTERVAL_S)
        finally:
            self._sent = tasks

    async def _send(self, node, path):
        self.answers.append(await self.fleet.send_request(node, path, until_whole=True))

    async def stop(self):
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await asyncio.gather(*self._sent)
        return self.answers

    def ask_all_but(self, *nodes):
        self.nodes = [each for each in range(len(self.fleet.nodes)) if each not in nodes]


def assert_alive(fleet, step):
    ended = {number: task.exception() for number, task in enumerate(fleet._tasks) if task.done()}
    assert not ended, (step, ended)


def assert_served(answers, share=1.0):
    lost = [each for each in answers if each.status != 200 or not each.whole]
    assert len(lost) <= (1 - share) * len(answers), (
        len(lost),
        len(answers),
        [(each.node, each.status, each.body[:200]) for each in lost[:5]],
    )


async def restart(fleet, callers, number):
    """Kill a node while its callers ask the others, and start it again."""
    callers.ask_all_but(number)
    await asyncio.sleep(1.0)
    await fleet.kill_node(number)
    fleet.start_node(number, first_start=False)
    await asyncio.sleep(STEP_S)
    assert fleet.nodes[number].is_ready()
    callers.ask_all_but()


async def check_fleet_goes_on(fleet, callers, later_version=9):
    """Check that a new replica, a new configuration and a restarted node serve."""
    assert_alive(fleet, "after the odd entry")
    await restart(fleet, callers, 1)
    assert (
        fleet.nodes[1].catalog.state.catalog.version == fleet.nodes[0].catalog.state.catalog.version
    )
    added = await fleet.add_replica("late", "seats", "a", False)
    document = configuration(later_version)
    document["routes"].append({**document["routes"][2], "name": "new", "path-prefix": "/new/"})
    fleet.store.put("op/config", json.dumps(document).encode())
    await asyncio.sleep(STEP_S)
    assert_alive(fleet, "after the next configuration")
    versions = [each.catalog.state.catalog.version for each in fleet.nodes]
    assert versions == [later_version] * len(fleet.nodes)
    new = [await fleet.send_request(each, "/new/1", until_whole=True) for each in range(NODES)]
    assert_served(new)
    await restart(fleet, callers, 2)
    await asyncio.sleep(STEP_S)
    assert_alive(fleet, "after a restart")
    assert_served(await callers.stop())
    assert added.runs, "the new replica runs no requests"


# Guards against a configuration that ends the nodes that read it, or that they tell no peer of.
@pytest.mark.parametrize("odd", ODD_CONFIGURATIONS)
def test_nodes_go_on_beside_an_odd_configuration(odd):
    async def check(fleet):
        callers = Callers(fleet)
        await asyncio.sleep(STEP_S)
        fleet.store.put("op/config", ODD_CONFIGURATIONS[odd])
        await asyncio.sleep(STEP_S)
        await check_fleet_goes_on(fleet, callers)

    run_check(check, domains=("a", "a", "b", "b"))


ORDER = {"to-version": "v2", "over-s": 20.0, "unknown": 0}
ODD_RECORDS = {
    "nested_field": encode_with(ORDER, ("unknown",), NESTED),
    "version": encode_with(ORDER, ("to-version",), str(10**30)),
    "long_version": encode_with(ORDER, ("to-version",), "1" * 4299),
    "not_utf8": b"\xff\xfe",
}


# Guards against an order or a status of a roll-out that ends the nodes that read it.
@pytest.mark.parametrize("key", ["op/rollout/seats", "status/rollout/seats"])
@pytest.mark.parametrize("odd", ODD_RECORDS)
def test_nodes_go_on_beside_an_odd_roll_out(key, odd):
    async def check(fleet):
        callers = Callers(fleet)
        await asyncio.sleep(STEP_S)
        fleet.store.put(key, ODD_RECORDS[odd])
        await asyncio.sleep(STEP_S)
        await check_fleet_goes_on(fleet, callers)

    run_check(check, domains=("a", "a", "b", "b"))


async def ask_readiness(fleet, number):
    """Ask a node whether it is ready, as the load balancer does; return the status and the body."""
    reader, writer = await asyncio.open_connection(f"10.1.0.{number + 1}", 81)
    writer.write(b"GET /readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
    head, _, body = (await reader.read(65_536)).partition(b"\r\n\r\n")
    writer.close()
    return int(head.split(b" ")[1]), body.decode()


# Guards against nodes that end at a start, or serve no more, since no node holds an older version.
@pytest.mark.parametrize("odd", ["nested_field", "not_utf8", f"version_{10**30}"])
def test_nodes_without_a_configuration_say_why_and_serve_the_next_one(odd):
    async def check(fleet):
        for number in range(NODES):
            await fleet.kill_node(number)
        fleet.store.put("op/config", ODD_CONFIGURATIONS[odd])
        for number in range(NODES):
            fleet.start_node(number, first_start=False)
        await asyncio.sleep(5.0)
        assert_alive(fleet, "after a start beside an odd configuration")
        for number in range(NODES):
            status, body = await ask_readiness(fleet, number)
            assert status == 503 and "the configuration can't be read: " in body, body
        fleet.store.put("op/config", json.dumps(configuration(9)).encode())
        await asyncio.sleep(STEP_S)
        for number in range(NODES):
            assert await ask_readiness(fleet, number) == (200, "ready")
        callers = Callers(fleet)
        await asyncio.sleep(STEP_S)
        assert_served(await callers.stop())

    run_check(check, domains=("a", "a", "b", "b"))
