"""Tunnels between two hosts over real sockets."""

import asyncio
import itertools
from types import SimpleNamespace

import pytest
from chalkyoke.clock import Stamp
from chalkyoke.http1.client import AnswerMatch, BreakReason, ClientConnection
from chalkyoke.http1.dialing import ConnectFailure
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.links.connection import Identity
from chalkyoke.links.peers import Links
from chalkyoke.memory.account import MemoryAccount
from chalkyoke.sockets import set_user_timeout
from chalkyoke.tunnels.dialer import MAX_SILENCE_S, FleetDialer
from chalkyoke.tunnels.messages import TUNNEL_MESSAGES, TunnelOutcome, TunnelRequest
from chalkyoke.tunnels.opener import TunnelOpener
from chalkyoke.tunnels.server import TunnelServer

IP = "127.0.0.1"
KEY = b"k" * 16
BODY = bytes(range(256)) * 8_000
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY


class Clock:
    def stamp(self):
        return Stamp(1, 2)

    def observe(self, stamp):
        pass


class Answer:
    """Receives one answer."""

    def __init__(self):
        self.body = bytearray()
        self.ended = asyncio.get_running_loop().create_future()

    def answer_head(self, head):
        pass

    def answer_data(self, data):
        self.body += data

    def answer_end(self):
        self.ended.set_result(None)

    def answer_broken(self, how):
        self.ended.set_result(how)


class Upstream:
    """An upstream that sends the same bytes to each request, and counts requests and closes."""

    def __init__(self, answer=ANSWER, *, closes=False):
        self.answer, self.closes = answer, closes
        self.requests = self.closed = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, IP, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                writer.write(self.answer)
                await writer.drain()
                if self.closes:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed += 1
            writer.close()

    async def stop(self):
        self._server.close()


class Host:
    """One host: links, a pool whose own path to some addresses may be lost, and a tunnel server."""

    def __init__(self, name, replicas, members, types=TUNNEL_MESSAGES):
        self.name, self.types, self.lost = name, types, set()
        self.members, self.replicas = members, replicas
        self.account = MemoryAccount()

    async def start(self):
        server = await asyncio.start_server(lambda *_: None, IP, 0)
        self.address = f"{IP}:{server.sockets[0].getsockname()[1]}"
        server.close()
        await server.wait_closed()
        identity = Identity(self.name, self.address, "d", KEY)
        self.links = Links(identity, self.types, Clock(), self._receive)
        await self.links.listen()
        loop = asyncio.get_running_loop()
        opener = TunnelOpener(
            self.name, "d", self.links, lambda: self.members, lambda: 0.5, loop.time
        )
        self.dialer = FleetDialer(opener, lambda: self.replicas, lambda: 0.5)
        self.dialer._direct = self
        self.pool = self.dialer.pool = ConnectionPool(dialer=self.dialer)
        self.server = TunnelServer(self.dialer, lambda: self.replicas, self.account)
        self.members.append(
            SimpleNamespace(
                process=self.name,
                address=self.address,
                failure_domain="d",
                ready=True,
                leaving=False,
            )
        )

    def _receive(self, connection, message):
        return self.server.serve(connection, message)

    async def dial(self, make, ip, port, timeout_s):
        """Connect from this host; a lost path refuses."""
        if (ip, port) in self.lost:
            return ConnectFailure.REFUSED
        try:
            _, made = await asyncio.get_running_loop().create_connection(make, ip, port)
        except OSError:
            return ConnectFailure.REFUSED
        return made

    async def connect(self, address):
        return await self.pool.connect(
            *address, limit=9, timeout_s=0.3, fresh_s=15.0, request_id=""
        )


request_numbers = itertools.count()


def run_hosts(check, *upstreams, helper_types=TUNNEL_MESSAGES):
    """Run a check with two hosts, of which the first has lost its paths to all upstreams."""

    async def main():
        for each in upstreams:
            await each.start()
        members, replicas = [], {each.address for each in upstreams}
        entry = Host("entry", replicas, members)
        helper = Host("helper", replicas, members, helper_types)
        for host in (entry, helper):
            await host.start()
        entry.lost = set(replicas)
        async with asyncio.timeout(20):
            await check(entry, helper, *upstreams)
        for host in (entry, helper):
            host.dialer.close()
            host.pool.close()
            await host.links.close()
        await asyncio.sleep(0.01)

    asyncio.run(main())


