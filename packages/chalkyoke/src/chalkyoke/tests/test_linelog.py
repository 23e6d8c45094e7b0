import json
import os

import logbook
from chalkyoke.linelog import MAX_BUFFERED_BYTES, LineHandler, LineWriter


class DeferredCalls:
    def __init__(self):
        self.calls = []

    def __call__(self, _, function):
        self.calls.append(function)

    def run(self):
        calls, self.calls = self.calls, []
        for function in calls:
            function()


def pipe():
    reader, writer = os.pipe()
    deferred = DeferredCalls()
    return reader, writer, deferred, LineWriter(writer, deferred)


def test_stuck_reader_does_not_block_and_dropped_lines_are_counted():
    reader, writer, deferred, lines = pipe()
    line = b"x" * 1000 + b"\n"
    for _ in range(2000):
        lines.write(line)
        deferred.run()
    assert lines.dropped > 0
    assert len(lines._buffer) <= MAX_BUFFERED_BYTES
    received = os.read(reader, 1 << 20)
    deferred.run()
    received += os.read(reader, 1 << 20)
    assert set(received.split(b"\n")[:-1]) == {line[:-1]}
    os.close(reader)
    os.close(writer)


def test_closed_reader_raises_no_error():
    reader, writer, deferred, lines = pipe()
    os.close(reader)
    lines.write(b"x\n")
    deferred.run()
    lines.write(b"y\n")
    deferred.run()
    os.close(writer)


def test_failures_are_logged_while_successes_are_suppressed():
    reader, writer, deferred, lines = pipe()
    now = [0.0]
    handler = LineHandler(lines, "INFO", 10.0, "h1", lambda: now[0])
    log = logbook.Logger("chalkyoke.request")
    with handler.applicationbound():
        for number in range(100):
            log.info("ended", request=str(number))
        for number in range(5):
            log.notice("refused", request=f"f{number}")
        now[0] = 1.0
        log.info("ended", request="last")
    deferred.run()
    records = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert sum(each["event"] == "ended" for each in records) == 21
    assert sum(each["event"] == "refused" for each in records) == 5
    assert sum(each.get("suppressed", 0) for each in records) == 80
    assert {"at", "up_s", "host", "level", "slice", "event", "request"} <= set(records[0])
    os.close(reader)
    os.close(writer)


def test_record_field_does_not_overwrite_a_common_field():
    reader, writer, deferred, lines = pipe()
    handler = LineHandler(lines, "INFO", 10.0, "n1", lambda: 1.0)
    with handler:
        logbook.Logger("chalkyoke.catalog").info("replicas", at=7, count=3)
    deferred.run()
    line = json.loads(os.read(reader, 1 << 16))
    assert (line["at_"], line["count"], line["host"]) == (7, 3, "n1")
    assert line["at"].endswith("Z")
    os.close(reader)
    os.close(writer)
