from dataclasses import dataclass

from chalkyoke.http1.connection_limit import close_idle_connections, max_caller_connections


@dataclass(eq=False)
class Caller:
    idle_since: float
    idle: bool = True
    stopped: bool = False

    def close_gracefully(self):
        self.stopped = True


def test_longest_idle_connections_are_closed_and_no_others():
    callers = [Caller(float(number), idle=number % 2 == 0) for number in range(110)]
    assert close_idle_connections(callers, 100) == 12
    stopped = [each for each in callers if each.stopped]
    assert stopped == [callers[number] for number in range(0, 24, 2)]


def test_no_connection_closes_below_the_limit_or_while_all_are_busy():
    assert close_idle_connections([Caller(0.0) for _ in range(100)], 100) == 0
    assert close_idle_connections([Caller(0.0, idle=False) for _ in range(120)], 100) == 0


def test_limit_reserves_descriptors_for_other_uses():
    assert max_caller_connections(4100) == 2460
