import asyncio

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.catalog.resources import Replica, Route, RouteKind, Service, Target
from chalkyoke.gateway.granted import Denied, Granted, Source
from chalkyoke.gateway.grants import Grants
from chalkyoke.gateway.localshare import LocalShare
from chalkyoke.gateway.ports import Load, RequestFields
from chalkyoke.gateway.reception import Admission
from chalkyoke.limits.client import Permit, PermitDenied
from chalkyoke.scheduling.messages import Acquire, Adopt, Grant, Queued, Release, Withdraw
from chalkyoke.scheduling.state import ReleaseOutcome
from msgspec.structs import replace

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

    def return_permit(self, permit):
        pass


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
    name = f"r{number}"
    return Admission(name, name, fields, ROUTE, POOL, None, 1, 0, 150.0, 0.0, 8.0, 0.5, patience)


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


def assert_refused_in_time_for_a_retry(found, patience):
    """The caller returns within a third of its remaining time and has time for an answer then."""
    assert isinstance(found, Denied)
    left_s = 8.0 - asyncio.get_running_loop().time()
    assert 0 < found.retry_after_s <= left_s / 3
    waited_s = asyncio.get_running_loop().time()
    assert patience - 2 * ROUTE.goal_s <= waited_s < patience - ROUTE.goal_s


def test_silent_schedulers_are_asked_rarely_and_the_refusal_leaves_time_for_a_retry():
    """Guards against a wait until the caller gives up, with all slots of the node's share used."""

    async def main():
        schedulers = Schedulers(answers_from=99.0)
        grants = make_grants(schedulers)
        for number in range(2):
            await grants.acquire(admission(number, 2.4), 1, ())
        schedulers.asked.clear()
        found = await grants.acquire(admission(9, 2.4), 1, ())
        assert_refused_in_time_for_a_retry(found, 2.4)
        assert len(schedulers.asked) <= 12

    virtual.run(main)


def test_a_local_choice_without_a_free_slot_leaves_time_for_a_retry():
    """Guards the path without schedulers, which had no other end than the deadline."""

    async def main():
        grants = make_grants(Schedulers(answers_from=99.0))
        for number in range(2):
            await grants.acquire(admission(number, 2.4), 1, (), local_only=True)
        found = await grants.acquire(admission(9, 2.4), 1, (), local_only=True)
        assert_refused_in_time_for_a_retry(found, 2.4)

    virtual.run(main)


def test_a_slot_that_is_free_before_the_latest_wait_end_is_used():
    """Guards against the refusal of a request that is served if it waits."""

    async def main():
        grants = make_grants(Schedulers(answers_from=99.0))
        held = [await grants.acquire(admission(number, 2.4), 1, ()) for number in range(2)]
        release = (admission(0, 2.4), held[0], ReleaseOutcome.DELIVERED)
        asyncio.get_running_loop().call_later(1.2, grants.release, *release)
        found = await grants.acquire(admission(9, 2.4), 1, ())
        assert (found.source, found.replica.id) == (Source.LOCAL, held[0].replica.id)

    virtual.run(main)


def test_replicas_whose_rests_are_renewed_hold_no_request_until_its_deadline():
    """Guards the path in which each rest ends before the goal and is followed by another one."""

    async def main():
        loop = asyncio.get_running_loop()
        grants = make_grants(Schedulers(answers_from=99.0), pooled=False)

        def rest():
            for each in REPLICAS:
                grants._balancer.record_rest(each.id, 0.3, loop.time())
            loop.call_later(0.25, rest)

        rest()
        found = await grants.acquire(admission(9, 2.4), 1, ())
        assert isinstance(found, Denied)
        assert loop.time() <= 1.4 and found.retry_after_s <= (8.0 - loop.time()) / 3

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


def test_limits_that_stay_closed_hold_no_request_until_its_deadline():
    """Guards the path in which a limit opens soon, but never for this request."""

    async def main():
        permits = OneLimited(0.1)
        grants = make_grants(Schedulers(answers_from=99.0), pooled=False, permits=permits)

        async def deny(service, replica, most_wait_s):
            return PermitDenied(0.1)

        permits.request_permit = deny
        found = await grants.acquire(admission(1, 2.4), 1, ())
        assert isinstance(found, Denied)
        assert asyncio.get_running_loop().time() <= 1.5
        assert found.retry_after_s <= (8.0 - asyncio.get_running_loop().time()) / 3

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


PLAIN = Service("model")
BOOK = Route("book", "h", "/", (Target("model", 1),), RouteKind.NON_IDEMPOTENT, 2.0, 0.2)


