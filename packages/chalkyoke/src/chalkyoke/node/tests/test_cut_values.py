"""Values of the configuration that reach a node in part."""

import asyncio
from types import SimpleNamespace

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.configuration.publisher import CHUNK_PREFIX, ROOT_KEY, Found
from chalkyoke.node.configuration import ConfigurationKeeper

from tests import virtual
from tests.test_configuration import seeded


class CuttingStore:
    """Returns the values of another store, and the first one of each key cut.

    :ivar reads: number of reads of each key.
    """

    def __init__(self, store, prefix, cut):
        self._values = store.values
        self._prefix = prefix
        self._cut = cut
        self.reads = {}

    async def get(self, key):
        self.reads[key] = self.reads.get(key, 0) + 1
        found = self._values[key]
        if key.startswith(self._prefix) and self.reads[key] == 1:
            return Found(found.value[: self._cut], found.version)
        return found

    async def watch(self, key, version, wait_s):
        while self._values[key].version <= version:
            await asyncio.sleep(wait_s)
        return await self.get(key)


async def fetch_nothing():
    return None


def make_keeper(store):
    view = SimpleNamespace(
        holds_duty=lambda duty: True,
        set_candidates=lambda candidates: None,
        update_self=lambda **fields: None,
    )
    return ConfigurationKeeper(
        view,
        store,
        SimpleNamespace(fetch=fetch_nothing),
        None,
        SimpleNamespace(watch_wait_s=1.0),
        Metrics(),
        lambda: None,
        asyncio.get_running_loop().time,
    )


# Guards against a node that keeps an old configuration, since it took a part of a value for the
# whole and waited for the next version.
@pytest.mark.parametrize("cut", [0, 1, -1])
@pytest.mark.parametrize("prefix", [ROOT_KEY, CHUNK_PREFIX])
def test_a_value_that_is_read_in_part_is_read_again(prefix, cut):
    async def check():
        keeper = make_keeper(CuttingStore(seeded(), prefix, cut))
        await keeper.start()
        watching = asyncio.ensure_future(keeper.watch_root())
        await asyncio.sleep(5.0)
        watching.cancel()
        assert keeper.state.revision == 1
        assert ("team", "a") in keeper.state.specs

    virtual.run(check)
