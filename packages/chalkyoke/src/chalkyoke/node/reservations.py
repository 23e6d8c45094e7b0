"""
chalkyoke.node.reservations

Keeps copies of the retry reservations of pools that other processes schedule, for the case that
this process takes a pool over.
"""

import msgspec

from chalkyoke.scheduling.messages import RetryReservation, RetryReservations
from chalkyoke.scheduling.retryschedule import MAX_RESERVATIONS, RELEASE_AFTER_S


class _Copy(msgspec.Struct, frozen=True):
    """One copied reservation; its time is on this node's clock, in seconds."""

    item: RetryReservation
    at: float


class ReservationCopies:
    """Copies of reservations by pool and caller."""

    def __init__(self) -> None:
        self._pools: dict[str, dict[int, _Copy]] = {}

    def receive(self, message: RetryReservations, now: float) -> None:
        """Apply a message of a pool's scheduler.

        :param now: seconds on this node's clock.
        """
        known = {} if message.whole else self._pools.get(message.pool, {})
        for fingerprint in message.ended:
            known.pop(fingerprint, None)
        for item in message.items[: max(0, MAX_RESERVATIONS - len(known))]:
            known[item.fingerprint] = _Copy(item, now + item.in_s)
        if known:
            self._pools[message.pool] = known
        else:
            self._pools.pop(message.pool, None)

    def take(self, pool: str, now: float) -> list[RetryReservation]:
        """Return and forget the copies of a pool whose callers may still return.

        :return: reservations with times relative to now.
        """
        copies = self._pools.pop(pool, {}).values()
        return [
            msgspec.structs.replace(each.item, in_s=each.at - now)
            for each in copies
            if each.at + RELEASE_AFTER_S > now
        ]
