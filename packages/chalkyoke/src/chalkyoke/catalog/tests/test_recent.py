from chalkyoke.catalog.recent import (
    MAX_RECENT_CHANGES,
    MAX_RECENT_DOCUMENTS_BYTES,
    RecentChanges,
    RecentDocuments,
)
from chalkyoke.storage.messages import Item, Removed


def test_only_the_latest_change_of_each_key_is_listed():
    recent = RecentChanges()
    recent.reset(10)
    recent.append([Item("a", b"2", 13), Item("a", b"1", 12), Removed("b", 14)])
    assert recent.list_after(10) == [Item("a", b"2", 13), Removed("b", 14)]
    assert recent.list_after(13) == [Removed("b", 14)]


def test_nothing_is_listed_if_some_changes_were_dropped():
    recent = RecentChanges()
    recent.reset(10)
    assert recent.list_after(9) is None
    recent.append(Item(f"k{number}", b"", 11 + number) for number in range(MAX_RECENT_CHANGES + 1))
    assert recent.list_after(10) is None
    assert len(recent.list_after(11)) == MAX_RECENT_CHANGES


def test_old_documents_are_dropped_above_the_total_size():
    recent = RecentDocuments()
    half = b"x" * (MAX_RECENT_DOCUMENTS_BYTES // 2)
    for version in (1, 2, 3):
        recent.add(version, half)
    assert recent.find(1) is None and recent.find(2) == half and recent.find(3) == half
    recent.add(4, b"x" * (MAX_RECENT_DOCUMENTS_BYTES + 1))
    assert recent.find(4) is None
