"""Tests of one request from its arrival to its end, with stubs for the other components."""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
from chalkyoke.catalog.resources import Catalog, Route, RouteKind, Service, Target, Team
from chalkyoke.gateway.drain import Drain, PlannedStop
from chalkyoke.gateway.exchange import Exchange
from chalkyoke.gateway.feedback import Feedback
from chalkyoke.gateway.granted import Denied, Granted, Source
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.gateway.ports import RequestFields
from chalkyoke.gateway.reading import ResponseReading
from chalkyoke.gateway.verdict import SendEnd
from chalkyoke.http1.messages import Request
from chalkyoke.http1.pool import ConnectFailure
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.quotas.client import QuotaDecision
from chalkyoke.resumption.finder import FoundOrigin, OriginSource
from chalkyoke.resumption.messages import Origin
from chalkyoke.resumption.origins import stream_key
from msgspec.structs import replace

from tests import virtual

TEAM = Team("t", ("k",), rate_per_s=1000.0, by_tokens=True, default_cost=200.0)
ROUTE = Route("chat", "h", "/", (Target("model", 1.0),), RouteKind.STREAM, 8.0, 0.5, 0.3)
CATALOG = Catalog(
    version=1,
    routes=(ROUTE,),
    services={"model": Service("model", engine_slots=4)},
    teams={"t": TEAM},
)
REPLICA = SimpleNamespace(id="m1", expected_id="m1", ip="127.0.0.1", port=1, version="v1")


class Quotas:
    def __init__(self):
        self.refunded = []

    async def charge(self, charged):
        return QuotaDecision(True, decided_by="owner", lease_window=7)

    def refund(self, charged, passed):
        self.refunded.append((charged.cost, passed.lease_window))
        return True


class NoRollouts:
    """Stub of the rollouts while no service moves to another version."""

    def claim_trial(self, admission, *, again):
        return False

    def may_send(self, replica):
        return True

    def record_sent(self, replica):
        pass

    record_finished = record_sent

    def record_outcome(self, admission, replica, **ended):
        pass


class Quarantine:
    """Stub of the quarantine that holds back no request."""

    def find_held(self, request, parts):
        return None

    def record_abandoned(self, *_):
        pass

    record_delivered = record_answer = record_broken = record_unreachable = record_abandoned


class Answering:
    status = None
    finished = False

    def check_caller_left(self):
        return False

    def send_head(self, head, data=b""):
        self.status = head.status

    def finish(self):
        pass

    def abort(self):
        self.status = "aborted"

    def close_gracefully(self):
        pass


async def path_is_not_lost(ip, port):
    return False


def exchange_with(acquire, connect=None, route=ROUTE, rollouts=None):
    """Create an exchange that gets grants and connections from the given coroutine functions."""
    catalog = replace(CATALOG, routes=(route,))
    loop = asyncio.get_running_loop()
    quotas, response = Quotas(), Answering()
    released = []
    parts = GatewayParts(
        catalog=lambda: catalog,
        replicas=SimpleNamespace(find=lambda replica, for_trial=False: REPLICA),
        headers=SimpleNamespace(
            read_request=lambda headers: RequestFields("r1", 5.0, "k", 900, 100)
        ),
        grants=SimpleNamespace(
            acquire=acquire, release=lambda admission, granted, outcome: released.append(outcome)
        ),
        balancer=SimpleNamespace(
            stats=lambda replica: SimpleNamespace(record_unreachable=lambda now: None),
            rest_left_s=lambda replicas, now: 0.0,
        ),
        quotas=quotas,
        budget=SimpleNamespace(remaining=lambda *_: 0.0, try_spend=lambda *_: False),
        connections=SimpleNamespace(connect=connect, is_path_lost=path_is_not_lost),
        node_count=lambda: 3,
        now=loop.time,
        log_decision=lambda *_, **__: None,
        log_rejection=lambda *_: None,
        on_plain_request_ended=lambda *_: None,
        rollouts=rollouts or NoRollouts(),
        quarantine=Quarantine(),
        announcements=SimpleNamespace(),
        origins=SimpleNamespace(),
        search_ids=(f"n1/{number}" for number in itertools.count(1)),
    )
    request = Request(b"POST", b"/x", [(b"host", b"h")], b"{}")
    return Exchange(parts, request, response), quotas, response


