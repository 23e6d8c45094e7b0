"""
chalkyoke_fakes.children

Start the processes of a stand-in fleet so that they end with the process that started them, also
when that one is killed.
"""

import ctypes
import os
import signal
import subprocess
from collections.abc import Callable
from pathlib import Path

PR_SET_PDEATHSIG = 1


# Numbers of the addresses at which a fleet's replicas and relays listen; its nodes have lower ones.
REPLICA_ADDRESS_NUMBER, RELAY_ADDRESS_NUMBER = 200, 201


def own_address(number: int) -> str:
    """Give a loopback address that stand-in fleets of no other process use.

    Free ports are looked for before the nodes bind them; two fleets at one address found the same.

    :param number: of the node, from 0 on.
    """
    process = os.getpid()
    return f"127.{16 + process % 200}.{process // 200 % 250}.{number + 1}"


def _ends_with(parent: int) -> Callable[[], None]:
    """Make what the child runs first: ask the kernel for SIGKILL at its parent's death."""
    prctl = ctypes.CDLL(None, use_errno=True).prctl

    def ask() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        if os.getppid() != parent:
            os._exit(1)

    return ask


def spawn(
    command: list[str], log: Path, variables: dict[str, str] | None = None
) -> "subprocess.Popen[bytes]":
    """Start a process in a session of its own; call from the main thread.

    :param log: file to which its output is added.
    :param variables: of its environment, beside those of this process.
    """
    with log.open("ab") as output:
        return subprocess.Popen(
            command,
            stdout=output,
            stderr=output,
            start_new_session=True,
            env={**os.environ, **(variables or {})},
            preexec_fn=_ends_with(os.getpid()),
        )
