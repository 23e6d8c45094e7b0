"""
chalkyoke.eventloop

The event loop of a node: its clock counts the time for which the host was suspended.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

# The system's steady clock stands still while a host is suspended, so that after a sleep of 20 s
# leases, quota windows, signs of life and news all look as fresh as before, and a node would spend
# and promise on them. This one goes on. Where a system has no such clock, it is the steady one.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop by whose clock all of a node reckons: timers, leases, idle times, ages.

    To a node, having been suspended is then the same as having been frozen. A timer that was
    waited for meanwhile fires up to its own length after the host wakes, a quarter of a second for
    the shortest that runs all the time, and by a clock that has gone on.
    """

    def time(self) -> float:
        """Give the seconds since the host was started, those of its suspensions included."""
        return time.clock_gettime(_CLOCK)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in such a loop to its end."""
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(main)
