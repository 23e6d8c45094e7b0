"""
tests.test_rest_across_starts

Replicas that start again under their id and ask for rest before nodes hear of the new start.
"""

import asyncio

from tests.gatewayfleet import run_check

REST_S = 3.0
# Time between the new start and the news of it, in seconds.
NEWS_S = 1.3
PAUSE_S = 0.05


async def send_for(fleet, seconds):
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    while loop.time() < until:
        await fleet.send_request(0, "/find/1", until_whole=True)
        await asyncio.sleep(PAUSE_S)


# Guards against a rest that was filed under the ended start of a replica and forgotten with it.
def test_a_rest_asked_for_before_the_news_of_a_new_start_is_kept():
    async def check(fleet):
        replica = fleet.seats[0]
        faults, write_record = replica.faults, replica.write_record
        faults.renamed, faults.back_after_s = False, 0.1

        async def write_nothing(state):
            replica.state = state

        replica.write_record = write_nothing
        replica.exit_and_restart()
        await asyncio.sleep(0.2)
        faults.shed, faults.rest_s = 1_000, REST_S
        await send_for(fleet, NEWS_S)
        await write_record("ready")
        await send_for(fleet, 2 * REST_S)
        first, second = (each.at for each in replica.rejected[:2])
        assert second >= first + REST_S

    run_check(check, domains=("a", "b", "c"), replicas=1)
