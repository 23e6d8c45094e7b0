"""
chalkyoke.configuration.messages

The root of a fleet's configuration, and the messages with which nodes exchange it.
"""

import msgspec

from chalkyoke.decoding.bounds import Integer


class Revision(msgspec.Struct, frozen=True, array_like=True):
    """One accepted change of the configuration.

    :param change_id: assigned by the operator's client; a retry of a change has the same id.
    :param paths: the changed fields, as ``kind/name.field``.
    :param at_ms: wall time of the node that accepted the change, in milliseconds.
    """

    number: Integer
    change_id: str
    author: str
    at_ms: Integer
    paths: tuple[str, ...]


class Root(msgspec.Struct, frozen=True, array_like=True):
    """The value that identifies a complete configuration.

    :param revision: rises by one with each accepted change.
    :param chunks: content hashes, by chunk name.
    :param history: the latest changes, oldest first.
    """

    revision: Integer
    chunks: dict[str, str]
    history: tuple[Revision, ...]


class RevisionRequest(msgspec.Struct, frozen=True, array_like=True, tag="revision_request"):
    """Request a peer's configuration if its revision is higher than the sender's.

    :param above_revision: the sender's revision.
    :param held_chunks: hashes of the chunks that the sender already has.
    """

    above_revision: Integer
    held_chunks: tuple[str, ...]


class RevisionAnswer(msgspec.Struct, frozen=True, array_like=True, tag="revision_answer"):
    """A peer's configuration: its root and the chunks that the requester lacks."""

    root: Root
    chunks: dict[str, bytes]


class HostsRequest(msgspec.Struct, frozen=True, array_like=True, tag="hosts_request"):
    """Request a peer's host list if its version is higher than the sender's.

    :param above_version: the sender's version.
    """

    above_version: Integer


class ListedHost(msgspec.Struct, frozen=True, array_like=True):
    """A host in the platform's host list."""

    id: str
    address: str
    failure_domain: str
    leaving: bool
    labels: dict[str, str]


class HostsAnswer(msgspec.Struct, frozen=True, array_like=True, tag="hosts_answer"):
    """A peer's host list and its version."""

    version: Integer
    hosts: tuple[ListedHost, ...]


ConfigurationMessage = RevisionRequest | RevisionAnswer | HostsRequest | HostsAnswer
