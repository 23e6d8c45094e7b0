"""
chalkyoke.tunnels.dialer

Opens connections to replicas from this host, or through other hosts while this host's own path is
lost. A connection that fails says nothing of the replica until this host has reached another one.
"""

import asyncio
import math
from collections.abc import Callable, Coroutine
from typing import Any

from chalkyoke.http1.client import ClientConnection
from chalkyoke.http1.dialing import ConnectFailure, DirectDialer, MakeConnection
from chalkyoke.http1.pool import ConnectionPool
from chalkyoke.logs import logger
from chalkyoke.tunnels.messages import TunnelOutcome
from chalkyoke.tunnels.opener import TunnelOpener
from chalkyoke.tunnels.paths import Address, PathTable

# Timeout of a connection that checks a path, in seconds: as for a send.
CHECK_TIMEOUT_S = 0.12
# Longest time that the end of a send waits for the check of its path, in seconds: some round trips.
MAX_CHECK_S = 0.05
# Time that a refused connection waits for a tunnel while this host reaches other replicas, in
# seconds: a few round trips. After a timeout the request goes to another replica at once. The
# tunnel is opened anyway, for later requests.
TUNNEL_WAIT_S = 0.05
# Highest number of other replicas by which this host checks whether it reaches any.
COMPARED_REPLICAS = 2
# Time for which this host relies on a check that reached none, in seconds.
ISOLATION_VALID_S = 0.25
# Interval at which :meth:`FleetDialer.check_silent` is called, and the time without bytes after
# which the path of a busy connection is checked, in seconds.
SILENCE_CHECK_INTERVAL_S = 0.25
MAX_SILENCE_S = 0.8

log = logger("tunnels")


