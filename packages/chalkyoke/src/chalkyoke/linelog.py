"""
chalkyoke.linelog

Structured log lines on a file descriptor: one JSON object a line, limited in rate, without ever
blocking on the reader.
"""

import os
from collections.abc import Callable

import logbook
import msgspec

# Largest buffer of lines for a slow reader, in bytes; further lines are dropped and counted.
MAX_BUFFERED_BYTES = 262_144
# Delay before buffered lines are written, in seconds, so that several lines share one write.
FLUSH_DELAY_S = 0.05
# Largest burst of lines, as seconds of the permitted rate.
BURST_S = 2.0
PRIORITY_LEVEL = logbook.NOTICE


class LineWriter:
    """Write lines to a file descriptor whose reader may be slow, stuck or gone.

    :param descriptor: the file descriptor; it is set to non-blocking mode.
    :param call_later: schedules a function after a delay in seconds.
    :ivar dropped: number of lines dropped since the last one was reported.
    """

    def __init__(self, descriptor: int, call_later: Callable[[float, Callable[[], None]], object]):
        self._descriptor = descriptor
        self._call_later = call_later
        self._buffer = bytearray()
        self._flush_scheduled = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Buffer a line, or drop and count it when the buffer is full."""
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffer += line
        if not self._flush_scheduled:
            self._flush_scheduled = True
            self._call_later(FLUSH_DELAY_S, self.flush)

    def flush(self) -> None:
        """Write as much as the descriptor accepts; discard the buffer when the reader is gone."""
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
    """A token bucket that limits the rate of lines.

    :param per_s: permitted lines per second.
    :param now: current time, in seconds.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self._per_s = per_s
        self._available_lines = per_s * BURST_S
        self._updated_at = now

    def try_take(self, now: float) -> bool:
        """Consume the token of one line; return False when none is left.

        :param now: current time, in seconds.
        :rtype: bool
        """
        refill = (now - self._updated_at) * self._per_s
        self._available_lines = min(self._per_s * BURST_S, self._available_lines + refill)
        self._updated_at = now
        if self._available_lines < 1:
            return False
        self._available_lines -= 1
        return True


class LineHandler(logbook.Handler):  # type: ignore[misc]
    """Write log records to a :class:`LineWriter`, limited in rate by level.

    Records of level ``NOTICE`` and above have a rate limit of their own, so that failures are still
    logged when successes are suppressed.

    :param lines_per_s: rate of each of the two limits, in lines per second.
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
        """Write a record, or count it as suppressed when its rate limit is exceeded."""
        bucket = self._priority_bucket if record.level >= PRIORITY_LEVEL else self._routine_bucket
        if not bucket.try_take(self._now()):
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
            # A field of the record doesn't overwrite a field that every line has.
            line[f"{name}_" if name in line else name] = value
        if self.suppressed:
            line["suppressed"] = self.suppressed
            self.suppressed = 0
        if self._writer.dropped:
            line["dropped"] = self._writer.dropped
            self._writer.dropped = 0
        self._writer.write(msgspec.json.encode(line, enc_hook=str) + b"\n")
