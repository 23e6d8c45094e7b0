"""What speaks for and against a request, in whatever order it is told."""

from chalkyoke.quarantine.evidence import (
    ENDS_IN_ANY_CASE,
    HOLD_S,
    MOST_REQUESTS,
    REMEMBERED_S,
    EvidenceTracker,
)
from chalkyoke.quarantine.messages import HeldRequest
from hypothesis import given
from hypothesis import strategies as st

REQUEST = b"request-name"


def end(book, number, at, *, weight=1.0, request=REQUEST, now=None):
    return book.record_end(request, f"m{number}/1", weight, at, at if now is None else now)


def test_a_request_is_held_back_from_the_third_end_on():
    book = EvidenceTracker()
    assert [end(book, number, float(number)) for number in range(3)] == [False, False, True]
    assert book.is_held(REQUEST)


def test_one_end_told_by_two_nodes_counts_once():
    book = EvidenceTracker()
    end(book, 1, 1.0)
    end(book, 1, 3.9, now=4.0)
    # This one has not heard yet that the replica had started again before.
    book.record_end(REQUEST, "m1/0", 1.0, 1.1, 1.2)
    assert book.find(REQUEST).weight == 1.0
    # The same id, but back since.
    book.record_end(REQUEST, "m1/2", 1.0, 3.0, 3.0)
    assert book.find(REQUEST).weight == 2.0


def test_ends_under_a_long_output_count_half_and_five_are_enough_in_any_case():
    book = EvidenceTracker()
    held = [end(book, number, float(number), weight=0.5) for number in range(5)]
    assert held == [False] * 4 + [True]


def test_where_replicas_end_by_themselves_three_ends_are_no_sign():
    book = EvidenceTracker()
    for number in range(4):
        # Two others end each time, under requests of their own.
        for other in range(3):
            end(book, f"other-{number}-{other}", number - 0.1, request=b"%d-%d" % (number, other))
        assert not end(book, number, float(number))
    assert end(book, 9, 9.0)


def test_a_popular_request_lies_under_every_end_and_is_never_held_back():
    book = EvidenceTracker()
    for number in range(50):
        end(book, number, float(number))
        book.record_served(REQUEST, number + 0.1)
        assert not book.is_held(REQUEST)


def test_an_end_from_before_a_whole_answer_counts_nothing_when_it_is_told_late():
    book = EvidenceTracker()
    end(book, 0, 0.0)
    book.record_served(REQUEST, 1.0)
    end(book, 1, 0.5, now=2.0)
    end(book, 2, 0.9, now=2.0)
    assert book.find(REQUEST).weight == 0.0


@given(st.permutations([("end", 0), ("end", 1), ("end", 2), ("end", 3), ("served", 1.5)]))
def test_all_nodes_agree_in_whatever_order_they_hear(news):
    book = EvidenceTracker()
    for kind, at in news:
        if kind == "end":
            end(book, at, float(at), now=10.0)
        else:
            book.record_served(REQUEST, at)
    # Two ends since it was served; who held it back for a moment has let it go again.
    assert book.find(REQUEST).weight == 2.0
    assert not book.is_held(REQUEST)


def test_a_request_on_probation_is_held_back_by_one_end_and_for_longer():
    book = EvidenceTracker()
    for number in range(3):
        end(book, number, float(number))
    assert book.expire(HOLD_S + 2.0) == [REQUEST]
    assert not book.is_held(REQUEST)
    again = HOLD_S + 10.0
    assert end(book, 9, again)
    assert book.expire(again + HOLD_S + 1.0) == []
    assert book.expire(again + 2 * HOLD_S) == [REQUEST]
    assert book.expire(again + 2 * HOLD_S + REMEMBERED_S + 1.0) == []
    assert len(book) == 0


def test_what_another_node_holds_back_is_taken_unless_it_was_served_since():
    book, other = EvidenceTracker(), EvidenceTracker()
    for number in range(3):
        end(book, number, float(number))
    told = book.held_requests(5.0)
    assert told == (HeldRequest(REQUEST, 3.0, HOLD_S - 3.0),)
    assert other.merge_held(told[0], 105.0)
    assert other.checksum() == book.checksum() != 0
    other.record_served(REQUEST, 104.0)
    assert other.refuted(told, 105.0) == [(REQUEST, 104.0)]
    assert not other.merge_held(told[0], 105.0)


def test_a_thousand_requests_at_once_are_held_back_and_memory_has_a_bound():
    book = EvidenceTracker()
    for number in range(ENDS_IN_ANY_CASE):
        for request in range(1000):
            end(book, 5 * request + number, float(number), request=b"%d" % request)
    for victim in range(3 * MOST_REQUESTS):
        end(book, victim, 5.0, request=b"victim-%d" % victim)
    assert len(book.held) == 1000
    assert len(book) <= MOST_REQUESTS + 1


# Guards against a popular request that is held back for ends that another one explains.
def test_ends_that_a_request_found_since_explains_do_not_count_against_one_that_was_served():
    book, popular = EvidenceTracker(), b"popular"
    book.record_delivered(popular, 0.5)
    for number in range(3):
        assert not end(book, number, 1.0 + number, weight=0.9, request=popular)
        held = end(book, number, 1.0 + number)
    assert held
    for number in range(3, 9):
        end(book, number, 1.0 + number)
        assert not end(book, number, 1.0 + number, request=popular)
    # Ends that nothing explains count as ever.
    ends = [end(book, number, 1.0 + number, request=popular) for number in range(9, 15)]
    assert True in ends


def test_a_request_that_was_held_back_first_is_let_go_once_another_explains_its_ends():
    book, popular = EvidenceTracker(), b"popular"
    book.record_delivered(popular, 0.5)
    for number in range(3):
        end(book, number, 1.0 + number, request=popular)
        end(book, number, 1.0 + number)
    assert book.is_held(popular)
    assert book.release_explained() == [popular]
    assert not book.is_held(popular) and book.is_held(REQUEST)
    # What a node tells that does not know of the explanation is not taken.
    assert not book.merge_held(HeldRequest(popular, 1.0, HOLD_S), 4.0)


def test_a_request_that_was_never_served_is_not_explained_away():
    book, other = EvidenceTracker(), b"other"
    for number in range(3):
        end(book, number, 1.0 + number)
        held = end(book, number, 1.0 + number, request=other)
    assert held
    assert book.release_explained() == []
