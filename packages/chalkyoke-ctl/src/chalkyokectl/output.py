"""
chalkyokectl.output

Show answers as tables, JSON or a picture of the time line.
"""

import html
import json
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

LANE_PX = 180
ROW_PX = 22
TOP_PX = 50
LEFT_PX = 110


class Form(StrEnum):
    """How answers are shown."""

    TABLE = "table"
    JSON = "json"
    HTML = "html"


def show(rows: list[dict[str, Any]], columns: list[str], form: Form, raw: Any = None) -> None:
    """Show rows.

    :param raw: what JSON shows instead of the rows.
    """
    if form is Form.JSON:
        typer.echo(json.dumps(rows if raw is None else raw, indent=2))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    Console(soft_wrap=True).print(table)


def at(wall_ms: int) -> str:
    """Write a wall time.

    :param wall_ms: milliseconds since 1970.
    :rtype: str
    """
    return datetime.fromtimestamp(wall_ms / 1000, UTC).strftime("%H:%M:%S.%f")[:-3]


def facts(event: dict[str, Any]) -> str:
    """Write an event's details on one line.

    :rtype: str
    """
    return " ".join(f"{name}={value}" for name, value in event["facts"].items())


def picture(events: list[dict[str, Any]]) -> str:
    """Draw a time line: a lane for each host, a row for each event, causes above effects.

    :return: a whole HTML page.
    """
    hosts = sorted({event["host"] for event in events})
    lanes = {host: LEFT_PX + LANE_PX // 2 + index * LANE_PX for index, host in enumerate(hosts)}
    height = TOP_PX + ROW_PX * (len(events) + 1)
    parts: list[str] = []
    for host, x in lanes.items():
        parts.append(
            f'<text x="{x}" y="20" text-anchor="middle" class="host">{html.escape(host)}</text>'
        )
        parts.append(f'<line x1="{x}" y1="30" x2="{x}" y2="{height}" class="lane"/>')
    before: dict[str, tuple[int, int]] = {}
    for index, event in enumerate(events):
        x, y = lanes[event["host"]], TOP_PX + ROW_PX * index
        request = event["request"]
        if request and request in before:
            x0, y0 = before[request]
            parts.append(f'<line x1="{x0}" y1="{y0}" x2="{x}" y2="{y}" class="flow"/>')
        if request:
            before[request] = (x, y)
        parts.append(f'<text x="4" y="{y + 4}" class="at">{at(event["wall_ms"])}</text>')
        title = html.escape(f"{request} {facts(event)}")
        label = html.escape(event["kind"])
        parts.append(
            f'<g><title>{title}</title><circle cx="{x}" cy="{y}" r="4"/>'
            f'<text x="{x + 8}" y="{y + 4}">{label}</text></g>'
        )
    width = LEFT_PX + LANE_PX * max(1, len(hosts))
    style = (
        "text{font:12px sans-serif}.host{font-weight:bold}.at{fill:#666}"
        ".lane{stroke:#ccc}.flow{stroke:#48c}circle{fill:#048}"
    )
    return (
        f'<!doctype html><meta charset="utf-8"><title>chalkyoke time line</title><style>{style}'
        f'</style><svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">'
        + "".join(parts)
        + "</svg>\n"
    )
