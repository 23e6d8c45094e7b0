"""
chalkyoke.node.tests.test_supervisor

Loops are run at even times, whenever the node has started.
"""

import asyncio
import itertools

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.node.supervisor import Supervisor

from tests import virtual

INTERVAL_S = 0.05
SECONDS = 10.0
MAX_CALLS = 1000


# Guards against a loop that was called over and over at one moment: a rounded division had put that
# moment into the interval before.
@pytest.mark.parametrize("started", [0.0, 8.0, 8.061854647, 12.345678901])
def test_a_function_is_called_once_in_each_interval_whenever_the_node_has_started(started):
    calls = []

    async def main():
        await asyncio.sleep(started)
        supervisor = Supervisor(Metrics())
        ended = asyncio.get_running_loop().time() + SECONDS - INTERVAL_S / 2

        def work():
            calls.append(asyncio.get_running_loop().time())
            assert len(calls) < MAX_CALLS
            if calls[-1] > ended:
                supervisor.ended.set()

        supervisor.repeat(INTERVAL_S, work)
        await supervisor.ended.wait()
        assert supervisor.failure is None
        supervisor.cancel()

    virtual.run(main)
    assert len(calls) == round(SECONDS / INTERVAL_S) + 1
    gaps = [after - before for before, after in itertools.pairwise(calls)]
    assert gaps == pytest.approx([INTERVAL_S] * len(gaps), abs=1e-6)
