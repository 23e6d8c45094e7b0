"""
chalkyoke.quarantine.identity

Digests that identify a request by its content, the same for each attempt at any node.
"""

import hashlib

# Length of a digest in bytes: long enough that no two requests share a digest, by chance or by a
# caller's intent.
DIGEST_BYTES = 12


def request_digest(method: bytes, host: str, target: bytes, caller: str, body: bytes) -> bytes:
    """Return the digest of a request's method, host, path, caller and body.

    Request ids and deadlines are left out, since they differ by attempt. A caller that varies the
    body gets another digest each time; only the caller's quota protects the replicas from that.

    :param target: path and query.
    :param caller: the team; empty for a public route.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower().encode(), target, caller.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
