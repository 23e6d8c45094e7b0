"""
chalkyoke.invariants

Checks that stay on in production. A broken one raises
:class:`~chalkyoke.exceptions.InvariantBroken`, which stops the process.
"""

from chalkyoke.exceptions import InvariantBroken


def require(holds: bool, promise: str, **facts: object) -> None:
    """Stop the process when a promise does not hold.

    :param holds: whether the promise holds.
    :param promise: the promise in words, for the report.
    :param facts: what was seen, for the report.
    :raises InvariantBroken: when ``holds`` is false.

    Usage::

      >>> require(1 < 2, "order of numbers")
    """
    if holds:
        return

    seen = ", ".join(f"{name}={value!r}" for name, value in facts.items())
    raise InvariantBroken(f"broken invariant: {promise} ({seen})")
