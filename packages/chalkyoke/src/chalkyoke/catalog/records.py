"""
chalkyoke.catalog.records

The records in force on this node: replicas, roll-out orders, roll-out statuses and requests that
are held back.
"""

from collections.abc import Callable, Iterator

import msgspec
from result import Err, Ok, Result

from chalkyoke.catalog.resources import Replica
from chalkyoke.catalog.starts import RetainedStarts
from chalkyoke.quarantine.messages import HeldRecord
from chalkyoke.rollouts.resources import RolloutOrder, RolloutStatus
from chalkyoke.storage.messages import Item

Record = Replica | RolloutOrder | RolloutStatus | HeldRecord
ReadRecord = Callable[[Item], Result[Record, str]]


class ReceivedOrder(msgspec.Struct, frozen=True):
    """A roll-out order with the time from which it counts.

    :param since: earliest time at which the order may have been written, on this node's clock, in
        seconds.
    """

    order: RolloutOrder
    since: float


class RemovedReplica(msgspec.Struct):
    """A replica whose record was removed.

    :param since: earliest time of the removal, on this node's clock, in seconds. For a late update
        this is the time of the change, not of its arrival.
    """

    replica: Replica
    since: float


class Restart(msgspec.Struct, frozen=True):
    """A replica start whose record was replaced by that of a later start.

    Both have the same id if the records tell the later start by its software version only.
    """

    ended: Replica
    later: Replica


