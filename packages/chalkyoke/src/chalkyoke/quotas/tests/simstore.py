"""A store in virtual time, with leases, delays, lost answers, outages and restores."""

import copy
import random

from chalkyoke.quotas.growth import VALUE_TTL_S
from chalkyoke.quotas.snapshotcalls import GrantLease, ReadAll, ReadBack, RenewLease
from chalkyoke.storage.messages import (
    Conflict,
    Item,
    LeaseGone,
    LeaseGranted,
    Listing,
    Unavailable,
    Written,
)

PREFIX = "quotas/"
CALL_TIMEOUT_S = 2.0


class SimStore:
    """Calls are applied after half of ``delay_s`` and answered after all of it.

    :ivar lossy: fraction of the calls whose answer is lost; half of these are applied late.
    :ivar rejected: hosts that the store rejects.
    :param leases_wait: whether leases wait while the store is down; otherwise they run out.
    """

    def __init__(self, seed=0, delay_s=0.004, *, leases_wait=False):
        self.leases_wait, self.advanced_at = leases_wait, 0.0
        self.rng = random.Random(seed)
        self.delay_s, self.lossy, self.down, self.rejected = delay_s, 0.0, False, set()
        self.epoch, self.revision, self.lease_count = 1, 0, 0
        self.entries, self.leases = {}, {}
        self.calls, self.pending = [], []

    def submit(self, host, key, call, now):
        """Send a call; return a box that gets the answer, and the time of the answer."""
        self.calls.append((now, call))
        box, answer_at, apply_at = [], now + self.delay_s, now + self.delay_s / 2
        if self.down or host in self.rejected:
            box.append(Unavailable("503", may_have_been_applied=False))
        elif self.rng.random() < self.lossy:
            box.append(Unavailable("timed out", may_have_been_applied=True))
            answer_at = now + CALL_TIMEOUT_S
            apply_at += self.rng.choice((0.0, self.rng.uniform(0.0, 4.0)))
            self.pending.append((apply_at, key, call, []))
        else:
            self.pending.append((apply_at, key, call, box))
        return box, answer_at

    def advance(self, now):
        if self.down and self.leases_wait:
            waited = now - self.advanced_at
            self.leases = {lease: until + waited for lease, until in self.leases.items()}
        self.advanced_at = now
        due = sorted((each for each in self.pending if each[0] <= now), key=lambda each: each[0])
        self.pending = [each for each in self.pending if each[0] > now]
        for at, key, call, box in due:
            self._expire(at)
            box.append(self._apply(key, call, at))

    def backup(self):
        return copy.deepcopy((self.entries, self.leases, self.revision))

    def restore(self, backup):
        self.entries, self.leases, self.revision = copy.deepcopy(backup)
        self.epoch += 1

    def _expire(self, now):
        self.leases = {lease: until for lease, until in self.leases.items() if until > now}
        for key in [key for key, entry in self.entries.items() if entry[2] not in self.leases]:
            del self.entries[key]

    def _apply(self, key, call, now):
        if isinstance(call, GrantLease):
            self.lease_count += 1
            self.leases[self.lease_count] = now + VALUE_TTL_S
            return LeaseGranted(self.lease_count, VALUE_TTL_S, self.epoch)
        if isinstance(call, RenewLease):
            if call.lease not in self.leases:
                return LeaseGone()
            self.leases[call.lease] = now + VALUE_TTL_S
            return LeaseGranted(call.lease, VALUE_TTL_S, self.epoch)
        if isinstance(call, ReadAll | ReadBack):
            prefix = PREFIX if isinstance(call, ReadAll) else key
            found = [(name, each) for name, each in self.entries.items() if name.startswith(prefix)]
            items = tuple(Item(name, value, rev) for name, (value, rev, _) in found)
            return Listing(items, self.revision, self.epoch)
        if call.expected != (self.entries[key][1] if key in self.entries else 0):
            return Conflict()
        if call.lease not in self.leases:
            return LeaseGone()
        self.revision += 1
        self.entries[key] = (call.value, self.revision, call.lease)
        return Written(self.revision, self.epoch)


class StoreClient:
    """Makes the calls of one process, as ``node.quotasnapshots`` does."""

    def __init__(self, store, calls, host, key):
        self.store, self.calls, self.host, self.key = store, calls, host, key
        self.calling = {}

    def step(self, now, local_now):
        """Apply the answers that have arrived, and send the calls that are due."""
        self.store.advance(now)
        for kind, (call, box, answer_at) in list(self.calling.items()):
            if now >= answer_at:
                del self.calling[kind]
                self.calls.apply(call, box[0], local_now)
        due = {
            "read": lambda: self.calls.next_read(local_now),
            "renewal": lambda: self.calls.next_renewal(local_now),
            "write": lambda: self.calls.next_write(9, local_now),
        }
        for kind, next_call in due.items():
            if kind not in self.calling and (call := next_call()) is not None:
                self.calling[kind] = (call, *self.store.submit(self.host, self.key, call, now))
