"""
tests.test_equal_ids

Callers whose requests have the same id at the same time: each is served as if it had its own.
"""

import asyncio
from collections import Counter

import pytest

from tests.gatewayfleet import run_check

ID = "same"
SERVICE_BY_PATH = {
    "/book/1": "seats",
    "/find/1": "seats",
    "/chat/1": "model",
    "/explain/1": "model",
}
ROUNDS = 6
AT_ONCE = 3
# Time in which all nodes hear that the requests have ended, in seconds.
SETTLED_S = 2.0


# Guards against a request that was sent to a replica of another service, or failed, or left its
# place at a replica taken, because the grant for another request with its id was taken for its own.
@pytest.mark.parametrize("seed", range(3))
def test_requests_with_one_id_are_served_by_their_own_services(seed):
    async def check(fleet):
        replicas = [*fleet.models, *fleet.seats]
        got = []
        for _ in range(ROUNDS):
            asked = [
                fleet.send_request(node, path, request=ID)
                for node in range(len(fleet.nodes))
                for path in SERVICE_BY_PATH
                for _ in range(AT_ONCE)
            ]
            got += await asyncio.gather(*asked)
        assert Counter(each.status for each in got) == {200: len(got)}
        for replica in replicas:
            services = {SERVICE_BY_PATH[each.target] for each in replica.seen}
            assert services == {replica.service}
        await asyncio.sleep(SETTLED_S)
        for node in fleet.nodes:
            for service in ("model", "seats"):
                stats = [node.balancer.stats(each.id) for each in node.replicas.of_service(service)]
                assert [each.outstanding for each in stats] == [0] * 3

    run_check(check, seed=seed, domains=("a", "b", "c"), replicas=3)
