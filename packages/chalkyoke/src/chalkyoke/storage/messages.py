"""
chalkyoke.storage.messages

What a store with revisions, conditional writes, watches and leases is asked and answers. Every
answer is a value, those that were lost included.

A store that was restored from a copy has lost its latest writes and gives their revisions and
leases out again. Its epoch rises then, so revisions compare within one epoch only; 0 is a store
that names no epoch.
"""

import msgspec


class Item(msgspec.Struct, frozen=True, array_like=True):
    """One key as it was last written.

    :param revision: the store's revision of that write.
    """

    key: str
    value: bytes
    revision: int


class Removed(msgspec.Struct, frozen=True, array_like=True):
    """A key that is gone since a revision."""

    key: str
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """All items under a prefix; pages of it may stem from different moments.

    :param at: the store's revision when the listing began.
    :param epoch: the store's epoch, the same for all pages.
    """

    items: tuple[Item, ...]
    revision: int
    epoch: int = 0


class Changes(msgspec.Struct, frozen=True):
    """What has changed since a revision, and the revision up to which this is complete.

    :param epoch: the store's epoch. Where it is not that of the revision that was asked from, what
        has changed is not known.
    """

    changes: tuple[Item | Removed, ...]
    revision: int
    epoch: int = 0


class HistoryLost(msgspec.Struct, frozen=True):
    """The store no longer knows what has changed since a revision."""


class Written(msgspec.Struct, frozen=True):
    """A write was done.

    :param epoch: the store's epoch: a restored store may have lost the write.
    """

    revision: int
    epoch: int = 0


class Conflict(msgspec.Struct, frozen=True):
    """A condition did not hold; nothing was written."""


class LeaseGone(msgspec.Struct, frozen=True):
    """There is no such lease; nothing was written."""


class LeaseGranted(msgspec.Struct, frozen=True):
    """A lease runs from the arrival of the call.

    :param ttl_s: seconds for which it holds without a renewal.
    :param epoch: the store's epoch: in a later one the lease may be another writer's, or gone.
    """

    lease: int
    ttl_s: float
    epoch: int = 0


class Unavailable(msgspec.Struct, frozen=True):
    """No answer that can be used.

    :param may_have_been_applied: whether a write may have been carried out, or may be yet.
    """

    reason: str
    may_have_been_applied: bool