class FleetDialer:
    """Open connections to replicas, through other hosts where this host's own path is lost.

    :param replicas: returns the addresses of all replicas.
    :param random: source of numbers in [0, 1).
    :ivar pool: the pool of the connections; set it before the first call.
    """

    pool: ConnectionPool

    def __init__(
        self,
        opener: TunnelOpener,
        replicas: Callable[[], set[Address]],
        random: Callable[[], float],
    ) -> None:
        self._opener = opener
        self._replicas = replicas
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._direct = DirectDialer()
        self._paths = PathTable()
        self._checks: dict[Address, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._isolated_until = 0.0
        self._checked_sends: dict[ClientConnection, float] = {}

    @property
    def lost_paths(self) -> int:
        """Number of replicas that only other hosts reach."""
        return len(self._paths.lost)

    async def dial(
        self, make: MakeConnection, ip: str, port: int, timeout_s: float
    ) -> ClientConnection | ConnectFailure:
        """Open a connection.

        :param make: creates the protocol of the connection.
        :param timeout_s: limit for one attempt from this host, in seconds.
        """
        address = (ip, port)
        if self._paths.is_lost(address):
            if self._paths.is_check_due(address, self._loop.time()):
                self._check_soon(address)
            tunnel = await self._open_tunnel(address, make)
            if tunnel is not None:
                return tunnel
        began = self._loop.time()
        found = await self._direct.dial(make, ip, port, timeout_s)
        if isinstance(found, ClientConnection):
            self._record_reached(address)
            return found
        return await self._dial_around(address, make, found, began)

    async def is_path_lost(self, ip: str, port: int) -> bool:
        """Check whether only other hosts reach a replica whose connection has failed.

        :return: false also if this is not known within :data:`MAX_CHECK_S`.
        """
        address = (ip, port)
        if not self._paths.is_lost(address):
            await asyncio.wait((self._check_soon(address),), timeout=MAX_CHECK_S)
        return self._paths.is_lost(address)

    async def reaches_others(self, address: Address, since: float) -> bool:
        """Return whether this host reaches other replicas.

        :param address: the replica that it did not reach.
        :param since: when it tried, on the loop's clock. Bytes that arrived since then are proof
            enough.
        """
        heard_at = self._heard_at()
        if any(at > since for each, at in heard_at.items() if each != address):
            return True
        others = [each for each in self._replicas() if each != address]
        if not others:
            return True
        if self._loop.time() < self._isolated_until:
            return False
        # A host that is cut from some failure domains has last heard from those that it reaches.
        others.sort(key=lambda each: (-heard_at.get(each, -math.inf), self._random()))
        checks = [self._reaches(each) for each in others[:COMPARED_REPLICAS]]
        if any(await asyncio.gather(*checks)):
            return True
        self._isolated_until = self._loop.time() + ISOLATION_VALID_S
        return False

    def check_silent(self) -> None:
        """Check the paths of connections on which a request has been silent for too long.

        Call every :data:`SILENCE_CHECK_INTERVAL_S`.
        """
        oldest = self._loop.time() - MAX_SILENCE_S
        heard = {address for address, at in self._heard_at().items() if at > oldest}
        checked: dict[ClientConnection, float] = {}
        for address, each in self.pool.connections():
            if not each.is_busy or each.via or each.active_at > oldest or address in heard:
                continue
            checked[each] = each.active_at
            if self._checked_sends.get(each) != each.active_at:
                self._check_soon(address)
        self._checked_sends = checked

    def retire_tunnels(self) -> None:
        """Let no other request use the tunnels through hosts that are leaving or lost."""
        fit = self._opener.fit_processes()
        for _, each in self.pool.connections():
            if each.via and each.via not in fit:
                each.retire()

    def prune(self) -> None:
        """Remove the state of replicas that no longer exist."""
        self._paths.prune(self._replicas())

    def close(self) -> None:
        """Cancel the running checks."""
        for task in (*self._checks.values(), *self._tasks):
            task.cancel()

    # Connections.

    async def _dial_around(
        self, address: Address, make: MakeConnection, failure: ConnectFailure, since: float
    ) -> ClientConnection | ConnectFailure:
        """Try a tunnel after this host could not connect.

        :param since: when this host tried, on the loop's clock.
        """
        reaching: asyncio.Task[bool] = self._start(self.reaches_others(address, since))
        tunnelling: asyncio.Task[ClientConnection | None]
        tunnelling = self._start(self._open_tunnel(address, make))
        try:
            await asyncio.wait((reaching, tunnelling), return_when=asyncio.FIRST_COMPLETED)
            if not tunnelling.done():
                refused = failure is ConnectFailure.REFUSED
                wait_s = (TUNNEL_WAIT_S if refused else 0.0) if reaching.result() else None
                await asyncio.wait((tunnelling,), timeout=wait_s)
            if not tunnelling.done():
                tunnelling.add_done_callback(lambda task: self._keep_spare(address, task))
                return failure
            tunnel = tunnelling.result()
            if tunnel is not None:
                reaching.cancel()
                return tunnel
            return failure if await reaching else ConnectFailure.NO_PATH
        except asyncio.CancelledError:
            reaching.cancel()
            tunnelling.add_done_callback(lambda task: self._keep_spare(address, task))
            raise

    async def _open_tunnel(self, address: Address, make: MakeConnection) -> ClientConnection | None:
        """Open a tunnel, and record that this host's own path is lost if there is one."""
        now = self._loop.time()
        if not self._paths.may_tunnel(address, now):
            return None
        tunnel = await self._opener.open(address, make)
        if not isinstance(tunnel, ClientConnection):
            if tunnel is not TunnelOutcome.BUSY:
                self._paths.record_no_tunnel(address, self._loop.time())
            return None
        if self._paths.record_lost(address, self._loop.time()):
            log.notice("path_lost", replica=_format(address), via=tunnel.via)
            self._retire_hanging(address, now)
        return tunnel

    def _retire_hanging(self, address: Address, since: float) -> None:
        """Stop the use of connections that may hang, and check the paths to the other replicas.

        :param since: when the loss was found, on the loop's clock.
        """
        for other, each in self.pool.connections():
            if each.via or each.heard_at > since:
                continue
            if other == address:
                each.retire()
            elif not self._paths.is_lost(other):
                self._check_soon(other)

    def _keep_spare(self, address: Address, task: "asyncio.Task[ClientConnection | None]") -> None:
        """Keep the connection that a task has opened too late for its request."""
        if not task.cancelled() and task.exception() is None:
            spare = task.result()
            if spare is not None:
                self.pool.adopt(*address, spare)

    # Checks.

    def _check_soon(self, address: Address) -> "asyncio.Task[None]":
        """Check a path; return the check that is running already, if there is one."""
        check = self._checks.get(address)
        if check is None:
            check = self._checks[address] = self._loop.create_task(self._check(address))
            check.add_done_callback(lambda _: self._checks.pop(address, None))
        return check

    async def _check(self, address: Address) -> None:
        """Find out whether this host or only another one reaches a replica."""
        if await self._reaches(address):
            return
        if self._paths.is_lost(address):
            self._paths.record_check_failed(address, self._loop.time())
            return
        tunnel = await self._open_tunnel(address, self.pool.make_connection)
        if tunnel is not None:
            self.pool.adopt(*address, tunnel)

    async def _reaches(self, address: Address) -> bool:
        """Connect to a replica, and keep the connection for a request."""
        found = await self._direct.dial(self.pool.make_connection, *address, CHECK_TIMEOUT_S)
        if not isinstance(found, ClientConnection):
            return False
        self._record_reached(address)
        self.pool.adopt(*address, found)
        return True

    def _record_reached(self, address: Address) -> None:
        if not self._paths.record_reached(address):
            return
        log.notice("path_back", replica=_format(address))
        for other, each in self.pool.connections():
            if other == address and each.via:
                each.retire()

    def _heard_at(self) -> dict[Address, float]:
        """Return when bytes last arrived from each replica, without another host."""
        found: dict[Address, float] = {}
        for address, each in self.pool.connections():
            if not each.via:
                found[address] = max(each.heard_at, found.get(address, -math.inf))
        return found

    def _start(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _format(address: Address) -> str:
    ip, port = address
    return f"{ip}:{port}"
