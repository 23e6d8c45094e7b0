"""
chalkyoke.catalog.messages

How nodes tell each other what is declared. A newer version is sent whole; it is rare and small.
"""

import msgspec

from chalkyoke.storage.messages import Item


class CatalogRequest(msgspec.Struct, frozen=True, array_like=True, tag="catalog_request"):
    """Ask for what is newer than this."""

    version: int
    replicas_at: int


class CatalogTold(msgspec.Struct, frozen=True, array_like=True, tag="catalog"):
    """A version of the operators' document.

    :param document: compressed, as it lies in the store.
    """

    version: int
    document: bytes


class ReplicasTold(msgspec.Struct, frozen=True, array_like=True, tag="replicas"):
    """All replicas' own records, complete up to a revision of the store."""

    at: int
    items: tuple[Item, ...]


CatalogMessage = CatalogRequest | CatalogTold | ReplicasTold
