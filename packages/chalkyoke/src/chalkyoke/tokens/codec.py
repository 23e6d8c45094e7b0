"""
chalkyoke.tokens.codec

Encode request tokens as text and decode them, authenticated with the fleet key.
"""

import base64
import binascii
import hashlib
import hmac

import msgpack
import msgspec
from result import Err, Ok, Result

from chalkyoke.decoding.decoder import convert, unpack
from chalkyoke.tokens.messages import Token, TokenProblem

PREFIX = "ck1_"
MAC_BYTES = 16
MAX_TEXT_CHARS = 512


class TokenCodec:
    """Encode, sign and verify tokens with one fleet key.

    :param fleet_key: secret shared by all hosts of the fleet, 16 to 64 bytes.
    """

    def __init__(self, fleet_key: bytes) -> None:
        self._key = fleet_key

    def encode(self, token: Token) -> str:
        """Encode and sign a token as text that fits an HTTP header.

        :rtype: str
        """
        body: bytes = msgpack.packb(msgspec.to_builtins(token))
        signed_body = body + self._mac(body)
        return PREFIX + base64.urlsafe_b64encode(signed_body).rstrip(b"=").decode()

    def decode(self, text: str) -> Result[Token, TokenProblem]:
        """Decode a token and verify its signature.

        :param text: the token as the caller sent it.
        :return: the token, or ``MALFORMED`` or ``FORGED``.
        """
        if not text.startswith(PREFIX) or len(text) > MAX_TEXT_CHARS:
            return Err(TokenProblem.MALFORMED)

        signed_body = _decode_base64(text)
        if signed_body is None:
            return Err(TokenProblem.MALFORMED)
        body, mac = signed_body[:-MAC_BYTES], signed_body[-MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(body)):
            return Err(TokenProblem.FORGED)
        token = _parse_token(body)
        return Err(TokenProblem.MALFORMED) if token is None else Ok(token)

    def _mac(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, digest_size=MAC_BYTES, key=self._key, person=b"token").digest()


def request_id_of(text: str) -> str:
    """Return the request id of a token for a look-up, without verifying the signature.

    :param text: a token, or a request id.
    :return: the request id; ``text`` itself where it is not a token.
    """
    signed_body = _decode_base64(text) if text.startswith(PREFIX) else None
    token = _parse_token(signed_body[:-MAC_BYTES]) if signed_body is not None else None
    return text if token is None else token.request


def _decode_base64(text: str) -> bytes | None:
    encoded = text[len(PREFIX) :]
    try:
        return base64.b64decode(encoded + "=" * (-len(encoded) % 4), b"-_", validate=True)
    except (binascii.Error, ValueError):
        return None


def _parse_token(body: bytes) -> Token | None:
    return unpack(body).and_then(_convert_token).ok()


def _convert_token(found: object) -> Result[Token, str]:
    return convert(found, Token)
