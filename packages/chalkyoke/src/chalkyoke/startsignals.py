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


# Handled signals that the parent process left blocked; a process inherits the mask of its parent.
INHERITED_BLOCKED = tuple(
    each.name for each in HANDLED_SIGNALS if each in signal.pthread_sigmask(signal.SIG_BLOCK, ())
)

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
    # A stop that was requested while they were blocked ends the process here.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)


def unblock() -> None:
    """Unblock the handled signals; call it once they have handlers."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)


def block() -> None:
    """Hold the handled signals back until the process ends: its loop removes their handlers."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def ignore_unused() -> None:
    """Ignore the signals that mean nothing to a node."""
    for each in IGNORED_SIGNALS:
        signal.signal(each, signal.SIG_IGN)


def _end(_: int, __: FrameType | None) -> None:
    # SystemExit might be caught in whatever runs now. Nothing has been accepted or written yet.
    os._exit(0)
