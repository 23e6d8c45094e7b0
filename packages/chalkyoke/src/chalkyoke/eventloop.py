"""
chalkyoke.eventloop

The event loop of a node. Its clock includes the time during which the host was suspended.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")

# The monotonic clock stops while the host is suspended. After a suspension of 20 s, leases, quota
# windows, heartbeats and reports would look as fresh as before, and a node would still grant and
# spend on them. The boot-time clock keeps running; a system without it uses the monotonic clock.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock a node uses for all timers, leases, idle times and ages.

    For a node, a suspension is therefore the same as a freeze. A timer that is pending during the
    suspension fires after the host wakes up, with a delay of up to its own length: a quarter of a
    second for the shortest permanent timer. Its callback reads a clock that includes the
    suspension.
    """

    def time(self) -> float:
        """Return the seconds since the host booted, including its suspensions."""
        return time.clock_gettime(_CLOCK)


def run(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end in a :class:`BootTimeLoop`."""
    with asyncio.Runner(loop_factory=BootTimeLoop) as runner:
        return runner.run(main)
