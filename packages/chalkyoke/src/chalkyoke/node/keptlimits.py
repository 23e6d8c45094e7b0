"""
chalkyoke.node.keptlimits

Log lines about the limits of replicas that this node counts for all nodes.
"""

from chalkyoke.limits.keeper import AllocatedLimit
from chalkyoke.logs import logger

log = logger("node")


def log_kept_limit(kept: AllocatedLimit) -> None:
    """Log a limit that this node counts from now on, and the share of it that it gives out."""
    log.info(
        "limit_kept",
        service=kept.service,
        replica=kept.replica,
        limit_per_s=kept.limit_per_s,
        share=round(kept.share, 3),
    )
