"""A node's clock goes on while its host is suspended."""

import asyncio
import re
import time
from pathlib import Path

import pytest
from chalkyoke import eventloop

SOURCES = Path(eventloop.__file__).parent
# A clock read other than the loop's would know nothing of a suspension.
OTHER_CLOCKS = re.compile(r"\b(monotonic|perf_counter|time\.time)(_ns)?\(|clock_gettime")
# The time of day stamps lines and events for readers; nothing is decided by it.
STAMPS = {"node/process.py", "node/gateway.py", "eventloop.py"}


class Host:
    """Clocks of a host that can be suspended: only its steady clock stands still."""

    def __init__(self):
        self.slept_s = 0.0

    def gettime(self, clock):
        since_boot = clock == time.CLOCK_BOOTTIME
        return time.monotonic() + (self.slept_s if since_boot else 0.0)


@pytest.fixture
def host(monkeypatch):
    made = Host()
    monkeypatch.setattr(eventloop.time, "clock_gettime", made.gettime)
    return made


def test_what_was_promised_before_a_suspension_has_run_out_after_it(host):
    async def main():
        loop = asyncio.get_running_loop()
        fired = []
        loop.call_later(20.0, lambda: fired.append(loop.time()))
        began = loop.time()
        await asyncio.sleep(0)
        host.slept_s = 21.0
        await asyncio.sleep(0.001)
        assert fired
        return fired[0] - began

    assert eventloop.run(main()) >= 21.0


def test_a_request_whose_time_ran_out_while_the_host_was_suspended_ends(host):
    async def main():
        loop = asyncio.get_running_loop()
        loop.call_soon(setattr, host, "slept_s", 5.0)
        async with asyncio.timeout(2.0):
            await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        eventloop.run(main())


def test_nothing_is_decided_by_another_clock():
    found = {
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob("*.py")
        if "tests" not in path.parts and OTHER_CLOCKS.search(path.read_text(encoding="utf-8"))
    }
    assert found <= STAMPS
