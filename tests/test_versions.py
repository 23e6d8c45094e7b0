"""
tests.test_versions

Two versions serve side by side while hosts are replaced one after the other. What each landed
version says on its links and writes to the store lies in ``versions/``, recorded by its own code
(``scripts/record_version.py``); the contract that is kept here stands in ``docs/INTERFACES.md``.
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
from chalkyoke.node.registration import read_candidates
from chalkyoke.node.routing import LEGACY_KINDS, LEGACY_QUARANTINE_KINDS, LINK_MESSAGES
from chalkyoke.platform.documents import read_record
from chalkyoke.storage.messages import Item

from scripts import record_version

ROOT = Path(__file__).parents[1]
RECORDED = {
    path.stem: json.loads(path.read_text(encoding="utf-8"))
    for path in sorted((ROOT / "tests/versions").glob("*.json"))
}
# The version from which on a node tells its kinds when a link is opened is later than these.
SILENT_VERSION = "05e79d1"
LATER_SILENT_VERSION = "8aa77b9"
HANDSHAKE = (Challenge, Hello, Received, Welcome)
KINDS = {str(each.__struct_config__.tag): each for each in (*LINK_MESSAGES, *HANDSHAKE)}
CASES = [(version, kind) for version, each in RECORDED.items() for kind in each["messages"]]
STAMP = Stamp(1, 2)


def recorded(version, kind):
    return RECORDED[version]["messages"][kind]


def frame_of(codec, data):
    (frame,) = FrameReader().feed(data)
    return frame, codec.decode(frame)[1]


def type_of(word):
    """Make the type that a version's record words."""
    if isinstance(word, str):
        simple = (str, int, float, bool, bytes, type(None))
        return {each.__name__: each for each in simple}[word]
    if word and isinstance(word[0], list):
        return struct_of("nested", word)
    name, *parts = word
    if name == "enum":
        return enum.Enum("Recorded", {part: part for part in parts})
    if name in ("Union", "UnionType"):
        made = type_of(parts[0])
        for part in parts[1:]:
            made = made | type_of(part)
        return made
    assert name in ("tuple", "Annotated"), name
    if name == "Annotated":
        return type_of(parts[0])
    if parts[-1] == "ellipsis" or parts[-1] == "Ellipsis":
        return tuple[type_of(parts[0]), ...]
    return tuple[tuple(type_of(part) for part in parts)]


def struct_of(name, schema, tag=None):
    fields = [
        (field, type_of(word)) if required else (field, type_of(word) | None, None)
        for field, word, required in schema
    ]
    return msgspec.defstruct(name, fields, array_like=True, tag=tag)


@pytest.mark.parametrize(("version", "kind"), CASES)
def test_what_a_landed_version_says_is_understood(version, kind):
    told = bytes.fromhex(recorded(version, kind)["frame"])
    codec = FrameCodec(tuple(KINDS.values()))
    frame, message = frame_of(codec, told)
    # Said again and read as the landed version reads it, all that it said is there, in its place.
    said_again, _ = frame_of(codec, codec.encode(STAMP, message))
    landed = struct_of(kind, recorded(version, kind)["schema"], tag=kind)
    read = msgspec.convert(said_again[2:], landed, builtin_types=(bytes,))
    assert msgspec.msgpack.encode(read) == msgspec.msgpack.encode(frame[2:])


@pytest.mark.parametrize(("version", "kind"), CASES)
def test_what_is_said_today_is_understood_by_a_landed_version(version, kind):
    today = KINDS[kind]
    before = struct_of(kind, recorded(version, kind)["schema"], tag=kind)
    codec = FrameCodec((today,))
    data = codec.encode(STAMP, record_version.build_message(today, 7))
    (frame,) = FrameReader().feed(data)
    understood = msgspec.convert(frame[2:], before, builtin_types=(bytes,))
    assert understood is not None


@pytest.mark.parametrize(("version", "kind"), CASES)
def test_fields_are_only_added_at_the_end_and_with_a_default(version, kind):
    before = recorded(version, kind)["schema"]
    now = json.loads(json.dumps(record_version.message_schema(KINDS[kind])))
    assert only_adds(now, before)


def only_adds(now, before):
    """Tell whether a schema, and each one nested in it, only adds optional fields at the end."""
    if isinstance(now, str) or isinstance(before, str):
        return now == before
    if not (before and isinstance(before[0], list)):
        same_length = len(now) == len(before)
        return same_length and all(map(only_adds, now, before))
    kept = zip(now, before, strict=False)
    return (
        len(now) >= len(before)
        and all(
            (field, required) == (old_field, old_required) and only_adds(word, old_word)
            for (field, word, required), (old_field, old_word, old_required) in kept
        )
        and not any(required for _, _, required in now[len(before) :])
    )


def test_schemas_that_do_more_than_add_optional_fields_at_the_end_are_found():
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


def test_a_node_that_does_not_tell_its_kinds_is_told_those_of_its_version_only():
    kinds = set(RECORDED[SILENT_VERSION]["messages"])
    assert {*LEGACY_KINDS, *(str(each.__struct_config__.tag) for each in HANDSHAKE)} == kinds
    later = set(RECORDED[LATER_SILENT_VERSION]["messages"])
    assert later - kinds == LEGACY_QUARANTINE_KINDS


@pytest.mark.parametrize("version", RECORDED)
def test_records_of_a_landed_version_are_read(version):
    records = RECORDED[version]["records"]
    registered = {"nodes/h": bytes.fromhex(records["registration"])}
    (candidate,) = read_candidates(registered, "nodes/")
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
