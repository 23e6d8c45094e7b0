from dataclasses import dataclass

from chalkyoke.http1.connection_limit import (
    NEW_CONNECTION_S,
    ConnectionUse,
    make_room,
    max_caller_connections,
    use_before_request,
)


@dataclass(eq=False)
class Caller:
    used_since: float
    use: ConnectionUse = ConnectionUse.IDLE
    is_closed: bool = False
    stopped: bool = False

    def make_room(self):
        self.stopped = True


def test_longest_idle_connections_are_closed_and_no_others():
    uses = (ConnectionUse.IDLE, ConnectionUse.ANSWERING)
    callers = [Caller(float(number), uses[number % 2]) for number in range(110)]
    assert make_room(callers, 100) == 12
    stopped = [each for each in callers if each.stopped]
    assert stopped == [callers[number] for number in range(0, 24, 2)]


def test_no_connection_closes_below_the_limit_or_while_all_are_busy():
    assert make_room([Caller(0.0) for _ in range(100)], 100) == 0
    busy = [Caller(0.0, ConnectionUse.ANSWERING) for _ in range(120)]
    assert make_room(busy, 100) == 0


# Guards against bodies without an end, whose connections kept others out until they were late.
def test_requests_that_are_being_read_make_room_before_new_connections():
    callers = [
        Caller(9.0, ConnectionUse.NEW),
        Caller(8.0, ConnectionUse.ANSWERING),
        Caller(7.0, ConnectionUse.READING),
        Caller(6.0, ConnectionUse.READING),
        Caller(5.0, ConnectionUse.CLOSING),
        Caller(4.0, ConnectionUse.IDLE),
    ]
    assert make_room(callers, 3) == 3
    assert [each.stopped for each in callers] == [False, False, False, True, True, True]


def test_connections_that_were_closed_already_do_not_count():
    callers = [Caller(0.0, is_closed=number < 10) for number in range(20)]
    assert make_room(callers, 10) == 0
    assert make_room(callers, 9) == 1
    assert not any(each.stopped for each in callers[:10])


def test_a_connection_is_new_until_it_has_served_or_has_been_silent():
    assert use_before_request(5.0, 5.0, has_served=False) is ConnectionUse.NEW
    assert use_before_request(5.0, 5.0, has_served=True) is ConnectionUse.IDLE
    silent = use_before_request(5.0 + NEW_CONNECTION_S, 5.0, has_served=False)
    assert silent is ConnectionUse.IDLE


def test_limit_reserves_a_descriptor_for_each_request_that_is_passed_on_and_some_for_other_uses():
    assert max_caller_connections(4100) == 1640
