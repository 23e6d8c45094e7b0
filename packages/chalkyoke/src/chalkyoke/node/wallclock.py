"""
chalkyoke.node.wallclock

The wall time of this host.
"""

import time


def wall_clock_ms() -> int:
    """Return the milliseconds since the epoch."""
    return time.time_ns() // 1_000_000
