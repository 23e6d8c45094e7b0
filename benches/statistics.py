"""
benches.statistics

Helpers for measurements: quantiles, fitted lines, and the memory and processor time of a process.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path


def quantile(values: list[float], share: float) -> float:
    """Return the quantile of values for a share, for example 0.99."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass(frozen=True)
class Line:
    """A straight line fitted to points: ``value = base + slope * size``.

    :param residual: the largest distance of a point from the line, as a share of the largest value.
    """

    base: float
    slope: float
    residual: float

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * size


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fit a line to points (size, value) by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in points) or 1.0
    residual = max(abs(base + slope * x - y) for x, y in points) / largest
    return Line(base, slope, residual)


def memory_mb(pid: int) -> float:
    """Read the resident memory of a process, in megabytes."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    return int(found.group(1)) / 1000 if found else 0.0


def processor_s(pid: int) -> float:
    """Read the processor time of a process, in seconds; assumes 100 clock ticks a second."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8").rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100
