import asyncio

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.resources import Replica, Route, RouteKind, Service, Target
from chalkyoke.gateway.granted import Denied, Granted, Source
from chalkyoke.gateway.grants import Grants
from chalkyoke.gateway.ports import Load, RequestFields
from chalkyoke.gateway.reception import Admission
from chalkyoke.limits.client import Permit, PermitDenied
from chalkyoke.scheduling.messages import Acquire, Grant, Queued, Release, Withdraw
from chalkyoke.scheduling.state import ReleaseOutcome

from tests import virtual

POOL = Service("model", engine_slots=4)
ROUTE = Route("chat", "h", "/", (Target("model", 1),), RouteKind.STREAM, 8.0, 0.5, 0.3)
REPLICAS = [Replica(f"m{n}", "model", "127.0.0.1", 8000 + n, "a", 4) for n in range(2)]
FIRST = REPLICAS[0]


class Replicas:
    def find(self, replica, *, for_trial=False):
        return next((each for each in REPLICAS if each.id == replica), None)

    def of_service(self, service, *, for_trial=False):
        return REPLICAS


class Unlimited:
    """Permits where no replica has a limit."""

    def is_limited(self, replica):
        return False

    async def request_permit(self, service, replica, most_wait_s):
        return Permit(service, replica)


class Schedulers:
    """Schedulers that send no answer until a given time, and then grant ``m1``."""

    def __init__(self, answers_from):
        self.answers_from = answers_from
        self.asked = []
        self.withdrawn = []
        self.released = []
        self.grants = None

    def owners(self, pool):
        return ["n1", "n2"]

    def send(self, process, message):
        now = asyncio.get_running_loop().time()
        if isinstance(message, Withdraw):
            self.withdrawn.append(process)
        if isinstance(message, Release):
            self.released.append((process, message))
        if not isinstance(message, Acquire):
            return
        self.asked.append((process, now))
        if process == "n2" and now >= self.answers_from:
            queued = Queued(message.request, message.attempt, message.pool)
            self.grants.receive(process, queued)
            grant = Grant(message.request, message.attempt, message.pool, "m1", "", 0, 0.1)
            asyncio.get_running_loop().call_later(0.02, self.grants.receive, process, grant)


def admission(number, patience):
    fields = RequestFields(f"r{number}", prompt_tokens=100, max_output_tokens=50)
    return Admission(f"r{number}", fields, ROUTE, POOL, None, 1, 0, 150.0, 0.0, 8.0, 0.5, patience)


def make_grants(schedulers, pooled=True, permits=None):
    loop = asyncio.get_running_loop()
    balancer = LocalBalancer("a", lambda: 0.5)
    made = Grants(
        schedulers,
        Replicas(),
        balancer,
        permits or Unlimited(),
        lambda: 0.5,
        loop.time,
        pooled=pooled,
    )
    schedulers.grants = made
    return made


def test_a_request_that_waits_for_a_local_slot_asks_the_schedulers_again():
    async def main():
        schedulers = Schedulers(answers_from=0.9)
        grants = make_grants(schedulers)
        taken = [await grants.acquire(admission(n, 2.4), 1, ()) for n in range(2)]
        assert [each.source for each in taken] == [Source.LOCAL] * 2
        found = await grants.acquire(admission(9, 2.4), 1, ())
        assert isinstance(found, Granted)
        assert (found.source, found.scheduler, found.replica.id) == (Source.SCHEDULER, "n2", "m1")
        assert asyncio.get_running_loop().time() < 1.6

    virtual.run(main)


def test_silent_schedulers_are_asked_rarely_and_the_wait_ends_with_the_patience():
    async def main():
        schedulers = Schedulers(answers_from=99.0)
        grants = make_grants(schedulers)
        for number in range(2):
            await grants.acquire(admission(number, 2.4), 1, ())
        schedulers.asked.clear()
        found = await grants.acquire(admission(9, 2.4), 1, ())
        assert isinstance(found, Denied)
        assert 2.4 <= asyncio.get_running_loop().time() < 2.6
        assert len(schedulers.asked) <= 12

    virtual.run(main)


