"""
tests.test_misbehaving_clients

Crowds of clients that send bodies in unusual ways, against one process of each front. Whatever they
send, the process lives within its limits, and an ordinary request is answered.
"""

import asyncio
import contextlib
import copy
import itertools
import resource
import tempfile
from dataclasses import dataclass
from pathlib import Path

import pytest
from chalkyoke_fakes.fleet import LocalFleet
from chalkyoke_fakes.platformfleet import (
    HOST,
    KEY,
    PlatformFleet,
    default_configuration,
    make_route,
)

from tests import test_processes
from tests.crowds import (
    SEND_BYTES,
    Body,
    Crowd,
    Usage,
    chunked_body,
    declared_body,
    request_status,
)

CROWD = 400
# One of so many clients sends its body to the end; the others stop just short of it and stay.
WHOLE_EACH = 10
BODY_BYTES = 1_000_000
# Time for which a crowd stays before the ordinary request, in seconds.
STAY_S = 3.0
# Deadline of the ordinary request, in seconds.
DEADLINE_S = 3.0
# Descriptors that a process may open; with the lower number, the crowd alone needs more.
DESCRIPTORS, FEW_DESCRIPTORS = 1_024, 200
# Memory of a host, in MB. Without callers, a process of the gateway uses 35, and one of the
# completions front 64.
GATEWAY_MB, COMPLETIONS_MB, AMPLE_MB = 64, 100, 400

BODIES = {
    "whole": declared_body(BODY_BYTES),
    "declared": declared_body(BODY_BYTES),
    "declared-in-pieces": declared_body(BODY_BYTES, piece_bytes=4_096, pause_s=0.002),
    "announced-too-large": declared_body(100 * BODY_BYTES, sent=4 * BODY_BYTES),
    "without-end": Body(
        "Transfer-Encoding: chunked",
        b"%x\r\n%b\r\n" % (SEND_BYTES, b"x" * SEND_BYTES),
        repeated=True,
    ),
    "large-chunks": chunked_body(BODY_BYTES, 62_500),
    "chunks-of-one-byte": chunked_body(BODY_BYTES, 1),
    "many-trailers": Body(
        "Transfer-Encoding: chunked", b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 2_500, b"\r\n"
    ),
}
WHOLE_BODIES = frozenset(("whole",))
LEGAL_BODIES = [each for each in BODIES if each not in ("announced-too-large", "without-end")]
# Time for a single body, in seconds.
CALM_DEADLINE_S = 60.0

CROWD_ID = "crowd-"
_numbers = itertools.count(1)


@dataclass
class Front:
    """A process that serves callers.

    :ivar address: ``ip:port``.
    :ivar crowd_head: returns the head of a request of a crowd, given the header that frames its
        body.
    :ivar ordinary_request: returns one ordinary request.
    :ivar count_runs: returns the number of requests that upstreams have run, except those of
        :meth:`ask`.
    """

    popen: object
    address: str
    crowd_head: object
    ordinary_request: object
    count_runs: object
    answered: int = 0

    async def ask(self):
        """Send an ordinary request; return the status of its answer, 0 without one."""
        status = await request_status(self.address, self.ordinary_request(), DEADLINE_S)
        self.answered += status == 200
        return status


def encode_head(path, framing):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {CROWD_ID}{next(_numbers)}\r\n"
        f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\nX-Credential: {KEY}\r\n{framing}\r\n\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def gateway(folder, memory_mb, descriptors):
    """Run a gateway process, whose replicas accept any number of connections."""
    fleet = PlatformFleet(folder, ("a",))
    fleet.memory = {"limit_mb": memory_mb}
    fleet.limits["descriptors"] = descriptors
    fleet.plain_services = "local"
    configuration = default_configuration(2)
    configuration["limits"]["max-body-bytes"] = BODY_BYTES
    configuration["routes"].append(make_route("files", "idempotent", "files", attempts=2))
    configuration["services"].append({"name": "files"})
    for service in configuration["services"]:
        service["max-conns"] = 3_000
    async with fleet:
        await fleet.configure(configuration)
        replica = await fleet.add_replica("f0", "files", "a")

        async def in_force():
            answer = await fleet.send_request("n1", "/files/1", body=b"x" * 150_000)
            return answer.status == 200

        async def count_runs():
            return sum(runs for name, runs in replica.runs.items() if name.startswith(CROWD_ID))

        await fleet.wait_until(in_force, "the configuration to be in force")
        node = fleet.nodes["n1"]
        yield Front(
            node.popen,
            node.callers,
            lambda framing: encode_head("/files/1", framing),
            lambda: encode_head("/book/1", "Content-Length: 2") + b"{}",
            count_runs,
        )


