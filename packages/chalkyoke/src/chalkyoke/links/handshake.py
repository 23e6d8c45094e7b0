"""
chalkyoke.links.handshake

Proofs that both sides of a link hold the fleet's key. Each side signs the other's nonce.
"""

import hashlib
import hmac

from chalkyoke.links.messages import Hello, Welcome

# Lengths in bytes: 128 bits are neither guessed nor met twice.
NONCE_BYTES = 16
MAC_BYTES = 16


def _mac(key: bytes, *parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=MAC_BYTES, key=key, person=b"link")
    for part in parts:
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.digest()


def make_hello(
    key: bytes, challenge: bytes, process: str, address: str, failure_domain: str, nonce: bytes
) -> Hello:
    """Answer a listener's challenge.

    :param nonce: random bytes of the caller.
    :rtype: Hello
    """
    mac = _hello_mac(key, challenge, process, address, failure_domain, nonce)
    return Hello(process, address, failure_domain, nonce, mac)


def hello_is_valid(key: bytes, challenge: bytes, hello: Hello) -> bool:
    """Check a caller's proof.

    :rtype: bool
    """
    wanted = _hello_mac(
        key, challenge, hello.process, hello.address, hello.failure_domain, hello.nonce
    )
    return hmac.compare_digest(hello.mac, wanted)


def make_welcome(key: bytes, hello: Hello, process: str, kinds: tuple[str, ...]) -> Welcome:
    """Answer a caller whose proof was good.

    :param kinds: the kinds of messages that are understood here.
    :rtype: Welcome
    """
    return Welcome(process, _mac(key, b"listener", hello.nonce, process.encode()), kinds)


def welcome_is_valid(key: bytes, nonce: bytes, welcome: Welcome) -> bool:
    """Check a listener's proof.

    :rtype: bool
    """
    wanted = _mac(key, b"listener", nonce, welcome.process.encode())
    return hmac.compare_digest(welcome.mac, wanted)


def _hello_mac(
    key: bytes, challenge: bytes, process: str, address: str, failure_domain: str, nonce: bytes
) -> bytes:
    parts = (process.encode(), address.encode(), failure_domain.encode(), nonce)
    return _mac(key, b"caller", challenge, *parts)