def test_a_refused_request_gets_its_quota_refunded():
    async def main():
        async def acquire(*_, **__):
            return Denied("shed", 0.5)

        exchange, quotas, response = exchange_with(acquire)
        await exchange.run()
        assert response.status == 503
        assert quotas.refunded == [(1000.0, 7)]

    virtual.run(main)


def test_a_request_abandoned_in_the_queue_gets_its_quota_refunded():
    async def main():
        async def acquire(*_, **__):
            await asyncio.sleep(60)

        exchange, quotas, _ = exchange_with(acquire)
        exchange.task = asyncio.get_running_loop().create_task(exchange.run())
        await asyncio.sleep(0.2)
        exchange.caller_left()
        await asyncio.gather(exchange.task, return_exceptions=True)
        assert quotas.refunded == [(1000.0, 7)]

    virtual.run(main)


class StoppingResponse(Answering):
    """Records whether the close of the connection was asked for before the answer's head."""

    closes = None

    def close_gracefully(self):
        self.closes = self.status is None


def test_a_request_that_comes_too_late_in_a_stop_is_refused_before_it_is_charged():
    """Guards against charges for requests that a stopping node refuses."""

    async def main():
        asked = []

        async def acquire(*_, **__):
            asked.append("grant")

        exchange, quotas, _ = exchange_with(acquire)
        exchange._response = exchange._replies._response = response = StoppingResponse()
        exchange._parts.drain.stop = PlannedStop(leaves_at=-1.0, ends_at=1.0)
        await exchange.run()
        assert response.status == 503 and response.closes
        assert asked == quotas.refunded == []
        assert exchange._charge is None

    virtual.run(main)


@pytest.mark.parametrize(("typical_s", "refused_at"), [(None, 3.7), (1.5, 2.5)])
def test_a_request_without_a_replica_is_refused_during_a_stop_and_gets_its_quota_refunded(
    typical_s, refused_at
):
    """Guards against requests that waited until the node ended and got no answer."""

    async def main():
        async def acquire(*_, **__):
            await asyncio.sleep(60)

        exchange, quotas, _ = exchange_with(acquire)
        exchange._response = exchange._replies._response = response = StoppingResponse()
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(exchange.run())
        await asyncio.sleep(0.2)
        if typical_s is not None:
            exchange._parts.drain.durations.record(exchange._admission, typical_s, 0.1)
        exchange._parts.drain.stop = PlannedStop(leaves_at=1.0, ends_at=4.0)
        exchange.begin_stop()
        await exchange.task
        assert response.status == 503 and response.closes
        assert loop.time() == pytest.approx(refused_at)
        assert quotas.refunded == [(1000.0, 7)]

    virtual.run(main)


def test_a_request_that_gets_its_grant_too_late_in_a_stop_is_refused_and_not_sent():
    """Guards against requests that were sent on while answers had become slow meanwhile."""

    async def main():
        sent = []

        async def acquire(*_, **__):
            durations, drain = exchange._parts.drain.durations, exchange._parts.drain
            durations.record(exchange._admission, 0.2, 0.1)
            drain.stop = PlannedStop(leaves_at=-1.0, ends_at=4.0)
            exchange.begin_stop()
            other = replace(exchange._admission, search_id="n1/other")
            durations.record_dispatch(other, exchange._parts.now())
            await asyncio.sleep(1.5)
            return Granted(REPLICA, 1, Source.LOCAL)

        async def connect(*_, **__):
            sent.append("connect")
            return ConnectFailure.REFUSED

        exchange, quotas, response = exchange_with(acquire, connect)
        exchange.task = asyncio.get_running_loop().create_task(exchange.run())
        await exchange.task
        assert (response.status, sent) == (503, [])
        assert quotas.refunded == [(1000.0, 7)]

    virtual.run(main)


@pytest.mark.parametrize(("runs", "head_sent"), [(1, False), (1, True)])
def test_a_request_that_may_have_run_is_not_refused_for_a_stop(runs, head_sent):
    """Guards against a "not run" that is untrue, and against streams that a stop gives up early."""

    async def main():
        async def acquire(*_, **__):
            await asyncio.sleep(60)

        exchange, _, response = exchange_with(acquire, route=replace(ROUTE, resumable=True))
        loop = asyncio.get_running_loop()
        exchange.task = loop.create_task(exchange.run())
        await asyncio.sleep(0.2)
        exchange._progress.sends.runs = runs
        exchange._delivery.head_sent = head_sent
        exchange._parts.drain.stop = PlannedStop(leaves_at=1.0, ends_at=2.0)
        exchange.begin_stop()
        await asyncio.sleep(3.0)
        assert response.status is None and not exchange.task.done()
        exchange.caller_left()
        await asyncio.gather(exchange.task, return_exceptions=True)

    virtual.run(main)


