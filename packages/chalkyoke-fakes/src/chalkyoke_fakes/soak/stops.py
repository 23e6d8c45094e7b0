"""
chalkyoke_fakes.soak.stops

Check that each planned stop is heard: the process ends by itself, in time and without an error.
"""

from chalkyoke_fakes.soak.observations import Observations, Violation


def stops_are_heard(observations: Observations) -> list[Violation]:
    """Check that each process that was told to stop ended with exit code 0.

    A process that has not ended after the stop's time limit was killed.
    """
    return [
        Violation(
            "stops", f"{each.node} ended with {each.code} {each.took_s:.1f} s after {each.at:.1f} s"
        )
        for each in observations.stops
        if each.code
    ]
