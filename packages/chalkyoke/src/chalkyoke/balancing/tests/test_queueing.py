"""When a plain service is queued, by the use of its slots over all nodes."""

import heapq
import itertools
import math
import random

import pytest
from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.balancing.messages import QueueingUpdate
from chalkyoke.balancing.queueing import (
    ANNOUNCEMENT_VALID_S,
    STOP_AFTER_S,
    QueuedServices,
    QueueingReason,
    UseObserver,
)
from chalkyoke.balancing.reports import PlainEnd
from chalkyoke.balancing.suspicions import Suspicions

from tests.memberfleet import Fleet

SLOTS = 18


def observe(use_at, seconds, *, queued=False, rejections=0, start=0.0):
    """Report a use of the slots as 20 nodes do, once a second each; return the changes by time."""
    observer, changes = UseObserver(start, queued=queued), []
    for step in range(int(seconds * 20)):
        now = start + step / 20
        observer.add_report(use_at(now) * SLOTS / 20, rejections, now)
        change = observer.decide(SLOTS, now)
        if change is not None:
            changes.append((now, change))
    return changes


def test_service_at_31_percent_of_its_slots_is_queued_within_3_s():
    ((at, change),) = observe(lambda _: 0.31, 10.0)
    assert at <= 3.0 and change.queued and change.reason is QueueingReason.USE


def test_service_at_5_percent_is_not_queued_in_bursts_or_by_rejections():
    """Guards against a round trip for requests that need none."""
    burst = lambda now: 0.1 if now % 10 > 7.5 else 0.05  # noqa: E731
    assert observe(burst, 60.0) == []
    assert observe(lambda _: 0.05, 20.0, rejections=1) == []


def test_rejections_start_queueing_below_the_usual_use():
    ((_, change),) = observe(lambda _: 0.12, 10.0, rejections=1)
    assert change.queued and change.reason is QueueingReason.REJECTIONS


def test_demand_that_varies_in_waves_of_17_s_does_not_switch_back():
    """Guards against oscillation: the use falls to 0.14 in each wave."""
    changes = observe(lambda t: 0.31 * (1 + 0.55 * math.sin(2 * math.pi * t / 17)), 120.0)
    assert [change.queued for _, change in changes] == [True]


def test_queueing_stops_10_s_after_the_use_has_fallen():
    stopped = observe(lambda _: 0.05, 30.0, queued=True)
    assert [(round(at), change.queued) for at, change in stopped] == [(STOP_AFTER_S, False)]


def test_a_new_observer_does_not_stop_queueing_before_it_has_seen_reports():
    """Guards the loss of the observer, whose successor knows only the announcement."""
    assert observe(lambda now: 0.31 if now > 2 else 0.0, 30.0, queued=True) == []


class Nodes:
    """Nodes that send requests of 45 ms to one service, with real membership and messages."""

    def __init__(self, rate):
        domains = {f"d{d}": [f"d{d}h{n}" for n in range(21)] for d in range(3)}
        self.fleet = Fleet(domains)
        self.fleet.run(8)
        self.now, self.rate, self.queue, self.order = 100.0, rate, [], itertools.count()
        self.random, self.sent, self.lost = random.Random(3), 0, set()
        self.queued, self.nodes = {}, {}
        for host, view in self.fleet.views.items():
            self.queued[host] = QueuedServices(lambda: self.now)
            self.nodes[host] = Suspicions(
                view,
                LocalBalancer(view.domain, self.random.random),
                self.send,
                lambda _: 3,
                lambda: self.now,
                self.queued[host],
                lambda _: SLOTS,
            )
            self.after(self.random.random(), self.tick, host)
        self.after(0.0, self.request)

    def after(self, delay_s, action, *args):
        heapq.heappush(self.queue, (self.now + delay_s, next(self.order), action, args))

    def send(self, address, message):
        self.sent += 1
        host = address.split(":")[0]
        if isinstance(message, QueueingUpdate) and host in self.lost:
            return
        self.after(0.004, self.nodes[host].receive, message)

    def tick(self, host):
        self.nodes[host].tick()
        self.after(1.0, self.tick, host)

    def request(self):
        self.after(self.random.expovariate(self.rate), self.request)
        node = self.nodes[self.random.choice(sorted(self.nodes))]
        node.record_end(PlainEnd("push", "r1", "send", took_s=0.045, due_s=0.25))

    def run(self, seconds):
        end = self.now + seconds
        while self.queue[0][0] < end:
            self.now, _, action, args = heapq.heappop(self.queue)
            action(*args)
        self.now = end
        return [host for host, each in self.queued.items() if each.is_queued("push")]


@pytest.mark.parametrize(("rate", "count"), [(122.7, 63), (18.0, 0)])
def test_all_nodes_agree_within_5_s_with_one_report_a_node_and_second(rate, count):
    """123 requests a second are 31 percent of the slots, 18 are 4 percent."""
    nodes = Nodes(rate)
    assert len(nodes.run(5.0)) == count
    sent = nodes.sent
    nodes.run(20.0)
    assert (nodes.sent - sent) / 20.0 < 1.6 * 63
    assert len(nodes.run(0.0)) == count


def test_a_node_that_hears_no_announcement_chooses_alone_again():
    """Guards a node behind a cut, which reaches no scheduler of the others."""
    nodes = Nodes(122.7)
    nodes.run(5.0)
    nodes.lost.add("d1h4")
    assert "d1h4" not in nodes.run(ANNOUNCEMENT_VALID_S + 0.1)
    nodes.lost.clear()
    assert len(nodes.run(3.0)) == 63
