"""Overload of the push-notification deployment; see tests.pushload."""

from chalkyoke.gateway.settings import GATEWAY_FEATURES
from msgspec.structs import replace

from tests.pushload import BULLETIN, Flood, PushLoad, largest_tenth

ON = replace(GATEWAY_FEATURES, fair_admission=True, reserved_retries=True)


def served_work(run, team):
    """Return the share of a team's requests that were served."""
    return run.served([each for each in run.demands.values() if each.team == team])


def test_a_team_far_above_its_load_is_refused_before_teams_below_their_share():
    """Guards against refusals of other teams because of one team's queue."""
    run = PushLoad(5, features=ON, flood=Flood(2.0, 6.0, team="m1", times=8.0)).run_load(8.0)
    small = [served_work(run, f"m{number}") for number in range(4, 16)]
    assert served_work(run, "m1") < min(small)
    assert sum(small) / len(small) > 0.9


def test_the_largest_tenth_is_served_half_as_often_as_all_while_engines_are_few():
    """Guards against long requests that lose every slot to short ones of their own kind."""
    run = PushLoad(5, features=ON, load=1.2, bursts=((2.0, 5.0, 1.5, ""),)).run_load(8.0)
    demands = run.of_kind(BULLETIN)
    assert run.served(largest_tenth(demands)) >= 0.5 * run.served(demands)


def test_few_callers_that_return_at_their_times_are_refused_again_at_twice_the_load():
    """Guards against retries that are sent back into the overload or overtaken by new requests."""
    run = PushLoad(5, features=ON, bursts=((2.0, 8.0, 2.0, ""),)).run_load(10.0)
    # With the features off, 0.27 of them are refused again.
    assert run.refused_again < 0.13 * sum(run.returns.values())
    demands = run.of_kind(BULLETIN)
    assert run.served(largest_tenth(demands)) >= 0.5 * run.served(demands)