def plain_admission(number, at=0.0):
    fields = RequestFields(f"r{number}", prompt_tokens=7, max_output_tokens=9)
    name = f"r{number}"
    return Admission(
        name, name, fields, BOOK, PLAIN, None, 1, 0, 1.0, at, at + 2.0, at + 0.2, at + 2.0
    )


def make_plain_grants(schedulers, nodes=60, queued=lambda _: True, phase=0.5):
    balancer = LocalBalancer("a", lambda: 0.5)
    made = Grants(
        schedulers,
        Replicas(),
        balancer,
        Unlimited(),
        lambda: phase,
        asyncio.get_running_loop().time,
        lambda: nodes,
        queued,
        pooled=True,
    )
    schedulers.grants = made
    return made


def test_a_queued_plain_request_asks_the_next_scheduler_and_states_no_tokens():
    """Guards against a lost owner, and against token counts that would predict a false duration."""

    async def main():
        schedulers = Schedulers(answers_from=0.0)
        sent = []
        send = schedulers.send
        schedulers.send = lambda process, message: (sent.append(message), send(process, message))
        grants = make_plain_grants(schedulers)
        wanted = plain_admission(1)
        found = await grants.acquire(wanted, 1, (), digest=lambda: b"twelve bytes")
        assert (found.source, found.scheduler) == (Source.SCHEDULER, "n2")
        asked = sent[0]
        assert (asked.prompt_tokens, asked.max_output, asked.blocks) == (0, 0, ())
        assert asked.fingerprint == int.from_bytes(b"twelve b", "big") >> 1
        grants.record_started(wanted, found)
        found.load = Load(3, 1, 6)
        sent.clear()
        grants.send_progress()
        assert sent == [], "a short request needs no progress report"
        await asyncio.sleep(0.05)
        grants.release(wanted, found, ReleaseOutcome.DELIVERED)
        release = schedulers.released[-1][1]
        assert (release.running, release.waiting, release.slots) == (3, 1, 6)
        assert release.usage.first_s == release.usage.total_s > 0

    virtual.run(main)


def test_a_plain_service_that_is_not_queued_asks_no_scheduler():
    async def main():
        schedulers = Schedulers(answers_from=0.0)
        grants = make_plain_grants(schedulers, queued=lambda _: False)
        found = [await grants.acquire(plain_admission(n), 1, ()) for n in range(5)]
        assert all(each.source is Source.LOCAL for each in found)
        assert schedulers.asked == [] and asyncio.get_running_loop().time() == 0.0

    virtual.run(main)


def test_without_a_scheduler_all_nodes_together_stay_close_to_the_slots():
    """Guards against 60 nodes that overfill 8 slots while the owner of the pool is lost."""

    async def main():
        loop = asyncio.get_running_loop()
        running, most, served, refused = [0], [0], [0], [0]

        async def call(grants, number):
            wanted = plain_admission(number, loop.time())
            granted = await grants.acquire(wanted, 1, ())
            if isinstance(granted, Denied):
                refused[0] += 1
                assert granted.retry_after_s <= (wanted.deadline - loop.time()) / 3
                return
            grants.record_started(wanted, granted)
            running[0] += 1
            most[0] = max(most[0], running[0])
            await asyncio.sleep(0.05)
            running[0] -= 1
            served[0] += 1
            grants._balancer.stats(granted.replica.id).record_answer(0.05, loop.time())
            grants.release(wanted, granted, ReleaseOutcome.DELIVERED)

        fleet = [make_plain_grants(Schedulers(99.0), phase=n / 60) for n in range(60)]
        calls = []
        for number in range(1200):
            calls.append(loop.create_task(call(fleet[number * 7 % 60], number)))
            await asyncio.sleep(0.003)
        await asyncio.gather(*calls)
        assert most[0] <= 16, "8 slots, and what arrives together"
        assert served[0] / (loop.time() * 20.0 * 8) > 0.6, "the slots are used"
        assert refused[0] > 0

    virtual.run(main)


def test_the_owner_told_of_a_local_start_is_told_of_its_release_after_queueing_has_stopped():
    """Guards against slots that stay taken at the owner for 3 s."""

    async def main():
        schedulers, queued = Schedulers(answers_from=99.0), [True]
        grants = make_plain_grants(schedulers, nodes=1, queued=lambda _: queued[0])
        wanted = plain_admission(1)
        found = await grants.acquire(wanted, 1, (), local_only=True)
        grants.record_started(wanted, found)
        queued[0] = False
        grants.release(wanted, found, ReleaseOutcome.DELIVERED)
        assert [process for process, _ in schedulers.released] == ["n1"]

    virtual.run(main)


