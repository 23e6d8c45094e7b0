"""
A fleet of membership views that exchange messages without delay, unless blocked or dead.
"""

import heapq
import itertools
import math
from collections import Counter

from chalkyoke.membership.messages import MemberRecord
from chalkyoke.membership.state import Candidate
from chalkyoke.membership.view import MembershipView

INTERVAL_S = 0.25


def member_record(host, domain="d1", incarnation=1, **changes):
    fields = {"leaving": False, "ready": True, "revision": 1, "hosts_version": 1, **changes}
    return MemberRecord(host, incarnation, f"{host}:1", "", domain, **fields)


class Fleet:
    """The views of all hosts.

    :param domains: hosts by failure domain.
    :param capacities: in cores, by host; hosts that are not listed have 1 core.
    :ivar blocked: hosts that no message reaches or leaves, and (sender, receiver) pairs whose
        messages are lost.
    :ivar received_by_host: number of received messages, by host.
    :ivar sent_by_host: number of sent messages, by host.
    :ivar cross_domain_messages: number of messages from one failure domain to another.
    """

    def __init__(self, domains, capacities=None):
        self.views = {}
        self.blocked = set()
        self.now = 0.0
        self.message_count = 0
        self.cross_domain_messages = 0
        self.received_by_host = Counter()
        self.sent_by_host = Counter()
        self.capacities = capacities or {}
        self.candidates = [
            Candidate(host, f"{host}:1", domain, self.capacities.get(host, 1.0))
            for domain, hosts in domains.items()
            for host in hosts
        ]
        for each in self.candidates:
            self.start(each.host)

    def start(self, host, incarnation=1, ready=True):
        """Start or restart a host as a process that knows only the host list."""
        candidate = next(each for each in self.candidates if each.host == host)
        record = member_record(
            host, candidate.failure_domain, incarnation, ready=ready, capacity=candidate.capacity
        )
        self.views[host] = MembershipView(record)
        self.views[host].set_candidates(self.candidates)

    def kill(self, host):
        """Stop a process; its host answers no messages from then on."""
        del self.views[host]

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += INTERVAL_S
            for host, view in list(self.views.items()):
                if host not in self.blocked:
                    self.deliver(view, view.due_messages(self.now))
            for view in self.views.values():
                view.tick(self.now)

    def deliver(self, sender, sends):
        for send in sends:
            self.message_count += 1
            self.sent_by_host[sender.record.host] += 1
            target = self.views.get(send.address.split(":")[0])
            if target is None or not self.can_reach(sender.record.host, target.record.host):
                continue
            self.received_by_host[target.record.host] += 1
            self.cross_domain_messages += sender.domain != target.domain
            _, answers = target.receive(sender.record.address, send.message, self.now)
            self.deliver(target, answers)

    def can_reach(self, one, other):
        return (
            one not in self.blocked
            and other not in self.blocked
            and (one, other) not in self.blocked
        )

    def live_hosts(self, viewer):
        return {each.host for each in self.views[viewer].live()}


class DelayedFleet(Fleet):
    """A fleet whose messages take time, and whose hosts send their heartbeats simultaneously.

    :ivar delay_s: transit time of each message, in seconds.
    """

    delay_s = 0.02

    def __init__(self, domains, capacities=None):
        self._in_flight = []
        self._sequence = itertools.count()
        super().__init__(domains, capacities)

    def run(self, seconds):
        end = self.now + seconds
        heartbeats = [self._next_heartbeat(host) for host in self.views]
        heapq.heapify(heartbeats)
        while (
            at := min(heartbeats[0][0], self._in_flight[0][0] if self._in_flight else math.inf)
        ) <= end:
            self.now = at
            if heartbeats[0][0] > at:
                _, _, sender, target, message = heapq.heappop(self._in_flight)
                _, answers = self.views[target].receive(f"{sender}:1", message, at)
                self.deliver(self.views[target], answers)
                continue
            _, host = heapq.heappop(heartbeats)
            self.views[host].tick(at)
            self.deliver(self.views[host], self.views[host].due_messages(at))
            heapq.heappush(heartbeats, (at + INTERVAL_S, host))
        self.now = end

    def _next_heartbeat(self, host):
        return ((math.floor(self.now / INTERVAL_S) + 1) * INTERVAL_S, host)

    def deliver(self, sender, sends):
        for send in sends:
            target = send.address.split(":")[0]
            if target in self.views and self.can_reach(sender.record.host, target):
                each = (self.now + self.delay_s, next(self._sequence), sender.record.host)
                heapq.heappush(self._in_flight, (*each, target, send.message))
