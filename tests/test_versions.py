"""
tests.test_versions

Two versions run side by side while hosts are replaced one after the other. ``versions/`` holds the
messages on links and the records in the store of each landed version, recorded by its own code
(``scripts/record_version.py``); the compatibility contract is in ``docs/INTERFACES.md``.
"""

import enum
import json
import subprocess
import tomllib
from pathlib import Path

import msgspec
import pytest
from chalkyoke.clock import Stamp
from chalkyoke.links.codec import FrameCodec, FrameReader
from chalkyoke.links.messages import Challenge, Hello, Received, Welcome
from chalkyoke.node.registration import CandidateReader
from chalkyoke.node.routing import LEGACY_KINDS, LEGACY_QUARANTINE_KINDS, LINK_MESSAGES
from chalkyoke.platform.documents import read_record
from chalkyoke.storage.messages import Item

from scripts import record_version

ROOT = Path(__file__).parents[1]
RECORDED = {
    path.stem: json.loads(path.read_text(encoding="utf-8"))
    for path in sorted((ROOT / "tests/versions").glob("*.json"))
}
# Nodes of these versions do not announce their message kinds when a link opens; later ones do.
VERSION_WITHOUT_KINDS = "05e79d1"
LATER_VERSION_WITHOUT_KINDS = "8aa77b9"
HANDSHAKE = (Challenge, Hello, Received, Welcome)
KINDS = {str(each.__struct_config__.tag): each for each in (*LINK_MESSAGES, *HANDSHAKE)}
CASES = [(version, kind) for version, each in RECORDED.items() for kind in each["messages"]]
STAMP = Stamp(1, 2)


def recorded(version, kind):
    return RECORDED[version]["messages"][kind]


def decode_frame(codec, data):
    (frame,) = FrameReader().feed(data)
    return frame, codec.decode(frame)[1]


def build_type(description):
    """Build the type that a recorded schema describes."""
    if isinstance(description, str):
        simple = (str, int, float, bool, bytes, type(None))
        return {each.__name__: each for each in simple}[description]
    if description and isinstance(description[0], list):
        return build_struct("nested", description)
    name, *parts = description
    if name == "enum":
        return enum.Enum("Recorded", {part: part for part in parts})
    if name in ("Union", "UnionType"):
        made = build_type(parts[0])
        for part in parts[1:]:
            made = made | build_type(part)
        return made
    assert name in ("tuple", "Annotated"), name
    if name == "Annotated":
        return build_type(parts[0])
    if parts[-1] == "ellipsis" or parts[-1] == "Ellipsis":
        return tuple[build_type(parts[0]), ...]
    return tuple[tuple(build_type(part) for part in parts)]


def build_struct(name, schema, tag=None):
    fields = [
        (field, build_type(description))
        if required
        else (field, build_type(description) | None, None)
        for field, description, required in schema
    ]
    return msgspec.defstruct(name, fields, array_like=True, tag=tag)


@pytest.mark.parametrize(("version", "kind"), CASES)
def test_messages_of_a_landed_version_are_decoded(version, kind):
    recorded_frame = bytes.fromhex(recorded(version, kind)["frame"])
    codec = FrameCodec(tuple(KINDS.values()))
    frame, message = decode_frame(codec, recorded_frame)
    # Encoded again and decoded with the landed version's schema, the message has all its fields in
    # their places.
    encoded_again, _ = decode_frame(codec, codec.encode(STAMP, message))
    landed = build_struct(kind, recorded(version, kind)["schema"], tag=kind)
    read = msgspec.convert(encoded_again[2:], landed, builtin_types=(bytes,))
    assert msgspec.msgpack.encode(read) == msgspec.msgpack.encode(frame[2:])


@pytest.mark.parametrize(("version", "kind"), CASES)
def test_present_messages_are_decoded_by_a_landed_version(version, kind):
    today = KINDS[kind]
    before = build_struct(kind, recorded(version, kind)["schema"], tag=kind)
    codec = FrameCodec((today,))
    data = codec.encode(STAMP, record_version.build_message(today, 7))
    (frame,) = FrameReader().feed(data)
    decoded = msgspec.convert(frame[2:], before, builtin_types=(bytes,))
    assert decoded is not None


@pytest.mark.parametrize(("version", "kind"), CASES)
def test_fields_are_only_added_at_the_end_and_with_a_default(version, kind):
    before = recorded(version, kind)["schema"]
    now = json.loads(json.dumps(record_version.message_schema(KINDS[kind])))
    assert only_adds(now, before)


def only_adds(now, before):
    """Return whether a schema and all nested ones only add optional fields at the end."""
    if isinstance(now, str) or isinstance(before, str):
        return now == before
    if not (before and isinstance(before[0], list)):
        same_length = len(now) == len(before)
        return same_length and all(map(only_adds, now, before))
    kept = zip(now, before, strict=False)
    return (
        len(now) >= len(before)
        and all(
            (field, required) == (old_field, old_required)
            and only_adds(description, old_description)
            for (field, description, required), (old_field, old_description, old_required) in kept
        )
        and not any(required for _, _, required in now[len(before) :])
    )


# Guards against a schema check that accepts incompatible changes.
def test_the_check_finds_schemas_that_do_more_than_add_optional_fields_at_the_end():
    nested = [["a", "int", True], ["b", "str", False]]
    before = [["x", ["tuple", nested, "Ellipsis"], True]]

    def now_with(changed):
        return [["x", ["tuple", changed, "Ellipsis"], True]]

    assert only_adds(now_with([*nested, ["c", "int", False]]), before)
    assert not only_adds(now_with([*nested, ["c", "int", True]]), before)
    assert not only_adds(now_with([["c", "int", False], *nested]), before)
    assert not only_adds(now_with(nested[:1]), before)
    assert not only_adds(now_with([["a", "str", True], nested[1]]), before)
    assert not only_adds([["x", ["tuple", nested], True]], before)
    assert not only_adds([["x", nested, True]], before)


# Guards against messages of a kind that an older node cannot decode.
def test_a_node_that_does_not_announce_its_message_kinds_gets_those_of_its_version_only():
    kinds = set(RECORDED[VERSION_WITHOUT_KINDS]["messages"])
    assert {*LEGACY_KINDS, *(str(each.__struct_config__.tag) for each in HANDSHAKE)} == kinds
    later = set(RECORDED[LATER_VERSION_WITHOUT_KINDS]["messages"])
    assert later - kinds == LEGACY_QUARANTINE_KINDS


@pytest.mark.parametrize("version", RECORDED)
def test_records_of_a_landed_version_are_read(version):
    records = RECORDED[version]["records"]
    registered = {"nodes/h": bytes.fromhex(records["registration"])}
    (candidate,) = CandidateReader("nodes/").read(registered)
    assert (candidate.host, candidate.address) == ("h", "10.0.0.1:80")
    key, status = records["status"]
    assert read_record(Item(key, bytes.fromhex(status), 1)).ok_value.version == "2"


def test_the_version_in_production_is_recorded_and_in_the_history():
    deployed = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
    production = deployed["production"]
    assert any(production.startswith(version) for version in RECORDED)
    shallow = (ROOT / ".git/shallow").exists()
    if shallow or not (ROOT / ".git").exists():
        return
    command = ["git", "merge-base", "--is-ancestor", production, "HEAD"]
    assert subprocess.run(command, cwd=ROOT, check=False).returncode == 0
