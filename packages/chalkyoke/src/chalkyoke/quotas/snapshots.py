"""
chalkyoke.quotas.snapshots

The value in the store that holds the windows of one owner, and the window that all values together
stand for after the loss of all hosts.

Sums of the newest parts are compared, not totals alone: cost that was spent just before the loss
stays in the window longer than the cost of the same amount that a snapshot shows as old.
"""

import itertools
import math
from collections.abc import Iterable

import msgspec
from result import Err, Ok, Result

from chalkyoke.decoding.bounds import Finite, Integer
from chalkyoke.decoding.decoder import decode_msgpack
from chalkyoke.quotas.ledger import SHORT_WINDOW_FRACTION, Parts
from chalkyoke.quotas.window import WINDOW_PARTS, assumed_sums

FORMAT_VERSION = 1
# Cost that an owner may lease beyond an acknowledged snapshot, as a fraction of the window limit. A
# larger value needs fewer writes and refuses more after the loss of all hosts.
GROWTH_SHARE = 0.1
# Unit of the encoded cost, as a fraction of the window limit; sums are rounded up.
COST_UNIT = 0.001
# Highest ratio of a team's present limit to the limit of a snapshot, in both directions. Beyond it
# the catalogs of the writer and the reader differ by more than a usual change.
MAX_LIMIT_RATIO = 4.0
# Highest length of one value in the store, in bytes.
MAX_VALUE_BYTES = 1_000_000


class TeamSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The window of one team at its owner.

    :param window_limit: cost that any window may hold, by the limit at the time of writing.
    :param share: the share of the limit that the owner used.
    :param parts: cost in each part of the window, oldest first, in :data:`COST_UNIT` of
        ``window_limit``; empty if nothing was spent.
    """

    team: str
    window_limit: Finite
    share: Finite
    parts: tuple[Integer, ...] = ()


class OwnerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The value of one owner's key.

    :param format_version: :data:`FORMAT_VERSION` of the writer.
    :param epoch: epoch of the store at the time of writing.
    """

    format_version: int
    epoch: int
    teams: tuple[TeamSnapshot, ...]


class _Header(msgspec.Struct, frozen=True, array_like=True):
    format_version: int
    epoch: int


class ReadSnapshots(msgspec.Struct, frozen=True):
    """All usable snapshots in the store.

    :param complete: whether the values of all owners could be decoded. Otherwise an unreadable one
        may contain the spending of any team.
    """

    teams: dict[str, list[TeamSnapshot]]
    complete: bool


class ResumedWindow(msgspec.Struct, frozen=True):
    """The window that snapshots stand for.

    :param parts: cost in each part of the window to resume, oldest first.
    :param bound: highest cost that may have been spent in the newest part, the newest two parts,
        and so on.
    :param growth: the part of the cost in the newest quarter that may not have been spent.
    """

    parts: Parts
    bound: Parts
    growth: float


def make_team_snapshot(
    team: str, window_limit: float, share: float, sums: Parts
) -> tuple[TeamSnapshot, Parts]:
    """Encode a team's window.

    :param sums: cost in the newest part, the newest two parts, and so on.
    :return: the snapshot, and the sums that it contains after rounding.
    """
    if not sums[-1]:
        return TeamSnapshot(team, window_limit, share), sums
    unit = COST_UNIT * window_limit
    rounded = [math.ceil(each / unit) for each in sums]
    units = [now - before for before, now in zip([0, *rounded], rounded, strict=False)]
    snapshot = TeamSnapshot(team, window_limit, share, tuple(reversed(units)))
    return snapshot, tuple(each * unit for each in rounded)


def read_values(values: Iterable[bytes], epoch: int) -> ReadSnapshots:
    """Decode the values of all owners.

    A value from another epoch is ignored: the store was restored, and its writer has continued.

    :param epoch: the store's epoch.
    """
    found: dict[str, list[TeamSnapshot]] = {}
    complete = True
    for value in values:
        read = _read_value(value, epoch)
        if isinstance(read, Err):
            complete = False
            continue
        for each in read.ok_value:
            found.setdefault(each.team, []).append(each)
    return ReadSnapshots(found, complete)


def _read_value(value: bytes, epoch: int) -> Result[tuple[TeamSnapshot, ...], str]:
    """Decode a value; it has no teams for this reader if it is from another epoch."""
    header = decode_msgpack(value, _Header)
    if isinstance(header, Err):
        return header
    if header.ok_value.epoch != epoch:
        return Ok(())
    if header.ok_value.format_version != FORMAT_VERSION:
        return Err(f"unknown format {header.ok_value.format_version}")
    return decode_msgpack(value, OwnerSnapshot).map(lambda read: read.teams)


def combine(
    snapshots: Iterable[TeamSnapshot], window_limit: float, leasable: float, assumed: float
) -> ResumedWindow | None:
    """Return the window that the snapshots of all owners of one team stand for.

    Owners on two sides of a partition may each have leased cost that the other does not know, so
    their windows are added up, although cost from before the partition then counts twice. If the
    shares of the owners don't make up the whole limit, the snapshot of another owner is missing and
    the rest is assumed to be spent.

    :param window_limit: the present window limit.
    :param leasable: highest cost that owners lease in a window.
    :param assumed: cost that is assumed to be spent if there is no snapshot. The growth beyond the
        snapshots counts only up to this assumption, which is safe without them.
    :return: None if there is no snapshot, or one that the present limit makes unusable.
    """
    total = [0.0] * WINDOW_PARTS
    growth = known_share = 0.0
    for each in snapshots:
        if not _is_usable(each, window_limit):
            return None
        # A lower limit scales the earlier spending, a higher one does not (Ledger.apply_limit).
        limit = min(each.window_limit, window_limit)
        for index, part in enumerate(each.parts):
            total[index] += part * COST_UNIT * limit
        growth += GROWTH_SHARE * limit
        known_share += each.share
    if not known_share:
        return None
    growth += max(0.0, 1.0 - known_share) * assumed
    known = list(itertools.accumulate(reversed(total)))
    highest = max(known[-1], leasable)
    unknown = assumed_sums(assumed)
    bound = [
        min(spent + growth, max(spent, most), highest)
        for spent, most in zip(known, unknown, strict=True)
    ]
    # The writer's and the reader's parts begin at different moments. If the sums were not shifted
    # by a part, cost could leave the reader's window before it has left the actual one.
    shifted = [*known[1:], known[-1]]
    sums = [
        min(spent + growth, max(spent, most), highest)
        for spent, most in zip(shifted, unknown, strict=True)
    ]
    recent = int(WINDOW_PARTS * SHORT_WINDOW_FRACTION) - 1
    return ResumedWindow(_parts_of(sums), tuple(bound), sums[recent] - shifted[recent])


def _is_usable(snapshot: TeamSnapshot, window_limit: float) -> bool:
    if len(snapshot.parts) not in (0, WINDOW_PARTS) or min(snapshot.parts, default=0) < 0:
        return False
    if not 0.0 < snapshot.share <= 1.0 or window_limit <= 0:
        return False
    return 1 / MAX_LIMIT_RATIO <= snapshot.window_limit / window_limit <= MAX_LIMIT_RATIO


def _parts_of(sums: list[float]) -> Parts:
    """Return the parts, oldest first, of sums of the newest parts."""
    parts = [now - before for before, now in zip([0.0, *sums], sums, strict=False)]
    return tuple(reversed(parts))
