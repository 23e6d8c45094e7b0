"""
chalkyoke.tokens.codec

Write request tokens as text and read them back, sealed under the fleet's key.
"""

import base64
import binascii
import hashlib
import hmac

import msgpack
import msgspec
from result import Err, Ok, Result

from chalkyoke.tokens.messages import Token, TokenProblem

PREFIX = "ck1_"
MAC_BYTES = 16
MAX_TEXT_CHARS = 512


class TokenCodec:
    """Seal and open tokens with one fleet key.

    :param fleet_key: secret shared by all hosts of the fleet, 16 to 64 bytes.
    """

    def __init__(self, fleet_key: bytes) -> None:
        self._key = fleet_key

    def encode(self, token: Token) -> str:
        """Write a token as text that fits an HTTP header.

        :rtype: str
        """
        body: bytes = msgpack.packb(msgspec.to_builtins(token))
        sealed = body + self._mac(body)
        return PREFIX + base64.urlsafe_b64encode(sealed).rstrip(b"=").decode()

    def decode(self, text: str) -> Result[Token, TokenProblem]:
        """Read a token back.

        :param text: what a caller sent.
        :return: the token, or ``MALFORMED`` or ``FORGED``.
        """
        if not text.startswith(PREFIX) or len(text) > MAX_TEXT_CHARS:
            return Err(TokenProblem.MALFORMED)

        sealed = _unwrap(text)
        if sealed is None:
            return Err(TokenProblem.MALFORMED)
        body, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            return Err(TokenProblem.FORGED)
        token = _read(body)
        return Err(TokenProblem.MALFORMED) if token is None else Ok(token)

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=self._key, person=b"token").digest()


def request_id_of(text: str) -> str:
    """Give the id of a token's request, for looking it up; the seal is not checked.

    :param text: a token, or a request id.
    :return: the request id; ``text`` itself where it is no token.
    """
    sealed = _unwrap(text) if text.startswith(PREFIX) else None
    token = _read(sealed[:-MAC_BYTES]) if sealed is not None else None
    return text if token is None else token.request


def _unwrap(text: str) -> bytes | None:
    encoded = text[len(PREFIX) :]
    try:
        return base64.b64decode(encoded + "=" * (-len(encoded) % 4), b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None


def _read(body: bytes) -> Token | None:
    try:
        return msgspec.convert(msgpack.unpackb(body), Token)
    except (ValueError, msgpack.UnpackException, msgspec.ValidationError):
        return None
