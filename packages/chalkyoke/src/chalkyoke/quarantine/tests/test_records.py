"""Records of requests that are held back."""

from chalkyoke.quarantine.records import with_held_records
from chalkyoke.storage.messages import Item
from result import Err, Ok

read = with_held_records(lambda item: Ok("another record"), "held/")


def test_a_record_names_a_request_and_others_are_read_as_before():
    assert read(Item("held/" + "0a" * 12, b"", 3)).ok_value.request == b"\n" * 12
    assert not read(Item("held/" + "0a" * 12, b"", 3)).ok_value.is_released
    assert read(Item("held/" + "0a" * 12, b"released\n", 4)).ok_value.is_released
    assert read(Item("servers/i", b"", 3)).ok_value == "another record"


def test_a_name_that_can_t_be_read_is_an_error():
    for name in ("", "0a", "xy" * 12):
        assert isinstance(read(Item("held/" + name, b"", 3)), Err)
