"""
chalkyoke.links.handshake

Mutual authentication of both sides of a link by the fleet's key: each side computes a keyed hash
over the other's nonce.
"""

import hashlib
import hmac

from chalkyoke.links.messages import Hello, Welcome

# Lengths in bytes: values of 128 bits can neither be guessed nor collide by chance.
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
    """Build the caller's answer to a listener's challenge.

    :param nonce: random bytes of the caller.
    :rtype: Hello
    """
    mac = _hello_mac(key, challenge, process, address, failure_domain, nonce)
    return Hello(process, address, failure_domain, nonce, mac)


def hello_is_valid(key: bytes, challenge: bytes, hello: Hello) -> bool:
    """Return whether the caller holds the fleet's key.

    :rtype: bool
    """
    wanted = _hello_mac(
        key, challenge, hello.process, hello.address, hello.failure_domain, hello.nonce
    )
    return hmac.compare_digest(hello.mac, wanted)


def make_welcome(key: bytes, hello: Hello, process: str, kinds: tuple[str, ...]) -> Welcome:
    """Build the listener's answer to a valid hello.

    :param kinds: the kinds of messages that the listener understands.
    :rtype: Welcome
    """
    return Welcome(process, _mac(key, b"listener", hello.nonce, process.encode()), kinds)


def welcome_is_valid(key: bytes, nonce: bytes, welcome: Welcome) -> bool:
    """Return whether the listener holds the fleet's key.

    :rtype: bool
    """
    wanted = _mac(key, b"listener", nonce, welcome.process.encode())
    return hmac.compare_digest(welcome.mac, wanted)


def _hello_mac(
    key: bytes, challenge: bytes, process: str, address: str, failure_domain: str, nonce: bytes
) -> bytes:
    parts = (process.encode(), address.encode(), failure_domain.encode(), nonce)
    return _mac(key, b"caller", challenge, *parts)
