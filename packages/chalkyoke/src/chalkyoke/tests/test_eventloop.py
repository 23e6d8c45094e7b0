"""Tests that a node's clock includes the time during which its host is suspended."""

import asyncio
import re
import time
from pathlib import Path

import pytest
from chalkyoke import eventloop

SOURCES = Path(eventloop.__file__).parent
# Reads of clocks other than the event loop's, which don't include suspensions.
OTHER_CLOCKS = re.compile(r"\b(monotonic|perf_counter|time\.time)(_ns)?\(|clock_gettime")
# These modules read the time of day to timestamp log lines and events; no decision depends on it.
TIMESTAMP_MODULES = {"node/wallclock.py", "eventloop.py"}


class Host:
    """Clocks of a host that can be suspended: only its monotonic clock stops."""

    def __init__(self):
        self.suspended_s = 0.0

    def gettime(self, clock):
        since_boot = clock == time.CLOCK_BOOTTIME
        return time.monotonic() + (self.suspended_s if since_boot else 0.0)


@pytest.fixture
def host(monkeypatch):
    made = Host()
    monkeypatch.setattr(eventloop.time, "clock_gettime", made.gettime)
    return made


def test_timer_set_before_a_suspension_has_expired_after_it(host):
    async def main():
        loop = asyncio.get_running_loop()
        fired = []
        loop.call_later(20.0, lambda: fired.append(loop.time()))
        began = loop.time()
        await asyncio.sleep(0)
        host.suspended_s = 21.0
        await asyncio.sleep(0.001)
        assert fired
        return fired[0] - began

    assert eventloop.run(main()) >= 21.0


def test_timeout_that_expires_during_a_suspension_ends_the_request(host):
    async def main():
        loop = asyncio.get_running_loop()
        loop.call_soon(setattr, host, "suspended_s", 5.0)
        async with asyncio.timeout(2.0):
            await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        eventloop.run(main())


def test_only_listed_modules_read_another_clock():
    found = {
        str(path.relative_to(SOURCES))
        for path in SOURCES.rglob("*.py")
        if "tests" not in path.parts and OTHER_CLOCKS.search(path.read_text(encoding="utf-8"))
    }
    assert found <= TIMESTAMP_MODULES
