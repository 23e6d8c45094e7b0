"""
chalkyoke.http1.incoming

The request that is being read on a caller's connection, and the limits for it.
"""

import msgspec

from chalkyoke.http1.messages import Headers, Request
from chalkyoke.http1.targets import OriginForm
from chalkyoke.http1.upload import COPIED_BYTES
from chalkyoke.memory.account import Charge, MemoryAccount, Purpose
from chalkyoke.memory.bodygrants import BodyGrant

# Bytes that the program uses for a header beside its name and value.
HEADER_OBJECT_BYTES = 180


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits for the requests and the connections of callers.

    :param header_bytes: largest request head, in bytes.
    :param body_bytes: largest request body, in bytes.
    :param header_timeout_s: seconds from the first byte of a request to the end of its head.
    :param idle_timeout_s: seconds that a connection may stay idle before it is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IncomingRequest:
    """Collects the parts of one request and charges them to the account.

    :ivar head_bytes: size of the head so far, in bytes.
    :ivar body_bytes: size of the body so far, in bytes.
    :ivar charge: the bytes held for the head, and reserved or held for the body.
    :ivar grant: memory for a body of unknown length while it is read; None for any other.
    """

    __slots__ = ("_body", "body_bytes", "charge", "grant", "head_bytes", "headers", "target")

    def __init__(self, account: MemoryAccount) -> None:
        self.target = bytearray()
        self.headers: Headers = []
        self.head_bytes = 0
        self.body_bytes = 0
        self.charge: Charge = account.open(Purpose.BODIES_READ)
        self.grant: BodyGrant | None = None
        self._body: bytes | bytearray = b""

    def add_target(self, part: bytes) -> None:
        """Append a part of the request target."""
        self.target += part
        self.head_bytes += len(part)

    def add_header(self, name: bytes, value: bytes) -> None:
        """Append a header."""
        self.head_bytes += len(name) + len(value) + 4
        self.headers.append((name, value))

    def use_origin_form(self, origin: OriginForm) -> None:
        """Replace target and headers by their origin form."""
        if origin.headers is not self.headers:
            self.target, self.headers = bytearray(origin.target), origin.headers

    def add_body(self, part: bytes, now: float) -> None:
        """Append a part of the body.

        :param now: the loop's clock, in seconds.
        """
        if not self._body:
            self._body = part
        else:
            # Not a list of parts: a small one takes much more memory than its bytes.
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += part
        self.body_bytes += len(part)
        if self.grant is not None:
            self.grant.on_received(self.body_bytes, now)

    def reserve(self, length: int) -> None:
        """Charge the head, a body, and the part of it that is copied while an upstream reads it.

        :param length: in bytes.
        """
        self.charge.resize(self._head_memory + length + min(length, COPIED_BYTES))

    @property
    def _head_memory(self) -> int:
        return self.head_bytes + HEADER_OBJECT_BYTES * len(self.headers)

    def expected_size(self) -> int:
        """Return the declared length of the body; 1 if it is unknown, 0 if there is no body."""
        length = self.declared_length()
        if length is not None:
            return length
        return int(any(name.lower() == b"transfer-encoding" for name, _ in self.headers))

    def declared_length(self) -> int | None:
        """Return the declared length of the body in bytes, or None."""
        for name, value in self.headers:
            if name.lower() == b"content-length":
                return int(value)
        return None

    def due_bytes(self) -> int | None:
        """Return the number of bytes of the body that are still to come; None if it is unknown."""
        length = self.declared_length()
        if length is None:
            return None if self.expected_size() else 0
        return length - self.body_bytes

    def complete(self, method: bytes) -> Request:
        """Build the complete request; from here on its body is kept until it has been answered."""
        if self.grant is not None:
            self.grant.close()
        self.charge.resize(self._head_memory + self.body_bytes)
        self.charge.move(Purpose.BODIES_KEPT)
        return Request(method, bytes(self.target), self.headers, bytes(self._body))

    def discard_body(self) -> None:
        """Drop the body of a refused request."""
        self._body = b""
        self.charge.release()
        if self.grant is not None:
            self.grant.close()


class WaitingRequest(msgspec.Struct, frozen=True):
    """A complete request that waits for its turn on its connection."""

    request: Request
    keep_alive: bool
    body_charge: Charge

    def charge_copy(self) -> None:
        """Charge the part of the body that is copied while an upstream reads it."""
        if size := len(self.request.body):
            self.body_charge.resize(self.body_charge.size + min(size, COPIED_BYTES))