def test_a_request_that_has_reached_no_replica_is_refused_at_once():
    """Guards against retries at the only replica of a cut-off domain until the deadline."""

    async def main():
        grants = make_grants(Schedulers(answers_from=99.0), pooled=False)
        loop = asyncio.get_running_loop()
        for each in REPLICAS:
            grants._balancer.stats(each.id).record_unreachable(loop.time())
        first = await grants.acquire(admission(1, 5.0), 1, [])
        assert isinstance(first, Granted), "one attempt, since this node's state may be stale"
        second = await grants.acquire(admission(2, 5.0), 2, ["m0", "m1"])
        assert second == Denied("replicas out of reach", 0.5)
        assert loop.time() < 0.01

    virtual.run(main)


class OneLimited:
    """Permits where ``m1`` has a limit that is used up; records requested and returned permits."""

    def __init__(self, opens_in_s):
        self.opens_in_s = opens_in_s
        self.asked, self.returned = [], []

    def is_limited(self, replica):
        return replica == "m1"

    def is_valid(self, permit):
        return True

    async def request_permit(self, service, replica, most_wait_s):
        self.asked.append((replica, most_wait_s))
        if replica != "m1" or most_wait_s >= self.opens_in_s:
            limit = 3.8 if replica == "m1" else None
            return Permit(service, replica, limit, "k", self.opens_in_s if limit else 0.0)
        return PermitDenied(self.opens_in_s)

    def return_permit(self, permit):
        self.returned.append(permit)


def test_a_grant_of_a_scheduler_that_does_not_know_the_limit_is_returned():
    async def main():
        schedulers = Schedulers(answers_from=0.0)
        grants = make_grants(schedulers, permits=OneLimited(0.5))
        found = await grants.acquire(admission(1, 2.4), 1, ())
        assert (found.source, found.replica.id) == (Source.LOCAL, "m0")
        assert [each.outcome for _, each in schedulers.released] == ["unused"]

    virtual.run(main)


def test_with_all_replicas_at_their_limits_a_request_waits_or_gets_a_retry_time():
    async def play(opens_in_s):
        loop = asyncio.get_running_loop()
        permits = OneLimited(opens_in_s)
        grants = make_grants(Schedulers(answers_from=99.0), pooled=False, permits=permits)
        del REPLICAS[0]
        try:
            return await grants.acquire(admission(1, 2.4), 1, ()), loop.time(), permits, grants
        finally:
            REPLICAS.insert(0, FIRST)

    async def main():
        granted, took_s, permits, grants = await play(0.2)
        assert (granted.replica.id, round(took_s, 3)) == ("m1", 0.2)
        grants.release(admission(1, 2.4), granted, ReleaseOutcome.CANCELLED)
        assert [each.replica for each in permits.returned] == ["m1"]

    virtual.run(main)

    async def late():
        denied, took_s, _, _ = await play(0.7)
        assert (denied.reason, took_s) == ("replicas at their limits", 0.0)
        assert denied.retry_after_s == 0.7 + 0.25

    virtual.run(late)


def test_the_reported_load_is_sent_once():
    """Guards against an old load: at the end of a stream, its head is seconds old."""

    async def main():
        schedulers = Schedulers(answers_from=0.0)
        grants = make_grants(schedulers)
        for number, events in ((1, 0), (2, 3)):
            wanted = admission(number, 2.4)
            granted = await grants.acquire(wanted, 1, ())
            granted.load, granted.events = Load(3, 1, 4, 2.5), events
            grants.release(wanted, granted, ReleaseOutcome.DELIVERED)
        sent = [each for process, each in schedulers.released if process == "n2"]
        assert [(each.slots, each.time_factor) for each in sent] == [(4, 2.5), (0, 1.0)]

    virtual.run(main)
