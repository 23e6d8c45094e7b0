"""
benches.rounds.report

The bench's report on one day, as its flag ``--report`` writes it.
"""

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Window:
    """A window of two seconds of a day.

    :param start_s: time since the start of traffic.
    :param owed: requests in the window that can earn credit.
    :param worth: the share of their credit that was earned.
    """

    start_s: float
    owed: int
    worth: float


@dataclass(frozen=True, slots=True)
class Report:
    """The results of one day.

    :param worth: the day's earned share of all credit, less the prices.
    :param parts: earned share by part of the worth, such as whole day or worst windows.
    :param prices: amount that each price takes off the worth.
    :param classes: earned share by kind of request.
    :param broken: number of violations by rule; empty if there are none.
    :param fault: reason why the day counts as worth nothing; empty if it counts.
    """

    worth: float
    parts: dict[str, float]
    prices: dict[str, float]
    classes: dict[str, float]
    windows: tuple[Window, ...]
    broken: dict[str, int]
    fault: str


def read_report(path: Path) -> Report:
    """Read a report from its JSON file."""
    return from_document(json.loads(path.read_text()))


def from_document(document: dict[str, Any]) -> Report:
    """Convert the bench's JSON document into a report."""
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
