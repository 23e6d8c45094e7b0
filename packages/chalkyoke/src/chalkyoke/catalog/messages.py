"""
chalkyoke.catalog.messages

Messages that propagate the catalog and the replica records between nodes. A change is sent as a
delta, so that its cost on the links does not grow with the size of the catalog. A node that lags
further requests an update and receives a delta to its version, or a snapshot.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer
from chalkyoke.storage.messages import Item, Removed


class CatalogRequest(msgspec.Struct, frozen=True, array_like=True, tag="catalog_request"):
    """Request the updates that lead from the sender's state to the receiver's.

    :param version: the sender's version of the operators' document.
    :param replicas_at: the store revision up to which the sender's replica records are
        complete; 0 requests a snapshot.
    :param epoch: the store epoch of that revision; 0 if it is not known.
    """

    version: Integer
    replicas_at: Integer
    epoch: Integer = 0


class CatalogSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="catalog"):
    """A complete version of the operators' document.

    :param document: the document as written in the store, compressed with zlib.
    """

    version: Integer
    document: bytes


class CatalogDelta(msgspec.Struct, frozen=True, array_like=True, tag="catalog_changed"):
    """A version of the operators' document, as the difference to an older version.

    :param base: the version to which the receiver applies the difference.
    :param difference: the result of :func:`chalkyoke.catalog.difference.encode_difference`.
    """

    version: Integer
    base: Integer
    difference: bytes


class ReplicasSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="replicas"):
    """All records, complete up to a revision of the store.

    :param at: the store revision up to which the records are complete.
    :param changed_at: revision of the latest change of a record.
    :param epoch: the store epoch of these revisions; 0 if it is not known.
    """

    at: Integer
    changed_at: Integer
    items: tuple[Item, ...]
    epoch: Integer = 0


class ReplicasDelta(msgspec.Struct, frozen=True, array_like=True, tag="replicas_changed"):
    """Changes of the records since a revision of the store.

    :param since: the message has all changes after this revision; a receiver must already
        be complete up to it.
    :param at: the store revision up to which the receiver is complete afterwards.
    :param age_s: greatest age of the changes when the message was sent, in seconds.
    :param epoch: the store's epoch; 0 if it is not known.
    :param base_epoch: after a restore from a backup, the epoch of ``since``: the delta
        applies only to a receiver in exactly that state. 0 means the same epoch.
    :param changed_at: after a restore, the revision of the latest change.
    """

    since: Integer
    at: Integer
    written: tuple[Item, ...]
    removed: tuple[Removed, ...]
    age_s: Finite
    epoch: Integer = 0
    base_epoch: Integer = 0
    changed_at: Integer = 0


class ReplicasLeaving(msgspec.Struct, frozen=True, array_like=True, tag="replicas_leave"):
    """Replicas have announced in their answers that they leave; this overrides their records.

    :param replicas: ids of the replica starts.
    :param relay: whether the receiver forwards the message to the nodes of its failure domain.
    """

    replicas: tuple[str, ...]
    relay: bool = False


class ReplicaAttribute(msgspec.Struct, frozen=True, array_like=True):
    """One attribute that a replica has reported about itself in an answer.

    :param replica: id of the replica start.
    :param word: name of the attribute; a node ignores names that it does not know.
    :param value: the reported value; None if the replica no longer reports the attribute.
    :param age_s: age of the report, in seconds.
    """

    replica: str
    word: str
    value: Finite | None
    age_s: Finite


class ReplicaAttributes(msgspec.Struct, frozen=True, array_like=True, tag="replicas_say"):
    """Attributes that replicas have reported about themselves in their answers.

    :param relay: whether the receiver forwards the message to the nodes of its failure domain.
    """

    items: tuple[ReplicaAttribute, ...]
    relay: bool = False


CatalogAnswer = CatalogSnapshot | CatalogDelta | ReplicasSnapshot | ReplicasDelta
CatalogMessage = CatalogRequest | CatalogAnswer
