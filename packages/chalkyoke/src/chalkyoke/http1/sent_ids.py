"""
chalkyoke.http1.sent_ids

The ids of the requests that were sent over one connection.

HTTP/1.1 matches answers to requests by their order alone. An upstream that sends an answer once
more, late, is noticed only if the answer names its request, and no other request of that connection
has the same id.
"""

import xxhash

# Highest number of requests over one connection, which bounds the memory for their ids.
MAX_REQUESTS = 256


class SentIds:
    """Tell which requests may still be sent over a connection."""

    def __init__(self) -> None:
        self._digests: set[int] = set()
        self._is_closed = False

    @property
    def is_full(self) -> bool:
        """Whether no other request may be sent."""
        return self._is_closed or len(self._digests) >= MAX_REQUESTS

    def may_send(self, request_id: str | None) -> bool:
        """Return whether an answer to this request can't be confused with an earlier one.

        :param request_id: id that the answer will name; None if it names none. Then the connection
            may not have carried, and will not carry, any other request.
        """
        if self.is_full:
            return False
        if request_id is None:
            return not self._digests
        return _digest(request_id) not in self._digests

    def add(self, request_id: str | None) -> None:
        """Record that a request is sent."""
        if request_id is None:
            self._is_closed = True
        else:
            self._digests.add(_digest(request_id))


def _digest(request_id: str) -> int:
    return xxhash.xxh3_64_intdigest(request_id.encode())
