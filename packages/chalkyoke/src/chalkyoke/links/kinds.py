"""
chalkyoke.links.kinds

Which kinds of messages a peer understands. A peer tells when a link to it is opened; versions that
do not tell give up a link on which a kind comes that they do not know, so that such a peer is sent
only what it is known to understand.
"""

# Peers that are remembered, in number: more than there are nodes. The oldest go first.
MAX_PEERS = 2000


class PeerKinds:
    """What peers understand whose version does not tell.

    :param always: kinds that all of these versions understand; nothing: whatever there is.
    :param together: kinds that came with one of these versions: who sends one understands all.
    """

    def __init__(
        self, always: frozenset[str] | None = None, together: frozenset[str] = frozenset()
    ) -> None:
        self._always = always
        self._together = together
        self._sent: dict[str, None] = {}

    def note_sent(self, peer: str, kind: str) -> None:
        """Note that a peer has sent a kind.

        :param peer: id of its process.
        """
        if kind not in self._together or peer in self._sent:
            return
        if len(self._sent) >= MAX_PEERS:
            del self._sent[next(iter(self._sent))]
        self._sent[peer] = None

    def understands(self, peer: str, told: frozenset[str], kind: str) -> bool:
        """Tell whether a peer understands a kind.

        :param peer: id of its process.
        :param told: the kinds that it has told; empty where its version does not tell.
        """
        if told:
            return kind in told
        if self._always is None:
            return True
        return kind in self._always or (kind in self._together and peer in self._sent)
