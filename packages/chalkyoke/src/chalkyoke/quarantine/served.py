"""
chalkyoke.quarantine.served

The requests that were served in full lately. Requests that callers send again and again are running
at most replica ends, whatever the cause of the ends is.
"""

# Highest number of requests that are kept: about 100 bytes each, so 0.5 MB. The least recently
# served requests are evicted first.
MAX_SERVED = 5_000


class ServedRequests:
    """Record the times at which requests were last served in full."""

    def __init__(self) -> None:
        self._at: dict[bytes, float] = {}

    def record(self, request: bytes, at: float) -> None:
        """Record that a request was served in full.

        :param at: time in seconds on the node's clock.
        """
        self._at.pop(request, None)
        self._at[request] = at
        if len(self._at) > MAX_SERVED:
            del self._at[next(iter(self._at))]

    def last_served_at(self, request: bytes) -> float:
        """Return the time at which a request was last served in full; minus infinity if unknown."""
        return self._at.get(request, float("-inf"))