def test_a_share_that_was_not_used_for_long_starts_at_a_random_time_again():
    """Guards against a second loss of the scheduler, when all nodes would start one at once."""
    share = LocalShare(lambda: 0.25, lambda: 60)
    started = share.may_start("p", 18, 0, 0.05, 0.0)
    assert not started and share.may_start("p", 18, 0, 0.05, 0.5), "gathered 0.75 at 4.8 a second"
    assert not share.may_start("p", 18, 0, 0.05, 100.0)


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


def test_a_process_that_knows_no_plain_pool_is_avoided_for_that_pool_only():
    """Guards hosts beside an owner of the previous build, which schedules engines only."""

    async def main():
        schedulers = Schedulers(answers_from=0.0)
        grants = make_plain_grants(schedulers)
        seats = replace(plain_admission(1), service=Service("seats"))
        assert (await grants.acquire(seats, 1, ())).scheduler == "n2"
        schedulers.asked.clear()
        await grants.acquire(admission(2, 2.4), 1, ())
        grants.receive("n1", Queued("r3", 1, POOL.name))
        await grants.acquire(replace(seats, request_id="r4"), 1, ())
        assert [process for process, _ in schedulers.asked] == ["n1", "n2", "n2"]

    virtual.run(main)


class Versions:
    """The replicas, where ``m0`` runs another version than ``m1``, or is under trial."""

    def __init__(self, on_trial=()):
        self._on_trial = on_trial
        self._all = [
            replace(each, version=version)
            for each, version in zip(REPLICAS, ("v1", "v2"), strict=True)
        ]

    def find(self, replica, *, for_trial=False):
        found = next((each for each in self._all if each.id == replica), None)
        return found if for_trial or replica not in self._on_trial else None

    def of_service(self, service, *, for_trial=False):
        return [each for each in self._all if (each.id in self._on_trial) == for_trial]


def test_a_grant_for_another_version_by_an_older_scheduler_is_returned_and_not_used():
    """Schedulers of older builds grant whatever is free; a stream must stay at its version."""

    async def main():
        schedulers = Schedulers(answers_from=0.0)
        grants = make_grants(schedulers)
        grants._replicas = grants._local._replicas = Versions()
        found = await grants.acquire(admission(1, 2.4), 1, (), version="v1")
        assert isinstance(found, Granted) and found.is_version_bound
        assert (found.source, found.replica.id) == (Source.LOCAL, "m0")
        assert [each.outcome for _, each in schedulers.released] == [ReleaseOutcome.UNUSED]
        # The scheduler answers, and other requests still ask it.
        other = await grants.acquire(admission(2, 2.4), 1, ())
        assert (other.source, other.scheduler) == (Source.SCHEDULER, "n2")

    virtual.run(main)


def test_a_stream_goes_on_at_its_version_though_that_version_is_under_trial():
    async def main():
        grants = make_grants(Schedulers(answers_from=99.0))
        grants._replicas = grants._local._replicas = Versions(on_trial=("m0",))
        found = await grants.acquire(admission(1, 2.4), 1, (), version="v1", local_only=True)
        assert found.replica.id == "m0"
        denied = await grants.acquire(admission(2, 2.4), 1, (), version="v3", local_only=True)
        assert isinstance(denied, Denied) and denied.reason == "no replica"

    virtual.run(main)


class OneSilent(Schedulers):
    """A single scheduler that answers nothing by itself."""

    def __init__(self):
        super().__init__(0.0)
        self.adopted = []

    def owners(self, pool):
        return ["n1"]

    def send(self, process, message):
        if isinstance(message, Release):
            self.released.append(message)
        elif isinstance(message, Adopt):
            self.adopted += message.items


def test_a_grant_that_arrives_as_its_search_is_cancelled_is_returned():
    """Guards against slots that stay taken by requests which go on at their silent replica."""

    async def main():
        schedulers = OneSilent()
        grants = make_grants(schedulers)
        wanted = admission(1, 5.0)
        silent = Granted(FIRST, 1, Source.SCHEDULER, "n1", started_at=0.001)
        grants.reinstate(wanted, silent)
        grants.release(wanted, silent, ReleaseOutcome.FAILED)
        search = asyncio.ensure_future(grants.acquire(wanted, 2, ["m0"]))
        await asyncio.sleep(0.01)
        grants.receive("n1", Grant("r1", 2, "model", "m1", "", 0, 0.1))
        search.cancel()
        await asyncio.wait((search,))
        grants.reinstate(wanted, silent)
        assert [(each.attempt, each.outcome) for each in schedulers.released] == [
            (1, ReleaseOutcome.FAILED),
            (2, ReleaseOutcome.UNUSED),
        ]
        assert [each.attempt for each in schedulers.adopted] == [1, 1]
        assert grants._balancer.stats("m0").outstanding == 1

    virtual.run(main)
