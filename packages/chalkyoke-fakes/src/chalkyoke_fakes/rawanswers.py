"""
chalkyoke_fakes.rawanswers

Answers that are written byte for byte as a test gives them: cut, odd, or in another framing. A
faulty upstream, or one that is stopped, sends such answers.
"""

import asyncio
from dataclasses import dataclass
from enum import Enum

from chalkyoke_fakes.resets import reset_connection

# Time between an answer and the end of its connection, in seconds: its reader has read the answer.
END_DELAY_S = 0.001


class AnswerEnd(Enum):
    """What follows an answer on its connection."""

    KEEP = "the next request is read"
    CLOSE = "the connection is closed"
    RESET = "the connection is reset"


@dataclass(frozen=True)
class RawAnswer:
    """The answer to each request.

    :ivar text: the bytes, in which ``{fields}`` are the headers that name the request, each with
        its line end, ``{body}`` is the body, ``{length}`` its length, ``{chunk}`` one chunk with
        the body, and ``{half}`` its first half.
    """

    text: bytes
    end: AnswerEnd = AnswerEnd.CLOSE

    def encode(self, fields: dict[str, str], body: bytes) -> bytes:
        """Return the bytes that are sent for one request."""
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        values = {
            b"{fields}": head.encode(),
            b"{body}": body,
            b"{length}": b"%d" % len(body),
            b"{chunk}": b"%x\r\n%b\r\n" % (len(body), body),
            b"{half}": body[: len(body) // 2],
        }
        data = self.text
        for name, value in values.items():
            data = data.replace(name, value)
        return data

    async def write(
        self, writer: asyncio.StreamWriter, fields: dict[str, str], body: bytes
    ) -> bool:
        """Write the answer, then end the connection.

        :return: whether the connection can carry another request.
        """
        writer.write(self.encode(fields, body))
        await writer.drain()
        await asyncio.sleep(END_DELAY_S)
        if self.end is AnswerEnd.RESET:
            reset_connection(writer)
        return self.end is AnswerEnd.KEEP
