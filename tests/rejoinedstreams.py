"""
tests.rejoinedstreams

Streams that break off when hosts are killed and that their callers resume as soon as hosts are
back, with counts of what became of them. Each event of the fake replicas names the software version
that wrote it.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from unittest import mock

from chalkyoke.node.routing import LINK_MESSAGES
from chalkyoke.resumption.messages import ORIGIN_MESSAGES
from chalkyoke_fakes.platformfleet import default_configuration, make_route

from tests.gatewayfleet import GatewayFleet, run_check
from tests.streamcallers import name_first_attempt, take_stream

DOMAINS = ("a", "a", "b", "b", "c", "c")
REPLICAS = 6
OTHER_SERVICE = "other-model"
STREAMS = 24
# A stream of eight events takes 2.4 s.
EVENT_S = 0.3
BEGIN_PAUSE_S = 0.04
# Time from the first request until the hosts are killed: all streams have begun, none has ended.
UNTIL_KILL_S = 1.4
DOWN_S = 0.6
# Time that a replica takes to restart.
RESTART_S = 0.1
# Attempts of one caller, and the time between two of them.
TRIES = 24
RETRY_S = 0.15


async def nothing(_):
    """Change nothing."""


async def kill_and_restart_all(fleet, change):
    """Kill all hosts at once and start them again.

    :param change: coroutine function, called with the fleet while all hosts are down.
    """
    await kill_and_restart(fleet, change, range(len(fleet.domains)))


async def kill_and_restart_others(fleet, change):
    """Kill all hosts but the first at once and start them again."""
    await kill_and_restart(fleet, change, range(1, len(fleet.domains)))


async def kill_and_restart(fleet, change, hosts):
    """Kill hosts at once and start them again.

    :param change: coroutine function, called with the fleet while the hosts are down.
    """
    for number in hosts:
        await fleet.crash_node(number)
    await change(fleet)
    await asyncio.sleep(DOWN_S)
    for number in hosts:
        fleet.start_node(number, first_start=False)


def unnamed(stream, _):
    """Return the headers of a caller that names none of its earlier attempts."""
    return (("Last-Event-Id", stream.events[-1][0]),)


@dataclass
class Play:
    """What is done to a fleet while callers take streams.

    :param disrupt: coroutine function that breaks the streams off, and lets hosts return.
    :param resume_headers: see :func:`tests.streamcallers.take_stream`.
    :param begin_nodes: indices of the nodes where streams begin; None for all.
    :param resume_nodes: indices of the nodes where callers resume them; None for all.
    :param prepare: coroutine function, called with the fleet before the first stream.
    """

    disrupt: Callable[[GatewayFleet], Awaitable[None]]
    resume_headers: Callable = name_first_attempt
    begin_nodes: tuple | None = None
    resume_nodes: tuple | None = None
    prepare: Callable[[GatewayFleet], Awaitable[None]] = nothing
    until_disruption_s: float = UNTIL_KILL_S
    streams: int = STREAMS
    event_s: float = EVENT_S
    fleet: dict = field(default_factory=dict)


@dataclass(repr=False)
class Outcome:
    """What callers got.

    :ivar joined: streams that have events of several versions.
    :ivar resumed: attempts that resumed a stream and were answered by a host.
    :ivar went_on: those of them that brought more of the stream.
    """

    streams: list
    joined: int = 0
    resumed: int = 0
    went_on: int = 0

    def __post_init__(self):
        self.joined = sum(len(each.versions) > 1 for each in self.streams)
        for stream in self.streams:
            answered = [each for each in stream.resumptions if each.status]
            self.resumed += len(answered)
            self.went_on += sum(each.status == 200 for each in answered)

    def __repr__(self):
        return (
            f"{self.joined} of {len(self.streams)} streams joined, "
            f"{self.went_on} of {self.resumed} attempts to resume went on"
        )


def run_play(play):
    """Play streams in virtual time.

    :rtype: Outcome
    """
    outcomes = []

    async def check(fleet):
        outcomes.append(Outcome(await _take_streams(fleet, play)))

    settings = {"domains": DOMAINS, "replicas": REPLICAS, "versions": ("v1",)} | play.fleet
    run_check(check, **settings)
    return outcomes[0]


async def _take_streams(fleet, play):
    rng = random.Random(84)
    every = range(len(fleet.domains))
    begin_nodes, resume_nodes = play.begin_nodes or every, play.resume_nodes or every
    for each in fleet.models:
        each.faults.event_s = play.event_s
    await play.prepare(fleet)

    async def take(number):
        await asyncio.sleep(number * BEGIN_PAUSE_S)
        return await take_stream(
            fleet,
            lambda stream: rng.choice(resume_nodes if stream.events else begin_nodes),
            f"stream {number}".encode(),
            resume_headers=play.resume_headers,
            tries=TRIES,
            pause_s=RETRY_S,
        )

    callers = [asyncio.ensure_future(take(number)) for number in range(play.streams)]
    await asyncio.sleep(play.until_disruption_s)
    await play.disrupt(fleet)
    return await asyncio.gather(*callers)


async def return_in_turn(fleet, change):
    """Kill all hosts at once and start them again one after the other."""
    hosts = range(len(fleet.domains))
    for number in hosts:
        await fleet.crash_node(number)
    await change(fleet)
    for number in hosts:
        fleet.start_node(number, first_start=False)
        await asyncio.sleep(0.4)


async def kill_halves_in_turn(fleet, change):
    """Kill one half of the hosts and then the other, twice; each half returns before that."""
    hosts = range(len(fleet.domains))
    halves = (hosts[::2], hosts[1::2])
    for killed, changes in zip(halves * 2, (nothing, change, nothing, nothing), strict=True):
        for number in killed:
            await fleet.crash_node(number)
        await changes(fleet)
        await asyncio.sleep(0.3)
        for number in killed:
            fleet.start_node(number, first_start=False)
        await asyncio.sleep(0.5)


async def kill_others_then_the_rest(fleet, change):
    """Kill all hosts but one, which relays streams on, and then that one."""
    hosts = range(len(fleet.domains))
    for number in hosts[1:]:
        await fleet.crash_node(number)
    await asyncio.sleep(0.2)
    await fleet.crash_node(0)
    await change(fleet)
    await asyncio.sleep(DOWN_S)
    for number in hosts:
        fleet.start_node(number, first_start=False)


async def return_before_the_store(fleet, change):
    """Kill all hosts at once; some of them get no answer of the store for longer than others."""
    names = [f"n{number}" for number in range(len(fleet.domains))]
    fleet.store.silent_hosts.update(names)
    await kill_and_restart_all(fleet, change)
    await asyncio.sleep(0.8)
    fleet.store.silent_hosts.difference_update(names[::3])
    await asyncio.sleep(0.8)
    fleet.store.silent_hosts.clear()


def start_older_node(fleet, number):
    """Start a host of a build that knows nothing of origins."""
    kinds = tuple(each for each in LINK_MESSAGES if each not in ORIGIN_MESSAGES)
    with mock.patch("chalkyoke.node.gateway.LINK_MESSAGES", kinds):
        fleet.start_node(number, first_start=False)
    fleet.nodes[number].origins.record_began = lambda *_: None


class _LateStore:
    """The interface of the store that replicas use, with a delay before each write."""

    def __init__(self, store, delay_s):
        self._store = store
        self._delay_s = delay_s

    async def put(self, key, value):
        await asyncio.sleep(self._delay_s)
        await self._store.put(key, value)


# Changes while hosts are down.


async def replace_version(fleet, version="v2"):
    """Let all engines leave, and as many of another version start at other addresses."""
    for each in fleet.models:
        await each.crash()
        await each.store.remove(f"servers/{each.id}")
    count, domains = len(fleet.models), fleet.domains
    fleet.models = [
        await fleet.add_replica(
            f"{version}-{n}", "model", domains[n * len(domains) // count], True, version
        )
        for n in range(count)
    ]
    for each in fleet.models:
        each.faults.event_s = EVENT_S


async def upgrade_in_place(fleet, *, is_new_start=True, down_s=RESTART_S, late_s=0.0):
    """Let all engines restart as another version, each under its id and at its address.

    :param is_new_start: whether their records tell that they have restarted.
    :param down_s: time for which they are down, in seconds.
    :param late_s: time for which they serve before the store has their records, in seconds.
    """
    for each in fleet.models:
        await each.crash()
        each.store = _LateStore(each.store, late_s)
    await asyncio.sleep(down_s)
    starts = (start_as(each, "v2", is_new_start=is_new_start) for each in fleet.models)
    await asyncio.gather(*starts)


async def upgrade_in_turn(fleet, *, is_new_start=True):
    """Let each engine restart as the other version, one after the other."""
    for each in fleet.models:
        await each.crash()
        await asyncio.sleep(RESTART_S)
        await start_as(each, "v1" if each.version == "v2" else "v2", is_new_start=is_new_start)
        await asyncio.sleep(RESTART_S)


async def start_as(replica, version, *, is_new_start):
    """Start a replica that has ended as another version, under its id and at its address."""
    ip, _, port = replica.listen_address.rpartition(":")
    replica.version = version
    await replica.start(ip, int(port), is_new_start=is_new_start)


async def garble_and_replace_version(fleet):
    """Let all engines write records that can't be read before they leave."""
    for each in fleet.models:
        await each.store.put(f"servers/{each.id}", b"{")
    await asyncio.sleep(0.2)
    await replace_version(fleet)


