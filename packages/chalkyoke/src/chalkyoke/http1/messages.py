"""
chalkyoke.http1.messages

HTTP/1.1 requests and answers in their wire form, without interpretation of the headers' meaning.
"""

from http import HTTPStatus

import msgspec

from chalkyoke.decimals import parse_integer

Header = tuple[bytes, bytes]
Headers = list[Header]

HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


class Request(msgspec.Struct, frozen=True):
    """A complete request.

    :param target: the request target, byte for byte.
    :param headers: in the order received, with their names as sent.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class AnswerHead(msgspec.Struct, frozen=True):
    """Status line and headers of an answer.

    :param length: length of the body in bytes, or ``None`` when the head does not state it.
    :param has_body: false if the answer ends with its head; then ``length`` is what the body of
        another answer would have.
    """

    status: int
    reason: bytes
    headers: Headers
    length: int | None
    has_body: bool = True


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name.

    :param name: in lower case.
    :rtype: bytes or None
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def find_integer(headers: Headers, name: bytes, maximum: int) -> int:
    """Parse the first header with a name as a whole number; 0 when it is absent or not a number.

    :param name: in lower case.
    :param maximum: a larger number counts as absent.
    :rtype: int
    """
    text = find_header(headers, name)
    number = 0 if text is None else parse_integer(text.decode("latin-1"))
    return number if number <= maximum else 0


def end_to_end_headers(headers: Headers, keep: frozenset[bytes] = frozenset()) -> Headers:
    """Remove the hop-by-hop headers.

    :param keep: names in lower case that stay even if a ``Connection`` header lists them.
    :rtype: Headers
    """
    named = connection_options(headers) - keep
    return [
        (name, value)
        for name, value in headers
        if (lower := name.lower()) not in HOP_BY_HOP and lower not in named
    ]


def connection_options(headers: Headers) -> frozenset[bytes]:
    """Return the options of all ``Connection`` headers, in lower case.

    :rtype: frozenset[bytes]
    """
    options = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
    return frozenset(options)


def encode_request_head(
    method: bytes, target: bytes, headers: Headers, length: int | None
) -> bytes:
    """Encode the head of a request.

    :param length: length of the body in bytes; ``None`` when there is no body.
    :rtype: bytes
    """
    parts = [method, b" ", target, b" HTTP/1.1\r\n"]
    _write_headers(parts, headers)
    if length is not None:
        parts.append(b"Content-Length: %d\r\n" % length)
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_answer_head(head: AnswerHead, *, close: bool, chunked: bool) -> bytes:
    """Encode the head of an answer.

    :param close: whether the connection closes after the answer.
    :param chunked: whether the body is sent in chunks; else its length is ``head.length``.
    :rtype: bytes
    """
    parts = [b"HTTP/1.1 %d " % head.status, head.reason, b"\r\n"]
    _write_headers(parts, head.headers)
    if chunked:
        parts.append(b"Transfer-Encoding: chunked\r\n")
    elif head.length is not None:
        parts.append(b"Content-Length: %d\r\n" % head.length)
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    return b"".join(parts)


def encode_refusal(status: int, headers: Headers) -> bytes:
    """Encode an answer without a body, after which the connection closes.

    :rtype: bytes
    """
    head = AnswerHead(status, reason_phrase(status), headers, 0)
    return encode_answer_head(head, close=True, chunked=False)


def reason_phrase(status: int) -> bytes:
    """Return the standard reason phrase of a status, or ``Unknown``.

    :rtype: bytes
    """
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"


def _write_headers(parts: list[bytes], headers: Headers) -> None:
    for name, value in headers:
        parts += (name, b": ", value, b"\r\n")
