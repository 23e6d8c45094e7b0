"""
chalkyoke.quotas.copies

Replication of owners' windows to the nodes that would own the teams next. An owner sends updates a
few times a second, so a successor lacks only the spending of the last moment.
"""

from collections.abc import Iterable

import msgspec

from chalkyoke.quotas.ledger import Ledger
from chalkyoke.quotas.messages import WindowUpdate
from chalkyoke.quotas.window import SpendingWindow

# Interval between updates of an unchanged window, in seconds: a copy without updates for longer has
# lost its owner.
UNCHANGED_UPDATE_INTERVAL_S = 1.0
# Interval between updates that contain the whole window, in seconds; they repair updates that were
# lost with a connection.
FULL_UPDATE_INTERVAL_S = 4.0
# Highest age of a copy that a successor resumes, in seconds: the loss of an owner in another
# failure domain is detected after 2.5 s (membership.view), and a heartbeat may be late.
MAX_COPY_AGE_S = 4.0


class _LastUpdate(msgspec.Struct):
    """The last update of one team's window that a successor was sent.

    :param at: time of the last update, in seconds.
    :param full_update_at: time of the last update with the whole window, in seconds.
    """

    number: int
    total: float
    at: float
    full_update_at: float


class WindowReplicator(msgspec.Struct):
    """The owner's side: build the updates for successors."""

    _last_updates: dict[tuple[str, str], _LastUpdate] = msgspec.field(default_factory=dict)

    def next_update(
        self, address: str, team: str, ledger: Ledger, now: float
    ) -> WindowUpdate | None:
        """Return the update of a team's window for a successor; None if none is due now.

        :param address: link address of the successor.
        """
        number = ledger.window.number
        last = self._last_updates.get((address, team))
        if (
            last is None
            or last.number != number
            or now - last.full_update_at >= FULL_UPDATE_INTERVAL_S
        ):
            self._last_updates[address, team] = _LastUpdate(number, ledger.leased, now, now)
            parts = ledger.window.parts(now)
            return WindowUpdate(team, number, ledger.leased, ledger.share, parts)
        if last.total == ledger.leased and now - last.at < UNCHANGED_UPDATE_INTERVAL_S:
            return None
        last.total, last.at = ledger.leased, now
        return WindowUpdate(team, number, ledger.leased, ledger.share)

    def retain_successors(self, kept: Iterable[tuple[str, str]]) -> None:
        """Drop the state of former successors, which get a whole window if they become one again.

        :param kept: pairs of address and team of the present successors.
        """
        for key in self._last_updates.keys() - set(kept):
            del self._last_updates[key]


class WindowCopy(msgspec.Struct):
    """The copy of one team's window.

    :param total: cost leased since the owner's window began, by the last update.
    :param share: the share of the limit that the owner uses.
    :param at: time of the last update, on this node's clock, in seconds.
    """

    window: SpendingWindow
    total: float
    share: float
    at: float

    def with_unreported(self, unreported: float, now: float) -> tuple[float, ...]:
        """Return the window with the cost that the owner may have leased after its last update.

        :param unreported: this cost; it is added at the time of the last update.
        :return: cost in each part of the window that ends now, oldest first.
        """
        parts = list(self.window.parts(now))
        back = min(len(parts), 1 + int((now - self.at) / self.window.window_s * len(parts)))
        parts[-back] += unreported
        return tuple(parts)


class WindowCopies:
    """The successor's side: keep copies of owners' windows.

    :param window_s: length of the window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._copies: dict[str, WindowCopy] = {}

    def apply(self, update: WindowUpdate, now: float) -> None:
        """Apply an update of an owner's window."""
        copy = self._copies.get(update.team)
        if update.parts:
            window = SpendingWindow(self._window_s, update.number)
            window.load_parts(update.parts, now)
            self._copies[update.team] = WindowCopy(window, update.total, update.share, now)
            return
        if copy is None or copy.window.number != update.number:
            # The update belongs to an unknown window. The owner sends the whole window within
            # seconds; until then there is no usable copy.
            return
        copy.window.add(update.total - copy.total, now)
        copy.total, copy.share, copy.at = update.total, update.share, now

    def find(self, team: str, now: float) -> WindowCopy | None:
        """Return the copy of a team's window; None if it is too old to resume."""
        copy = self._copies.get(team)
        if copy is None or now - copy.at > MAX_COPY_AGE_S:
            return None
        return copy

    def drop(self, team: str) -> None:
        """Drop the copy of a team's window, which this node has resumed."""
        self._copies.pop(team, None)
