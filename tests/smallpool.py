"""
tests.smallpool

The load of a pool of few engines with many slots each, in virtual time: the lowest tier has long
answers of very unlike lengths, most of them longer than the answers of the higher tiers.
"""

import msgspec
from chalkyoke.scheduling.state import ReleaseOutcome

from tests.shiftedload import Engine, Kind, ShiftedLoad

TOKEN_S, READ_TOKENS_PER_S = 0.00473, 38_400.0
ENGINES, SLOTS = 6, 7
TIME_FACTORS = (0.6, 0.8, 1.0, 1.2, 1.4, 1.7)
MATCH = Kind("match", 11.4, (2890, 1.0, 18_300), (52, 2.4, 520), 0.8, 6.0, 6.3, 0)
SUMMARY = Kind("summary", 9.1, (1800, 1.3, 6870), (24, 2.4, 240), 0.6, 4.0, 1.8, 1)
CHAT = Kind("chat", 15.4, (543, 0.89, 2310), (280, 2.4, 2800), 0.5, 15.0, 0.31, 2)
# The load factor by which the parent scales the rates, which are those of 70 engines there.
RATE_FACTOR = 70 / ENGINES


class SmallPool(ShiftedLoad):
    """Play the load of a small pool; see the module for the parameters.

    :ivar delivered: ids of the demands whose answer was complete.
    """

    kinds = (MATCH, SUMMARY, CHAT)
    gap_goal_s = 0.3

    def __init__(self, seed, load=1.0, bursts=(), **options):
        super().__init__(seed, bursts, load * RATE_FACTOR, ENGINES, **options)
        self.delivered = set()

    def make_engine(self, number):
        return Engine(TIME_FACTORS[number], {}, TOKEN_S, READ_TOKENS_PER_S)

    def upstream(self, name):
        return msgspec.structs.replace(super().upstream(name), slots=SLOTS, tokens_per_event=3)

    def finish_run(self, run, outcome):
        super().finish_run(run, outcome)
        if outcome is ReleaseOutcome.DELIVERED:
            self.delivered.add(run.demand.id)

    def by_size(self, kind):
        """List the demands of a kind, smallest first, by prompt tokens and ten times the output."""
        chosen = (each for each in self.demands.values() if each.kind is kind)
        return sorted(chosen, key=lambda each: each.prompt + 10 * each.output)

    def count_delivered(self, demands):
        return sum(each.id in self.delivered for each in demands)
