"""Unreadable entries of the store are logged once each.

Guards against a line at each read, and against an entry that is refused without a word.
"""

import json

import logbook
from chalkyoke.catalog.unreadable import MAX_LOGGED_ENTRIES, UnreadableEntries


def logged(note):
    with logbook.TestHandler() as handler:
        note()
    return [(record.message, record.kwargs) for record in handler.records]


def test_a_revision_of_the_document_is_logged_once():
    entries = UnreadableEntries()

    def note(revision, why):
        return logged(lambda: entries.note_document("op/config", revision, why, 3))

    fields = {"key": "op/config", "revision": 7, "why": "odd", "in_force": 3}
    assert note(7, "odd") == [("entry_unreadable", fields)]
    assert note(7, "odd") == [] and entries.document == "odd"
    assert len(note(8, "odd")) == 1
    entries.clear_document()
    assert entries.document == "" and len(note(8, "odd")) == 1


def test_a_record_is_logged_once_until_it_can_be_read():
    entries = UnreadableEntries()

    def note(unreadable):
        return [fields["key"] for _, fields in logged(lambda: entries.note_records(unreadable))]

    assert note({"a": "odd"}) == ["a"]
    assert note({"a": "odd", "b": "odd"}) == ["b"]
    assert note({"a": "odd", "b": "odd"}) == []
    assert note({"b": "other"}) == ["b"]
    assert note({"a": "odd", "b": "other"}) == ["a"]


def test_many_unreadable_records_take_few_lines():
    unreadable = {str(number): "odd" for number in range(1000)}
    lines = logged(lambda: UnreadableEntries().note_records(unreadable))
    assert len(lines) == MAX_LOGGED_ENTRIES + 1
    assert lines[-1] == ("entries_unreadable", {"count": 1000, "logged": MAX_LOGGED_ENTRIES})
    assert json.dumps(lines[0][1])
