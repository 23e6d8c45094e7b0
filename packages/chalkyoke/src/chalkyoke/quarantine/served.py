"""
chalkyoke.quarantine.served

Which requests were served whole lately: those that callers send again and again run under most ends
of replicas, whatever ends them.
"""

# Requests that are remembered, in number: some 100 bytes each, so 0.5 MB. Those that were not
# served for the longest go first.
MOST_SERVED = 5_000


class ServedRequests:
    """Remember when requests were last served whole."""

    def __init__(self) -> None:
        self._at: dict[bytes, float] = {}

    def record(self, request: bytes, at: float) -> None:
        """Note that a request was served whole.

        :param at: in seconds on the node's clock.
        """
        self._at.pop(request, None)
        self._at[request] = at
        if len(self._at) > MOST_SERVED:
            del self._at[next(iter(self._at))]

    def last_served_at(self, request: bytes) -> float:
        """Tell when a request was last served whole; long ago where that is not known."""
        return self._at.get(request, float("-inf"))
