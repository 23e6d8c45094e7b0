"""
tests.test_platformfleet

Tests of the stand-in of the users' platform.
"""

import asyncio

from chalkyoke_fakes.platformfleet import open_session

CALLERS = 150


def test_no_caller_waits_for_the_connection_of_another_one():
    """Callers that queued in their own client made requests at loaded nodes look late."""

    async def main():
        arrived, all_arrived = [], asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            arrived.append(writer)
            if len(arrived) == CALLERS:
                all_arrived.set()
            await all_arrived.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.2.2", 0, backlog=CALLERS)
        url = f"http://127.0.2.2:{server.sockets[0].getsockname()[1]}/"
        async with open_session() as session, asyncio.timeout(10.0):
            answers = await asyncio.gather(*(session.get(url) for _ in range(CALLERS)))
        assert [each.status for each in answers] == [200] * CALLERS
        server.close()

    asyncio.run(main())
