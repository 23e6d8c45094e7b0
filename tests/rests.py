"""
tests.rests

Counts of the requests that nodes send to upstreams during the rest times of the upstreams.
"""

from chalkyoke_fakes.soak.checkers import MOST_IN_REST, REST_BEGINS_S

__all__ = ["MOST_IN_REST", "max_requests_in_rest"]


def max_requests_in_rest(turned_away, rest_s):
    """Give the largest number of requests that reached an upstream from a node in one rest time.

    :param turned_away: for each pair of an upstream and a node, the times at which the upstream
        declined a request and gave a rest time.
    :param rest_s: length of a rest time, in seconds.
    """
    return max(
        (
            sum(began + REST_BEGINS_S <= at < began + rest_s for at in times)
            for times in turned_away.values()
            for began in times
        ),
        default=0,
    )
