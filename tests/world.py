"""
tests.world

The real logic of several processes over small fakes, in virtual time and with one seed: callers,
killed and frozen processes, broken links, slow and leaving upstreams. The guarantees are asserted
at the end of a run, in addition to the invariants that the program checks itself.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec
from chalkyoke.administration.events import EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.clock import HybridClock
from chalkyoke.configuration.messages import ListedHost
from chalkyoke.configuration.resources import build_resources, read_document
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.answers import LocalAnswer, issuer_gone_refusal
from chalkyoke.entry.dispatcher import Dispatcher
from chalkyoke.entry.ends import OutcomeRecorder
from chalkyoke.entry.messages import CallerRequest
from chalkyoke.entry.runs import Runs
from chalkyoke.entry.service import EntryService
from chalkyoke.entry.streams import DONE_EVENT
from chalkyoke.membership.messages import (
    Heartbeat,
    MemberRecord,
    ShortHeartbeat,
    Summary,
    SummaryRequest,
)
from chalkyoke.membership.state import Left
from chalkyoke.membership.view import MembershipView
from chalkyoke.node.fleet import FleetView
from chalkyoke.node.ports import FleetPort
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.outcomes import Verdict
from chalkyoke.scheduling.messages import AdoptRequest, Grant, LoadReport, Shed
from chalkyoke.tokens.codec import TokenCodec
from chalkyoke.tokens.ledger import TokenLedger

from tests.upstreams import FakeUpstream, FakeUpstreamClient, answer_events, answer_tokens

KEY = b"w" * 16
DOMAINS = ("d1", "d2", "d3")
MAX_HOST_LIST_DELAY_S = 1.0
LEAVING_GRACE_S = 4.0

DOCUMENT = {
    "tier": [{"name": f"t{rank}", "rank": rank} for rank in range(3)],
    "team": [{"name": f"m{i}", "tiers": ["t0", "t1", "t2"], "weight": i + 1} for i in range(3)],
    "service": [
        {"name": "model", "protocol": "completions", "selector": {"kind": "engine"}},
        {"name": "seats", "protocol": "plain", "selector": {"kind": "plain"}, "repeatable": False},
    ],
    "upstream_class": [
        {"name": "engines", "selector": {"kind": "engine"}, "slots": 3, "decode_tokens_per_s": 50},
        {"name": "plains", "selector": {"kind": "plain"}, "slots": 4, "decode_tokens_per_s": 30},
    ],
    "route": [
        {"name": "all", "service": "model"},
        {"name": "some", "service": "model", "match": {"w": "s"}, "upstreams": {"size": "small"}},
        {"name": "seats", "service": "seats"},
    ],
}


@dataclass
class CallerAnswer:
    """The answer to one attempt of a caller.

    :ivar at: time of the answer, in seconds on the loop's clock.
    """

    request: str
    verdict: str
    body: bytes
    at: float


@dataclass
class WorldNode:
    """One process: the real components of an entry node over fakes."""

    world: "World"
    host: str
    domain: str
    incarnation: int
    dead: bool = False
    frozen: bool = False
    inbox: list = field(default_factory=list)
    tasks: list = field(default_factory=list)

    def __post_init__(self):
        world, started = self.world, self.world.now()
        self.now = lambda: world.now() - started
        self.address = f"{self.host}:{self.incarnation}"
        self.record = MemberRecord(
            self.host, self.incarnation, self.address, "", self.domain, False, True, 1, 1
        )
        self.process = self.record.process
        self.view = MembershipView(self.record)
        self.fleet = FleetView(world.resources, world.listed_hosts())
        self.view.set_candidates(self.fleet.candidates())
        self.metrics = Metrics()
        self.events = EventRing(self.host, HybridClock(), lambda: int(world.now() * 1000))
        port = FleetPort(lambda: self.fleet)
        self.schedulers = SchedulerHost(
            self.process,
            self.view,
            lambda: self.fleet,
            self.send,
            self.events,
            self.metrics,
            self.now,
            world.random.random,
        )
        ledger = TokenLedger(self.host, self.address, self.incarnation, lifetime_s=120)
        self.runs = Runs(ledger, TokenCodec(KEY))
        self.acquirer = Acquirer(self.runs, self.schedulers, port, self.metrics, self.now)
        recorder = OutcomeRecorder(self.runs, self.acquirer, self.events, self.metrics, self.now)
        dispatcher = Dispatcher(
            self.acquirer,
            recorder,
            port,
            FakeUpstreamClient(world, self),
            self.events,
            self.metrics,
            self.now,
        )
        self.entry = EntryService(
            self.runs,
            self.acquirer,
            recorder,
            dispatcher,
            port,
            self.events,
            self.metrics,
            self.now,
        )
        self.schedulers.deliver = self.acquirer.receive
        self.schedulers.report_running = self.acquirer.report_running
        self.run_periodically(self.view.interval_s, self.send_heartbeats)
        self.run_periodically(0.05, self.tick)
        self.run_periodically(1.0, self.run_maintenance)

    def run_periodically(self, seconds, work):
        async def loop():
            while True:
                if not self.frozen:
                    work()
                await asyncio.sleep(seconds)

        task = asyncio.get_running_loop().create_task(loop())
        task.add_done_callback(self.world.record_fault)
        self.tasks.append(task)

    def send_heartbeats(self):
        for send in self.view.due_messages(self.now()):
            self.send(send.address, send.message)

    def tick(self):
        self.apply(self.view.tick(self.now()))
        self.schedulers.tick()

    def run_maintenance(self):
        self.acquirer.check_owners()
        self.acquirer.send_progress()
        self.runs.expire(self.now())
        for scheduler in list(self.schedulers.pools.values()):
            for name in list(scheduler.upstreams):
                upstream = self.world.upstreams[name]
                report = LoadReport(name, len(upstream.running), 0, 0.5, upstream.draining)
                self.schedulers.dispatch(scheduler.apply_load_report(report, self.now()))

    def apply(self, changes):
        for change in changes:
            if isinstance(change, Left):
                self.schedulers.member_left(change.record.process)
        if changes:
            self.acquirer.check_owners()

    def apply_host_list(self, hosts):
        self.fleet = FleetView(self.world.resources, hosts)
        self.view.set_candidates(self.fleet.candidates())
        self.schedulers.reconfigure()

    def send(self, address, message):
        if not self.dead:
            self.world.transmit(self, address, message)

    def receive(self, sender, message):
        if self.dead:
            return
        if self.frozen:
            self.inbox.append((sender, message))
            return
        if isinstance(message, Heartbeat | ShortHeartbeat | Summary | SummaryRequest):
            changes, sends = self.view.receive(sender.address, message, self.now())
            self.apply(changes)
            for send in sends:
                self.send(send.address, send.message)
        elif isinstance(message, Grant | Shed):
            self.acquirer.receive(sender.process, message)
        elif isinstance(message, AdoptRequest):
            self.acquirer.report_running(message.pool, sender.process)
        else:
            self.schedulers.remember_address(sender.process, sender.address)
            self.schedulers.receive(sender.process, sender.domain, message)

    def unfreeze(self):
        self.frozen = False
        inbox, self.inbox = self.inbox, []
        for sender, message in inbox:
            self.receive(sender, message)

    def kill(self):
        self.dead = True
        for task in [*self.tasks, *self.entry._tasks.values()]:
            task.cancel()


class World:
    """The processes, the links between them, the upstreams and the callers.

    :param chaos: factor of the probabilities of random faults; 0 for none.
    """

    def __init__(self, seed, chaos=1.0):
        self.random = random.Random(seed)
        self.chaos = chaos
        self.loop = asyncio.get_running_loop()
        self.resources = build_resources(read_document(DOCUMENT).unwrap()).unwrap()
        self.upstreams = {
            f"e{i}": FakeUpstream(f"e{i}", DOMAINS[i % 3], False, 0.01 * (1 + i % 3))
            for i in range(5)
        }
        self.upstreams |= {f"p{i}": FakeUpstream(f"p{i}", DOMAINS[i], True) for i in range(3)}
        self.cuts = set()
        self.faults = []
        self.answers = []
        self.steps = Counter()
        self.nodes = {}
        self.incarnations = iter(range(1, 10_000))
        for index in range(6):
            self.start_node(f"h{index}", DOMAINS[index % 3])

    def now(self):
        return self.loop.time()

    def start_node(self, host, domain):
        self.nodes[host] = WorldNode(self, host, domain, next(self.incarnations))

    def listed_hosts(self):
        entries = [
            ListedHost(f"h{i}", f"h{i}", DOMAINS[i % 3], False, {"kind": "entry"}) for i in range(6)
        ]
        return tuple(
            entries
            + [
                ListedHost(
                    each.id,
                    each.id,
                    each.domain,
                    each.leaving,
                    {
                        "kind": "plain" if each.plain else "engine",
                        "size": "small" if each.id in ("e0", "e1") else "large",
                    },
                )
                for each in self.upstreams.values()
            ]
        )

    def record_fault(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(task.exception())

    # Links: messages are delayed, duplicated and reordered; links break in one direction or both.

    def is_link_up(self, one, other):
        return (one, other) not in self.cuts

    def transmit(self, sender, address, message):
        target = self.nodes.get(address.split(":")[0])
        if target is None or not self.is_link_up(sender.domain, target.domain):
            return
        if ":" in address and target.address != address:
            return
        copies = 2 if self.random.random() < 0.05 * self.chaos else 1
        for _ in range(copies):
            slow = self.random.random() < 0.02 * self.chaos
            delay = self.random.uniform(0.0005, 0.003) + (self.random.uniform(0, 2) if slow else 0)
            self.loop.call_later(delay, self.deliver, sender, target, message)

    def deliver(self, sender, target, message):
        try:
            target.receive(sender, message)
        except BaseException as error:
            self.faults.append(error)

    # Callers.

    def make_request(self, number, held_token):
        plain = self.random.random() < 0.4
        route = "seats" if plain else self.random.choice(["all", "some"])
        return CallerRequest(
            service="seats" if plain else "model",
            team=f"m{number % 3}",
            tier=f"t{self.random.randrange(3)}",
            route=route,
            path="/v1/completions" if not plain else "/hold",
            content_type="application/json",
            body=b"{}",
            labels={"n": str(number)},
            budget_s=self.random.choice([0.8, 2.0, 5.0]),
            repeatable=not plain,
            stream=True,
            prompt_tokens=10,
            max_output=0 if plain else 50,
            blocks=(),
            held_token=held_token,
        )

    async def run_caller(self, number):
        """Send a request; with a token, send it again through other nodes, at once or later."""
        held = self.random.random() < 0.7
        request = self.make_request(number, held)
        node = self.pick_node()
        if node is None:
            return
        token = node.runs.issue_token(node.now()) if held else (None, "")
        attempts = self.random.choice([1, 1, 2, 3]) if held else 1
        tasks = []
        for _ in range(attempts):
            tasks.append(
                asyncio.ensure_future(self.send(self.pick_node() or node, request, *token))
            )
            await asyncio.sleep(self.random.choice([0.0, 0.01, 0.3, 3.0]))
        if self.random.random() < 0.1 * self.chaos:
            tasks[0].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if held and self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0, 10))
            await self.send(self.pick_node() or node, request, *token)

    def pick_node(self):
        alive = [each for each in self.nodes.values() if not each.dead]
        return self.random.choice(alive) if alive else None

    async def send(self, node, request, token, text):
        self.steps["sent"] += 1
        issuer = node
        if token is not None and not node.runs.ledger.is_issued_here(token):
            issuer = self.nodes.get(token.host, node)
            both = self.is_link_up(node.domain, issuer.domain) and self.is_link_up(
                issuer.domain, node.domain
            )
            if issuer.dead or not both or not issuer.runs.ledger.is_issued_here(token):
                self.record_answer(token.request, issuer_gone_refusal(), b"")
                return
            self.steps["forwarded"] += 1
        submitted = issuer.entry.submit(request, token, text)
        if submitted.is_err():
            self.steps["bad"] += 1
            return
        run = submitted.unwrap()
        answer = LocalAnswer(issuer.entry, issuer.entry.open_reader(run))
        try:
            chunks = []
            while (chunk := await answer.next_chunk()) is not None:
                chunks.append(chunk)
            if not issuer.dead:
                self.record_answer(run.id, answer.refusal(), b"".join(chunks))
        finally:
            answer.close()

    def record_answer(self, request, refusal, body):
        verdict = "whole" if refusal is None else refusal.verdict
        self.steps[verdict] += 1
        self.answers.append(CallerAnswer(request, verdict, body, self.now()))

    # Faults.

    async def inject_faults(self, until):
        actions = [
            self.kill_node,
            self.cut_link,
            self.heal_links,
            self.freeze_node,
            self.stop_node,
            self.disturb_upstream,
            self.start_leaving,
        ]
        while self.now() < until:
            await asyncio.sleep(self.random.uniform(0.3, 1.5))
            action = self.random.choice(actions)
            self.steps[action.__name__] += 1
            action()
            if self.random.random() < 0.2:
                self.random.choice(actions)()

    def kill_node(self):
        node = self.pick_node()
        if node is not None:
            node.kill()
            self.loop.call_later(self.random.uniform(0.1, 3), self.restart_node, node)

    def restart_node(self, node):
        if self.nodes[node.host] is node:
            self.start_node(node.host, node.domain)

    def cut_link(self):
        one, other = self.random.sample(DOMAINS, 2)
        self.cuts.add((one, other))
        if self.random.random() < 0.6:
            self.cuts.add((other, one))

    def heal_links(self):
        self.cuts.clear()

    def freeze_node(self):
        node = self.pick_node()
        if node is not None:
            node.frozen = True
            self.loop.call_later(self.random.uniform(0.2, 6), node.unfreeze)

    def stop_node(self):
        node = self.pick_node()
        if node is None:
            return
        node.entry.stopping = True
        node.view.update_self(leaving=True)
        self.loop.create_task(self.complete_stop(node))

    async def complete_stop(self, node):
        await node.entry.drain()
        cut_off = list(node.runs.active())
        assert node.dead or not cut_off, f"a planned stop cut off {[run.id for run in cut_off]}"
        self.steps["stopped"] += 1
        if not node.dead:
            node.kill()
            self.restart_node(node)

    def disturb_upstream(self):
        upstream = self.random.choice(list(self.upstreams.values()))
        fault = self.random.choice(["down", "hang", "slow"])
        if fault == "slow":
            upstream.token_s *= 5
        else:
            setattr(upstream, fault, True)
        self.loop.call_later(self.random.uniform(0.3, 5), self.restore_upstream, upstream)

    def restore_upstream(self, upstream):
        upstream.down = upstream.hang = False
        upstream.token_s = 0.01

    def start_leaving(self):
        upstream = self.random.choice(list(self.upstreams.values()))
        if upstream.leaving or sum(not each.leaving for each in self.upstreams.values()) <= 4:
            return
        upstream.leaving, upstream.leaving_since = True, self.now()
        upstream.draining = self.random.random() < 0.5
        self.announce_hosts()
        self.loop.call_later(self.random.uniform(6, 10), self.rejoin, upstream)

    def rejoin(self, upstream):
        self.check_leaving(upstream)
        upstream.leaving = upstream.draining = False
        self.announce_hosts()

    def check_leaving(self, upstream):
        late = [
            at
            for at, _ in upstream.started_requests
            if at > upstream.leaving_since + LEAVING_GRACE_S
        ]
        if upstream.leaving and late:
            self.faults.append(
                AssertionError(f"{upstream.id} is leaving and got requests at {late}")
            )

    def announce_hosts(self):
        hosts = self.listed_hosts()
        for node in self.nodes.values():
            delay = self.random.uniform(0.1, MAX_HOST_LIST_DELAY_S)
            self.loop.call_later(delay, lambda node=node: node.dead or node.apply_host_list(hosts))

    # Checks.

    def check_answers(self):
        """Compare the answers that callers got with the requests that the upstreams got."""
        if self.faults:
            raise self.faults[0]
        seen = Counter()
        for upstream in self.upstreams.values():
            seen.update(upstream.seen)
        doubled = [request for request, count in seen.items() if count > 1]
        assert not doubled, f"dispatched more than once: {doubled}"
        refused = {each.request for each in self.answers if each.verdict == Verdict.NOT_RUN}
        assert not refused & set(seen), f"answered 'not run' but ran: {refused & set(seen)}"
        for each in self.answers:
            if each.verdict == "whole":
                assert_answer_complete(each)

    async def run_scenario(self, seconds, callers):
        """Run callers under faults, then end the faults, wait until all is idle and check."""
        injecting = self.loop.create_task(self.inject_faults(seconds))
        calls = []
        for number in range(callers):
            calls.append(self.loop.create_task(self.run_caller(number)))
            await asyncio.sleep(self.random.expovariate(callers / seconds))
        await injecting
        self.heal_links()
        for node in list(self.nodes.values()):
            node.unfreeze()
        for call in calls:
            call.add_done_callback(self.record_fault)
        await asyncio.wait(calls, timeout=120)
        assert all(call.done() for call in calls), "a caller was left without an answer"
        await asyncio.sleep(70)
        self.check_answers()
        self.check_pools_empty()
        await self.check_occupancy()
        self.check_answers()
        return self.steps

    def check_pools_empty(self):
        """Check that no scheduler of an idle fleet counts a waiting or running request."""
        for node in self.nodes.values():
            for name, scheduler in node.schedulers.pools.items():
                if node.schedulers.owner(name) == node.process:
                    left = (scheduler.waiting, scheduler.running)
                    assert left == (0, 0), f"{node.process} still holds {left} of {name}"

    async def check_occupancy(self):
        """Check that the successor of a lost scheduler knows exactly the running requests."""
        engines = [each for each in self.upstreams.values() if not each.plain]
        for engine in engines:
            engine.hang = True
        calls = []
        for number in range(8):
            request = msgspec.structs.replace(
                self.make_request(number, False),
                service="model",
                route="all",
                budget_s=30.0,
                path="/v1/completions",
                repeatable=True,
                max_output=50,
                tier="t0",
            )
            calls.append(self.loop.create_task(self.send(self.pick_node(), request, None, "")))
        await asyncio.sleep(2)
        some = self.pick_node()
        owner = self.nodes[some.view.pool_owner("model").host]
        lost = {run.id for run in owner.runs.active()}
        owner.kill()
        await asyncio.sleep(6)
        successor = self.nodes[self.pick_node().view.pool_owner("model").host]
        known = set(successor.schedulers.pools["model"]._pool.running)
        truth = set().union(*(each.running for each in engines)) - lost
        assert known == truth, f"the successor knows {known}, and {truth} runs"
        assert truth, "nothing runs"
        for engine in engines:
            engine.hang = False
        await asyncio.gather(*calls, return_exceptions=True)


def assert_answer_complete(answer):
    """Check that an answer is complete and belongs to the caller's request."""
    if answer.body.startswith(b"{"):
        assert answer.request.encode() in answer.body, "an answer went to another caller"
        return
    expected = b"".join(answer_events(answer.request, answer_tokens(answer.request)))
    assert answer.body == expected, (
        f"incomplete, or the answer of another request: {answer.request} {answer.body[-80:]!r}"
    )
    assert answer.body.endswith(DONE_EVENT)


def run_seed(seed, seconds=40, callers=120, chaos=1.0):
    """Run one seed and return the counts of answers and faults by name."""
    from tests.virtual import run

    async def main():
        return await World(seed, chaos).run_scenario(seconds, callers)

    return run(main)
