"""
chalkyoke.http1.offers

Requests that offer to go on in another protocol. A server may ignore the offer, and the connection
then goes on in HTTP/1.1 (RFC 9110, section 7.8).
"""

from chalkyoke.http1.messages import Headers


def encode_without_offer(method: bytes, target: bytes, version: str, headers: Headers) -> bytes:
    """Encode the head of a request without its offer, as if the request had none.

    A parser ends a request that makes an offer with its head, whatever the length of its body.

    :param version: version of the protocol, such as ``1.1``.
    :rtype: bytes
    """
    lines = [b"%b %b HTTP/%b" % (method, target, version.encode())]
    lines += [b"%b: %b" % pair for pair in headers if pair[0].lower() != b"upgrade"]
    return b"\r\n".join([*lines, b"", b""])
