"""The limit of a host's account, and what its memory does to it."""

import pytest
from chalkyoke.administration.metrics import Metrics
from chalkyoke.gateway.settings import MemorySection
from chalkyoke.memory.account import Purpose
from chalkyoke.memory.limit import account_limit_bytes
from chalkyoke.node import memory
from chalkyoke.node.memory import FEW_CONNECTIONS, HostMemory

HOST_MB = 300.0
PROGRAM_BYTES = 40_000_000


class NoLinks:
    def buffered_bytes(self):
        return 0


class NoTransport:
    def get_extra_info(self, _):
        return None


@pytest.fixture
def resident(monkeypatch):
    found = {"bytes": PROGRAM_BYTES}
    monkeypatch.setattr(memory, "resident_bytes", lambda: found["bytes"])
    return found


def make_memory():
    return HostMemory(MemorySection(HOST_MB), Metrics(), lambda: 1.0, lambda: 1.0)


def test_buffers_freed_during_the_start_do_not_lower_the_limit_for_good(resident):
    """What the allocator kept of them was taken for memory of the program."""
    host = make_memory()
    upload = host.account.open(Purpose.BODIES_READ)
    upload.resize(100_000_000)
    resident["bytes"] = PROGRAM_BYTES + 100_000_000
    host.tick(NoLinks())
    upload.release()
    host.tick(NoLinks())
    assert host.account.limit_bytes == account_limit_bytes(HOST_MB, PROGRAM_BYTES)


def test_the_limit_follows_the_program_while_it_starts(resident):
    host = make_memory()
    resident["bytes"] = 2 * PROGRAM_BYTES
    host.tick(NoLinks())
    assert host.account.limit_bytes == account_limit_bytes(HOST_MB, 2 * PROGRAM_BYTES)


# Guards against a crowd at the start, whose connections lowered the limit below what was held, so
# that small requests were refused.
def test_the_memory_of_many_connections_is_not_taken_for_the_programs(resident):
    host = make_memory()
    host.callers.share_receive_buffers(NoTransport(), FEW_CONNECTIONS)
    resident["bytes"] = PROGRAM_BYTES + 1_000_000
    host.tick(NoLinks())
    assert host.account.limit_bytes == account_limit_bytes(HOST_MB, PROGRAM_BYTES + 1_000_000)
    host.callers.share_receive_buffers(NoTransport(), FEW_CONNECTIONS + 1)
    resident["bytes"] = 2 * PROGRAM_BYTES
    host.tick(NoLinks())
    assert host.account.limit_bytes == account_limit_bytes(HOST_MB, PROGRAM_BYTES + 1_000_000)
