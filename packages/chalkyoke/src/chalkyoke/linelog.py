"""
chalkyoke.linelog

Structured lines on standard output: one JSON object each, bounded in number and never waiting for
whoever reads them.
"""

import os
from collections.abc import Callable

import logbook
import msgspec

# Lines that wait for a slow reader, in bytes; what is beyond that is dropped and counted.
MAX_BUFFERED_BYTES = 262_144
# How long a line waits for others to be written with it, in seconds.
FLUSH_DELAY_S = 0.05
# For how many seconds a quota of lines may be saved up.
BURST_S = 2.0
PRIORITY_LEVEL = logbook.NOTICE


class LineWriter:
    """Write lines to a descriptor that may be slow, stuck or closed.

    :param descriptor: it is set not to block.
    :param call_later: runs a function after some seconds.
    """

    def __init__(self, descriptor: int, call_later: Callable[[float, Callable[[], None]], object]):
        self._descriptor = descriptor
        self._call_later = call_later
        self._buffer = bytearray()
        self._flush_scheduled = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Take a line; it is dropped and counted where too much is held."""
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write what can be written now."""
        self._flush_scheduled = False
        try:
            written = os.write(self._descriptor, self._buffer)
            del self._buffer[:written]
        except BlockingIOError:
            pass
        except OSError:
            self._buffer.clear()
            return
        if self._buffer and not self._flush_scheduled:
            self._flush_scheduled = True
            self._call_later(FLUSH_DELAY_S, self.flush)


class LineTokenBucket:
    """A token bucket of lines.

    :param per_s: lines each second.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._available_lines = per_s * BURST_S
        self._updated_at = now

    def try_take(self, now: float) -> bool:
        """Take one line.

        :rtype: bool
        """
        earned = (now - self._updated_at) * self._per_s
        self._available_lines = min(self._per_s * BURST_S, self._available_lines + earned)
        self._updated_at = now
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Send log records to a :class:`LineWriter`, within an allowance by level.

    Records of level ``NOTICE`` and above have an allowance of their own, so that failures are kept
    when successes are suppressed.

    :param lines_per_s: for each of the two allowances.
    :param now: the node's clock, in seconds.
    """

    def __init__(
        self,
        writer: LineWriter,
        level: str,
        lines_per_s: float,
        host: str,
        now: Callable[[], float],
    ) -> None:
        super().__init__(level=level)
        self._writer = writer
        self._host = host
        self._now = now
        self._routine_bucket = LineTokenBucket(lines_per_s, now())
        self._priority_bucket = LineTokenBucket(lines_per_s, now())
        self.suppressed = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a record, or count it as suppressed."""
        allowance = (
            self._priority_bucket if record.level >= PRIORITY_LEVEL else self._routine_bucket
        )
        if not allowance.try_take(self._now()):
            self.suppressed += 1
            return
        line = {
            "at": record.time.isoformat() + "Z",
            "up_s": round(self._now(), 4),
            "host": self._host,
            "level": record.level_name,
            "slice": record.channel,
            "event": record.message,
        }
        for name, value in record.kwargs.items():
            # A record's field never hides one that every line has.
            line[f"{name}_" if name in line else name] = value
        if self.suppressed:
            line["suppressed"] = self.suppressed
            self.suppressed = 0
        if self._writer.dropped:
            line["dropped"] = self._writer.dropped
            self._writer.dropped = 0
        self._writer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")
