"""
tests.silentreplicas

Sound replicas that fall silent for a second or so and go on, while the configuration changes.
"""

import asyncio
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from chalkyoke_fakes.platformfleet import KEY, default_configuration
from chalkyoke_fakes.replica import EVENTS_PER_STREAM, read_events

from tests.gatewayfleet import CallerAnswer

REQUESTS_PER_S = 16.0
SECONDS = 12.0
# Each few seconds one replica in four of a service sends nothing for a while.
SILENCE_PERIOD_S = 3.0
SILENT_SHARE = 0.25
# A change follows the begin of each silence after this time, in seconds.
CHANGE_AFTER_S = 0.2
KEY_BACK_AFTER_S = 1.5
STREAM_S = 1.8
PLAIN_S = 0.6
# Time until all requests have ended, in seconds.
SETTLING_S = 9.0
OTHER_KEY = "another-key"
RESUMABLE = "/explain/1"
PATHS = (RESUMABLE, "/chat/1", "/find/1")
REPEATABLE = (RESUMABLE, "/find/1")
ATTEMPTS = 2
# Limits of requests and of idle connections while they are lowered, in milliseconds.
LOW_TIMEOUT_MS = 5000
LOW_IDLE_TIMEOUT_MS = 600


@dataclass
class Asked:
    """One request of a caller.

    :param after: number of the event after which the caller resumes a stream; -1 for a new one.
    """

    path: str
    after: int
    answer: CallerAnswer

    @property
    def events(self):
        """The numbers of the received events."""
        return [number for number, _ in read_events(self.answer.body)]

    @property
    def is_whole(self):
        answer = self.answer
        if answer.status != 200 or not answer.whole:
            return False
        streams = self.path in (RESUMABLE, "/chat/1")
        return not streams or self.after + 1 + len(self.events) == EVENTS_PER_STREAM


@dataclass
class Cut:
    """Requests that a replica had begun, by path, and those of them that got no whole answer.

    :ivar overlap_s: longest time for which two replicas worked on one request, in seconds.
    :ivar asked: all requests.
    :ivar resumed: number of streams that were begun after a caller resumed them.
    """

    begun: Counter = field(default_factory=Counter)
    cut: Counter = field(default_factory=Counter)
    statuses: Counter = field(default_factory=Counter)
    overlap_s: float = 0.0
    asked: list = field(default_factory=list)
    resumed: int = 0


@dataclass(frozen=True)
class Silences:
    """How replicas fall silent, and who asks meanwhile.

    :param silence_s: how long a replica is silent, in seconds.
    :param may_fall_silent: returns whether a replica ever falls silent.
    :param second_services: whether there is a second service of each kind.
    :param prepare: coroutine function that is run for the fleet before the first request.
    :param resume_share: share of the resumable streams that callers resume.
    :param share: share of the replicas of a service that are silent at once.
    :param paused: whether the whole process of a silent replica is paused, which then neither reads
        nor begins requests.
    :param change_after_s: time from the begin of each silence to the change, in seconds.
    """

    silence_s: float = 1.3
    may_fall_silent: Callable = lambda replica: True
    second_services: bool = False
    prepare: Callable | None = None
    paths: tuple = PATHS
    resume_share: float = 0.0
    share: float = SILENT_SHARE
    paused: bool = False
    change_after_s: float = CHANGE_AFTER_S


