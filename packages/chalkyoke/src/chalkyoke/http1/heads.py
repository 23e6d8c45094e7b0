"""
chalkyoke.http1.heads

Detect heads that are not the head of one message.
"""

import re
from collections.abc import Collection

from chalkyoke.http1.messages import Headers

TRANSFER_ENCODING = b"transfer-encoding"
# The begin of a status line (RFC 9112, section 4).
STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?: |$)", re.MULTILINE)


def contains_status_line(reason: bytes, headers: Headers) -> bool:
    """Return whether the status line of another answer stands in a head.

    An upstream that breaks off an answer in its reason phrase or in the value of a header, and then
    sends another answer, makes one head of both.
    """
    return STATUS_LINE.search(b"\n".join([reason, *(value for _, value in headers)])) is not None


def has_unknown_coding(headers: Headers) -> bool:
    """Return whether a body is coded for its transfer in another way than in chunks, once.

    Without the header, which names the coding for one connection only, such a body can't be read.
    """
    found = [value.strip().lower() for name, value in headers if name.lower() == TRANSFER_ENCODING]
    return found not in ([], [b"chunked"])


def has_conflict(headers: Headers, singletons: Collection[bytes]) -> bool:
    """Return whether headers that may come once come with different values (RFC 9110, section 5.3).

    :param singletons: names in lower case.
    """
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        if lower in singletons and values.setdefault(lower, value.strip()) != value.strip():
            return True
    return False
