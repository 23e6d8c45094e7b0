"""
chalkyoke.startsignals

What signals do before a node handles them. This module imports as little as possible: until it is
imported, a signal ends the process by its default action.
"""

import os
import signal
import sys
from types import FrameType

# Signals that request a planned stop.
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)
# Signals that a node handles while it runs.
HANDLED_SIGNALS = (signal.SIGHUP, *STOP_SIGNALS)
# Signals that mean nothing to a node, and would end it. Log rotation tools send them by default.
IGNORED_SIGNALS = (signal.SIGUSR1, signal.SIGUSR2)


# Commands of ``chalkyoke`` that run a node.
NODE_COMMANDS = ("serve", "gateway")


def prepare_command() -> None:
    """Call :func:`prepare` if this process is about to run a node."""
    if sys.argv[1:2] and sys.argv[1] in NODE_COMMANDS:
        prepare()


def prepare() -> None:
    """End the process with 0 on a stop, and hold a reload back, until a node handles them."""
    # A node unblocks it once it has a handler.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    ignore_unused()
    for each in STOP_SIGNALS:
        signal.signal(each, _end)


def ignore_unused() -> None:
    """Ignore the signals that mean nothing to a node."""
    for each in IGNORED_SIGNALS:
        signal.signal(each, signal.SIG_IGN)


def _end(_: int, __: FrameType | None) -> None:
    # SystemExit might be caught in whatever runs now. Nothing has been accepted or written yet.
    os._exit(0)
