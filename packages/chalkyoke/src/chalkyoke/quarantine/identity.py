"""
chalkyoke.quarantine.identity

Name a request by what its caller asks for, the same for each attempt at any node.
"""

import hashlib

# Long enough that no two requests share a name, by chance or by a caller's intent.
DIGEST_BYTES = 12


def request_digest(method: bytes, host: str, target: bytes, caller: str, body: bytes) -> bytes:
    """Name a request by its path, caller and body; ids and limits of time differ by attempt.

    A caller who varies the body each time gets another name each time: what protects the replicas
    from that is the caller's quota alone.

    :param target: path and query.
    :param caller: the team; empty for a public route.
    """
    made = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (method, host.lower().encode(), target, caller.encode(), body):
        made.update(len(part).to_bytes(8, "big"))
        made.update(part)
    return made.digest()
