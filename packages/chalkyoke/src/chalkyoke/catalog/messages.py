"""
chalkyoke.catalog.messages

How nodes tell each other what is declared. A change goes out as the difference to what it
changed, so that what a change costs on the links does not grow with what is declared; a node that
lacks more asks, and gets the difference to what it has, or all.
"""

import msgspec

from chalkyoke.storage.messages import Item, Removed


class CatalogRequest(msgspec.Struct, frozen=True, array_like=True, tag="catalog_request"):
    """Ask for what is newer than this.

    :param replicas_revision: 0 asks for all.
    :param epoch: the store's epoch of that revision; 0 is not known.
    """

    version: int
    replicas_revision: int
    epoch: int = 0


class CatalogSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="catalog"):
    """A version of the operators' document.

    :param document: compressed, as it lies in the store.
    """

    version: int
    document: bytes


class CatalogDelta(msgspec.Struct, frozen=True, array_like=True, tag="catalog_changed"):
    """A version of the operators' document as the difference to an older one.

    :param base: the version that the receiver must hold.
    :param difference: as :func:`chalkyoke.catalog.difference.encode_difference` makes it.
    """

    version: int
    base: int
    difference: bytes


class ReplicasSnapshot(msgspec.Struct, frozen=True, array_like=True, tag="replicas"):
    """All replicas' own records, complete up to a revision of the store.

    :param changed_at: revision of the newest change among them.
    :param epoch: the store's epoch of these revisions; 0 is not known.
    """

    revision: int
    last_change_revision: int
    items: tuple[Item, ...]
    epoch: int = 0


class ReplicasDelta(msgspec.Struct, frozen=True, array_like=True, tag="replicas_changed"):
    """What has changed of the replicas' records.

    :param since: all changes after this revision are in here; a receiver must know the others.
    :param at: the receiver is then complete up to this revision.
    :param age_s: how long ago this may have changed when it was sent, in seconds.
    :param epoch: the store's epoch; 0 is not known.
    :param base_epoch: where the store was restored from a copy, the epoch before, which ``since``
        is of: a receiver must know exactly that, and not more. 0 is the same epoch.
    :param changed_at: revision of the newest change, where the store was restored.
    """

    base_revision: int
    revision: int
    written: tuple[Item, ...]
    removed: tuple[Removed, ...]
    age_s: float
    epoch: int = 0
    base_epoch: int = 0
    last_change_revision: int = 0


class ReplicasLeaving(msgspec.Struct, frozen=True, array_like=True, tag="replicas_leave"):
    """Replicas have said in their answers that they leave, whatever their records say.

    :param replicas: ids of their starts.
    :param relay: whether the receiver tells the other nodes of its failure domain.
    """

    replicas: tuple[str, ...]
    relay: bool = False


class ReplicaAttribute(msgspec.Struct, frozen=True, array_like=True):
    """One word of a replica of itself.

    :param replica: id of its start.
    :param word: what it speaks of; a word that a node does not know is passed over.
    :param value: nothing where it does not say so any more.
    :param age_s: how long ago it said so, in seconds.
    """

    replica: str
    name: str
    value: float | None
    age_s: float


class ReplicaAttributes(msgspec.Struct, frozen=True, array_like=True, tag="replicas_say"):
    """What replicas have said of themselves in their answers.

    :param relay: whether the receiver tells the other nodes of its failure domain.
    """

    items: tuple[ReplicaAttribute, ...]
    relay: bool = False


CatalogAnswer = CatalogSnapshot | CatalogDelta | ReplicasSnapshot | ReplicasDelta
CatalogMessage = CatalogRequest | CatalogAnswer
