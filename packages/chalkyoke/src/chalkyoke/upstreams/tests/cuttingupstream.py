"""An upstream that answers with given bytes, then closes or resets the connection."""

import asyncio
import contextlib
import re

from chalkyoke.sockets import reset_when_closed

# Time after a piece of an answer, in seconds: its reader reads it before the next one, or before
# the end of the connection.
END_DELAY_S = 0.002


class CuttingUpstream:
    """Answers each request with the bytes that stand for its path, in order, the last ones again.

    :ivar answers: lists of answers by path; ``resume`` stands for all resumed streams.
    :ivar requests: heads of the received requests.
    :ivar piece_bytes: size of the pieces in which an answer is sent; 0 for the whole.
    :ivar resets: whether connections are reset after an answer, and not closed.
    """

    def __init__(self):
        self.answers = {}
        self.requests = []
        self.piece_bytes = 0
        self.resets = False
        self._serving = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *_):
        self._server.close()
        await asyncio.gather(*self._serving)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)
        try:
            await self._answer(reader, writer)
        finally:
            writer.close()

    async def _answer(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            await reader.readexactly(int(length[1]) if length else 0)
            self.requests.append(head)
            path = head.split(b" ")[1].decode()
            resumes = path.partition("?")[0].endswith("/events")
            answers = self.answers.get("resume" if resumes else path, [b""])
            data = answers.pop(0) if len(answers) > 1 else answers[0]
            size = self.piece_bytes or max(1, len(data))
            for start in range(0, len(data), size):
                writer.write(data[start : start + size])
                await writer.drain()
                await asyncio.sleep(END_DELAY_S)
            if self.resets and not writer.transport.is_closing():
                reset_when_closed(writer.transport)
                writer.transport.abort()
