"""
chalkyoke.links.kinds

The kinds of messages that a peer understands. A peer announces them when a link to it is opened.
Older versions announce none and close a link on which they receive an unknown kind, so such a peer
is sent only kinds that it is known to understand.
"""

# Maximum number of remembered peers: more than there are nodes. The oldest are removed first.
MAX_PEERS = 2000


class PeerKinds:
    """Track the kinds that peers understand whose version does not announce them.

    :param always: kinds that all of these versions understand; None if they understand all kinds.
    :param together: kinds that were added together by one of these versions: a peer that sends one
        of them understands all of them.
    """

    def __init__(
        self, always: frozenset[str] | None = None, together: frozenset[str] = frozenset()
    ) -> None:
        self._always = always
        self._together = together
        self._sent: dict[str, None] = {}

    def note_sent(self, peer: str, kind: str) -> None:
        """Record that a peer has sent a kind.

        :param peer: id of its process.
        """
        if kind not in self._together or peer in self._sent:
            return
        if len(self._sent) >= MAX_PEERS:
            del self._sent[next(iter(self._sent))]
        self._sent[peer] = None

    def understands(self, peer: str, announced: frozenset[str], kind: str) -> bool:
        """Return whether a peer understands a kind.

        :param peer: id of its process.
        :param announced: the kinds announced by the peer; empty if its version announces none.
        """
        if announced:
            return kind in announced
        if self._always is None:
            return True
        return kind in self._always or (kind in self._together and peer in self._sent)
