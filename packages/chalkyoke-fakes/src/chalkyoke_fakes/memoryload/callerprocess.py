"""
chalkyoke_fakes.memoryload.callerprocess

Run callers of one manner in a process of their own, so that they do not delay the replicas.
``python -m chalkyoke_fakes.memoryload.callerprocess ORDER`` prints one JSON line a request.
"""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

import msgspec

from chalkyoke_fakes.children import spawn
from chalkyoke_fakes.memoryload.callers import Callers
from chalkyoke_fakes.memoryload.manners import Manner
from chalkyoke_fakes.memoryload.records import SentRequest

# Time after the last request in which those that have begun may still be answered, in seconds.
ANSWERS_S = 10.0
# Time after that in which the process must have ended, in seconds.
END_TIMEOUT_S = 20.0
POLL_S = 0.05


class CallerOrder(msgspec.Struct, frozen=True):
    """What callers do.

    :param address: where the node listens for callers.
    :param began: when the play began, in seconds of the monotonic clock.
    :param until: when the last request begins, in seconds since then.
    :param since: when the first request begins; the start of a process takes a while.
    """

    node: str
    address: str
    manner: Manner
    count: int
    seed: int
    began: float
    until: float
    since: float = 0.0


class CallerProcess:
    """A process of callers.

    :param folder: folder for the records.
    """

    def __init__(self, order: CallerOrder, folder: Path) -> None:
        self._output = folder / f"callers-{order.node}-{order.manner.name.lower()}.jsonl"
        encoded = msgspec.json.encode(order).decode()
        command = [sys.executable, "-m", "chalkyoke_fakes.memoryload.callerprocess", encoded]
        self._popen: subprocess.Popen[bytes] = spawn(command, self._output)

    async def collect(self) -> list[SentRequest]:
        """Wait for the end of the process, and return the requests of its callers.

        :raises RuntimeError: when the process fails.
        """
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                while self._popen.poll() is None:
                    await asyncio.sleep(POLL_S)
        finally:
            self.kill()
        output = self._output.read_bytes()
        if self._popen.returncode:
            raise RuntimeError(output.decode(errors="replace"))
        return [msgspec.json.decode(each, type=SentRequest) for each in output.splitlines()]

    def kill(self) -> None:
        """End the process, unless it has ended."""
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()


async def _run(order: CallerOrder) -> list[SentRequest]:
    requests: list[SentRequest] = []
    name = f"{order.node}-{order.manner.name.lower()}"
    callers = Callers(
        order.node, name, order.address, lambda: time.monotonic() - order.began, requests.append
    )
    await asyncio.sleep(max(0.0, order.began + order.since - time.monotonic()))
    tasks = [
        asyncio.create_task(
            callers.run(order.manner, f"{order.seed} {order.manner} {number}", order.until)
        )
        for number in range(order.count)
    ]
    ends_at = order.began + order.until + ANSWERS_S
    done, waiting = await asyncio.wait(tasks, timeout=ends_at - time.monotonic())
    for each in waiting:
        each.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    for each in done:
        each.result()
    return requests


def main() -> None:
    """Run the order of the command line and print the requests."""
    order = msgspec.json.decode(sys.argv[1], type=CallerOrder)
    for each in asyncio.run(_run(order)):
        sys.stdout.write(msgspec.json.encode(each).decode() + "\n")


if __name__ == "__main__":
    main()
