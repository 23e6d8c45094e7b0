from chalkyoke.gateway.events import EventSplitter, event_id
from hypothesis import given
from hypothesis import strategies as st


def stream(first, last):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))


def feed(splitter, data, cuts):
    out, at = b"", 0
    for cut in sorted(cuts):
        out += splitter.feed(data[at : max(at, cut)]).data
        at = max(at, cut)
    return out + splitter.feed(data[at:]).data


@given(st.integers(0, 12), st.lists(st.integers(0, 400), max_size=12))
def test_output_equals_input_for_any_chunk_boundaries(last, cuts):
    splitter = EventSplitter()
    data = stream(0, last)
    assert feed(splitter, data, cuts) == data
    assert splitter.last_id == last and not splitter.has_partial


@given(st.integers(1, 12), st.data())
def test_a_resumed_stream_has_each_event_once(last, data):
    broken_at = data.draw(st.integers(0, len(stream(0, last))))
    splitter = EventSplitter()
    out = splitter.feed(stream(0, last)[:broken_at]).data
    splitter.discard_partial()
    resumed_at = data.draw(st.integers(0, splitter.last_id + 1))
    out += splitter.feed(stream(resumed_at, last)).data
    assert out == stream(0, last)


def test_a_resuming_caller_gets_only_later_events():
    splitter = EventSplitter(after=3)
    assert splitter.feed(stream(2, 5)).data == stream(4, 5)


def test_events_without_ids_are_all_forwarded():
    splitter = EventSplitter()
    assert splitter.feed(b"data: a\n\ndata: a\n\n").count == 2


def test_the_id_line_may_be_any_line_of_an_event():
    assert event_id(b"weights: 3\nid: 12\ndata: x") == 12
    assert event_id(b"data: id: 4") is None
