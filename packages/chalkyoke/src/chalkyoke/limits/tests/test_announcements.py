"""Broadcasts of the limits that replicas announce."""

from types import SimpleNamespace

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.messages import ReplicaAttribute, ReplicaAttributes
from chalkyoke.limits.announcements import BROADCAST_INTERVAL_S, LimitAnnouncements
from chalkyoke.limits.known import ENDED_RETENTION_S, KnownLimits


class View:
    def broadcast_targets(self):
        return ["n2", "n3"], ["far"]

    def domain_addresses(self):
        return ["n4"]


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


def make_announcements():
    sent, changes = [], []
    known = KnownLimits()
    made = LimitAnnouncements(
        known,
        View(),
        SimpleNamespace(replicas={"p1": None, "p2": None}),
        Metrics(),
        lambda address, message: sent.append((address, message)),
        lambda: changes.append(known.limits()),
        Clock(),
    )
    made.sent, made.changes, made.known = sent, changes, known
    return made


def sent_limits(made):
    return [
        (address, each.replica, each.value)
        for address, message in made.sent
        for each in message.items
    ]


@pytest.mark.parametrize("at", [0.0, 0.1, 10.1, 10.3, 1234.567, 86400.1])
def test_a_first_limit_is_broadcast_at_once(at):
    made = make_announcements()
    made._now.now = at
    made.record_answer("p1", 3.8)
    assert sent_limits(made) == [(address, "p1", 3.8) for address in ("n2", "n3", "far")]
    assert [message.relay for _, message in made.sent] == [False, False, True]
    made.record_answer("p1", 3.8)
    assert len(made.sent) == 3
    assert made.changes == [{"p1": 3.8}]


def test_broadcasts_of_a_limit_that_changes_with_each_answer_are_rate_limited():
    made = make_announcements()
    for number in range(100):
        made._now.now = number * 0.01
        made.record_answer("p1", 3.0 + number / 100)
    assert len(made.sent) / 3 <= 1.0 / BROADCAST_INTERVAL_S
    made.sent.clear()
    made._now.now = 1.1
    made.broadcast_pending()
    assert sent_limits(made)[0] == ("n2", "p1", 3.99)
    made.sent.clear()
    made.broadcast_pending()
    assert not made.sent


def test_a_broadcast_of_another_node_is_relayed_only_if_it_asks_for_it():
    made = make_announcements()
    made.record_answer("p1", 3.8)
    made.sent.clear()
    made._now.now = 2.0
    items = (ReplicaAttribute("p1", "limit", 1.0, 0.1), ReplicaAttribute("p2", "mood", 7.0, 0.0))
    made.receive("n2", ReplicaAttributes(items))
    made.broadcast_pending()
    assert not made.sent
    assert made.known.limits() == {"p1": 1.0}
    made.receive("n2", ReplicaAttributes(items, relay=True))
    assert [(address, message.relay) for address, message in made.sent] == [("n4", False)]


def test_a_joining_node_gets_the_limits_that_this_node_broadcast():
    made = make_announcements()
    made.record_answer("p1", 3.8)
    made.apply_report("p2", 2.0, 0.0)
    made.sent.clear()
    made._now.now = 4.0
    made.member_joined(SimpleNamespace(address="n9"))
    ((address, message),) = made.sent
    assert (address, message.items) == ("n9", (ReplicaAttribute("p1", "limit", 3.8, 4.0),))


def test_the_removal_of_a_limit_is_broadcast_and_later_dropped():
    made = make_announcements()
    made.record_answer("p1", 3.8)
    made._now.now = 1.0
    made.sent.clear()
    made.record_answer("p1", None)
    assert sent_limits(made)[0] == ("n2", "p1", None)
    made._now.now = 2.0 + ENDED_RETENTION_S
    made.broadcast_pending()
    made.sent.clear()
    made.member_joined(SimpleNamespace(address="n9"))
    assert not made.sent
