from chalkyoke.gateway.events import EventSplitter, event_id
from hypothesis import given
from hypothesis import strategies as st


def stream(first, last):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(first, last + 1))


def feed(cutter, data, cuts):
    out, at = b"", 0
    for cut in sorted(cuts):
        out += cutter.feed(data[at : max(at, cut)]).data
        at = max(at, cut)
    return out + cutter.feed(data[at:]).data


@given(st.integers(0, 12), st.lists(st.integers(0, 400), max_size=12))
def test_a_stream_comes_out_as_it_went_in_however_it_is_cut(last, cuts):
    cutter = EventSplitter()
    data = stream(0, last)
    assert feed(cutter, data, cuts) == data
    assert cutter.last_id == last and not cutter.has_partial


@given(st.integers(1, 12), st.data())
def test_a_stream_that_goes_on_elsewhere_has_each_piece_once(last, data):
    broken_at = data.draw(st.integers(0, len(stream(0, last))))
    cutter = EventSplitter()
    out = cutter.feed(stream(0, last)[:broken_at]).data
    cutter.discard_partial()
    goes_on_at = data.draw(st.integers(0, cutter.last_id + 1))
    out += cutter.feed(stream(goes_on_at, last)).data
    assert out == stream(0, last)


def test_a_caller_that_resumes_gets_only_what_follows():
    cutter = EventSplitter(after=3)
    assert cutter.feed(stream(2, 5)).data == stream(4, 5)


def test_events_without_ids_are_all_passed_on():
    cutter = EventSplitter()
    assert cutter.feed(b"data: a\n\ndata: a\n\n").count == 2


def test_the_id_may_stand_anywhere_in_an_event():
    assert event_id(b"weights: 3\nid: 12\ndata: x") == 12
    assert event_id(b"data: id: 4") is None
