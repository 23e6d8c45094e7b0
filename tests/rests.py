"""
tests.rests

How well times of rest are kept, from when requests reached one upstream from one node.
"""

from chalkyoke_fakes.soak.checkers import MAX_REQUESTS_IN_RETRY_AFTER, RETRY_AFTER_GRACE_S

__all__ = ["MAX_REQUESTS_IN_RETRY_AFTER", "most_in_rest"]


def most_in_rest(turned_away, rest_s):
    """Count the requests that came in a time of rest; the most over all of these.

    :param turned_away: for each pair of an upstream and a node, when the upstream answered that it
        wants rest.
    """
    return max(
        (
            sum(began + RETRY_AFTER_GRACE_S <= at < began + rest_s for at in times)
            for times in turned_away.values()
            for began in times
        ),
        default=0,
    )