class Changes:
    """Change the configuration of a fleet, its nodes or its silent replicas.

    :ivar silent: the replicas that have fallen silent last.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._document = default_configuration()
        self._tasks = []
        self._next_node = 0
        self.silent = []

    def move_routes(self):
        """Move all routes from the first services to the second ones, or back."""
        for route in self._document["routes"]:
            name = route["service"]
            route["service"] = name.removesuffix("-b") if name.endswith("-b") else f"{name}-b"
        self._write()

    def remove_routes(self):
        routes, self._document["routes"] = self._document["routes"], []
        self._write()
        return lambda: self._restore(routes)

    def replace_key(self):
        tenant = self._document["tenants"][0]
        tenant["api-keys"] = [OTHER_KEY]
        self._write()

        def put_back():
            tenant["api-keys"] = [KEY]
            self._write()

        return put_back

    def lower_timeouts(self):
        """Lower the time limits of requests and of idle connections."""
        before = json.dumps(self._document)
        for route in self._document["routes"]:
            route["timeout-ms"] = LOW_TIMEOUT_MS
        self._document["limits"]["idle-timeout-ms"] = LOW_IDLE_TIMEOUT_MS
        self._write()

        def put_back():
            self._document = {**json.loads(before), "version": self._document["version"]}
            self._write()

        return put_back

    def stop_next_node(self):
        """Stop a node on plan, and start it again; another node each time."""
        number = self._next_node
        self._next_node = (number + 1) % len(self._fleet.nodes)
        self._start(self._fleet.stop_and_restart_node(number))

    def reload_nodes(self, folder):
        """Let all nodes reload their settings."""
        for number in range(len(self._fleet.nodes)):
            self._fleet.reload_node(number, folder / f"n{number}.toml")

    def drain_silent(self):
        """Let the records of the silent replicas announce that they leave, and replace them."""
        for each in self.silent:
            self._start(self._replace(each, each.write_record("draining")))

    def remove_silent(self):
        """Remove the records of the silent replicas, which serve on, and replace them."""
        for each in self.silent:
            self._start(self._replace(each, self._remove_record(each)))

    async def _remove_record(self, replica):
        self._fleet.store.remove(f"servers/{replica.id}")

    async def _replace(self, replica, leave):
        replica.state = "draining"
        name = f"{replica.id}+"
        group = self._fleet.models if replica.engine else self._fleet.seats
        new = await self._fleet.add_replica(
            name, replica.service, replica.zone, replica.engine, replica.version
        )
        new.faults.event_s, new.faults.work_s = replica.faults.event_s, replica.faults.work_s
        group.append(new)
        await leave

    def _start(self, work):
        self._tasks.append(asyncio.ensure_future(work))

    def check_finished(self):
        """Raise what went wrong in changes that take some time."""
        for each in self._tasks:
            if each.done():
                each.result()

    def _restore(self, routes):
        self._document["routes"] = routes
        self._write()

    def _write(self):
        self._document["version"] += 1
        self._fleet.store.put("op/config", json.dumps(self._document).encode())

    def declare_second_services(self):
        services = self._document["services"]
        services += [{**each, "name": f"{each['name']}-b"} for each in services]
        self._write()


async def add_second_services(fleet, changes):
    """Add as many replicas of a second service of each kind as there are of the first."""
    for number in range(fleet.replicas):
        domain = fleet.domains[number * len(fleet.domains) // fleet.replicas]
        fleet.models.append(await fleet.add_replica(f"mb{number}", "model-b", domain, True))
        fleet.seats.append(await fleet.add_replica(f"sb{number}", "seats-b", domain, False))
    changes.declare_second_services()
    await asyncio.sleep(1.0)


async def silence_replicas(fleet, silences, changes, change, rng):
    """Let a share of the replicas fall silent at times, and change something meanwhile.

    :param change: called during each silence; may return what undoes it.
    """
    loop = asyncio.get_running_loop()
    while True:
        changes.silent = []
        for replicas in (fleet.models, fleet.seats):
            able = [each for each in replicas if each.state == "ready"]
            able = [each for each in able if silences.may_fall_silent(each)]
            count = max(1, round(len(replicas) * silences.share))
            changes.silent += rng.sample(able, min(count, len(able)))
        for each in changes.silent:
            until = loop.time() + silences.silence_s
            if silences.paused:
                each.faults.paused_until = until
            else:
                each.faults.silent_until = until
        await asyncio.sleep(silences.change_after_s)
        undo = change()
        if undo is not None:
            loop.call_later(KEY_BACK_AFTER_S, undo)
        await asyncio.sleep(SILENCE_PERIOD_S - silences.change_after_s)


async def play_silence(fleet, silences, make_change, seed=77):
    """Send requests to a fleet whose replicas fall silent, and check what must hold.

    :param make_change: gets the :class:`Changes` and returns what is called at each silence.
    :rtype: Cut
    """
    rng = random.Random(seed)
    changes = Changes(fleet)
    if silences.second_services:
        await add_second_services(fleet, changes)
    for each in fleet.models:
        each.faults.event_s = STREAM_S / EVENTS_PER_STREAM
    for each in fleet.seats:
        each.faults.work_s = PLAIN_S
    if silences.prepare is not None:
        await silences.prepare(fleet)
    silencing = asyncio.ensure_future(
        silence_replicas(fleet, silences, changes, make_change(changes), rng)
    )
    sent, whole_streams = [], []
    for _ in range(int(SECONDS * REQUESTS_PER_S)):
        path, node = rng.choice(silences.paths), rng.randrange(len(fleet.nodes))
        after, headers = -1, ()
        if path == RESUMABLE and whole_streams and rng.random() < silences.resume_share:
            after = rng.randrange(EVENTS_PER_STREAM - 2)
            headers = (("Last-Event-Id", after), ("Resumes", rng.choice(whole_streams)))
        asking = asyncio.ensure_future(_ask(fleet, node, path, after, headers, whole_streams))
        sent.append(asking)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    silencing.cancel()
    await asyncio.sleep(SETTLING_S)
    changes.check_finished()
    return check_answers(fleet, [each.result() for each in sent])


async def _ask(fleet, node, path, after, headers, whole_streams):
    answer = await fleet.send_request(node, path, until_whole=True, headers=headers)
    asked = Asked(path, after, answer)
    if path == RESUMABLE and after < 0 and asked.is_whole:
        whole_streams.append(answer.request)
    return asked


def check_answers(fleet, all_asked):
    """Check order and number of runs, and count the requests that were cut off."""
    runs = Counter()
    for replica in (*fleet.models, *fleet.seats):
        runs.update(replica.runs)
    found = Cut(asked=all_asked, overlap_s=longest_overlap_s(fleet))
    for each in all_asked:
        path, answer, numbers = each.path, each.answer, each.events
        first = each.after + 1
        assert numbers == list(range(first, first + len(numbers))), (path, first, numbers)
        assert runs[answer.request] <= (ATTEMPTS if path in REPEATABLE else 1)
        found.statuses[path, answer.status] += 1
        if not runs[answer.request]:
            continue
        found.begun[path] += 1
        found.resumed += each.after >= 0
        found.cut[path] += not each.is_whole
    found.cut = +found.cut
    return found


def longest_overlap_s(fleet):
    """Return the longest time for which two replicas worked on one request, in seconds."""
    works = {}
    for replica in (*fleet.models, *fleet.seats):
        for each in replica.seen:
            name = each.headers["x-request-id"]
            works.setdefault(name, []).append((each.begun_at, each.ended_at))
    return max((_overlap_s(sorted(each)) for each in works.values()), default=0.0)


def _overlap_s(works):
    pairs = itertools.pairwise(works)
    return sum(max(0.0, min(one[1], other[1]) - other[0]) for one, other in pairs)
