"""Frames as no build of ours makes them.

Guards against a frame that ends more than its link: the highest stamp was taken over, and from then
on each message that the process sent raised (OverflowError), which ended the process.
"""

import math

import msgpack
import pytest
from chalkyoke.clock import HybridClock, Stamp
from chalkyoke.configuration.messages import (
    HostsAnswer,
    HostsRequest,
    ListedHost,
    Revision,
    RevisionAnswer,
    RevisionRequest,
    Root,
)
from chalkyoke.exceptions import ProtocolError, UnknownKind
from chalkyoke.links.codec import FrameCodec, FrameReader
from chalkyoke.links.messages import Challenge, Hello, Received, Welcome
from chalkyoke.membership.messages import Heartbeat, MemberRecord
from chalkyoke.node.routing import LINK_MESSAGES
from hypothesis import given
from hypothesis import strategies as st

from scripts.record_version import build_message
from tests.odddata import mutated_msgpack, nest, odd_msgpack

HANDSHAKE = (Challenge, Hello, Received, Welcome)
ROOT = Root(3, {"service": "00"}, (Revision(3, "c", "a", 5, ("service/s.name",)),))
COMPLETIONS = [
    RevisionRequest(2, ("00",)),
    RevisionAnswer(ROOT, {"00": b"chunk"}),
    HostsRequest(2),
    HostsAnswer(3, (ListedHost("h", "10.0.0.1:80", "a", False, {"hardware": "gen4"}),)),
]
CODEC = FrameCodec((*LINK_MESSAGES, *HANDSHAKE, *map(type, COMPLETIONS)))
MESSAGES = [*(build_message(kind, 3) for kind in (*LINK_MESSAGES, *HANDSHAKE)), *COMPLETIONS]
FRAMES = [
    next(iter(FrameReader().feed(CODEC.encode(Stamp(5, 6), message)))) for message in MESSAGES
]
NOW_MS = 1_000_000


def receive(data):
    """Decode all frames of a stream; the messages, and whether the link ends."""
    reader, found = FrameReader(), []
    try:
        for frame in reader.feed(data):
            try:
                found.append(CODEC.decode(frame))
            except UnknownKind:
                continue
    except ProtocolError:
        return found, True
    return found, False


frames = st.one_of(
    odd_msgpack(FRAMES[0]), st.sampled_from(FRAMES).flatmap(lambda each: mutated_msgpack(each))
)


@given(st.lists(frames, min_size=1, max_size=3).map(b"".join))
def test_a_stream_is_messages_that_can_be_sent_again_or_ends_its_link(data):
    clock = HybridClock()
    for stamp, message in receive(data)[0]:
        clock.observe(stamp, NOW_MS)
        again = CODEC.encode(clock.tick(NOW_MS), message)
        (decoded,) = receive(again)[0]
        assert decoded[1] == message


@given(st.sampled_from(range(len(FRAMES))), st.binary(max_size=4))
def test_sound_messages_are_decoded_whatever_follows_them(number, rest):
    found, _ = receive(msgpack.packb(FRAMES[number]) + rest)
    assert found[0] == (Stamp(5, 6), MESSAGES[number])


@pytest.mark.parametrize(
    "stamp",
    [
        (NOW_MS + 5, 2**64 - 1),
        (2**64 - 1, 0),
        (-1, 0),
        (0, -1),
        (1.5, 0),
        (math.nan, 0),
        ("1", 0),
        (None, 0),
        (True, 0),
        ([], 0),
    ],
)
def test_odd_stamps_end_the_link(stamp):
    assert receive(msgpack.packb([*stamp, *FRAMES[0][2:]])) == ([], True)


@pytest.mark.parametrize("frame", [[], [1], [1, 2], [1, 2, None], [1, 2, []], [1, 2, 3, 4]])
def test_frames_without_a_kind_end_the_link(frame):
    assert receive(msgpack.packb(frame)) == ([], True)


def test_deep_frames_end_the_link():
    for depth in (400, 600, 100_000):
        for opening in (b"\x91", b"\x81\xa1a"):
            head = msgpack.packb([1, 2, FRAMES[0][2]])[1:]
            assert receive(b"\x94" + head + opening * depth + b"\xc0")[0] == [], depth
    assert receive(nest(1000).encode())[1]


@pytest.mark.parametrize("capacity", [math.inf, -math.inf, math.nan])
def test_numbers_that_are_not_finite_end_the_link(capacity):
    record = MemberRecord("h", 1, "a:1", "", "a", False, True, 1, 1, capacity=capacity)
    assert receive(CODEC.encode(Stamp(1, 1), Heartbeat(record, 1))) == ([], True)


def test_a_long_unknown_kind_is_skipped_and_cut():
    with pytest.raises(UnknownKind) as raised:
        CODEC.decode([1, 2, "k" * 1_000_000])
    assert len(str(raised.value)) < 200
