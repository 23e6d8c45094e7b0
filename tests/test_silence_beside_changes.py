"""
tests.test_silence_beside_changes

Guards against answers that were cut off because a sound replica fell silent for a second: the node
gave the silent replica up before another one could take its place, and none might.
"""

import pytest

from tests.silencecases import CASES, Case, check_case, check_nothing_is_cut, play
from tests.silentreplicas import Silences

SILENCE_S = 1.3


@pytest.mark.parametrize("silence_s", [0.8, SILENCE_S, 2.0])
def test_replicas_that_fall_silent_and_go_on_cost_no_answer(silence_s):
    check_nothing_is_cut(play(Case(Silences(silence_s))))


def test_answers_of_silent_replicas_are_not_cut_off_when_routes_move_to_another_service():
    case = Case(Silences(SILENCE_S, second_services=True), lambda changes, _: changes.move_routes)
    check_nothing_is_cut(play(case))


def test_answers_of_silent_replicas_are_not_cut_off_when_the_key_of_a_team_is_replaced():
    check_nothing_is_cut(play(Case(make_change=lambda changes, _: changes.replace_key)))


def test_answers_of_silent_replicas_are_not_cut_off_when_routes_go_and_come_back():
    check_nothing_is_cut(play(Case(make_change=lambda changes, _: changes.remove_routes)))


def test_answers_of_silent_replicas_are_not_cut_off_while_all_slots_are_taken():
    check_nothing_is_cut(play(Case(replicas=4)))


@pytest.mark.parametrize("name", CASES)
def test_answers_of_silent_replicas_are_not_cut_off_when(name):
    """Guards against cut answers and against two replicas that work on one request for long."""
    check_case(CASES[name], play(CASES[name]))


@pytest.mark.parametrize("seed", [78, 80])
def test_tunnels_of_hosts_that_are_believed_lost_for_a_moment_are_not_cut_off(seed):
    """Guards against answers cut off in tunnels of live hosts while another host starts again."""
    case = CASES["hosts are cut off from replicas (reset) and hosts stop"]
    check_case(case, play(case, seed))