async def replace_version_unseen(fleet):
    """Replace the version while the store answers no host, and forgets its history."""
    fleet.store.silent_hosts.update(f"n{number}" for number in range(len(fleet.domains)))
    fleet.store.silence_connections()
    await replace_version(fleet)
    fleet.store.forget_history()
    fleet.store.silent_hosts.clear()


# Routes.


def configure(fleet, version, *targets, more_routes=()):
    """Write a configuration that sends the streams' route to the given services.

    :param targets: pairs of a service and its weight; one for all requests, or several.
    :param more_routes: further routes.
    """
    document = default_configuration(version)
    document["services"].append({**document["services"][0], "name": OTHER_SERVICE})
    for route in document["routes"]:
        if route["name"] == "explain":
            route["split"] = [{"service": name, "weight": weight} for name, weight in targets]
    document["routes"] += more_routes
    fleet.store.put("op/config", json.dumps(document).encode())


def other_route(prefix):
    """Return a route to the other service, for paths of the streams' route or above."""
    route = make_route("other", "stream", OTHER_SERVICE, resumable=True, attempts=2)
    return {**route, "path-prefix": prefix}


async def add_other_service(fleet):
    """Start another service of the same version, which writes other events all the same."""
    for number in range(REPLICAS):
        domain = fleet.domains[number * len(fleet.domains) // REPLICAS]
        replica = await fleet.add_replica(f"x{number}", OTHER_SERVICE, domain, True)
        replica.version = "v1-of-other-service"
        replica.faults.event_s = EVENT_S
        fleet.models.append(replica)


async def break_streams_off(fleet):
    """Let all engines break their streams off, also where a host resumes them within one answer."""
    for each in fleet.models:
        each.faults.break_streams = 1000
        each.faults.break_after = 1
    await asyncio.sleep(2.5)
    for each in fleet.models:
        each.faults.break_streams = 0
