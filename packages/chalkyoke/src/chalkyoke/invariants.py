"""
chalkyoke.invariants

Invariant checks that are also active in production. A violation raises
:class:`~chalkyoke.exceptions.InvariantBroken`, which stops the process.
"""

from chalkyoke.exceptions import InvariantBroken


def require(holds: bool, invariant: str, **facts: object) -> None:
    """Stop the process when an invariant is violated.

    :param holds: whether the invariant holds.
    :param invariant: description of the invariant, for the report.
    :param facts: observed values, for the report.
    :raises InvariantBroken: when ``holds`` is false.

    Usage::

      >>> require(1 < 2, "order of numbers")
    """
    if holds:
        return

    seen = ", ".join(f"{name}={value!r}" for name, value in facts.items())
    raise InvariantBroken(f"broken invariant: {invariant} ({seen})")
