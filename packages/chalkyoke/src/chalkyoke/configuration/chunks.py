"""
chalkyoke.configuration.chunks

Cut a configuration into immutable chunks named by their content, and put it together again.
"""

import hashlib

import msgpack
import xxhash

from chalkyoke.configuration.resources import KINDS, Specs

# Chunks over which teams are spread, in number: one changed team rewrites a sixteenth of them.
TEAM_CHUNKS = 16
# The largest chunk, in bytes: below the largest value of the store.
MAX_CHUNK_BYTES = 900_000


def chunk_hash(content: bytes) -> str:
    """Name a chunk by its content.

    :rtype: str
    """
    return hashlib.blake2b(content, digest_size=16, person=b"chunk").hexdigest()


def split_chunks(specs: Specs) -> dict[str, bytes]:
    """Cut specs into chunks: one for each kind, and several for the many teams.

    :return: content by chunk name; equal specs give equal bytes.
    """
    groups: dict[str, list[tuple[str, str, object]]] = {}
    for (kind, name), spec in sorted(specs.items()):
        groups.setdefault(_chunk_name(kind, name), []).append((kind, name, spec))
    return {name: msgpack.packb(entries) for name, entries in groups.items()}


def merge_chunks(chunks: dict[str, bytes]) -> Specs:
    """Put chunks together.

    :raises ValueError: when a chunk is not readable.
    """
    specs: Specs = {}
    for content in chunks.values():
        for kind, name, spec in msgpack.unpackb(content):
            if kind not in KINDS:
                raise ValueError(f"a chunk holds the unknown kind {kind!r}")
            specs[kind, name] = spec
    return specs


def _chunk_name(kind: str, name: str) -> str:
    if kind != "team":
        return kind
    return f"team-{xxhash.xxh64_intdigest(name.encode()) % TEAM_CHUNKS:02d}"
