"""
chalkyoke.standarderror

Writes to standard error that never wait for a reader and never fail: a node must start, serve and
stop also where its output is full, closed or not read.
"""

import io
import os
import select
import sys


class StandardError:
    """A stream that drops what standard error doesn't accept at once."""

    def write(self, text: str) -> None:
        """Write text, or drop the rest of it."""
        if sys.stderr is None:
            # It was closed at the start; another file may have its descriptor.
            return
        try:
            descriptor = sys.stderr.fileno()
        except io.UnsupportedOperation:
            # The stream is in memory.
            sys.stderr.write(text)
            return
        left = text.encode(errors="backslashreplace")
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        try:
            # A pipe that is ready accepts PIPE_BUF bytes without blocking.
            while left and poll.poll(0):
                left = left[os.write(descriptor, left[: select.PIPE_BUF]) :]
        except OSError:
            return

    def flush(self) -> None:
        """Do nothing; text is not buffered."""


def write_line(text: object) -> None:
    """Write a line to standard error."""
    StandardError().write(f"{text}\n")
