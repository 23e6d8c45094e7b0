"""
tests.test_memory_limit

The memory of a gateway process while callers send it more than it may hold.
"""

import asyncio
import contextlib
import itertools
import tempfile
from collections import Counter
from pathlib import Path

from chalkyoke.memory.limit import RESERVE_SHARE
from chalkyoke_fakes.platformfleet import (
    HOST,
    KEY,
    PlatformFleet,
    default_configuration,
    make_route,
)

from tests import slowpeers

# Memory of the host in these tests, in MB: the program uses some 40 MB of it in a fleet of one
# node. The callers send several times as much.
HOST_MB = 140.0
UPLOADS = 80
BODY_BYTES = 4_194_304
PIECE_BYTES = 65_536
SENDERS = 300
REQUESTS_OF_SENDER = 60
REQUEST_BYTES = 30_000
# Size of the answers that they don't read: more than the system takes for them.
ANSWER_BYTES = 400_000
LOAD_S = 4.0
NORMAL_CALLERS = 10
SAMPLE_S = 0.1

_numbers = itertools.count(1)


def configuration():
    found = default_configuration(2)
    found["limits"]["max-body-bytes"] = BODY_BYTES
    found["routes"].append(make_route("files", "idempotent", "files", attempts=2))
    found["services"].append({"name": "files"})
    for service in found["services"]:
        service["max-conns"] = 3_000
    return found


def encode_head(framing):
    return (
        f"PUT /files/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: large-{next(_numbers)}\r\n"
        f"X-Deadline-Ms: 8000\r\nX-Credential: {KEY}\r\n{framing}\r\n\r\n"
    ).encode()


def normal_request():
    return slowpeers.encode_request("POST", "/book/1", b"{}")


async def upload_in_chunks(node, seen):
    """Send all of a body but its end, and count the status of the answer."""
    reader, writer = await asyncio.open_connection(*split(node.callers))
    writer.write(encode_head("Transfer-Encoding: chunked"))

    async def send():
        with contextlib.suppress(OSError):
            for _ in range(BODY_BYTES // PIECE_BYTES):
                writer.write(b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n")
                await writer.drain()

    sending = asyncio.create_task(send())
    try:
        with contextlib.suppress(OSError):
            line = await reader.readline()
            seen[line[9:12].decode()] += 1
    finally:
        sending.cancel()
        writer.close()


async def pipeline(node, seen):
    """Send requests one behind the other and read no answer."""
    loop = asyncio.get_running_loop()
    with slowpeers.make_slow_socket() as raw:
        await loop.sock_connect(raw, split(node.callers))
        try:
            for _ in range(REQUESTS_OF_SENDER):
                body = b"y" * REQUEST_BYTES
                await loop.sock_sendall(
                    raw, slowpeers.encode_request("PUT", "/files/1", body, ANSWER_BYTES)
                )
        except OSError:
            seen["reset"] += 1


def split(address):
    ip, port = address.rsplit(":", 1)
    return ip, int(port)


async def measure(make_callers):
    """Run normal callers beside others.

    :return: what the normal ones received, what the others saw, and the most memory of the process
        and of the system's buffers for its callers, in MB.
    """
    with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
        fleet = PlatformFleet(Path(folder), ("a",))
        fleet.memory = {"limit_mb": HOST_MB}
        # The others' requests exceed the declared slots, so a queued service would refuse some.
        fleet.plain_services = "local"
        async with fleet:
            await fleet.configure(configuration())
            await fleet.add_replica("f0", "files", "a")
            node = fleet.nodes["n1"]

            async def in_force():
                body = b"x" * 200_000
                found = await fleet.send_request("n1", "/files/1", method="PUT", body=body)
                return found.status == 200

            await fleet.wait_until(in_force, "the configuration to be in force")
            seen, in_system = Counter(), []

            async def watch():
                while True:
                    in_system.append(slowpeers.system_buffer_bytes(node.callers, "127.0.0.1:1"))
                    await asyncio.sleep(SAMPLE_S)

            tasks = [asyncio.create_task(watch())]
            for each in make_callers(node, seen):
                tasks.append(asyncio.create_task(each))
                # The replicas share this process, which accepts no more connections at a time.
                await asyncio.sleep(slowpeers.SLOW_SPACING_S)
            normal = await slowpeers.run_load(
                node.callers, LOAD_S, make_request=normal_request, normal=NORMAL_CALLERS
            )
            system_mb = max(in_system) / 1e6
            resident_mb = slowpeers.peak_resident_mb(node.popen.pid)
            for each in tasks:
                each.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            return normal, seen, resident_mb, system_mb


def test_uploads_of_unknown_length_neither_fill_the_host_nor_hinder_others():
    """Bodies in chunks filled the host, or its account, so that all others were refused."""

    async def check():
        def uploads(node, seen):
            return (upload_in_chunks(node, seen) for _ in range(UPLOADS))

        normal, seen, resident_mb, system_mb = await measure(uploads)
        assert normal.served == 1.0
        assert set(seen) <= {"503", "408"}
        assert resident_mb + system_mb < HOST_MB

    asyncio.run(check())


def test_pipelined_requests_of_callers_that_read_nothing_do_not_fill_the_host():
    """Sixteen large requests of each connection, and what the system received behind them."""

    async def check():
        normal, seen, resident_mb, system_mb = await measure(
            lambda node, seen: (pipeline(node, seen) for _ in range(SENDERS))
        )
        assert seen["reset"] == 0
        assert normal.served == 1.0
        assert resident_mb + system_mb < HOST_MB
        # What arrives unread has no place but in the reserve beside the account.
        assert system_mb < HOST_MB * RESERVE_SHARE

    asyncio.run(check())
