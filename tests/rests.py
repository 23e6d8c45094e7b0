"""
tests.rests

How well times of rest are kept, from when requests reached one upstream from one node.
"""

from chalkyoke_fakes.soak.checkers import MOST_IN_REST, REST_BEGINS_S

__all__ = ["MOST_IN_REST", "max_requests_in_rest"]


def max_requests_in_rest(turned_away, rest_s):
    """Count the requests that came in a time of rest; the most over all of these.

    :param turned_away: for each pair of an upstream and a node, when the upstream answered that it
        wants rest.
    """
    return max(
        (
            sum(began + REST_BEGINS_S <= at < began + rest_s for at in times)
            for times in turned_away.values()
            for began in times
        ),
        default=0,
    )
