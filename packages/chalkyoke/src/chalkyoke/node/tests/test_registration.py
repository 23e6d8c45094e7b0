"""What hosts have registered of themselves, and what others wrote beside it."""

import msgspec
from chalkyoke.node.registration import Listed, read_candidates
from hypothesis import given
from hypothesis import strategies as st

PREFIX = "nodes/"


@given(st.dictionaries(st.text(min_size=1, max_size=4), st.binary(max_size=20), max_size=5))
def test_entries_that_can_t_be_read_name_no_node_and_the_others_hold(others):
    good = msgspec.msgpack.encode(Listed("10.1.0.1:82", "a"))
    registered = {PREFIX + name: value for name, value in others.items()}
    registered[PREFIX + "good-host"] = good
    found = {each.host: each for each in read_candidates(registered, PREFIX)}
    assert found["good-host"].address == "10.1.0.1:82"
