"""Tests of how the response to a slow caller is read, in virtual time."""

import asyncio
from types import SimpleNamespace

from chalkyoke.gateway.events import EventSplitter
from chalkyoke.gateway.ports import AnswerFields
from chalkyoke.gateway.reading import ResponseReading
from chalkyoke.gateway.relay import Delivery, Relay
from chalkyoke.gateway.verdict import SendEnd
from chalkyoke.http1.messages import AnswerHead
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.flow import RESUME_AFTER_S

from tests import virtual

LIMIT = 40_000_000


class Connection:
    closed = False
    reads = True

    def pause(self):
        self.reads = False

    def resume(self):
        self.reads = True


class Response:
    """A caller that takes nothing."""

    def __init__(self):
        self.unsent_bytes = 0
        self.head = None

    def send_head(self, head, data=b""):
        self.head = head
        self.unsent_bytes += len(data)

    def send_body(self, data):
        self.unsent_bytes += len(data)


class Send:
    """One send whose response the test delivers itself."""

    def __init__(self, account, status=200):
        now = asyncio.get_running_loop().time
        self.account, self.connection, self.response = account, Connection(), Response()
        self.reading = ResponseReading(account, self.response, now)
        headers = SimpleNamespace(read_answer=lambda _: AnswerFields("r", signed=True))
        self.relay = Relay(
            Delivery(self.response, EventSplitter()),
            headers,
            "r",
            now,
            version="v1",
            streams=False,
            on_first_event=lambda _: None,
            on_answer_head=lambda *_: None,
            account=account,
            on_data=self.reading.on_data,
        )
        self.reading.start(self.connection, self.relay)
        self.relay.match_answer([])
        self.relay.answer_head(AnswerHead(status, b"OK", [], None))


def test_a_response_to_a_slow_caller_is_read_on_before_the_replica_aborts_it():
    async def main():
        send = Send(MemoryAccount(LIMIT))
        send.reading.set_caller_can_read(False)
        assert not send.connection.reads
        assert send.account.by_purpose[Purpose.UNREAD] > 0
        await asyncio.sleep(RESUME_AFTER_S + 0.3)
        assert send.connection.reads
        assert send.account.by_purpose[Purpose.UNREAD] == 0
        assert send.relay.last_at >= RESUME_AFTER_S

    virtual.run(main)


def test_a_response_that_fills_its_share_is_paused_and_its_connection_is_returned_unpaused():
    """A pooled connection that stays paused would never deliver the next answer."""

    async def main():
        send = Send(MemoryAccount(LIMIT))
        send.reading.set_caller_can_read(False)
        await asyncio.sleep(RESUME_AFTER_S + 0.3)
        send.response.unsent_bytes = send.account.share + 1
        send.relay.answer_data(b"x")
        assert not send.connection.reads and send.reading.is_paused
        await asyncio.sleep(10 * RESUME_AFTER_S)
        assert not send.connection.reads
        send.reading.end(send.connection)
        assert send.connection.reads
        assert send.account.by_purpose[Purpose.UNREAD] == 0

    virtual.run(main)


def test_without_a_limit_reading_follows_the_caller_alone():
    async def main():
        send = Send(MemoryAccount())
        send.reading.set_caller_can_read(False)
        await asyncio.sleep(10 * RESUME_AFTER_S)
        assert not send.connection.reads and not send.reading.is_paused
        send.reading.set_caller_can_read(True)
        assert send.connection.reads and send.account.total == 0
        assert send.relay.last_at == send.relay.started_at

    virtual.run(main)


def test_a_plain_response_is_forwarded_as_it_comes_when_memory_is_scarce():
    async def main():
        account = MemoryAccount(LIMIT)
        roomy = Send(account)
        roomy.relay.answer_data(b"x" * 100_000)
        assert roomy.response.head is None and roomy.relay.retained_bytes == 100_000
        account.add(Purpose.BODIES_KEPT, LIMIT // 2)
        scarce = Send(account)
        scarce.relay.answer_data(b"x" * 100_000)
        assert scarce.response.head is not None and scarce.relay.retained_bytes == 0

    virtual.run(main)


def test_a_failure_response_that_may_be_replaced_waits_only_when_memory_is_scarce():
    """It is never forwarded in part: another replica may still answer the request."""

    async def main():
        account = MemoryAccount(LIMIT)
        account.add(Purpose.BODIES_KEPT, LIMIT // 2)
        send = Send(account, status=500)
        send.relay.answer_data(b"x" * 100_000)
        assert send.response.head is None and send.connection.reads
        account.add(Purpose.BODIES_KEPT, LIMIT // 3)
        send.relay.answer_data(b"x")
        assert send.response.head is None and not send.connection.reads
        account.add(Purpose.BODIES_KEPT, -LIMIT // 3)
        await asyncio.sleep(0.3)
        assert send.connection.reads

    virtual.run(main)


def test_no_second_head_is_written_into_an_answer_that_has_begun():
    """The replica that resumes a stream may answer with an error of the caller's, such as 404."""

    async def main():
        send = Send(MemoryAccount(), status=404)
        send.relay._delivery.head_sent = True
        send.relay.answer_data(b"x" * 300_000)
        send.relay.answer_end()
        assert send.response.head is None
        assert send.relay.ended.result() is SendEnd.UNUSABLE

    virtual.run(main)
