import json
import os

import logbook
from chalkyoke.linelog import MAX_BUFFERED_BYTES, LineHandler, LineWriter


class Later:
    def __init__(self):
        self.planned = []

    def __call__(self, _, function):
        self.planned.append(function)

    def run(self):
        planned, self.planned = self.planned, []
        for function in planned:
            function()


def pipe():
    reader, writer = os.pipe()
    later = Later()
    return reader, writer, later, LineWriter(writer, later)


def test_a_reader_that_stops_blocks_nothing_and_what_is_lost_is_counted():
    reader, writer, later, lines = pipe()
    line = b"x" * 1000 + b"\n"
    for _ in range(2000):
        lines.write(line)
        later.run()
    assert lines.dropped > 0
    assert len(lines._buffer) <= MAX_BUFFERED_BYTES
    taken = os.read(reader, 1 << 20)
    later.run()
    taken += os.read(reader, 1 << 20)
    assert set(taken.split(b"\n")[:-1]) == {line[:-1]}
    os.close(reader)
    os.close(writer)


def test_a_reader_that_is_gone_ends_nothing():
    reader, writer, later, lines = pipe()
    os.close(reader)
    lines.write(b"x\n")
    later.run()
    lines.write(b"y\n")
    later.run()
    os.close(writer)


def test_failures_are_kept_when_successes_are_suppressed():
    reader, writer, later, lines = pipe()
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
    later.run()
    records = [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]
    assert sum(each["event"] == "ended" for each in records) == 21
    assert sum(each["event"] == "refused" for each in records) == 5
    assert sum(each.get("suppressed", 0) for each in records) == 80
    assert {"at", "up_s", "host", "level", "slice", "event", "request"} <= set(records[0])
    os.close(reader)
    os.close(writer)


def test_a_field_never_hides_one_that_every_line_has():
    reader, writer, later, lines = pipe()
    handler = LineHandler(lines, "INFO", 10.0, "n1", lambda: 1.0)
    with handler:
        logbook.Logger("chalkyoke.catalog").info("replicas", at=7, count=3)
    later.run()
    line = json.loads(os.read(reader, 1 << 16))
    assert (line["at_"], line["count"], line["host"]) == (7, 3, "n1")
    assert line["at"].endswith("Z")
    os.close(reader)
    os.close(writer)
