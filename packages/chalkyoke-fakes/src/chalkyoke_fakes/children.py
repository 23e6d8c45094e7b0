"""
chalkyoke_fakes.children

Start the processes of a stand-in fleet so that they end with their parent process, also when the
parent is killed.
"""

import ctypes
import os
import signal
import subprocess
from collections.abc import Callable, Collection
from pathlib import Path

PR_SET_PDEATHSIG = 1


# Numbers of the addresses on which a fleet's replicas and relays listen, for :func:`own_address`.
# The fleet's nodes have lower numbers.
REPLICA_ADDRESS_NUMBER, RELAY_ADDRESS_NUMBER = 200, 201


def own_address(number: int) -> str:
    """Return a loopback address that stand-in fleets of other processes do not use.

    Free ports are found before the nodes bind them, so two fleets on one address could be given the
    same ports.

    :param number: number of the address: the node's, from 0 on, or one of the numbers above.
    """
    process = os.getpid()
    return f"127.{16 + process % 200}.{process // 200 % 250}.{number + 1}"


def _ends_with(parent: int, blocked: Collection[signal.Signals]) -> Callable[[], None]:
    """Return a function with which a child asks the kernel for SIGKILL when its parent dies.

    :param blocked: signals that the child blocks at its start.
    """
    prctl = ctypes.CDLL(None, use_errno=True).prctl

    def set_death_signal() -> None:
        prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
        signal.pthread_sigmask(signal.SIG_BLOCK, blocked)
        if os.getppid() != parent:
            os._exit(1)

    return set_death_signal


def spawn(
    command: list[str],
    log: Path,
    variables: dict[str, str] | None = None,
    blocked: Collection[signal.Signals] = (),
) -> "subprocess.Popen[bytes]":
    """Start a process in a session of its own; call this from the main thread.

    :param log: file to which the process's output is appended.
    :param variables: environment variables in addition to those of this process.
    :param blocked: signals that the process inherits as blocked.
    """
    with log.open("ab") as output:
        return subprocess.Popen(
            command,
            stdout=output,
            stderr=output,
            start_new_session=True,
            env={**os.environ, **(variables or {})},
            preexec_fn=_ends_with(os.getpid(), blocked),
        )