def encode_call(framing):
    return (
        "POST /v1/services/seats/call HTTP/1.1\r\nHost: node\r\n"
        f"Authorization: Bearer {test_processes.KEY}\r\n{framing}\r\n\r\n"
    ).encode()


@contextlib.asynccontextmanager
async def completions(folder, memory_mb, _):
    """Run a process of the completions front."""
    resources = copy.deepcopy(test_processes.RESOURCES)
    for service in resources["service"]:
        service["max_body_bytes"] = BODY_BYTES
    resources["upstream_class"][1]["slots"] = 200
    platform = {
        **test_processes.PLATFORM,
        "entry": test_processes.PLATFORM["entry"][:1],
        "settings": f"[memory]\nlimit_mb = {memory_mb}\n",
    }
    async with LocalFleet(folder, platform, resources) as fleet:
        node = fleet.nodes["n1"]

        async def count_runs():
            return sum((await test_processes.received_counts(fleet)).values()) - front.answered

        front = Front(
            node.popen,
            node.address,
            encode_call,
            lambda: encode_call("Content-Length: 2") + b"{}",
            count_runs,
        )
        yield front


async def play(open_front, kind, memory_mb, descriptors):
    """Let a crowd send bodies of a kind to a front, and check what must hold."""
    with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
        async with open_front(Path(folder), memory_mb, descriptors) as front:
            pid = front.popen.pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
            whole_each = 1 if kind in WHOLE_BODIES else WHOLE_EACH
            crowd = Crowd(
                front.address, front.crowd_head, BODIES[kind], CROWD, whole_each=whole_each
            )
            async with Usage(pid, front.address) as usage:
                async with crowd:
                    await asyncio.sleep(STAY_S)
                    beside = await front.ask()
                after = await front.ask()
            ran = await front.count_runs()
            seen = (
                f"{usage.memory_mb:.1f} MB, {usage.descriptors} descriptors, ordinary requests "
                f"{beside} and {after}, crowd {dict(crowd.statuses)}, {ran} run"
            )
            print(seen)
            assert front.popen.poll() is None, seen
            assert usage.memory_mb < memory_mb, seen
            assert usage.descriptors < descriptors, seen
            assert (beside, after) == (200, 200), seen
            # A refusal promises that the request does not run.
            assert ran <= crowd.may_have_run, seen


kinds = pytest.mark.parametrize("kind", list(BODIES))
fronts = pytest.mark.parametrize(
    "open_front", [gateway, completions], ids=["gateway", "completions"]
)
little_memory = pytest.mark.parametrize(
    ("open_front", "memory_mb"),
    [(gateway, GATEWAY_MB), (completions, COMPLETIONS_MB)],
    ids=["gateway", "completions"],
)


# Guards against bodies that fill the memory of a host, or keep it from answering others.
@kinds
@little_memory
def test_bodies_on_a_host_with_little_memory(open_front, memory_mb, kind):
    asyncio.run(play(open_front, kind, memory_mb, DESCRIPTORS))


# Guards against connections that use all descriptors, so that others are not accepted.
@kinds
@fronts
def test_bodies_on_a_host_with_few_descriptors(open_front, kind):
    asyncio.run(play(open_front, kind, AMPLE_MB, FEW_DESCRIPTORS))


# Guards against bodies whose parsing holds the event loop, so that others wait.
@fronts
def test_small_chunks_on_a_host_with_ample_room(open_front):
    asyncio.run(play(open_front, "chunks-of-one-byte", AMPLE_MB, DESCRIPTORS))


async def send_alone(open_front, kind, memory_mb):
    """Send one whole body of a kind to a front that serves nobody else; return the status."""
    body = BODIES[kind]
    with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
        async with open_front(Path(folder), memory_mb, DESCRIPTORS) as front:
            request = front.crowd_head(body.framing) + body.start + body.end
            return await request_status(front.address, request, CALM_DEADLINE_S)


# Guards against limits that refuse a request although nothing else uses the host.
@pytest.mark.parametrize("kind", LEGAL_BODIES)
@little_memory
def test_a_single_body_is_served(open_front, memory_mb, kind):
    assert asyncio.run(send_alone(open_front, kind, memory_mb)) == 200
