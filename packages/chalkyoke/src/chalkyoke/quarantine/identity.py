"""
chalkyoke.quarantine.identity

Digests that identify a request and the shared parts of its prompt by their content, the same for
each attempt at any node.
"""

import hashlib
from collections.abc import Sequence

from chalkyoke.gateway.ports import PromptPart

# Length of a digest in bytes: long enough that no two requests share a digest, by chance or by a
# caller's intent.
DIGEST_BYTES = 12
# Highest number of shared parts of one prompt that are tracked, to bound messages.
MAX_TRACKED_PARTS = 32


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


def shared_part_digests(parts: Sequence[PromptPart]) -> tuple[bytes, ...]:
    """Return the digests of the parts of a prompt that other requests may share.

    The last part belongs to the request or to its session. Team, route and the order of the parts
    are left out.
    """
    shared = dict.fromkeys(each.id for each in parts[:-1])
    return tuple(_part_digest(each) for each in list(shared)[:MAX_TRACKED_PARTS])


def _part_digest(part: int) -> bytes:
    return hashlib.blake2b(b"part %x" % part, digest_size=DIGEST_BYTES).digest()
