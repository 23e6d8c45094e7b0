"""
chalkyoke_fakes.soak.oddentries

Another writer that leaves entries in the store that no reader can use.
"""

import asyncio
import json
import random
from typing import Any

from chalkyoke_fakes.metastore import MetaStore
from chalkyoke_fakes.platformfleet import default_configuration

CONFIGURATION_KEY = "op/config"
# Keys of other entries, which are removed again.
OTHER_KEYS = ("op/rollout/model", "op/rollout/seats", "chalkyoke/nodes/odd", "servers/odd")
DEPTH = 100_000
NESTED = "[" * DEPTH + "]" * DEPTH
# JSON texts of values that documents can't hold.
LITERALS = (NESTED, str(2**64), str(10**30), "1e400", "-1")


def draw_value(source: random.Random) -> bytes:
    """Draw an entry that no reader can use: odd bytes, or a document with an odd field."""
    return source.choice(
        (
            b"",
            b"\xff\xfe",
            b"\x91" * DEPTH,
            NESTED.encode(),
            _encode_with_odd_field(source.choice(("version", "routes", "limits")), source),
            _encode_with_odd_field("unknown", source, NESTED),
        )
    )


async def write_odd_entries(store: MetaStore, source: random.Random) -> None:
    """Write an unreadable configuration and further unreadable entries."""
    await store.put(CONFIGURATION_KEY, draw_value(source))
    for key in OTHER_KEYS:
        await store.put(key, draw_value(source))
        await asyncio.sleep(0.05 * source.random())


async def remove_odd_entries(store: MetaStore) -> None:
    """Remove the further entries; the configuration is replaced by its next version."""
    for key in OTHER_KEYS:
        await store.remove(key)


def _encode_with_odd_field(name: str, source: random.Random, literal: str = "") -> bytes:
    document: dict[str, Any] = {**default_configuration(1), name: "@"}
    return json.dumps(document).replace('"@"', literal or source.choice(LITERALS)).encode()
