"""
chalkyokectl.story

Tell what happened to one request, from the collected log lines of several nodes.
"""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

AROUND_S = 1.5
BEFORE_JSON = re.compile(r"^\s*(-?\d+\.\d+)?\s*[^{]*(\{.*\})\s*$")
BELIEFS = frozenset(
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
        "reloaded",
        "reload_failed",
        "fault",
        "fatal",
    )
)
FRAME = frozenset(("at", "up_s", "host", "level", "slice", "event", "request", "seen_at"))
ENDS = frozenset(("held_back", "refused", "given_up", "expired", "over_quota", "left", "rejected"))


@dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    :param at: for the order over all nodes: the collector's time stamp where there is one, else the
        node's own wall time, as text that sorts.
    """

    at: float
    fields: dict[str, Any]

    @property
    def event(self) -> str:
        """What happened."""
        return str(self.fields.get("event", ""))

    @property
    def host(self) -> str:
        """Where."""
        return str(self.fields.get("host", ""))

    def facts(self) -> str:
        """Give what is beside the frame, as text."""
        kept = {name: value for name, value in self.fields.items() if name not in FRAME}
        return " ".join(
            f"{name}={value}" for name, value in kept.items() if value not in ("", None)
        )


@dataclass(frozen=True, slots=True)
class Story:
    """What the logs say of one request.

    :param lines: its own lines, oldest first.
    :param around: what nodes believed or did meanwhile.
    :param missing: what the logs do not say.
    """

    request: str
    lines: tuple[Line, ...]
    around: tuple[Line, ...]
    missing: tuple[str, ...]


def read(texts: Iterable[str]) -> Iterator[Line]:
    """Read log lines; what stands before the JSON object may be a collector's time stamp.

    Lines that are no JSON objects are passed over.
    """
    for text in texts:
        found = BEFORE_JSON.match(text)
        if found is None:
            continue
        try:
            fields = json.loads(found.group(2))
        except ValueError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield Line(_moment(found.group(1), fields), fields)


def tell(request: str, lines: Iterable[Line]) -> Story:
    """Join what several nodes wrote about one request.

    :param request: its id.
    """
    everything = sorted(lines, key=lambda line: line.at)
    own = [line for line in everything if line.fields.get("request") == request]
    if not own:
        return Story(request, (), (), ("no line names this request",))
    replicas = {line.fields.get("replica") for line in own} - {None, ""}
    start = own[0].at - float(own[0].fields.get("age_s", 0)) - AROUND_S
    end = own[-1].at + AROUND_S
    around = [
        line
        for line in everything
        if start <= line.at <= end and (line.event in BELIEFS or _touches(line, replicas, request))
    ]
    return Story(request, tuple(own), tuple(around), tuple(_missing(own, everything)))


def show(story: Story) -> Iterator[str]:
    """Word a story, line by line."""
    if story.lines:
        yield f"request {story.request}, at {story.lines[0].host}:"
    for line in story.lines:
        yield f"  {line.at:.3f} {line.event}: {line.facts()}"
    if story.around:
        yield "meanwhile:"
    for line in story.around:
        yield f"  {line.at:.3f} {line.host} {line.event}: {line.facts()}"
    for each in story.missing:
        yield f"missing: {each}"


def _moment(stamp: str | None, fields: dict[str, Any]) -> float:
    if stamp is not None:
        return float(stamp)
    from datetime import datetime

    try:
        return datetime.fromisoformat(str(fields["at"]).removesuffix("Z")).timestamp()
    except (KeyError, ValueError):
        return float(fields.get("up_s", 0.0))


def _touches(line: Line, replicas: set[Any], request: str) -> bool:
    """Tell whether another request met trouble at the same replica."""
    if line.fields.get("request") in (request, None) or line.fields.get("replica") not in replicas:
        return False
    return line.fields.get("end") not in (None, "delivered")


def _missing(own: list[Line], everything: list[Line]) -> Iterator[str]:
    events = {line.event for line in own}
    last = own[-1]
    ended = last.event in ENDS or (
        last.event == "ended" and last.fields.get("follows") != "send_again"
    )
    if not ended:
        host = last.host
        stopped = any(
            line.host == host and line.at > last.at and line.event == "started"
            for line in everything
        )
        why = "its node started again after this" if stopped else "its node's log may be cut"
        yield f"how it ended: {why}"
    if "ended" in events and "sent" not in events:
        yield "its sends (suppressed lines, or an older log)"
    suppressed = sum(
        int(line.fields.get("suppressed", 0)) + int(line.fields.get("dropped", 0))
        for line in everything
        if line.host == last.host
    )
    if suppressed:
        yield f"{suppressed} lines of {last.host} were suppressed"
