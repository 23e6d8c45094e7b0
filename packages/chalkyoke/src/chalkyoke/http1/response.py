"""
chalkyoke.http1.response

Writes the answer to one request of a caller, and the port for the handler of a request.
"""

from typing import Protocol

from chalkyoke.http1.messages import AnswerHead, encode_answer_head

LAST_CHUNK = b"0\r\n\r\n"
BODILESS_STATUSES = frozenset((204, 304))


class RequestHandler(Protocol):
    """Handles one request while its answer is in progress."""

    def caller_left(self) -> None:
        """Stop the work, because the caller has closed its connection."""

    def caller_can_read(self, can_read: bool) -> None:
        """Pause or resume the work by the state of the caller's write buffer.

        :param can_read: false while the caller reads more slowly than the answer is sent.
        """


class CallerConnection(Protocol):
    """The connection on which an answer is written."""

    @property
    def closes_after_answer(self) -> bool:
        """Whether the connection closes after the answer in progress."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller has not taken yet, where memory is accounted; else 0."""

    def write(self, data: bytes) -> None:
        """Send bytes of the answer."""

    def close_gracefully(self) -> None:
        """Close after the requests that have been read are answered."""

    def finish_answer(self, final_bytes: bytes) -> None:
        """Finish the answer.

        :param final_bytes: the last bytes of the answer.
        """

    def abort(self) -> None:
        """Abort the connection and discard unsent bytes."""

    def check_caller_left(self) -> bool:
        """Return whether the caller has closed its side, even if that has not been read yet.

        The handler of the request in progress is then told before the return.
        """


class ResponseWriter:
    """Write the answer to one request.

    :param bodiless: whether the answer has no body whatever its head says (``HEAD``).
    :ivar head_sent: whether the head has been sent.
    :ivar close_announced: whether the head has announced that no other answer follows.
    :ivar finished: whether the answer is finished or aborted; later calls have no effect.
    """

    __slots__ = (
        "_bodiless",
        "_chunked",
        "_connection",
        "_unsent_bytes",
        "close_announced",
        "finished",
        "head_sent",
    )

    def __init__(self, connection: CallerConnection, bodiless: bool) -> None:
        self._connection = connection
        self._bodiless = bodiless
        self._chunked = False
        self._unsent_bytes = 0
        self.head_sent = False
        self.close_announced = False
        self.finished = False

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that the caller has not taken yet, where memory is accounted; else 0."""
        return self._connection.unsent_bytes

    def check_caller_left(self) -> bool:
        """Return whether the caller has closed its side, even if that has not been read yet.

        The handler of the request is then told before the return.
        """
        return self._connection.check_caller_left()

    def close_gracefully(self) -> None:
        """Close the connection after the requests that have been read are answered."""
        self._connection.close_gracefully()

    def send_head(self, head: AnswerHead, data: bytes = b"") -> None:
        """Send the head together with the first bytes of the body."""
        if self.finished:
            return
        self.head_sent = True
        if head.status in BODILESS_STATUSES:
            self._bodiless = True
        self._chunked = head.length is None and not self._bodiless
        self._unsent_bytes = head.length or 0
        self.close_announced = close = self._connection.closes_after_answer
        self._connection.write(encode_answer_head(head, close=close, chunked=self._chunked))
        if data:
            self.send_body(data)

    def send_body(self, data: bytes) -> None:
        """Send the next part of the body."""
        if self.finished or self._bodiless or not data:
            return
        if self._chunked:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))
            return
        self._unsent_bytes -= len(data)
        self._connection.write(data)

    def finish(self) -> None:
        """Finish the answer, or abort it when the body does not have the announced length."""
        if self.finished:
            return
        if not self._chunked and not self._bodiless and self._unsent_bytes != 0:
            self.abort()
            return
        self.finished = True
        self._connection.finish_answer(LAST_CHUNK if self._chunked else b"")

    def abort(self) -> None:
        """Abort the connection, so that the caller doesn't accept a partial answer as complete."""
        if self.finished:
            return
        self.finished = True
        self._connection.abort()