def test_a_request_that_may_have_run_keeps_its_charge():
    async def main():
        async def acquire(*_, **__):
            return Granted(REPLICA, 1, Source.LOCAL)

        async def connect(*_, **__):
            return ConnectFailure.REFUSED

        exchange, quotas, _ = exchange_with(acquire, connect)
        exchange._progress.sends.runs = 1
        await exchange.run()
        assert quotas.refunded == []

    virtual.run(main)


def test_a_repeatable_request_that_may_have_run_is_not_answered_as_not_run():
    """The first run may have succeeded and its answer was lost; no replica takes the retry."""

    async def main():
        async def acquire(*_, **__):
            return Denied("shed", 0.5)

        exchange, _, response = exchange_with(acquire, route=replace(ROUTE, resumable=True))
        exchange._progress.sends.runs = 1
        await exchange.run()
        assert response.status == 502

    virtual.run(main)


class SilentConnection:
    """A connection that accepts a request and never delivers an answer."""

    closed = False
    via = ""

    def send(self, data, sink, belongs, *, request_id, bodiless=False, upload=None):
        pass

    def cancel(self):
        self.closed = True


@pytest.mark.parametrize("stage", ["quota", "queue", "connecting", "answer", "retry"])
def test_a_disconnect_of_the_caller_ends_the_request_at_each_stage(stage):
    """The request is not sent after the disconnect, and a running send is cancelled."""

    async def main():
        sent = []

        async def forever(*_, **__):
            await asyncio.sleep(60)

        async def acquire(admission, attempt, tried, **_):
            if stage == "queue" or (stage == "retry" and attempt > 1):
                await forever()
            return Granted(REPLICA, attempt, Source.LOCAL)

        async def connect(*_, **__):
            if stage == "connecting":
                await forever()
            if stage == "retry":
                return ConnectFailure.REFUSED
            sent.append(SilentConnection())
            return sent[-1]

        exchange, _, response = exchange_with(acquire, connect)
        parts = exchange._parts
        if stage == "quota":
            parts.quotas.charge = forever
        parts.headers.forwarded_headers = lambda headers, forwarding: []
        parts.budget.record_first = lambda *_: None
        parts.grants.record_started = lambda admission, granted: None
        exchange.task = asyncio.get_running_loop().create_task(exchange.run())
        await asyncio.sleep(0.3)
        exchange.caller_left()
        await asyncio.gather(exchange.task, return_exceptions=True)
        assert [each.closed for each in sent] == [True] * (stage == "answer")
        assert response.status is None

    virtual.run(main)


def test_a_request_is_not_sent_if_its_caller_has_closed_and_the_close_is_not_read_yet():
    """A host that was late sent it, and looked at the close afterwards."""

    async def main():
        released = []

        async def acquire(*_, **__):
            return Granted(REPLICA, 1, Source.LOCAL)

        async def connect(*_, **__):
            return SilentConnection()

        exchange, _, response = exchange_with(acquire, connect)
        exchange._parts.connections.release = lambda *_: released.append(True)

        def check_caller_left():
            exchange.caller_left()
            return True

        response.check_caller_left = check_caller_left
        exchange.task = asyncio.get_running_loop().create_task(exchange.run())
        await asyncio.gather(exchange.task, return_exceptions=True)
        assert exchange._progress.sends.arrivals == 0
        assert released == [True] and response.status is None

    virtual.run(main)


def test_a_send_that_reaches_the_deadline_leaves_no_connection_open():
    """The replica went on with a request that nobody waited for, on a connection that was lost."""

    async def main():
        connection = SilentConnection()

        async def acquire(*_, **__):
            return Granted(REPLICA, 1, Source.LOCAL)

        async def connect(*_, **__):
            return connection

        exchange, _, response = exchange_with(acquire, connect)
        parts = exchange._parts
        parts.headers.forwarded_headers = lambda headers, forwarding: []
        parts.budget.record_first = lambda *_: None
        parts.grants.record_started = lambda admission, granted: None
        await exchange.run()
        assert response.status == 504
        assert connection.closed

    virtual.run(main)


