import asyncio

from chalkyoke.http1.incoming import ServerLimits
from chalkyoke.http1.server import ServerConnection
from chalkyoke.http1.turns import PIECE_BYTES, ParsingTurns

from .transports import RecordingTransport

LIMITS = ServerLimits()
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"1\r\nx\r\n"
CALLERS = 20


class Callers:
    """Callers of one listener; the requests that are complete are recorded."""

    def __init__(self):
        turns = ParsingTurns()
        self.requests = []
        self.connections = [
            ServerConnection(self._start, lambda: LIMITS, set(), turns=turns)
            for _ in range(CALLERS)
        ]
        for each in self.connections:
            each.connection_made(RecordingTransport())

    def _start(self, request, writer):
        self.requests.append(request)

    @property
    def parsed_bytes(self):
        return sum(each._incoming.body_bytes for each in self.connections)


# Guards against bodies in small chunks that hold the event loop, so that all others wait.
def test_one_piece_of_small_chunks_is_parsed_in_each_iteration_of_the_loop():
    async def check():
        callers = Callers()
        for each in callers.connections:
            each.data_received(HEAD)
            each.data_received(CHUNK * 10_000)
        per_piece = PIECE_BYTES // len(CHUNK) + 1
        parsed = callers.parsed_bytes
        assert parsed <= CALLERS * per_piece
        for _ in range(100):
            await asyncio.sleep(0)
            assert callers.parsed_bytes <= parsed + per_piece
            parsed = callers.parsed_bytes

    asyncio.run(check())


def test_bodies_in_small_chunks_are_read_to_their_end_in_turn():
    async def check():
        callers = Callers()
        for each in callers.connections:
            each.data_received(HEAD + CHUNK * 2_000 + b"0\r\n\r\n")
        while len(callers.requests) < CALLERS:
            await asyncio.sleep(0)
        assert {each.body for each in callers.requests} == {b"x" * 2_000}

    asyncio.run(check())


# Guards against large chunks that wait for turns although they are parsed fast.
def test_large_chunks_are_parsed_at_once():
    async def check():
        callers = Callers()
        callers.connections[0].data_received(HEAD)
        callers.connections[0].data_received(b"10000\r\n" + b"x" * 65_536 + b"\r\n")
        assert callers.parsed_bytes == 65_536

    asyncio.run(check())


def test_a_connection_that_ends_while_it_waits_for_its_turn_is_left_alone():
    async def check():
        callers = Callers()
        for each in callers.connections:
            each.data_received(HEAD)
            each.data_received(CHUNK * 10_000)
        for each in callers.connections[1:]:
            each.transport.closed = True
            each.connection_lost(None)
        for _ in range(1_000):
            await asyncio.sleep(0)
        assert callers.connections[0]._incoming.body_bytes == 10_000

    asyncio.run(check())
