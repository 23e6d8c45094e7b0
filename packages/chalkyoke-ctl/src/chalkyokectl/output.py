"""
chalkyokectl.output

Print responses as tables or JSON, and draw the time line of events as an HTML page.
"""

import html
import json
from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import typer
from rich.console import Console
from rich.table import Table

# Layout of the time line.
LANE_PX = 180
ROW_PX = 22
TOP_PX = 50
LEFT_PX = 110


class OutputFormat(StrEnum):
    """Formats in which the commands print responses."""

    TABLE = "table"
    JSON = "json"
    HTML = "html"


def print_rows(
    rows: list[dict[str, Any]], columns: list[str], output_format: OutputFormat, raw: Any = None
) -> None:
    """Print rows as JSON, or else as a table (also for HTML).

    :param columns: the keys of the rows that the table shows, in order.
    :param raw: the value that JSON output prints instead of the rows.
    """
    if output_format is OutputFormat.JSON:
        typer.echo(json.dumps(rows if raw is None else raw, indent=2))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*(str(row.get(column, "")) for column in columns))
    Console(soft_wrap=True).print(table)


def format_time(wall_ms: int) -> str:
    """Format a wall time as the UTC time of day, with milliseconds.

    :param wall_ms: milliseconds since the start of 1970, UTC.
    :rtype: str
    """
    return datetime.fromtimestamp(wall_ms / 1000, UTC).strftime("%H:%M:%S.%f")[:-3]


def format_facts(event: dict[str, Any]) -> str:
    """Format the details of an event as ``name=value`` on one line.

    :rtype: str
    """
    return " ".join(f"{name}={value}" for name, value in event["facts"].items())


def render_timeline(events: list[dict[str, Any]]) -> str:
    """Draw a time line with a lane for each host and a row for each event.

    Lines join the successive events of a request.

    :param events: the events in the order of their rows, causes before effects.
    :return: a complete HTML page.
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
    last_positions: dict[str, tuple[int, int]] = {}
    for index, event in enumerate(events):
        x, y = lanes[event["host"]], TOP_PX + ROW_PX * index
        request = event["request"]
        if request and request in last_positions:
            x0, y0 = last_positions[request]
            parts.append(f'<line x1="{x0}" y1="{y0}" x2="{x}" y2="{y}" class="flow"/>')
        if request:
            last_positions[request] = (x, y)
        parts.append(f'<text x="4" y="{y + 4}" class="at">{format_time(event["wall_ms"])}</text>')
        title = html.escape(f"{request} {format_facts(event)}")
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