def test_an_exception_before_the_first_send_ends_with_a_refusal():
    async def main():
        async def acquire(*_, **__):
            raise ValueError("broken")

        exchange, quotas, response = exchange_with(acquire)
        with pytest.raises(ValueError, match="broken"):
            await exchange.run()
        assert response.status == 503
        assert quotas.refunded == [(1000.0, 7)]

    virtual.run(main)


def test_idle_connections_are_dropped_after_a_stall_without_an_answer_head():
    async def main():
        dropped = []

        async def acquire(admission, attempt, tried, **_):
            return Denied("no replica", 0.5) if tried else Granted(REPLICA, 1, Source.LOCAL)

        async def connect(*_, **__):
            return SilentConnection()

        route = replace(ROUTE, kind=RouteKind.IDEMPOTENT, attempts=2)
        exchange, _, response = exchange_with(acquire, connect, route)
        parts = exchange._parts
        parts.connections.abort_idle = lambda ip, port: dropped.append((ip, port))
        parts.headers.forwarded_headers = lambda headers, forwarding: []
        parts.budget = SimpleNamespace(
            remaining=lambda *_: 9.0, try_spend=lambda *_: True, record_first=lambda *_: None
        )
        parts.grants.record_started = lambda admission, granted: None
        parts.grants.reinstate = lambda admission, granted: None
        parts.balancer.stats = lambda replica: SimpleNamespace(record_failure=lambda *_: None)
        await exchange.run()
        assert dropped == [(REPLICA.ip, REPLICA.port)]
        assert response.status == 504

    virtual.run(main)


def test_a_replica_is_not_abandoned_as_stalled_while_its_caller_does_not_read():
    """The node itself has paused the answer; a second replica would run the request for nothing."""

    async def main():
        connection = SilentConnection()
        connection.pause = connection.resume = lambda: None

        async def acquire(*_, **__):
            return Granted(REPLICA, 1, Source.LOCAL)

        async def connect(*_, **__):
            return connection

        route = replace(ROUTE, kind=RouteKind.IDEMPOTENT, attempts=2)
        exchange, _, response = exchange_with(acquire, connect, route)
        parts = exchange._parts
        account = MemoryAccount(10_000_000)
        account.add(Purpose.BODIES_KEPT, 10_000_000)
        exchange._sender._reading = ResponseReading(account, response, parts.now)
        parts.headers.forwarded_headers = lambda headers, forwarding: []
        parts.budget = SimpleNamespace(remaining=lambda *_: 9.0, record_first=lambda *_: None)
        parts.grants.record_started = lambda admission, granted: None
        exchange.task = asyncio.get_running_loop().create_task(exchange.run())
        await asyncio.sleep(0.1)
        response.unsent_bytes = 100_000
        exchange.caller_can_read(False)
        await asyncio.sleep(4.0)
        assert not connection.closed
        exchange.caller_can_read(True)
        await asyncio.sleep(0.5)
        assert not connection.closed
        exchange.caller_left()
        await asyncio.gather(exchange.task, return_exceptions=True)

    virtual.run(main)


def test_a_replica_abandoned_by_a_rollout_between_grant_and_send_gets_no_request():
    """An old replica may stop once the node has reported that it no longer uses the replica.

    A request that was sent after the report had its answer cut off.
    """

    class OldReplicasAbandoned(NoRollouts):
        def may_send(self, replica):
            return False

    async def main():
        given_back = []
        grants = iter([Granted(REPLICA, 1, Source.LOCAL), Denied("no replica", 0.5)])

        async def acquire(*_, **__):
            return next(grants)

        async def connect(*_, **__):
            return SilentConnection()

        exchange, _, response = exchange_with(acquire, rollouts=OldReplicasAbandoned())
        exchange._parts.connections = SimpleNamespace(
            connect=connect, release=lambda *where: given_back.append(where)
        )
        await exchange.run()
        assert response.status == 503
        assert len(given_back) == 1

    virtual.run(main)


def test_a_replica_that_restarts_as_another_version_between_grant_and_send_gets_no_request():
    """Guards against a stream that goes on at a version which the grant was not for."""

    async def main():
        given_back = []
        grants = iter([Granted(REPLICA, 1, Source.LOCAL), Denied("no replica", 0.5)])

        async def acquire(*_, **__):
            return next(grants)

        async def connect(*_, **__):
            later = SimpleNamespace(**{**vars(REPLICA), "version": "v2"})
            exchange._parts.replicas = SimpleNamespace(find=lambda *_, **__: later)
            return SilentConnection()

        exchange, _, response = exchange_with(acquire)
        exchange._parts.connections = SimpleNamespace(
            connect=connect, release=lambda *where: given_back.append(where)
        )
        await exchange.run()
        assert response.status == 503
        assert len(given_back) == 1

    virtual.run(main)


