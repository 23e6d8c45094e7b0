"""
tests.rests

Counts of the requests that nodes send to upstreams during the rest times of the upstreams.
"""

from chalkyoke_fakes.soak.checkers import MAX_REQUESTS_IN_RETRY_AFTER, RETRY_AFTER_GRACE_S

__all__ = ["MAX_REQUESTS_IN_RETRY_AFTER", "max_requests_in_rest"]


def max_requests_in_rest(turned_away, rest_s):
    """Give the largest number of requests that reached an upstream from a node in one rest time.

    :param turned_away: for each pair of an upstream and a node, the times at which the upstream
        declined a request and gave a rest time.
    :param rest_s: length of a rest time, in seconds.
    """
    return max(
        (
            sum(began + RETRY_AFTER_GRACE_S <= at < began + rest_s for at in times)
            for times in turned_away.values()
            for began in times
        ),
        default=0,
    )
