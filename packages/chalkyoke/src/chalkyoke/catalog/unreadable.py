"""
chalkyoke.catalog.unreadable

Log the entries of the store that can't be decoded: each of them once, not at each read.
"""

import itertools
from collections.abc import Mapping

from chalkyoke.logs import logger

# Maximum number of unreadable entries that are logged at once.
MAX_LOGGED_ENTRIES = 10

log = logger("catalog")


class UnreadableEntries:
    """The unreadable entries that have been logged, until they can be decoded or are removed.

    :ivar document: why the present document can't be decoded; empty if it can be.
    """

    def __init__(self) -> None:
        self.document = ""
        self._document_revision = 0
        self._records: dict[str, str] = {}

    def note_document(self, key: str, revision: int, why: str, in_force: int) -> None:
        """Note that a revision of the document can't be decoded.

        :param in_force: the version that stays in force; 0 if there is none.
        """
        self.document = why
        if revision != self._document_revision:
            self._document_revision = revision
            log.error("entry_unreadable", key=key, revision=revision, why=why, in_force=in_force)

    def clear_document(self) -> None:
        """Note that the document can be decoded."""
        self.document, self._document_revision = "", 0

    def note_records(self, unreadable: Mapping[str, str]) -> None:
        """Note all records that can't be decoded at present.

        :param unreadable: the reason by key.
        """
        new = {key: why for key, why in unreadable.items() if self._records.get(key) != why}
        self._records = dict(unreadable)
        for key, why in itertools.islice(new.items(), MAX_LOGGED_ENTRIES):
            log.error("entry_unreadable", key=key, why=why)
        if len(new) > MAX_LOGGED_ENTRIES:
            log.error("entries_unreadable", count=len(new), logged=MAX_LOGGED_ENTRIES)