def test_the_duration_for_a_rollout_excludes_the_work_of_the_components_told_of_the_end():
    """Guards against a good version that looks slow as its scheduler runs at the node as well."""
    clock, took = [1.0], []

    def take_10_ms(*_):
        clock[0] += 0.01

    stats = SimpleNamespace(record_answer=lambda *_: None)
    parts = SimpleNamespace(
        now=lambda: clock[0],
        balancer=SimpleNamespace(stats=lambda _: stats),
        quarantine=Quarantine(),
        grants=SimpleNamespace(release=take_10_ms),
        rollouts=SimpleNamespace(record_outcome=lambda *_, took_s, **__: took.append(took_s)),
        on_plain_request_ended=take_10_ms,
        drain=Drain(),
    )
    service = Service("seats")
    fields = RequestFields("r1")
    admission = SimpleNamespace(service=service, route=ROUTE, fields=fields)
    granted = Granted(REPLICA, 1, Source.LOCAL, started_at=0.75)
    Feedback(parts).record_end(admission, granted, SendEnd.DELIVERED, None, lambda: b"", ())
    assert took == [0.25]


@pytest.mark.parametrize(
    ("origin", "version"),
    [
        (Origin("model", "v1.1"), "v1.1"),
        (Origin("model", ""), ""),
        (Origin("other", "v1.1"), None),
        (None, None),
    ],
)
def test_a_stream_that_its_caller_resumes_is_bound_to_the_version_that_began_it_or_refused(
    origin, version
):
    """Nothing may be sent while that version is unknown or belongs to another service."""

    async def main():
        asked, bound = [], []

        async def acquire(*_, version, **__):
            bound.append(version)
            return Denied("no replica", 0.5)

        async def find(stream, sought):
            asked.append((stream, sought.service, sought.age_s))
            return FoundOrigin(origin, OriginSource.KEEPER)

        route = replace(ROUTE, resumable=True)
        exchange, _, response = exchange_with(acquire, route=route)
        exchange._parts.origins = SimpleNamespace(find=find)
        exchange._fields = replace(exchange._fields, resumes="r0", last_event_id="4")
        await exchange.run()
        assert asked == [(stream_key("t", "r0"), "model", 2 * route.timeout_s)]
        assert bound == ([] if version is None else [version])
        assert response.status == 503

    virtual.run(main)


def test_a_stream_of_a_route_that_is_not_resumable_has_no_origin():
    async def main():
        async def acquire(*_, version, **__):
            assert version is None
            return Denied("no replica", 0.5)

        exchange, _, response = exchange_with(acquire)
        exchange._fields = replace(exchange._fields, resumes="r0", last_event_id="4")
        await exchange.run()
        assert response.status == 503

    virtual.run(main)


def test_an_answer_that_is_cut_off_leaves_a_line_with_its_cause():
    """Guards against answers that ended without their end and left no trace in the log."""

    async def main():
        lines = []

        async def acquire(*_, **__):
            return Denied("shed", 0.5)

        exchange, _, response = exchange_with(acquire, route=replace(ROUTE, resumable=True))
        exchange._parts.log_decision = lambda event, _, **facts: lines.append((event, facts))
        exchange._delivery.head_sent = True
        exchange._delivery.events = 3
        await exchange.run()
        assert response.status == "aborted"
        assert [event for event, _ in lines] == ["cut_off", "refunded"]
        assert lines[0][1] == {"reason": "shed", "sends": 0, "events": 3, "catalog_version": 1}

    virtual.run(main)


def test_a_request_that_has_been_answered_has_no_other_end_when_the_node_ends():
    """Guards against lines that call a request refused or cut off whose caller has its answer."""

    async def main():
        lines = []

        async def acquire(*_, **__):
            return Denied("shed", 0.5)

        exchange, _, response = exchange_with(acquire)
        exchange._parts.log_decision = lambda event, _, **facts: lines.append(event)
        await exchange.run()
        response.finished = True
        assert exchange.end_now("stopping") is False
        assert (response.status, lines) == (503, ["refused", "refunded"])

    virtual.run(main)
