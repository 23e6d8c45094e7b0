"""
chalkyoke.membership.spacing

How often signs of life are sent, and how long their absence is borne, by the size of a failure
domain.
"""

# A member is lost after so many intervals without a beat, a failure domain after more of them: what
# is heard of it has come a longer way.
SUSPECT_INTERVALS = 6
FOREIGN_SUSPECT_INTERVALS = 10
# Up to so many members, all of a failure domain send each other their signs of life. In a larger
# one they are sent to a few monitors only: all to all, they and their confirmations grow with the
# square of the members.
MAX_FULL_MESH_MEMBERS = 8
# Beyond that a member's beats get sparser, by this at most, and it is lost after so many beats that
# were due: a monitor hears all members.
MAX_SPACING_FACTOR = 4.0
SPARSE_SUSPECT_BEATS = 3.5
# What a monitor has told vouches for others so much longer than the monitor itself is believed
# alive, in beats: the next ones hear everybody meanwhile.
ROSTER_EXTRA_BEATS = 2.0
# Reporters of a large failure domain beat to the others so often within a beat of their own.
REPORTS_PER_BEAT = 2.0


def spacing_s(members: int, interval_s: float) -> float:
    """Give the time between two heartbeats inside a failure domain, in seconds.

    :param members: how many there are, this process included.
    """
    return interval_s * min(MAX_SPACING_FACTOR, max(1.0, members / MAX_FULL_MESH_MEMBERS))


def report_interval_s(members: int, interval_s: float) -> float:
    """Give the time between two heartbeats to other failure domains, in seconds."""
    return max(interval_s, spacing_s(members, interval_s) / REPORTS_PER_BEAT)


def suspect_timeout_s(spacing: float, interval_s: float) -> float:
    """Tell after how long without a sign of life a member is lost, in seconds."""
    return max(SUSPECT_INTERVALS * interval_s, SPARSE_SUSPECT_BEATS * spacing)


def roster_timeout_s(spacing: float, interval_s: float) -> float:
    """Tell for how long a monitor's word on others holds after its last beat, in seconds."""
    return suspect_timeout_s(spacing, interval_s) + ROSTER_EXTRA_BEATS * spacing


def foreign_timeout_s(spacing: float, interval_s: float) -> float:
    """Tell after how long without a digest a failure domain is lost, in seconds."""
    return FOREIGN_SUSPECT_INTERVALS * interval_s + 2 * (spacing - interval_s)
