"""
chalkyoke.tokens.messages

The request token, and the reasons for which a token is rejected.
"""

from enum import StrEnum

import msgspec


class Token(msgspec.Struct, frozen=True, array_like=True):
    """Identify one request and the only process that may dispatch it.

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
        """The id of the token's request, unique in the fleet; it contains no secret."""
        return f"{self.host}-{self.incarnation:x}-{self.sequence}"


class TokenProblem(StrEnum):
    """Enumerate the reasons for which a token is rejected."""

    MALFORMED = "malformed"
    FORGED = "forged"
    EXPIRED = "expired"
    NEVER_ISSUED = "never_issued"
    OTHER_INCARNATION = "other_incarnation"
    OTHER_REQUEST = "other_request"
    LEDGER_FULL = "ledger_full"
