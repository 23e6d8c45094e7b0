"""
chalkyoke.node.memory

The memory of a host: its account, its limit and what operators see of them.
"""

import os
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Protocol

from chalkyoke.administration.metrics import Metrics
from chalkyoke.catalog.resources import Catalog
from chalkyoke.gateway.intake import Intake, RefusedHead
from chalkyoke.gateway.ports import HeaderFormat
from chalkyoke.http1.memory import CallerMemory
from chalkyoke.links.peers import Links
from chalkyoke.logs import logger
from chalkyoke.memory.account import MemoryAccount, Purpose
from chalkyoke.memory.guard import ResidentGuard
from chalkyoke.memory.limit import BYTES_PER_MB, START_S, account_limit_bytes
from chalkyoke.memory.receiving import ReceiveBuffers
from chalkyoke.memory.refusals import Refusals
from chalkyoke.node import allocator

# How often buffers that drain are measured and stopped readers are looked for, in seconds: shorter
# than a refused caller takes to return.
TICK_S = 0.25
# Memory that the program is assumed to use where the system does not tell, in bytes.
USUAL_PROGRAM_BYTES = 60_000_000
# Number of callers' connections up to which what the process uses counts as the program's memory;
# the objects of more would lower the limit for good.
FEW_CONNECTIONS = 32
STATM = Path("/proc/self/statm")

log = logger("memory")


class MemorySettings(Protocol):
    """The section of the settings that states the memory of the host."""

    @property
    def limit_mb(self) -> float:
        """Memory at which the host ends the process, in MB."""

    @property
    def is_accounted(self) -> bool:
        """Whether buffered bytes are accounted for and limited."""


class HostMemory:
    """Accounts for the buffers of this host, if the settings ask for it.

    :param now: the node's clock, in seconds since its start.
    :param loop_time: the loop's clock, in seconds.
    """

    def __init__(
        self,
        settings: MemorySettings,
        metrics: Metrics,
        now: Callable[[], float],
        loop_time: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._now = now
        self._loop_time = loop_time
        self._program_bytes = 0
        self.account = MemoryAccount()
        self._links_charge = self.account.open(Purpose.LINKS)
        self._receive_buffers = ReceiveBuffers(settings.limit_mb)
        self.callers = CallerMemory(self.account, buffers=self._receive_buffers)
        self._guard = ResidentGuard(self.account, settings.limit_mb)
        self._refusals = Refusals()
        if settings.is_accounted:
            allocator.return_large_buffers()
            self._measure_program()
        self._register_gauges()

    def admit_callers(self, headers: HeaderFormat, catalog: Callable[[], Catalog]) -> CallerMemory:
        """Return what callers' connections share; they refuse requests when memory is scarce."""
        intake = Intake(self.account, headers, catalog, self._log_refused)
        self.callers = CallerMemory(
            self.account,
            intake,
            self._log_upload_refused,
            self._log_head_refused,
            self._receive_buffers,
        )
        return self.callers

    def bound_links(self, links: Links) -> None:
        """Bound the queues of links by the account."""
        if self.account.is_limited:
            links.max_unsent_bytes = lambda: self.account.link_share

    def tick(self, links: Links) -> None:
        """Measure what drains, and release buffers of stopped readers; call each ``TICK_S``."""
        if not self.account.is_limited:
            return
        if self._now() < START_S and self.callers.most_connections <= FEW_CONNECTIONS:
            self._measure_program()
        self._watch_resident()
        self._links_charge.resize(links.buffered_bytes())
        now = self._loop_time()
        self._log_refusals_ended(now)
        self.callers.refresh(now)
        for released in self.callers.release_stopped(now):
            self._metrics.count("memory_released")
            self._metrics.count("memory_released_bytes", released.size)
            log.notice(
                "memory_released",
                bytes=released.size,
                stopped_s=round(released.stopped_s, 1),
                total=self.account.total,
                limit=self.account.limit_bytes,
            )

    def _watch_resident(self) -> None:
        """Refuse large bodies while the process has nearly reached the memory of its host."""
        resident = resident_bytes()
        changed = self._guard.on_measured(resident)
        if self.account.is_nearly_full:
            allocator.trim()
        if changed:
            log.warning(
                "memory_nearly_full" if self.account.is_nearly_full else "memory_relieved",
                resident=resident,
                host_limit=int(self._settings.limit_mb * BYTES_PER_MB),
                total=self.account.total,
            )

    def _measure_program(self) -> None:
        """Set the limit by the memory that the program uses besides the buffers."""
        # Freed buffers may stay with the allocator.
        used = resident_bytes() - self.account.peak
        if used <= self._program_bytes:
            return
        self._program_bytes = used
        self.account.limit_bytes = account_limit_bytes(self._settings.limit_mb, used)

    def _register_gauges(self) -> None:
        account = self.account
        host_bytes = self._settings.limit_mb * BYTES_PER_MB
        self._metrics.register_gauge("memory_resident_bytes", resident_bytes)
        self._metrics.register_gauge("memory_host_limit_bytes", lambda: host_bytes)
        self._metrics.register_gauge("memory_limit_bytes", lambda: account.limit_bytes)
        self._metrics.register_gauge("memory_buffered_bytes", lambda: account.total)
        self._metrics.register_gauge("memory_program_bytes", lambda: self._program_bytes)
        for purpose in Purpose:
            read = partial(account.by_purpose.__getitem__, purpose)
            self._metrics.register_gauge(f"memory_{purpose}_bytes", read)

    def _log_refusals_begun(self, cause: str) -> None:
        if self._refusals.on_refused(self._loop_time()):
            log.warning(
                "memory_refusals_begun",
                cause=cause,
                resident=resident_bytes(),
                total=self.account.total,
                limit=self.account.limit_bytes,
            )

    def _log_refusals_ended(self, now: float) -> None:
        if ended := self._refusals.on_tick(now):
            log.warning(
                "memory_refusals_ended",
                refused=ended.refused,
                lasted_s=round(ended.lasted_s, 1),
                total=self.account.total,
                limit=self.account.limit_bytes,
            )

    def _log_refused(self, refused: RefusedHead) -> None:
        self._log_refusals_begun("head")
        self._metrics.count("memory_refused", tier=str(refused.rank), cause="head")
        log.notice(
            "memory_refused",
            request=refused.request_id,
            tier=refused.rank,
            bytes=refused.length,
            total=self.account.total,
            limit=self.account.limit_bytes,
        )

    def _log_head_refused(self) -> None:
        self._log_refusals_begun("part of a head")
        self._metrics.count("memory_refused", tier="", cause="part of a head")
        log.notice("memory_head_refused", total=self.account.total, limit=self.account.limit_bytes)

    def _log_upload_refused(self) -> None:
        self._log_refusals_begun("upload")
        self._metrics.count("memory_refused", tier="", cause="upload")
        log.notice(
            "memory_upload_refused", total=self.account.total, limit=self.account.limit_bytes
        )


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    try:
        pages = int(STATM.read_text(encoding="ascii").split()[1])
    except (OSError, ValueError, IndexError):
        return USUAL_PROGRAM_BYTES
    return pages * os.sysconf("SC_PAGE_SIZE")
