"""
chalkyoke.catalog.state

The catalog and the replicas in force on this node. Versions only rise while the process lives,
whether they come from the store or from peers.
"""

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from chalkyoke.catalog.messages import CatalogRequest, CatalogTold, ReplicasTold
from chalkyoke.catalog.resources import Catalog, Replica
from chalkyoke.invariants import require
from chalkyoke.storage.messages import Item, Removed

MAX_DOCUMENT_BYTES = 4_000_000

ReadCatalog = Callable[[bytes], Result[Catalog, str]]
ReadReplica = Callable[[Item], Result[Replica, str]]


@dataclass(slots=True)
class Departed:
    """A replica whose record is gone.

    :param since: when this node saw it go, on its own clock, in seconds.
    """

    replica: Replica
    since: float


@dataclass(slots=True)
class CatalogState:
    """Hold what is declared.

    :param read_catalog: reads the operators' document.
    :param read_replica: reads one replica's record.
    :ivar replicas_at: the store's revision up to which the replicas are complete.
    """

    read_catalog: ReadCatalog
    read_replica: ReadReplica
    catalog: Catalog = field(default_factory=Catalog)
    replicas: dict[str, Replica] = field(default_factory=dict)
    replicas_at: int = 0
    departed: dict[str, Departed] = field(default_factory=dict)
    _document: bytes = b""
    _items: dict[str, Item] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Whether this node knows enough to serve.

        :rtype: bool
        """
        return self.catalog.version > 0 and self.replicas_at > 0

    # The operators' document.

    def adopt_document(self, document: bytes) -> Result[bool, str]:
        """Take the operators' document, if it is newer.

        :return: whether it was newer, or why it can't be read.
        """
        read = self.read_catalog(document)
        if isinstance(read, Err):
            return read
        catalog = read.ok_value
        if catalog.version <= self.catalog.version:
            return Ok(False)
        before = self.catalog.version
        self.catalog = catalog
        self._document = document
        require(self.catalog.version > before, "a configuration never reverts", before=before)
        return Ok(True)

    def adopt_told(self, message: CatalogTold) -> Result[bool, str]:
        """Take the operators' document from a peer, if it is newer.

        :return: whether it was newer, or why it can't be read.
        """
        if message.version <= self.catalog.version:
            return Ok(False)
        inflater = zlib.decompressobj()
        try:
            document = inflater.decompress(message.document, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            return Err(f"not readable: {error}")
        return self.adopt_document(document)

    def tell_catalog(self) -> CatalogTold:
        """Word the document for a peer.

        :rtype: CatalogTold
        """
        return CatalogTold(self.catalog.version, zlib.compress(self._document, 1))

    # Replicas.

    def adopt_replicas(self, items: Iterable[Item], at: int, now: float) -> bool:
        """Take all replicas' records as of a revision.

        :return: whether this was newer than what is held.
        """
        if at <= self.replicas_at:
            return False
        held = {item.key: item for item in items}
        for key in set(self._items) - set(held):
            self._remove(key, now)
        for item in held.values():
            self._put(item)
        self.replicas_at = at
        return True

    def change_replicas(self, changes: Iterable[Item | Removed], at: int, now: float) -> bool:
        """Take what has changed since the revision that is held.

        :return: whether anything of a replica changed.
        """
        changed = False
        for change in changes:
            if change.revision <= self.replicas_at:
                continue
            if isinstance(change, Removed):
                changed |= self._remove(change.key, now)
            else:
                changed |= self._put(change)
        self.replicas_at = max(self.replicas_at, at)
        return changed

    def tell_replicas(self) -> ReplicasTold:
        """Word the replicas for a peer.

        :rtype: ReplicasTold
        """
        return ReplicasTold(self.replicas_at, tuple(self._items.values()))

    def forget_departed(self, now: float, keep_s: float) -> None:
        """Drop the memory of replicas that went long ago."""
        for name, each in list(self.departed.items()):
            if now - each.since > keep_s:
                del self.departed[name]

    def answers(self, request: CatalogRequest) -> list[CatalogTold | ReplicasTold]:
        """Give a peer what it lacks.

        :rtype: list[CatalogTold or ReplicasTold]
        """
        told: list[CatalogTold | ReplicasTold] = []
        if self.catalog.version > request.version:
            told.append(self.tell_catalog())
        if self.replicas_at > request.replicas_at:
            told.append(self.tell_replicas())
        return told

    def _put(self, item: Item) -> bool:
        read = self.read_replica(item)
        if isinstance(read, Err):
            return False
        replica = read.ok_value
        self._items[item.key] = item
        changed = self.replicas.get(replica.id) != replica
        self.replicas[replica.id] = replica
        self.departed.pop(replica.id, None)
        return changed

    def _remove(self, key: str, now: float) -> bool:
        item = self._items.pop(key, None)
        if item is None:
            return False
        read = self.read_replica(item)
        if isinstance(read, Err):
            return False
        gone = self.replicas.pop(read.ok_value.id, None)
        if gone is not None:
            self.departed[gone.id] = Departed(gone, now)
        return True
