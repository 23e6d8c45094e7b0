"""
chalkyokectl.story

Reconstruct the timeline of one request from the collected log lines of several nodes.
"""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from chalkyoke.decoding.bounds import MAX_AMOUNT
from chalkyoke.decoding.decoder import decode_json
from result import Err

# Time before the first and after the last line of a request in which other lines are its context.
CONTEXT_MARGIN_S = 1.5
# Matches the collector's optional time stamp, in seconds, and the JSON object of the line.
LOG_LINE_PATTERN = re.compile(r"^\s*(-?\d+\.\d+)?\s*[^{]*(\{.*\})\s*$")
# Events about a node itself and about what it knows of other nodes, replicas, upstreams and the
# store.
NODE_STATE_EVENTS = frozenset(
    (
        "member_joined",
        "member_left",
        "replicas",
        "replica_leaves",
        "replica_rests",
        "replica_limit",
        "limit_kept",
        "keeper_silent",
        "upstream_closed",
        "upstream_opened",
        "kind_unknown",
        "version",
        "store_lost",
        "store_back",
        "history_lost",
        "started",
        "stopping",
        "stopped",
        "ended_unfinished",
        "reloaded",
        "reload_failed",
        "fault",
        "loop_failed",
        "fatal",
    )
)
# Fields that the timeline prints elsewhere or leaves out; all others are details of the event.
COMMON_FIELDS = frozenset(("at", "up_s", "host", "level", "slice", "event", "request", "seen_at"))
# Events that finish a request. ``ended`` also does, unless its ``follows`` names a further step.
FINAL_EVENTS = frozenset(
    ("held_back", "refused", "given_up", "cut_off", "expired", "over_quota", "left", "rejected")
)
FURTHER_STEPS = frozenset(("send_again", "wait"))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line.

    :param at: the time in seconds that orders the lines of all nodes: the collector's time stamp if
        the line has one, else the node's wall time, else the node's uptime.
    """

    at: float
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """Name of the log event; empty if the line has none."""
        return str(self.fields.get("event", ""))

    @property
    def host(self) -> str:
        """Host of the node that wrote the line; empty if the line has none."""
        return str(self.fields.get("host", ""))

    def format_details(self) -> str:
        """Format the fields outside COMMON_FIELDS as ``name=value``, without empty values."""
        kept = {name: value for name, value in self.fields.items() if name not in COMMON_FIELDS}
        return " ".join(
            f"{name}={value}" for name, value in kept.items() if value not in ("", None)
        )


@dataclass(frozen=True, slots=True)
class Timeline:
    """Timeline of one request.

    :param lines: lines that name the request, oldest first.
    :param context: lines of node events and of failed requests at the same replicas in that time.
    :param missing: descriptions of what the logs lack.
    """

    request: str
    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    missing: tuple[str, ...]


def parse_log_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse log lines of a JSON object each, with or without a collector's time stamp before it.

    Lines without a JSON object, or whose object has no ``event``, are skipped.
    """
    for text in texts:
        found = LOG_LINE_PATTERN.match(text)
        if found is None:
            continue
        read = decode_json(found.group(2).encode(errors="replace"), dict[str, Any])
        fields = {} if isinstance(read, Err) else read.ok_value
        if "event" in fields:
            yield LogLine(_timestamp_s(found.group(1), fields), fields)


def build_timeline(request: str, lines: Iterable[LogLine]) -> Timeline:
    """Join the log lines of several nodes about one request.

    :param request: id of the request.
    """
    all_lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in all_lines if line.fields.get("request") == request]
    if not own:
        return Timeline(request, (), (), ("no line names this request",))
    replicas = {line.fields.get("replica") for line in own} - {None, ""}
    start = own[0].at - number_of(own[0].fields, "age_s") - CONTEXT_MARGIN_S
    end = own[-1].at + CONTEXT_MARGIN_S
    context = [
        line
        for line in all_lines
        if start <= line.at <= end
        and (line.event in NODE_STATE_EVENTS or _reports_other_failure(line, replicas, request))
    ]
    return Timeline(request, tuple(own), tuple(context), tuple(_describe_gaps(own, all_lines)))


def format_timeline(timeline: Timeline) -> Iterator[str]:
    """Format a timeline as lines of text."""
    if timeline.lines:
        yield f"request {timeline.request}, at {timeline.lines[0].host}:"
    for line in timeline.lines:
        yield f"  {line.at:.3f} {line.event}: {line.format_details()}"
    if timeline.context:
        yield "meanwhile:"
    for line in timeline.context:
        yield f"  {line.at:.3f} {line.host} {line.event}: {line.format_details()}"
    for gap in timeline.missing:
        yield f"missing: {gap}"


def _timestamp_s(stamp: str | None, fields: dict[str, Any]) -> float:
    if stamp is not None:
        return float(stamp)
    from datetime import datetime

    try:
        return datetime.fromisoformat(str(fields["at"]).removesuffix("Z")).timestamp()
    except (KeyError, ValueError, OverflowError):
        return number_of(fields, "up_s")


def number_of(fields: dict[str, Any], name: str) -> float:
    """Return the number in a field of a log line; 0 if there is none."""
    value = fields.get(name)
    return float(value) if isinstance(value, int | float) and abs(value) <= MAX_AMOUNT else 0.0


def _reports_other_failure(line: LogLine, replicas: set[Any], request: str) -> bool:
    """Return whether the line reports a failed attempt of another request at these replicas."""
    if line.fields.get("request") in (request, None) or line.fields.get("replica") not in replicas:
        return False
    return line.fields.get("end") not in (None, "delivered")


def _describe_gaps(own: list[LogLine], all_lines: list[LogLine]) -> Iterator[str]:
    events = {line.event for line in own}
    last = own[-1]
    ended = last.event in FINAL_EVENTS or (
        last.event == "ended" and last.fields.get("follows") not in FURTHER_STEPS
    )
    if not ended:
        host = last.host
        stopped = any(
            line.host == host and line.at > last.at and line.event == "started"
            for line in all_lines
        )
        why = "its node started again after this" if stopped else "its node's log may be cut"
        yield f"how it ended: {why}"
    if "ended" in events and "sent" not in events:
        yield "its attempts (suppressed lines, or the log of an older version)"
    suppressed = sum(
        int(number_of(line.fields, "suppressed") + number_of(line.fields, "dropped"))
        for line in all_lines
        if line.host == last.host
    )
    if suppressed:
        yield f"{suppressed} lines of {last.host} were suppressed"
