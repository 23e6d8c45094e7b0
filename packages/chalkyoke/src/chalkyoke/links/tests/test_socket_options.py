"""
Guards against connections that end too early: TCP_USER_TIMEOUT also decides when keep-alive probes
give up, whatever their number, so an idle connection with probes would end at the user timeout.
"""

import asyncio
import socket

from chalkyoke.clock import Stamp
from chalkyoke.http1.pool import USER_TIMEOUT_MS, ConnectionPool
from chalkyoke.links import peers
from chalkyoke.links.connection import Identity
from chalkyoke.links.peers import Links


class Clock:
    def stamp(self):
        return Stamp(1, 2)

    def observe(self, stamp):
        pass


def options(transport):
    """Return the user timeout and the time until keep-alive probes give up, in milliseconds."""
    raw = transport.get_extra_info("socket")
    probes = 0
    if raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE):
        idle, interval, count = (
            raw.getsockopt(socket.IPPROTO_TCP, each)
            for each in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
        )
        probes = 1000 * (idle + interval * count)
    return raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT), probes


def test_no_user_timeout_ends_keep_alive_probes_of_an_idle_connection():
    async def main():
        accepted = []
        server = await asyncio.start_server(
            lambda _, writer: accepted.append(writer), "127.0.0.1", 0
        )
        ip, port = server.sockets[0].getsockname()[:2]
        pool = ConnectionPool()
        connection = await pool.open(ip, port, limit=9, timeout_s=1.0)
        timeout_ms, probes_ms = options(connection.transport)
        assert timeout_ms == USER_TIMEOUT_MS and probes_ms in (0, timeout_ms)

        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{probe.getsockname()[1]}"
        links = Links(Identity("one", address, "d", b"k" * 16), (), Clock(), lambda *_: None)
        await links.listen()
        stream = await links.open(address)
        timeout_ms, probes_ms = options(stream.detach())
        assert timeout_ms == peers.USER_TIMEOUT_MS and probes_ms in (0, timeout_ms)
        stream.abort()
        pool.close()
        await links.close()
        server.close()

    asyncio.run(main())
