"""
tests.test_silence_beside_changes

Guards against answers that were cut off because a sound replica fell silent for a second: the node
gave the silent replica up before another one could take its place, and none might.
"""

import pytest

from tests.gatewayfleet import run_check
from tests.silentreplicas import play_silence

SILENCE_S = 1.3
DOMAINS = ("a", "a", "b", "b", "c")


def play(make_change, *, silence_s=SILENCE_S, second_services=False, replicas=8):
    """Play silent replicas beside a change, and return what was cut off."""
    found = []

    async def check(fleet):
        found.append(await play_silence(fleet, silence_s, make_change, second_services))

    run_check(check, domains=DOMAINS, replicas=replicas)
    return found[0]


def check_nothing_is_cut(found):
    assert min(found.begun.values()) > 20
    assert not found.cut, (found.cut, found.begun, found.statuses)


@pytest.mark.parametrize("silence_s", [0.8, SILENCE_S, 2.0])
def test_replicas_that_fall_silent_and_go_on_cost_no_answer(silence_s):
    check_nothing_is_cut(play(lambda changes: lambda: None, silence_s=silence_s))


def test_answers_of_silent_replicas_are_not_cut_off_when_routes_move_to_another_service():
    check_nothing_is_cut(play(lambda changes: changes.move_routes, second_services=True))


def test_answers_of_silent_replicas_are_not_cut_off_when_the_key_of_a_team_is_replaced():
    check_nothing_is_cut(play(lambda changes: changes.replace_key))


def test_answers_of_silent_replicas_are_not_cut_off_when_routes_go_and_come_back():
    check_nothing_is_cut(play(lambda changes: changes.remove_routes))


def test_answers_of_silent_replicas_are_not_cut_off_while_all_slots_are_taken():
    check_nothing_is_cut(play(lambda changes: lambda: None, replicas=4))
