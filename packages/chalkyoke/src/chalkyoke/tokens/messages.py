"""
chalkyoke.tokens.messages

The request token, and the reasons for which one is not taken.
"""

from enum import StrEnum

import msgspec


class Token(msgspec.Struct, frozen=True, array_like=True):
    """The identity of one request; it names the only process that may dispatch it.

    :param host: id of the issuing host.
    :param address: ``ip:port`` of the issuer's link listener, so that any host can forward a retry
        without a look-up.
    :param incarnation: random number of the issuing process.
    :param sequence: counter of the issuing process.
    :param expires_ms: milliseconds on the issuer's monotonic clock since its start.
    """

    host: str
    address: str
    incarnation: int
    sequence: int
    expires_ms: int

    @property
    def request(self) -> str:
        """The id of its request over the whole fleet; it holds no secret."""
        return f"{self.host}-{self.incarnation:x}-{self.sequence}"


class TokenProblem(StrEnum):
    """Why a token is not taken."""

    MALFORMED = "malformed"
    FORGED = "forged"
    EXPIRED = "expired"
    NEVER_ISSUED = "never_issued"
    OTHER_INCARNATION = "other_incarnation"
    OTHER_REQUEST = "other_request"
    LEDGER_FULL = "ledger_full"
