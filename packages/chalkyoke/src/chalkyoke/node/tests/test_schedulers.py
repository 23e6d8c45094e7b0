"""The hand-off of learned speeds and of retry reservations to a scheduler's successors."""

from types import SimpleNamespace

from chalkyoke.administration.metrics import Metrics
from chalkyoke.node.schedulers import SchedulerHost
from chalkyoke.scheduling.messages import (
    Acquire,
    AdoptRequest,
    FirstOutput,
    Learned,
    LearnedSpeed,
    RetryReservation,
    RetryReservations,
)
from chalkyoke.scheduling.placement import Features
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


def host(name, owners=OWNERS, features=None):
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
        features,
    )
    made.deliver = lambda process, message: None
    made.report_running = lambda pool, process: None
    return made, sent, clock


def acquire(request):
    return Acquire(request, 1, "p", "r", "0", "", 1000, 100, (), 5.0, 0.0)


def test_successors_receive_learned_speeds_once_a_second():
    scheduler, sent, clock = host("n1")
    scheduler.receive("n1", "a", acquire("q1"))
    clock.now += 1.0
    scheduler.tick()
    assert not [message for _, message in sent if isinstance(message, Learned)], (
        "no speed is learned yet"
    )

    scheduler.receive("n1", "a", FirstOutput("q1", "p", 0.2))
    for _ in range(30):
        clock.now += 0.05
        scheduler.tick()
    receivers = [address for address, message in sent if isinstance(message, Learned)]
    assert receivers == ["n2:1", "n3:1"]


def test_a_process_that_does_not_own_the_pool_sends_no_learned_speeds():
    scheduler, sent, clock = host("n2")
    scheduler.receive("n1", "a", acquire("q1"))
    scheduler.receive("n1", "a", FirstOutput("q1", "p", 0.2))
    clock.now += 2.0
    scheduler.tick()
    assert not [message for _, message in sent if isinstance(message, Learned)]


def test_a_successor_starts_with_the_learned_speeds():
    """Guards against a successor that knows no speeds and sends long prompts to the slowest."""
    scheduler, sent, _ = host("n2")
    scheduler.receive("n1", "a", Learned("p", (LearnedSpeed("m1", 3.0, 4.0, 20),)))
    assert not scheduler.pools, "received speeds do not create a scheduler"
    assert not [message for _, message in sent if isinstance(message, AdoptRequest)]

    scheduler.receive("n1", "a", acquire("q1"))
    speed = scheduler.pools["p"].upstreams["m1"].speed
    assert (speed.prefill_factor, speed.decode_factor) == (3.0, 4.0)


RESERVED = Features(fair_admission=True, reserved_retries=True)


def reservation(fingerprint, in_s):
    return RetryReservation(fingerprint, 0, "", in_s, 0.5)


def schedule_of(made):
    return made.pools["p"].admission.schedule


def test_successors_receive_reservations_whole_and_as_changes():
    """Guards against a successor that knows the reservations of some seconds ago only."""
    scheduler, sent, clock = host("n1", features=RESERVED)
    scheduler.receive("n1", "a", acquire("q1"))
    scheduler.pools["p"].import_reservations([reservation(7, 2.0)], clock.now)
    for _ in range(70):
        clock.now += 0.05
        scheduler.tick()
    told = [(to, each) for to, each in sent if isinstance(each, RetryReservations)]
    assert {to for to, _ in told} == {"n2:1", "n3:1"}
    assert [each.whole for to, each in told if to == "n2:1"] == [False, False, True]
    assert [each.ended for to, each in told if to == "n2:1"][1] == (7,)


def test_a_successor_takes_over_copied_reservations_with_the_time_that_is_left():
    """Guards against callers that return at their time to a scheduler that does not know them."""
    successor, _, clock = host("n2", features=RESERVED)
    items = (reservation(7, 2.0), reservation(8, 0.1), reservation(9, 2.0))
    successor.receive("n1", "a", RetryReservations("p", True, items))
    successor.receive("n1", "a", RetryReservations("p", False, (), (9,)))
    assert not successor.pools, "copies do not create a scheduler"
    clock.now += 1.0
    successor.receive("n1", "a", acquire("q1"))
    assert abs(schedule_of(successor).find(7).at - (clock.now + 1.0)) < 0.01
    assert schedule_of(successor).find(8) is None, "its caller can no longer return"
    assert schedule_of(successor).find(9) is None, "it had ended"
