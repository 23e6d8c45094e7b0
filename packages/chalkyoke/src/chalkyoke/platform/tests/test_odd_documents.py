"""Documents and answers of the store as no writer of ours makes them.

Guards against readers that raise: another writer's configuration that was nested 100,000 deep, or
an order of a roll-out, ended every node, and again at each start.
"""

import json

import msgspec
import pytest
from chalkyoke.catalog.difference import apply_difference, encode_difference
from chalkyoke.catalog.messages import CatalogSnapshot
from chalkyoke.catalog.resources import Catalog
from chalkyoke.catalog.state import CatalogState
from chalkyoke.clock import Stamp
from chalkyoke.http1.calls import CallAnswer
from chalkyoke.links.codec import FrameCodec, FrameReader
from chalkyoke.membership.messages import MEMBERSHIP_MESSAGES, Heartbeat, MemberRecord
from chalkyoke.platform.documents import read_catalog, read_record, write_status
from chalkyoke.platform.store import PlatformStore
from chalkyoke.rollouts.resources import RolloutOrder, RolloutState
from chalkyoke.storage.messages import Changes, Item, Listing, Unavailable
from chalkyoke_fakes.platformfleet import default_configuration
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from tests import virtual
from tests.odddata import nest, odd_json

DOCUMENTS = {
    "op/config": default_configuration(3),
    "op/rollout/seats": {"to-version": "v2", "over-s": 20.0, "service": "seats"},
    "status/rollout/seats": {"state": "running", "to-version": 2},
    "servers/i-1": {
        "service": "seats",
        "addr": "10.0.0.1:80",
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "version": 1,
        "seq": 3,
        "cold-left-ms": 0,
        "born": 5,
    },
}
DEEP = nest(100_000)


def read(key, value):
    return read_catalog(value) if key == "op/config" else read_record(Item(key, value, 7))


def is_carried(message):
    """Return whether a message arrives unchanged over a link."""
    codec = FrameCodec((*MEMBERSHIP_MESSAGES, CatalogSnapshot))
    (received,) = FrameReader().feed(codec.encode(Stamp(1, 1), message))
    return codec.decode(received)[1] == message


@pytest.mark.parametrize("key", DOCUMENTS)
def test_nested_documents_are_errors(key):
    assert isinstance(read(key, DEEP.encode()), Err)
    text = json.dumps({**DOCUMENTS[key], "unknown": "@"}).replace('"@"', DEEP)
    assert isinstance(read(key, text.encode()), Err)
    assert isinstance(read(key, json.dumps(DOCUMENTS[key]).encode()), Ok)


def numbers(document, path=()):
    """List the paths of all numbers in a document."""
    pairs = document.items() if isinstance(document, dict) else enumerate(document)
    for name, value in pairs:
        if isinstance(value, dict | list):
            yield from numbers(value, (*path, name))
        elif isinstance(value, int | float) and not isinstance(value, bool):
            yield (*path, name)


def replace(document, path, value):
    copy = json.loads(json.dumps(document))
    inner = copy
    for name in path[:-1]:
        inner = inner[name]
    inner[path[-1]] = value
    return copy


# A number that no message can carry was accepted, and ended the nodes that told it to others.
@pytest.mark.parametrize("literal", [2**53, 2**64, 10**30, "1e400", "1e300", "true"])
@pytest.mark.parametrize("key", DOCUMENTS)
def test_numbers_beyond_their_bounds_are_errors(key, literal):
    for path in numbers(DOCUMENTS[key]):
        text = json.dumps(replace(DOCUMENTS[key], path, "@")).replace('"@"', str(literal))
        assert isinstance(read(key, text.encode()), Err), path


@pytest.mark.parametrize("key", DOCUMENTS)
def test_negative_numbers_are_errors(key):
    for path in numbers(DOCUMENTS[key]):
        # A version has a sign, and so has a time left that has just passed.
        if path[-1] in ("to-version", "cold-left-ms") or (path == ("version",) and key[0] == "s"):
            continue
        text = json.dumps(replace(DOCUMENTS[key], path, -1))
        assert isinstance(read(key, text.encode()), Err), path