class Records:
    """The records in force, parsed and indexed.

    :param read: parses a replica record, a roll-out order, a roll-out status or the record of a
        request that is held back.
    :ivar replicas: replicas by start id.
    :ivar removed_replicas: replicas whose record was removed, by start id.
    :ivar orders: roll-out orders, by service.
    :ivar statuses: roll-out statuses, by service.
    :ivar held_requests: identities of the requests that the store lists as held back.
    :ivar released_requests: identities of the requests that operators have released.
    :ivar unreadable: the reason why a record can't be parsed, by key.
    """

    def __init__(self, read: ReadRecord) -> None:
        self.replicas: dict[str, Replica] = {}
        self.removed_replicas: dict[str, RemovedReplica] = {}
        self.orders: dict[str, ReceivedOrder] = {}
        self.statuses: dict[str, RolloutStatus] = {}
        self.held_requests: set[bytes] = set()
        self.released_requests: set[bytes] = set()
        self.unreadable: dict[str, str] = {}
        self._read = read
        self._items: dict[str, Item] = {}
        self._leaving: RetainedStarts[None] = RetainedStarts()
        self._retained_leaving: set[str] = set()
        self._restarted: list[Restart] = []

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._items))

    def get(self, key: str) -> Item | None:
        """Return a record in force as it was written; None if there is none."""
        return self._items.get(key)

    def put(self, item: Item, since: float, epoch: int, *, again: bool = False) -> bool:
        """Put a record into force in place of the earlier one under its key.

        :param since: earliest time of the write, on this node's clock, in seconds.
        :param epoch: the store epoch of the record's revision.
        :param again: whether the record may be a rewrite of one that a restored store had lost.
        :return: whether anything changed.
        """
        read = self._read(item)
        if isinstance(read, Err):
            return self._mark_unreadable(item.key, read.err_value)
        self.unreadable.pop(item.key, None)
        before = self._items.get(item.key)
        self._items[item.key] = item
        record = read.ok_value
        if isinstance(record, RolloutOrder):
            return self._put_order(record.with_name(epoch), since, again=again)
        if isinstance(record, RolloutStatus):
            changed = self.statuses.get(record.service) != record
            self.statuses[record.service] = record
            return changed
        if isinstance(record, HeldRecord):
            return self._put_held(record)
        return self._put_replica(before, record)

    def remove(self, key: str, since: float) -> bool:
        """Remove a record from force.

        :param since: earliest time of the removal, on this node's clock, in seconds.
        :return: whether there was a record.
        """
        self.unreadable.pop(key, None)
        item = self._items.pop(key, None)
        if item is None:
            return False
        if (gone := self._remove_from_indexes(item)) is not None:
            self.removed_replicas[gone.id] = RemovedReplica(gone, since)
        return True

    def is_externally_written(self, item: Item) -> bool:
        """Return whether a replica or an operator writes the record.

        The scheduler writes the other records itself: it must see at once that a restored store
        has lost them, so that it writes them again.
        """
        read = self._read(item)
        return not isinstance(read, Err) and isinstance(read.ok_value, Replica | RolloutOrder)

    # Replicas.

    def names_earlier_start(self, item: Item) -> bool:
        """Return whether an item is the record of an earlier start than the one in force."""
        held = self._items.get(item.key)
        if held is None:
            return False
        before, after = self._read(held), self._read(item)
        if isinstance(before, Err) or isinstance(after, Err):
            return False
        known, found = before.ok_value, after.ok_value
        if not isinstance(known, Replica) or not isinstance(found, Replica):
            return False
        return 0 < found.born < known.born

    def mark_leaving(self, start: str, now: float) -> bool:
        """Mark a replica start as leaving, as it has announced; no record of it reverts this.

        :param start: id of the replica start.
        :param now: the node's clock, in seconds.
        :return: whether the start was not known to leave before.
        """
        is_new = start not in self._leaving
        self._leaving.put(start, None, now)
        replica = self.replicas.get(start)
        if replica is not None:
            self.replicas[start] = self._with_leaving(replica)
        if (gone := self.removed_replicas.get(start)) is not None:
            gone.replica = self._with_leaving(gone.replica)
        return is_new and (replica is None or not replica.draining)

    def retain_leaving(self, now: float) -> None:
        """Keep all draining replica starts leaving, whatever older records in a backup declare."""
        draining = {each.id for each in self.replicas.values() if each.draining}
        for start in draining:
            self._leaving.put(start, None, now)
        self._retained_leaving = draining

    def leaving_despite_restore(self) -> set[str]:
        """List the replica starts that stay leaving although a restored store may list them ready.

        :rtype: set[str]
        """
        return {each for each in self._retained_leaving if each in self._leaving}

    def is_leaving(self, start: str) -> bool:
        """Return whether a replica start has announced that it leaves.

        :param start: id of the replica start.
        """
        return start in self._leaving

    def pop_restarted(self) -> list[Restart]:
        """Return and clear the replica starts that a later start has replaced since the last call.

        :rtype: list[Restart]
        """
        restarted, self._restarted = self._restarted, []
        return restarted

    def expire_removed(self, now: float, keep_s: float) -> None:
        """Forget replicas that were removed more than ``keep_s`` seconds ago."""
        self._leaving.expire(self.replicas.keys(), now)
        for name, each in list(self.removed_replicas.items()):
            if now - each.since > keep_s:
                del self.removed_replicas[name]

    def _put_replica(self, before: Item | None, replica: Replica) -> bool:
        self._remove_earlier_start(before, replica)
        replica = self._with_leaving(replica)
        known = self.replicas.get(replica.id)
        if known is not None and known.version != replica.version:
            # Software changes its version only when it starts.
            self._restarted.append(Restart(known, replica))
        changed = known != replica
        self.replicas[replica.id] = replica
        self.removed_replicas.pop(replica.id, None)
        return changed

    def _with_leaving(self, replica: Replica) -> Replica:
        """Return the replica with ``draining`` set if it has announced that it leaves."""
        if replica.draining or replica.id not in self._leaving:
            return replica
        return msgspec.structs.replace(replica, draining=True)

    def _remove_earlier_start(self, before: Item | None, replica: Replica) -> None:
        """Remove the earlier start of a replica if this record is of a later start."""
        if before is None:
            return
        read = self._read(before)
        if isinstance(read, Err) or not isinstance(read.ok_value, Replica):
            return
        if read.ok_value.id == replica.id:
            return
        ended = self.replicas.pop(read.ok_value.id, None)
        if ended is not None:
            self._restarted.append(Restart(ended, replica))

    # Other records.

    def _mark_unreadable(self, key: str, why: str) -> bool:
        """Mark a record as unreadable and remove the earlier record under its key from force.

        An order stays in force: without it, a service would leave the version that it has reached.

        :return: whether the reason differs from the previous one.
        """
        is_new = self.unreadable.get(key) != why
        self.unreadable[key] = why
        item = self._items.get(key)
        if item is not None and not self._is_order(item):
            del self._items[key]
            self._remove_from_indexes(item)
        return is_new

    def _is_order(self, item: Item) -> bool:
        read = self._read(item)
        return isinstance(read, Ok) and isinstance(read.ok_value, RolloutOrder)

    def _put_held(self, record: HeldRecord) -> bool:
        mine, other = self.held_requests, self.released_requests
        if record.is_released:
            mine, other = other, mine
        is_new = record.request not in mine
        mine.add(record.request)
        other.discard(record.request)
        return is_new

    def _put_order(self, order: RolloutOrder, since: float, *, again: bool) -> bool:
        held = self.orders.get(order.service)
        if held is not None and again and held.order.name.digest == order.name.digest:
            order = msgspec.structs.replace(order, named=held.order.name)
            since = held.since
        if held is not None and held.order == order:
            return False
        self.orders[order.service] = ReceivedOrder(order, since)
        return True

    def _remove_from_indexes(self, item: Item) -> Replica | None:
        """Remove a record from the indexes; return the replica if it was a replica record."""
        read = self._read(item)
        if isinstance(read, Err):
            return None
        record = read.ok_value
        if isinstance(record, RolloutOrder):
            self.orders.pop(record.service, None)
        elif isinstance(record, RolloutStatus):
            self.statuses.pop(record.service, None)
        elif isinstance(record, HeldRecord):
            self.held_requests.discard(record.request)
            self.released_requests.discard(record.request)
        else:
            return self.replicas.pop(record.id, None)
        return None
