"""What a pool's scheduler tells those that would succeed it, and what they do with it."""

from types import SimpleNamespace

from chalkyoke.administration.metrics import Metrics
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.scheduling.messages import Acquire, AdoptRequest, FirstOutput, Learned, LearnedSpeed
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TierSpec, UpstreamSpec

UPSTREAM = UpstreamSpec("m1", "127.0.0.1:9", "a", 4, 40_000.0, 200.0)
SPEC = PoolSpec("p", (UPSTREAM,), (TierSpec("0", 0),), (), (RouteSpec("r", frozenset({"m1"})),))
OWNERS = ("n1", "n2", "n3", "n4")


def record(name):
    return SimpleNamespace(process=name, address=f"{name}:1", ready=True, leaving=False)


class Clock:
    now = 10.0

    def __call__(self):
        return self.now


def host(name, owners=OWNERS):
    view = SimpleNamespace(
        domain="a",
        generation=1,
        live=lambda: [record(each) for each in owners],
        pool_owners=lambda pool: [record(each) for each in owners],
        pool_owner=lambda pool: record(owners[0]),
    )
    sent = []
    clock = Clock()
    made = SchedulerHost(
        name,
        view,
        lambda: SimpleNamespace(pools={"p": SPEC}),
        lambda address, message: sent.append((address, message)),
        SimpleNamespace(add=lambda *_, **__: None),
        Metrics(),
        clock,
        lambda: 0.5,
    )
    made.deliver = lambda process, message: None
    made.report_running = lambda pool, process: None
    return made, sent, clock


def acquire(request):
    return Acquire(request, 1, "p", "r", "0", "", 1000, 100, (), 5.0, 0.0)


def test_the_next_in_line_are_told_once_a_second_what_is_learned():
    scheduler, sent, clock = host("n1")
    scheduler.receive("n1", "a", acquire("q1"))
    clock.now += 1.0
    scheduler.tick()
    assert not [message for _, message in sent if isinstance(message, Learned)], "nothing known"

    scheduler.receive("n1", "a", FirstOutput("q1", "p", 0.2))
    for _ in range(30):
        clock.now += 0.05
        scheduler.tick()
    told = [address for address, message in sent if isinstance(message, Learned)]
    assert told == ["n2:1", "n3:1"]


def test_who_is_not_the_owner_tells_nobody():
    scheduler, sent, clock = host("n2")
    scheduler.receive("n1", "a", acquire("q1"))
    scheduler.receive("n1", "a", FirstOutput("q1", "p", 0.2))
    clock.now += 2.0
    scheduler.tick()
    assert not [message for _, message in sent if isinstance(message, Learned)]


def test_a_successor_starts_with_what_it_was_told():
    """Before, it knew no engine's speed, and sent long prompts to the slowest."""
    scheduler, sent, _ = host("n2")
    scheduler.receive("n1", "a", Learned("p", (LearnedSpeed("m1", 3.0, 4.0, 20),)))
    assert not scheduler.pools, "being told is no reason to schedule"
    assert not [message for _, message in sent if isinstance(message, AdoptRequest)]

    scheduler.receive("n1", "a", acquire("q1"))
    speed = scheduler.pools["p"].upstreams["m1"].speed
    assert (speed.prefill_factor, speed.decode_factor) == (3.0, 4.0)
