"""
chalkyoke.membership.spacing

Heartbeat intervals and failure-detection timeouts, by the size of a failure domain.
"""

# Number of heartbeat intervals without a heartbeat after which a member counts as lost. A foreign
# failure domain gets more of them, because its digests pass through more nodes.
SUSPECT_INTERVALS = 6
FOREIGN_SUSPECT_INTERVALS = 10
# Largest number of members of a failure domain that all send heartbeats to each other. In a larger
# domain heartbeats go to a few monitors only, because all-to-all heartbeats and their confirmations
# grow with the square of the number of members.
MAX_FULL_MESH_MEMBERS = 8
# In larger domains the heartbeat interval grows, by at most this factor, because a monitor receives
# the heartbeats of all members. A member is lost after this many missed heartbeats.
MAX_SPACING_FACTOR = 4.0
SPARSE_SUSPECT_BEATS = 3.5
# Number of heartbeats for which a monitor's roster stays valid after the monitor itself counts as
# lost: its successors receive heartbeats from all members within that time.
ROSTER_EXTRA_BEATS = 2.0
# Number of heartbeats that a reporter of a large failure domain sends to other domains for each
# heartbeat inside its own domain.
REPORTS_PER_BEAT = 2.0


def spacing_s(members: int, interval_s: float) -> float:
    """Return the time between two heartbeats inside a failure domain, in seconds.

    :param members: number of live members, this process included.
    """
    return interval_s * min(MAX_SPACING_FACTOR, max(1.0, members / MAX_FULL_MESH_MEMBERS))


def report_interval_s(members: int, interval_s: float) -> float:
    """Return the time between two heartbeats to other failure domains, in seconds."""
    return max(interval_s, spacing_s(members, interval_s) / REPORTS_PER_BEAT)


def suspect_timeout_s(spacing: float, interval_s: float) -> float:
    """Return the time without a heartbeat after which a member is lost, in seconds."""
    return max(SUSPECT_INTERVALS * interval_s, SPARSE_SUSPECT_BEATS * spacing)


def roster_timeout_s(spacing: float, interval_s: float) -> float:
    """Return how long a roster is valid after its monitor's last heartbeat, in seconds."""
    return suspect_timeout_s(spacing, interval_s) + ROSTER_EXTRA_BEATS * spacing


def foreign_timeout_s(spacing: float, interval_s: float) -> float:
    """Return the time without a digest after which a failure domain is lost, in seconds."""
    return FOREIGN_SUSPECT_INTERVALS * interval_s + 2 * (spacing - interval_s)
