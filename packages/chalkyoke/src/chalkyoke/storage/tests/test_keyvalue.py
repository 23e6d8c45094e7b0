"""Calls to a key-value service that sends an answer once more, late."""

import asyncio

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.configuration.publisher import Mismatch, Put, Written
from chalkyoke.storage.keyvalue import INDEX_HEADER, StoreClient, make_session
from chalkyoke.upstreams.tests.test_client import (
    COPIES_S,
    NEXT_CALL_S,
    WORK_S,
    RepeatingUpstream,
)


class RepeatingStore(RepeatingUpstream):
    """Accepts the first write and sends that answer once more; the second write does not match."""

    async def answer(self, writer, name):
        if len(self.runs) == 1:
            written = encode_answer(b"true", index=7)
            writer.write(written)
            asyncio.get_running_loop().call_later(self.copy_s, writer.write, written)
            return
        await asyncio.sleep(WORK_S)
        writer.write(encode_answer(b"false", index=8))


def encode_answer(body, index):
    head = f"HTTP/1.1 200 OK\r\n{INDEX_HEADER}: {index}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# Guards against a change that an operator was told is accepted, by the answer to another write.
@pytest.mark.parametrize("copy_s", COPIES_S.values(), ids=COPIES_S)
def test_a_late_copy_of_an_answer_is_not_the_answer_to_the_next_write(copy_s):
    async def main():
        store = RepeatingStore(200, copy_s)
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        async with make_session() as session:
            client = StoreClient(session, url, Metrics())
            assert await client.execute(Put("root", b"first", 0)) == Written(7)
            await asyncio.sleep(NEXT_CALL_S)
            assert await client.execute(Put("root", b"second", 0)) == Mismatch()
        assert store.runs == [b"first", b"second"]
        server.close()

    asyncio.run(main())
