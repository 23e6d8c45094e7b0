"""
benches.rounds.report

What the bench wrote of one played day (``--report``).
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Window:
    """Two seconds of a day.

    :param start_s: since the start of traffic.
    :param owed: requests in it that earn something.
    :param worth: the share of their credit that was earned.
    """

    start_s: float
    owed: int
    worth: float


@dataclass(frozen=True, slots=True)
class Report:
    """One played day.

    :param worth: what the day is worth, prices taken off.
    :param parts: earned share by part of the worth (whole day, worst windows, ...).
    :param prices: what each price takes off.
    :param classes: earned share by kind of request.
    :param broken: rules that were broken, with how often; empty on a good day.
    :param fault: why the day counts nothing; empty on a good day.
    """

    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    classes: dict[str, float]
    windows: tuple[Window, ...]
    broken: dict[str, int]
    fault: str


def read_report(path: Path) -> Report:
    """Read a report."""
    return from_document(json.loads(path.read_text()))


def from_document(document: dict[str, Any]) -> Report:
    """Read a report from the bench's own document."""
    return Report(
        worth=document["G"],
        parts={name: share for name, _, share in document["parts"]},
        prices={name: price for name, _, price in document["prices"]},
        classes={each["name"]: each["worth"] for each in document["classes"]},
        windows=tuple(
            Window(float(each["name"]), each["n"] - each["not_owed"], each["worth"])
            for each in document["windows"]
        ),
        broken=dict(document["breaks"]),
        fault=document["fault"] or "",
    )
