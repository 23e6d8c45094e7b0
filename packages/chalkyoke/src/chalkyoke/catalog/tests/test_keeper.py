import asyncio
import json
import zlib

from chalkyoke.catalog.follower import WatchTimeouts
from chalkyoke.catalog.keeper import CatalogSynchronizer, StoreKeys
from chalkyoke.catalog.messages import CatalogRequest, CatalogSnapshot
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.catalog.state import CatalogState
from chalkyoke.clock import Stamp
from chalkyoke.links.codec import MAX_FRAME_BYTES, FrameCodec, FrameReader
from chalkyoke.membership.messages import Heartbeat, MemberRecord
from chalkyoke.membership.view import MembershipView
from chalkyoke.storage.messages import Changes, HistoryLost, Item, Listing
from msgspec import structs
from result import Err, Ok

from tests import virtual

KEYS = StoreKeys("op/config", ("servers/",), "nodes/", "held/")


def record(host, domain="a"):
    return MemberRecord(host, 1, f"{host}:1", "", domain, False, True, 0, 0)


class CountingStore:
    """A store that counts its calls; ``write`` answers all pending watches."""

    def __init__(self):
        self.revision = 3
        self.items = {
            "op/config": Item("op/config", b'{"version": 7}', 1),
            "servers/s1": Item("servers/s1", b"s1", 2),
            "nodes/n1": Item("nodes/n1", b"", 3),
        }
        self.reads = self.watches = 0
        self.history_start = 0
        self._written = asyncio.Event()

    def write(self, key, value):
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        self._written.set()
        self._written = asyncio.Event()

    async def read(self, prefix):
        self.reads += 1
        await asyncio.sleep(0.004)
        return Listing(tuple(self.items.values()), self.revision)

    async def watch(self, prefix, since, wait_s, answer_s):
        self.watches += 1
        if since < self.history_start:
            return HistoryLost()
        if since >= self.revision:
            try:
                await asyncio.wait_for(self._written.wait(), wait_s)
            except TimeoutError:
                return Changes((), since)
        changed = [item for item in self.items.values() if item.revision > since]
        return Changes(tuple(changed), self.revision)


def make_synchronizer(store, live_hosts=()):
    loop = asyncio.get_running_loop()
    view = MembershipView(record("n1"))
    for host in live_hosts:
        view.receive(f"{host}:1", Heartbeat(record(host), 9), 0.0)
    state = CatalogState(
        lambda text: Ok(Catalog(version=json.loads(text)["version"])),
        lambda item: Ok(Replica(item.key, "s", "127.0.0.1", 80, "a", 4)),
    )
    registrations = []

    class NoLinks:
        def send(self, address, message):
            pass

    synchronizer = CatalogSynchronizer(
        state,
        store,
        KEYS,
        view,
        NoLinks(),
        1,
        WatchTimeouts(5.0, 1.0),
        lambda: None,
        registrations.append,
        loop.time,
    )
    synchronizer.registrations = registrations
    return synchronizer


def run(check, live_hosts=()):
    async def main():
        store = CountingStore()
        synchronizer = make_synchronizer(store, live_hosts)
        task = asyncio.create_task(synchronizer.run())
        await check(store, synchronizer)
        task.cancel()

    virtual.run(main)


def test_a_starting_node_reads_once_and_does_not_watch_in_its_first_second():
    async def check(store, synchronizer):
        await asyncio.sleep(0.1)
        assert synchronizer.state.complete and synchronizer.state.catalog.version == 7
        assert list(synchronizer.state.replicas) == ["servers/s1"]
        assert synchronizer.registrations == [{"nodes/n1": b""}]
        for number in range(8):
            store.write(f"nodes/m{number}", b"")
            await asyncio.sleep(0.1)
        assert (store.reads, store.watches) == (1, 0)

    run(check)


# Guards against a starting node that drops the first heartbeats of its peers: the next full ones
# come a second later, and a node that can't read the store's configuration serves no earlier.
def test_a_starting_node_asks_the_first_peer_that_it_hears():
    async def main():
        synchronizer = make_synchronizer(CountingStore())
        sent = []
        synchronizer._links.send = lambda address, message: sent.append((address, message))
        await asyncio.sleep(0.05)
        synchronizer.receive_heartbeat("n2:1", structs.replace(record("n2"), revision=4))
        assert sent == [("n2:1", CatalogRequest(0, 0))]

    virtual.run(main)


# Guards against requests without end for a document that this build can't read, and a peer's can.
def test_a_document_that_was_refused_is_not_requested_again():
    async def main():
        synchronizer = make_synchronizer(CountingStore())
        synchronizer.state.read_catalog = read_version_or_error
        sent = []
        synchronizer._links.send = lambda address, message: sent.append(message)
        peer = structs.replace(record("n2"), revision=4)
        for _ in range(20):
            asked = len(sent)
            synchronizer.receive_heartbeat("n2:1", peer)
            if len(sent) > asked:
                synchronizer.receive("n2:1", CatalogSnapshot(4, zlib.compress(b"odd")))
            await asyncio.sleep(0.5)
        assert len(sent) == 1
        synchronizer.receive_heartbeat("n2:1", structs.replace(peer, revision=5))
        synchronizer.receive("n2:1", CatalogSnapshot(5, zlib.compress(b'{"version": 5}')))
        assert isinstance(sent[-1], CatalogRequest) and synchronizer.state.catalog.version == 5

    virtual.run(main)


def read_version_or_error(text):
    try:
        return Ok(Catalog(version=json.loads(text)["version"]))
    except ValueError:
        return Err("odd")


# Guards against a snapshot that no link carries: each attempt to send it ended the link.
def test_long_records_of_other_writers_fit_into_a_frame():
    async def check(store, synchronizer):
        for number in range(15):
            store.write(f"servers/odd{number}", bytes(1_000_000))
        await asyncio.sleep(0.1)
        for number in range(15, 30):
            store.write(f"servers/odd{number}", bytes(1_000_000))
        await asyncio.sleep(2.0)
        assert len(synchronizer.state.replicas) == 31
        update = synchronizer.state.build_replicas_update()
        frame = FrameCodec(()).encode(Stamp(1, 1), update)
        assert len(frame) < MAX_FRAME_BYTES / 10
        assert len(list(FrameReader().feed(frame))) == 1

    run(check)


def test_changes_in_the_first_second_arrive_with_the_first_watch():
    async def check(store, synchronizer):
        await asyncio.sleep(0.3)
        store.write("op/config", b'{"version": 9}')
        await asyncio.sleep(1.2)
        assert synchronizer.state.catalog.version == 9
        assert store.reads == 1

    run(check)


def test_a_burst_of_changes_takes_few_watches():
    async def check(store, synchronizer):
        await asyncio.sleep(1.5)
        before = store.watches
        for number in range(50):
            store.write(f"servers/m{number}", b"")
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        assert len(synchronizer.state.replicas) == 51
        assert store.watches - before <= 12

    run(check)


def test_a_lost_history_leads_to_a_new_listing():
    async def check(store, synchronizer):
        await asyncio.sleep(1.5)
        store.write("op/config", b'{"version": 8}')
        store.history_start = store.revision + 1
        store.write("op/config", b'{"version": 9}')
        await asyncio.sleep(0.5)
        store.history_start = 0
        await asyncio.sleep(0.5)
        assert synchronizer.state.catalog.version == 9

    run(check)
