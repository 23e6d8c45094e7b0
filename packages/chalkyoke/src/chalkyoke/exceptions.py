"""
chalkyoke.exceptions

Every exception of chalkyoke, under one base. Outcomes of requests are values
(:mod:`chalkyoke.outcomes`); what stands here ends a call or, for a broken invariant, the process.
"""


class ChalkyokeError(Exception):
    """The base of every exception that chalkyoke raises."""


class InvariantBroken(ChalkyokeError):
    """A promise of the program does not hold; the process must stop with this report."""


class SettingsError(ChalkyokeError):
    """The settings file is not usable; holds one line for each mistake."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class LinkError(ChalkyokeError):
    """A link between two nodes failed or refused its peer."""


class StoreError(ChalkyokeError):
    """The platform's key-value service gave no usable answer."""


class StoreUnavailable(StoreError):
    """The call did not take effect: the service was not reached or refused it."""


class StoreAnswerLost(StoreError):
    """The call may or may not have taken effect: its answer was lost."""


class ProtocolError(ChalkyokeError):
    """A peer or an upstream sent bytes that do not follow its protocol."""


class UnknownKind(ProtocolError):
    """A whole frame of a kind that this version does not know; the link goes on."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"unreadable frame: of unknown kind {kind!r}")
        self.kind = kind
