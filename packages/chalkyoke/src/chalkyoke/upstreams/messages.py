"""
chalkyoke.upstreams.messages

What can come of a call on an upstream, as values.
"""

from dataclasses import dataclass

import aiohttp

from chalkyoke.retry_after import cap_retry_after

# Service unavailable (RFC 9110): with a time, the upstream wants nothing of its caller for so long.
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Opened:
    """The upstream answers; the body is still to be read."""

    response: aiohttp.ClientResponse


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection came about, so not one byte has left."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotPermitted:
    """The gate stayed shut: the run had ended or its deadline had passed."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Bytes may have left, and nothing came back."""

    detail: str


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream itself answered that it does not do it.

    :param retry_after_s: what the upstream said, in seconds; 0 where it said nothing.
    """

    status: int
    detail: str
    retry_after_s: float = 0.0

    @property
    def rest_s(self) -> float:
        """For how long the upstream wants nothing of this process, in seconds."""
        return cap_retry_after(self.retry_after_s) if self.status == SERVICE_UNAVAILABLE else 0.0


CallOutcome = Opened | NotConnected | NotPermitted | NoAnswer | Declined
