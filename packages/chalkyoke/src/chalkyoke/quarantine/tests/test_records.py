"""Parsing of the records of held requests."""

from chalkyoke.quarantine.records import with_held_records
from chalkyoke.storage.messages import Item
from result import Err, Ok

read = with_held_records(lambda item: Ok("another record"), "held/")


def test_held_records_are_parsed_and_others_go_to_the_other_parser():
    assert read(Item("held/" + "0a" * 12, b"", 3)).ok_value.request == b"\n" * 12
    assert not read(Item("held/" + "0a" * 12, b"", 3)).ok_value.is_released
    assert read(Item("held/" + "0a" * 12, b"released\n", 4)).ok_value.is_released
    assert read(Item("servers/i", b"", 3)).ok_value == "another record"


def test_an_invalid_digest_is_an_error():
    for name in ("", "0a", "xy" * 12):
        assert isinstance(read(Item("held/" + name, b"", 3)), Err)
