"""
chalkyoke.configuration.chunks

Split a configuration into immutable chunks that are addressed by their content, and merge them.
"""

import hashlib
from typing import Any

import msgpack
import xxhash
from result import Err, Ok, Result

from chalkyoke.configuration.resources import KINDS, Specs
from chalkyoke.decoding.decoder import convert, describe, unpack

# Number of chunks over which the teams are distributed: a change of one team rewrites a sixteenth
# of them.
TEAM_CHUNKS = 16
# Maximum size of a chunk, in bytes, below the largest value that the store accepts.
MAX_CHUNK_BYTES = 900_000


def chunk_hash(content: bytes) -> str:
    """Return the content hash by which a chunk is addressed.

    :rtype: str
    """
    return hashlib.blake2b(content, digest_size=16, person=b"chunk").hexdigest()


def split_chunks(specs: Specs) -> dict[str, bytes]:
    """Split specs into chunks: one for each kind, and several for the teams, which are many.

    :return: content by chunk name; equal specs result in equal bytes.
    """
    groups: dict[str, list[tuple[str, str, object]]] = {}
    for (kind, name), spec in sorted(specs.items()):
        groups.setdefault(_chunk_name(kind, name), []).append((kind, name, spec))
    return {name: msgpack.packb(entries) for name, entries in groups.items()}


def merge_chunks(chunks: dict[str, bytes]) -> Result[Specs, str]:
    """Merge chunks into specs.

    :return: the specs, or why a chunk can't be decoded.
    """
    specs: Specs = {}
    for content in chunks.values():
        entries = unpack(content).and_then(_convert_entries)
        if isinstance(entries, Err):
            return entries
        for kind, name, spec in entries.ok_value:
            if kind not in KINDS:
                return Err(f"a chunk has the unknown kind {describe(ValueError(kind))!r}")
            specs[kind, name] = spec
    return Ok(specs)


def _convert_entries(found: object) -> Result[list[tuple[str, str, dict[str, Any]]], str]:
    return convert(found, list[tuple[str, str, dict[str, Any]]])


def _chunk_name(kind: str, name: str) -> str:
    if kind != "team":
        return kind
    return f"team-{xxhash.xxh64_intdigest(name.encode()) % TEAM_CHUNKS:02d}"