def send_request(connection):
    answer = Answer()
    connection.send(
        b"GET / HTTP/1.1\r\n\r\n",
        answer,
        lambda headers: AnswerMatch.OWN,
        request_id=f"{next(request_numbers)}",
    )
    return answer


async def wait_until(check):
    while not check():
        await asyncio.sleep(0.005)


def test_a_large_answer_arrives_whole_through_a_host_and_the_tunnel_is_used_again():
    async def check(entry, helper, upstream, _):
        connection = await entry.connect(upstream.address)
        assert connection.via == "helper"
        for number in (1, 2):
            answer = send_request(connection)
            connection.pause()
            await asyncio.sleep(0.05)
            assert not answer.ended.done()
            connection.resume()
            assert await answer.ended is None
            assert bytes(answer.body) == BODY and upstream.requests == number
            entry.pool.release(*upstream.address, connection)
            assert await entry.connect(upstream.address) is connection
        assert entry.dialer.lost_paths == 1 and not helper.dialer.lost_paths

    run_hosts(check, Upstream(), Upstream())


def test_a_cancelled_request_ends_at_the_upstream_at_once():
    async def check(entry, helper, upstream, _):
        connection = await entry.connect(upstream.address)
        send_request(connection)
        await wait_until(lambda: upstream.requests)
        connection.cancel()
        await wait_until(lambda: upstream.closed)
        await wait_until(lambda: not helper.server.tunnels)

    run_hosts(check, Upstream(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"), Upstream())


class SilentUpstream:
    """An upstream that accepts a connection and does not read from it."""

    async def start(self):
        loop = asyncio.get_running_loop()
        self.lost = loop.create_future()
        self._server = await loop.create_server(lambda: self, IP, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def connection_made(self, transport):
        self.transport = transport
        transport.pause_reading()

    def connection_lost(self, exc):
        self.lost.set_result(exc)

    def eof_received(self):
        return False

    def data_received(self, data):
        pass


def test_a_tunnel_whose_upstream_reads_nothing_ends_with_its_request():
    """The host on the way had stopped to read from the tunnel, and did not notice its end."""

    async def check(entry, helper, upstream, _):
        connection = await entry.connect(upstream.address)
        request = b"POST / HTTP/1.1\r\n\r\n" + bytes(20_000_000)
        connection.send(request, Answer(), lambda headers: AnswerMatch.OWN)
        (tunnel,) = helper.server.tunnels
        # The system would close the tunnel after some seconds.
        set_user_timeout(tunnel.other.transport, 0)
        await wait_until(lambda: not tunnel.transport.is_reading())
        connection.cancel()
        await wait_until(lambda: not helper.server.tunnels)
        upstream.transport.resume_reading()
        assert isinstance(await upstream.lost, ConnectionResetError)

    run_hosts(check, SilentUpstream(), Upstream())


def test_an_answer_without_a_length_is_incomplete_where_the_host_on_the_way_may_have_ended_it():
    async def check(entry, helper, upstream, _):
        answer = send_request(await entry.connect(upstream.address))
        assert await answer.ended is BreakReason.CLOSED

    run_hosts(check, Upstream(b"HTTP/1.1 200 OK\r\n\r\nhalf", closes=True), Upstream())


def test_a_host_of_an_older_version_is_not_asked():
    async def check(entry, helper, upstream, _):
        assert await entry.connect(upstream.address) is ConnectFailure.NO_PATH
        assert entry.dialer._opener.fit_processes() == set()

    run_hosts(check, Upstream(), Upstream(), helper_types=())


def test_an_upstream_is_down_only_by_the_word_of_a_host_that_reaches_another_one():
    async def check(entry, helper, upstream, other):
        await upstream.stop()
        assert await entry.connect(upstream.address) is ConnectFailure.NO_PATH
        entry.lost = set()
        await asyncio.sleep(0.3)
        assert await entry.connect(upstream.address) is ConnectFailure.REFUSED
        assert not entry.dialer.lost_paths

    run_hosts(check, Upstream(), Upstream())


def test_a_host_that_reaches_no_upstream_opens_no_tunnel_and_passes_no_request_on():
    async def check(entry, helper, upstream, other):
        for each in (upstream, other):
            await each.stop()
        stream = await entry.links.open(helper.address)
        stream.send(TunnelRequest(*upstream.address))
        assert (await stream.receive()).outcome == TunnelOutcome.NO_PATH
        assert await entry.connect(upstream.address) is ConnectFailure.NO_PATH
        assert not helper.server.tunnels

    run_hosts(check, Upstream(), Upstream())


@pytest.mark.parametrize("address", [("127.0.0.1", 1), ("127.0.0.1", 99_999)])
def test_a_tunnel_leads_to_replicas_only(address):
    async def check(entry, helper, *_):
        stream = await entry.links.open(helper.address)
        stream.send(TunnelRequest(*address))
        assert (await stream.receive()).outcome == TunnelOutcome.UNKNOWN_REPLICA

    run_hosts(check, Upstream(), Upstream())


def test_a_planned_stop_ends_tunnels_after_their_requests_and_opens_no_others():
    async def check(entry, helper, upstream, _):
        connection = await entry.connect(upstream.address)
        answer = send_request(connection)
        connection.pause()
        stop = asyncio.create_task(helper.server.finish(5.0))
        helper_record = next(each for each in entry.members if each.process == "helper")
        helper_record.leaving = True
        entry.dialer.retire_tunnels()
        await asyncio.sleep(0.05)
        assert not stop.done()
        connection.resume()
        assert await answer.ended is None and bytes(answer.body) == BODY
        entry.pool.release(*upstream.address, connection)
        await stop
        assert not helper.server.tunnels
        assert await entry.connect(upstream.address) is ConnectFailure.NO_PATH

    run_hosts(check, Upstream(), Upstream())


def test_a_planned_stop_waits_for_a_tunnel_that_is_being_opened():
    """Guards against requests that were cut off as the stop did not know their tunnel yet."""

    async def check(entry, helper, upstream, _):
        opening = asyncio.create_task(entry.connect(upstream.address))
        while not helper.server._opening:
            await asyncio.sleep(0)
        stop = asyncio.create_task(helper.server.finish(5.0))
        connection = await opening
        answer = send_request(connection)
        await asyncio.sleep(0)
        assert not stop.done()
        assert await answer.ended is None and bytes(answer.body) == BODY
        connection.retire()
        entry.pool.release(*upstream.address, connection)
        await stop
        assert not helper.server.tunnels

    run_hosts(check, Upstream(), Upstream())


def test_a_host_that_stops_opens_no_tunnel_while_it_still_serves_its_own_callers():
    """Guards against tunnels for hosts that have not heard of the stop, which its end cuts off."""

    async def check(entry, helper, upstream, _):
        helper.server.refuse_new()
        assert await entry.connect(upstream.address) is ConnectFailure.NO_PATH
        assert not helper.server.tunnels

    run_hosts(check, Upstream(), Upstream())


def test_the_own_path_is_used_again_once_it_is_back():
    async def check(entry, helper, upstream, _):
        tunnel = await entry.connect(upstream.address)
        entry.pool.release(*upstream.address, tunnel)
        entry.lost = set()
        await entry.dialer._check_soon(upstream.address)
        connection = await entry.connect(upstream.address)
        assert isinstance(connection, ClientConnection) and not connection.via
        assert not entry.dialer.lost_paths
        await wait_until(lambda: tunnel.closed)

    run_hosts(check, Upstream(), Upstream())


def test_the_path_of_a_silent_request_is_checked_and_a_sound_one_stays_in_use():
    """An upstream may be silent for a second; only its connection tells a lost path from that."""

    async def check(entry, helper, upstream, other):
        entry.lost = set()
        connection = await entry.connect(upstream.address)
        answer = send_request(connection)
        await asyncio.sleep(MAX_SILENCE_S * 1.2)
        entry.dialer.check_silent()
        await asyncio.sleep(0.05)
        assert not entry.dialer.lost_paths and not answer.ended.done() and connection.is_busy
        entry.lost = {upstream.address}
        entry.pool.abort_idle(*upstream.address)
        await asyncio.sleep(0.05)
        entry.dialer._checked_sends.clear()
        entry.dialer.check_silent()
        await wait_until(lambda: entry.dialer.lost_paths)
        assert not answer.ended.done()

    run_hosts(check, Upstream(b""), Upstream())


def test_a_host_that_is_cut_from_most_upstreams_still_tells_which_ones_it_does_not_reach():
    """Guards against replicas behind a cut that were granted on, since nothing was said of them."""

    async def check(entry, helper, sound, *lost):
        helper.members.clear()
        entry.lost = {each.address for each in lost}
        entry.pool.release(*sound.address, await entry.connect(sound.address))
        found = [await entry.connect(each.address) for each in lost]
        assert set(found) == {ConnectFailure.REFUSED}

    run_hosts(check, *(Upstream() for _ in range(12)))
