"""
chalkyoke.exceptions

All exceptions of chalkyoke, under one base class. Outcomes of requests are values
(:mod:`chalkyoke.outcomes`); an exception ends a call or, for a broken invariant, the process.
"""


class ChalkyokeError(Exception):
    """Base class of all exceptions that chalkyoke raises."""


class InvariantBroken(ChalkyokeError):
    """An invariant is violated; the process must stop and print the message."""


class SettingsError(ChalkyokeError):
    """The settings file is invalid.

    :ivar problems: one line for each mistake.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class ListenError(ChalkyokeError):
    """The node can't listen on one of its addresses.

    :ivar address: ``ip:port``.
    """

    def __init__(self, address: str, error: OSError) -> None:
        super().__init__(f"can't listen on {address}: {error.strerror or error}")
        self.address = address


class LinkError(ChalkyokeError):
    """A link between two nodes failed or refused its peer."""


class StoreError(ChalkyokeError):
    """The platform's key-value service returned no usable answer."""


class StoreUnavailable(StoreError):
    """The call has not taken effect: the service was unreachable or refused the call."""


class StoreAnswerLost(StoreError):
    """The answer was lost, so the call may or may not have taken effect."""


class ProtocolError(ChalkyokeError):
    """A peer or an upstream sent bytes that violate its protocol."""


class UnknownKind(ProtocolError):
    """A complete frame has a kind that this version doesn't know; the link stays open."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"unreadable frame: of unknown kind {kind!r}")
        self.kind = kind
