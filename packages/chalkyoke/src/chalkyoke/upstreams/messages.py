"""
chalkyoke.upstreams.messages

The possible outcomes of a call to an upstream.
"""

from dataclasses import dataclass

import aiohttp

from chalkyoke.retry_after import cap_retry_after

# Status 503 Service Unavailable (RFC 9110): with a Retry-After time, the upstream wants no requests
# of this caller for that long.
SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class Opened:
    """The upstream has started its answer; the body is not read yet."""

    response: aiohttp.ClientResponse


@dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was established, so no byte was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class NotPermitted:
    """The gate refused the dispatch: the run had ended or its deadline had passed."""


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """Bytes may have been sent, but no answer arrived that can be relayed."""

    detail: str


@dataclass(frozen=True, slots=True)
class Declined:
    """The upstream refused the request or answered with a server error.

    :param retry_after_s: the Retry-After time of the answer, in seconds; 0 if it had none.
    """

    status: int
    detail: str
    retry_after_s: float = 0.0

    @property
    def rest_s(self) -> float:
        """How long this process must not send requests to the upstream, in seconds."""
        return cap_retry_after(self.retry_after_s) if self.status == SERVICE_UNAVAILABLE else 0.0


CallOutcome = Opened | NotConnected | NotPermitted | NoAnswer | Declined
