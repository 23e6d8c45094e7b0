"""Tests of requests whose replica sends one of its answers once more, over real connections."""

import asyncio

from chalkyoke.catalog.resources import RouteKind
from chalkyoke.gateway.granted import Granted, Source
from chalkyoke.gateway.ports import AnswerFields
from chalkyoke.gateway.tests.test_exchange import REPLICA, ROUTE
from chalkyoke.gateway.tests.test_takeover import Fleet
from chalkyoke.http1.dialing import DirectDialer
from chalkyoke.http1.messages import find_header
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.http1.tests.transports import RecordingTransport
from msgspec.structs import replace

from tests import virtual

ONCE = replace(ROUTE, kind=RouteKind.NON_IDEMPOTENT, goal_s=0.2)
REJECTION = b"HTTP/1.1 503 Full\r\nId: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
SUCCESS = b"HTTP/1.1 200 OK\r\nId: r1\r\nSigned: 1\r\nContent-Length: 2\r\n\r\nok"
WORK_S = 0.05
LATE_S = 0.03


class RejectingTransport(RecordingTransport):
    """A connection to a replica that rejects the first request, and later says so once more."""

    def __init__(self, replica):
        super().__init__()
        self.replica = replica

    def write(self, data):
        super().write(data)
        self.replica.answer(self.connection)


class RejectingReplica(DirectDialer):
    """Rejects the first request that it gets, and runs the others."""

    def __init__(self):
        self.requests = 0
        self.runs = 0

    async def dial(self, make, ip, port, timeout_s):
        connection, transport = make(), RejectingTransport(self)
        transport.connection = connection
        connection.connection_made(transport)
        return connection

    def answer(self, connection):
        call_later = asyncio.get_running_loop().call_later
        self.requests += 1
        if self.requests == 1:
            call_later(0.0, self.send, connection, REJECTION)
            call_later(LATE_S, self.send, connection, REJECTION)
            return
        self.runs += 1
        call_later(WORK_S, self.send, connection, SUCCESS)

    def send(self, connection, data):
        if not connection.transport.closed:
            connection.data_received(data)


class ContradictingReplica(RejectingReplica):
    """Answers with the ids of two requests."""

    def answer(self, connection):
        self.runs += 1
        asyncio.get_running_loop().call_soon(
            self.send, connection, SUCCESS.replace(b"Id: r1", b"Id: r0\r\nId: r1")
        )


def read_answer(headers):
    return AnswerFields(
        (find_header(headers, b"id") or b"").decode(),
        signed=find_header(headers, b"signed") is not None,
        not_run=find_header(headers, b"not-run") is not None,
        contradictory=sum(name == b"Id" for name, _ in headers) > 1,
    )


class OneReplicaFleet(Fleet):
    """A scheduler that grants the same replica each time."""

    def __init__(self, replica):
        super().__init__(route=ONCE)
        parts = self.exchange._parts
        parts.headers.read_answer = read_answer
        parts.connections = ConnectionPool(dialer=replica)
        parts.replicas.of_service = lambda service, for_trial=False: [REPLICA]

    async def acquire(self, admission, attempt, tried, **_):
        return Granted(REPLICA, attempt, Source.LOCAL)


# Guards against a request that ran twice, or was refused although it ran, because the late copy of
# its rejection was taken for the answer to its second send.
def test_a_late_copy_of_a_rejection_is_not_the_answer_to_the_second_send():
    async def main():
        replica = RejectingReplica()
        fleet = OneReplicaFleet(replica)
        await fleet.run()
        assert (fleet.caller.status, fleet.caller.body, replica.runs) == (200, b"ok", 1)

    virtual.run(main)


# Guards against a success that belongs in part to another request.
def test_an_answer_with_the_ids_of_two_requests_is_no_answer():
    async def main():
        replica = ContradictingReplica()
        fleet = OneReplicaFleet(replica)
        await fleet.run()
        assert (fleet.caller.status, replica.runs) == (502, 1)

    virtual.run(main)


class RepeatingReplica(RejectingReplica):
    """Answers each request with its number, and the first one once more while the next waits."""

    def answer(self, connection):
        call_later = asyncio.get_running_loop().call_later
        self.runs += 1
        answer = SUCCESS.replace(b"ok", b"%02d" % self.runs)
        if self.runs == 1:
            call_later(0.0, self.send, connection, answer)
            call_later(LATE_S, self.send, connection, answer)
            return
        call_later(WORK_S, self.send, connection, answer)


# Guards against a caller that got the answer to another caller's request with the same id.
def test_a_late_copy_of_an_answer_is_not_the_answer_to_another_request_with_its_id():
    async def main():
        replica = RepeatingReplica()
        first, second = OneReplicaFleet(replica), OneReplicaFleet(replica)
        second.exchange._parts.connections = first.exchange._parts.connections
        await first.run()
        await second.run()
        assert (first.caller.body, second.caller.body, replica.runs) == (b"01", b"02", 2)

    virtual.run(main)
