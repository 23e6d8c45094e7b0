"""
chalkyoke.configuration.messages

The root of a fleet's configuration, and how nodes hand it to each other.
"""

import msgspec


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change.

    :param change_id: chosen by the operator's client; the same change sent again has the same id.
    :param paths: fields that it changed, as ``kind/name.field``.
    :param at_ms: wall time of the node that took it, in milliseconds.
    """

    number: int
    change_id: str
    author: str
    at_ms: int
    paths: tuple[str, ...]


class Root(msgspec.Struct, frozen=True, array_like=True):
    """The one value that names a whole configuration.

    :param revision: grows by one with each accepted change.
    :param chunks: content hashes, by chunk name.
    :param history: the latest changes, oldest first.
    """

    revision: int
    chunks: dict[str, str]
    history: tuple[Revision, ...]


class RevisionRequest(msgspec.Struct, frozen=True, array_like=True, tag="revision_request"):
    """Ask a peer for its configuration.

    :param held: hashes of the chunks that need not be sent.
    """

    above_revision: int
    held_chunks: tuple[str, ...]


class RevisionAnswer(msgspec.Struct, frozen=True, array_like=True, tag="revision_answer"):
    """A peer's configuration: its root and the chunks that were asked for."""

    root: Root
    chunks: dict[str, bytes]


class HostsRequest(msgspec.Struct, frozen=True, array_like=True, tag="hosts_request"):
    """Ask a peer for its host list."""

    above_version: int


class ListedHost(msgspec.Struct, frozen=True, array_like=True):
    """One host of the platform's list."""

    id: str
    address: str
    failure_domain: str
    leaving: bool
    labels: dict[str, str]


class HostsAnswer(msgspec.Struct, frozen=True, array_like=True, tag="hosts_answer"):
    """A peer's host list."""

    version: int
    hosts: tuple[ListedHost, ...]


ConfigurationMessage = RevisionRequest | RevisionAnswer | HostsRequest | HostsAnswer
