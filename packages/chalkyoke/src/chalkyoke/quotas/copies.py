"""
chalkyoke.quotas.copies

Copies of owners' windows at the nodes that would succeed them. An owner tells what it has leased a
few times a second; a successor then knows what was spent but for the last moment.
"""

from collections.abc import Iterable

import msgspec

from chalkyoke.quotas.ledger import Ledger
from chalkyoke.quotas.messages import WindowUpdate
from chalkyoke.quotas.window import SpendingWindow

# A window in which nothing changes is told so often, in seconds: a silent copy is then a lost one.
TELL_UNCHANGED_S = 1.0
# A whole window is told so often, in seconds, in case a message was lost with its connection.
TELL_WHOLE_S = 4.0
# How old a copy may be for a successor to go on from it, in seconds: an owner in another failure
# domain is missed after 2.5 s (membership.view), and a heartbeat may be late.
FRESH_S = 4.0


class _Told(msgspec.Struct):
    """What a successor was told of one team's window."""

    number: int
    total: float
    at: float
    whole_at: float


class WindowReplicator(msgspec.Struct):
    """The owner's side: words what has changed since a successor was told last."""

    _told: dict[tuple[str, str], _Told] = msgspec.field(default_factory=dict)

    def next_update(
        self, address: str, team: str, ledger: Ledger, now: float
    ) -> WindowUpdate | None:
        """Word a team's window for a successor; nothing where it need not be told now.

        :param address: the successor's link address.
        """
        number = ledger.window.number
        told = self._told.get((address, team))
        if told is None or told.number != number or now - told.whole_at >= TELL_WHOLE_S:
            self._told[address, team] = _Told(number, ledger.leased, now, now)
            parts = ledger.window.parts(now)
            return WindowUpdate(team, number, ledger.leased, ledger.share, parts)
        if told.total == ledger.leased and now - told.at < TELL_UNCHANGED_S:
            return None
        told.total, told.at = ledger.leased, now
        return WindowUpdate(team, number, ledger.leased, ledger.share)

    def forget(self, kept: Iterable[tuple[str, str]]) -> None:
        """Forget successors that are none any more, so that they are told whole windows again.

        :param kept: pairs of address and team that stay.
        """
        for key in self._told.keys() - set(kept):
            del self._told[key]


class Copy(msgspec.Struct):
    """One team's window as its owner has told it.

    :param at: when it was told last, on this node's clock, in seconds.
    """

    window: SpendingWindow
    total: float
    share: float
    at: float

    def with_unreported(self, untold: float, now: float) -> tuple[float, ...]:
        """Give the window with what the owner may have leased just after it told last.

        :return: parts of the window that ends now, oldest first.
        """
        parts = list(self.window.parts(now))
        back = min(len(parts), 1 + int((now - self.at) / self.window.window_s * len(parts)))
        parts[-back] += untold
        return tuple(parts)


class WindowCopies:
    """The successor's side.

    :param window_s: length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._copies: dict[str, Copy] = {}

    def apply(self, told: WindowUpdate, now: float) -> None:
        """Take what an owner tells of its window."""
        copy = self._copies.get(told.team)
        if told.parts:
            window = SpendingWindow(self._window_s, told.number)
            window.resume(told.parts, now)
            self._copies[told.team] = Copy(window, told.total, told.share, now)
            return
        if copy is None or copy.window.number != told.number:
            # The whole window comes within seconds; until then nothing is known of it.
            return
        copy.window.add(told.total - copy.total, now)
        copy.total, copy.share, copy.at = told.total, told.share, now

    def find(self, team: str, now: float) -> Copy | None:
        """Find the copy of a team's window, if it is fresh enough to go on from."""
        copy = self._copies.get(team)
        if copy is None or now - copy.at > FRESH_S:
            return None
        return copy

    def drop(self, team: str) -> None:
        """Drop a copy that this node has gone on from."""
        self._copies.pop(team, None)
