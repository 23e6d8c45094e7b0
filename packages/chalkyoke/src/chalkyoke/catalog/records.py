"""
chalkyoke.catalog.records

The records in force on this node: replicas, orders of roll-outs, their answers and requests that
are held back.
"""

from collections.abc import Callable, Iterator

import msgspec
from result import Err, Result

from chalkyoke.catalog.resources import Replica
from chalkyoke.catalog.starts import RetainedStarts
from chalkyoke.quarantine.messages import HeldRecord
from chalkyoke.rollouts.resources import RolloutOrder, RolloutStatus
from chalkyoke.storage.messages import Item

Record = Replica | RolloutOrder | RolloutStatus | HeldRecord
ReadRecord = Callable[[Item], Result[Record, str]]


class ReceivedOrder(msgspec.Struct, frozen=True):
    """An order of a roll-out, and when it may have been given at the earliest.

    :param since: on this node's clock, in seconds.
    """

    order: RolloutOrder
    since: float


class RemovedReplica(msgspec.Struct):
    """A replica whose record is gone.

    :param since: when it may have gone at the earliest, on this node's clock, in seconds. A late
        update counts from the change, not from its arrival.
    """

    replica: Replica
    since: float


class Records:
    """Hold what the records in force name.

    :param read: reads a replica's record, an order of a roll-out, the answer to one or the record
        of a request that is held back.
    :ivar replicas: by id of the start.
    :ivar removed_replicas: replicas whose record is gone, by id of the start.
    :ivar orders: orders of roll-outs, by service.
    :ivar statuses: the answers to them, by service.
    :ivar held: requests that are held back, as far as the store says so.
    :ivar released: those of them that operators have released.
    :ivar unreadable: why a record can't be read, by key.
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
        self._kept_leaving: set[str] = set()
        self._restarted: list[Replica] = []

    def __iter__(self) -> Iterator[str]:
        return iter(list(self._items))

    def get(self, key: str) -> Item | None:
        """Give a record in force as it was written."""
        return self._items.get(key)

    def put(self, item: Item, since: float, epoch: int, *, again: bool = False) -> bool:
        """Put a record into force.

        :param since: when it may have been written at the earliest, on this node's clock.
        :param epoch: the store's epoch of its revision.
        :param again: whether it may be one that a restored store had lost, written once more.
        :return: whether it changes anything.
        """
        read = self._read(item)
        if isinstance(read, Err):
            return self._refuse(item.key, read.err_value)
        self.unreadable.pop(item.key, None)
        before = self._items.get(item.key)
        self._items[item.key] = item
        record = read.ok_value
        if isinstance(record, RolloutOrder):
            return self._put_order(record.named_in(epoch), since, again=again)
        if isinstance(record, RolloutStatus):
            changed = self.statuses.get(record.service) != record
            self.statuses[record.service] = record
            return changed
        if isinstance(record, HeldRecord):
            return self._put_held(record)
        return self._put_replica(before, record)

    def remove(self, key: str, since: float) -> bool:
        """Take a record out of force.

        :param since: when it may have gone at the earliest, on this node's clock.
        :return: whether there was one.
        """
        self.unreadable.pop(key, None)
        item = self._items.pop(key, None)
        if item is None:
            return False
        if (gone := self._drop(item)) is not None:
            self.removed_replicas[gone.id] = RemovedReplica(gone, since)
        return True

    def is_externally_written(self, item: Item) -> bool:
        """Tell whether a record is written by a replica or an operator.

        The others are this system's own: it is to see at once that a restored store has lost them,
        and write them again.
        """
        read = self._read(item)
        return not isinstance(read, Err) and isinstance(read.ok_value, Replica | RolloutOrder)

    # Replicas.

    def mark_leaving(self, start: str, now: float) -> bool:
        """Note that a replica has said itself that it leaves; no record of that start undoes it.

        :param start: the replica's id.
        :return: whether it was taken to stay until now.
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
        """Let no older record undo that the replicas leave that say so now."""
        kept = {each.id for each in self.replicas.values() if each.draining}
        for start in kept:
            self._leaving.put(start, None, now)
        self._kept_leaving = kept

    def leaving_despite_restore(self) -> set[str]:
        """List the replicas that leave though a restored store may say otherwise.

        :rtype: set[str]
        """
        return {each for each in self._kept_leaving if each in self._leaving}

    def is_leaving(self, start: str) -> bool:
        """Tell whether a replica has said itself that it leaves.

        :param start: the replica's id.
        """
        return start in self._leaving

    def pop_restarted(self) -> list[Replica]:
        """Take the starts of replicas that later ones have taken the place of since the last call.

        :rtype: list[Replica]
        """
        restarted, self._restarted = self._restarted, []
        return restarted

    def expire_removed(self, now: float, keep_s: float) -> None:
        """Drop the memory of replicas that went long ago."""
        self._leaving.expire(self.replicas.keys(), now)
        for name, each in list(self.removed_replicas.items()):
            if now - each.since > keep_s:
                del self.removed_replicas[name]

    def _put_replica(self, before: Item | None, replica: Replica) -> bool:
        self._end_start_before(before, replica)
        replica = self._with_leaving(replica)
        changed = self.replicas.get(replica.id) != replica
        self.replicas[replica.id] = replica
        self.removed_replicas.pop(replica.id, None)
        return changed

    def _with_leaving(self, replica: Replica) -> Replica:
        """Give a replica as its record and its answers declare it."""
        if replica.draining or replica.id not in self._leaving:
            return replica
        return msgspec.structs.replace(replica, draining=True)

    def _end_start_before(self, before: Item | None, replica: Replica) -> None:
        """Let go of the start of a replica that this record takes the place of."""
        if before is None:
            return
        read = self._read(before)
        if isinstance(read, Err) or not isinstance(read.ok_value, Replica):
            return
        if read.ok_value.id == replica.id:
            return
        ended = self.replicas.pop(read.ok_value.id, None)
        if ended is not None:
            self._restarted.append(ended)

    # Others.

    def _refuse(self, key: str, why: str) -> bool:
        """Take a record that can't be read: it names nothing, whatever it named before.

        :return: whether this is another reason than before.
        """
        is_new = self.unreadable.get(key) != why
        self.unreadable[key] = why
        if (item := self._items.pop(key, None)) is not None:
            self._drop(item)
        return is_new

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

    def _drop(self, item: Item) -> Replica | None:
        """Forget what a record that was read before has named; give the replica, if it was one."""
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
