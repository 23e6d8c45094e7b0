"""
chalkyoke.gateway.verdict

What follows when a send has ended: the caller's answer, or one more send. Pure functions; what may
run once is decided here and nowhere else.
"""

from enum import StrEnum

import msgspec

from chalkyoke.catalog.resources import Route

# Statuses of HTTP (RFC 9110).
SERVER_ERROR_MIN = 500
# (RFC 9110): another replica serves at the address.
MISDIRECTED = 421
# With a time: the replica wants nothing of its sender for so long.
UNAVAILABLE = 503


class SendEnd(StrEnum):
    """How one send to a replica ended."""

    DELIVERED = "delivered"
    FAILURE_ANSWER = "failure_answer"
    DECLINED = "declined"
    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    UNUSABLE = "unusable"
    STALLED = "stalled"


class Next(StrEnum):
    """What follows."""

    DONE = "done"
    PASS_ON = "pass_on"
    SEND_AGAIN = "send_again"
    REFUSE = "refuse"
    FAIL = "fail"
    BREAK_OFF = "break_off"


class Sends(msgspec.Struct):
    """What has been sent of one request so far.

    :ivar runs: replicas that may have run it.
    :ivar arrivals: sends that reached a replica, declined ones included.
    """

    runs: int = 0
    arrivals: int = 0


def after(
    end: SendEnd, route: Route, sends: Sends, *, begun: bool, budget: bool, time_left: bool
) -> Next:
    """Decide what follows the end of a send.

    :param begun: whether a part of the answer has gone to the caller.
    :param budget: whether the retry budget has room for one more arrival.
    :param time_left: whether one more send could still help.
    :rtype: Next
    """
    if end is SendEnd.DELIVERED:
        return Next.DONE
    if end is SendEnd.NOT_CONNECTED:
        return Next.SEND_AGAIN if time_left else _give_up(sends, begun)
    if end is SendEnd.DECLINED:
        return Next.SEND_AGAIN if time_left and budget else _give_up(sends, begun)
    may_repeat = route.repeatable and sends.runs < route.attempts
    if may_repeat and budget and time_left:
        return Next.SEND_AGAIN
    if end is SendEnd.FAILURE_ANSWER:
        return Next.PASS_ON
    return Next.BREAK_OFF if begun else Next.FAIL


def _give_up(sends: Sends, begun: bool) -> Next:
    """End a request whose last send did not run: a promise only where none ran before."""
    if begun:
        return Next.BREAK_OFF
    return Next.REFUSE if sends.runs == 0 else Next.FAIL