def test_unknown_kinds_and_states_are_errors():
    routes = [{"name": "r", "host": "h", "path-prefix": "/", "service": "s", "kind": "sometimes"}]
    assert isinstance(read_catalog(json.dumps({"version": 1, "routes": routes}).encode()), Err)
    assert isinstance(read("status/rollout/s", b'{"state":"gone","to-version":1}'), Err)


@given(odd_json(DOCUMENTS["op/config"]))
def test_a_configuration_is_an_error_or_can_be_told_to_peers(document):
    found = read_catalog(document)
    assert isinstance(found, Ok | Err)
    if isinstance(found, Err):
        return
    catalog = found.ok_value
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(catalog), type=Catalog) == catalog
    record = MemberRecord("h", 1, "1:1", "", "a", False, True, catalog.version, 0)
    assert is_carried(Heartbeat(record, 1))
    state, peer = CatalogState(read_catalog, read_record), CatalogState(read_catalog, read_record)
    if state.apply_document(document) == Ok(True):
        update = state.build_catalog_update()
        assert is_carried(update)
        assert peer.apply_document_snapshot(update) == Ok(True)
        assert peer.catalog == state.catalog
        assert apply_difference(b"{}", encode_difference(b"{}", document), 10**6) == Ok(document)


@given(
    st.sampled_from(list(DOCUMENTS)).flatmap(
        lambda key: st.tuples(st.just(key), odd_json(DOCUMENTS[key]))
    )
)
def test_a_record_is_an_error_or_can_be_told_to_peers(drawn):
    key, value = drawn
    found = read_record(Item(key, value, 7))
    assert isinstance(found, Ok | Err)
    if isinstance(found, Err):
        return
    record = found.ok_value
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(record), type=type(record)) == record
    if isinstance(record, RolloutOrder):
        assert record.with_name(3).name.digest
        written = Item(*write_status(record, RolloutState.RUNNING), 8)
        assert read_record(written).ok_value.version == record.version


ITEM = {"key": "k", "value": "YQ==", "rev": 3}
ANSWERS = {
    "range": {"items": [ITEM], "at": 4, "more": False},
    "watch": {"events": [ITEM, {"key": "k", "rev": 4, "gone": True}], "at": 4},
    "lease": {"ttl_ms": 3000.0, "lease": 7},
    "write": {"rev": 4},
}


def call_store(kind, body):
    class Caller:
        async def call(self, method, target, encoded, timeout_s):
            return CallAnswer(200, body, [])

    async def main():
        store = PlatformStore(Caller())
        if kind == "range":
            return await store.read("")
        if kind == "watch":
            return await store.watch("", 1, 1.0, 1.0)
        if kind == "lease":
            return await store.grant_lease(3.0)
        return await store.write("k", b"a")

    return virtual.run(main)


@given(
    st.sampled_from(list(ANSWERS)).flatmap(
        lambda kind: st.tuples(st.just(kind), odd_json(ANSWERS[kind]))
    )
)
def test_an_answer_of_the_store_is_usable_or_counts_as_none(drawn):
    kind, body = drawn
    found = call_store(kind, body)
    if isinstance(found, Unavailable):
        assert found.may_have_been_applied
        return
    # Only items and tombstones travel between nodes.
    for item in found.items if isinstance(found, Listing) else getattr(found, "changes", ()):
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(item), type=type(item)) == item


def test_answers_that_can_t_be_decoded_count_as_none():
    for body in (
        b'{"items":[{"key":"k","value":"no base64","rev":3}],"at":4}',
        b'{"items":[{"key":"k","value":"YQ","rev":3}],"at":4}',
        b'{"items":[],"at":18446744073709551616}',
        b'{"items":[],"at":-1}',
        b'{"items":[],"at":4,"more":' + DEEP.encode() + b"}",
    ):
        assert isinstance(call_store("range", body), Unavailable), body[:60]
    assert isinstance(call_store("range", json.dumps(ANSWERS["range"]).encode()), Listing)
    assert isinstance(call_store("watch", json.dumps(ANSWERS["watch"]).encode()), Changes)
