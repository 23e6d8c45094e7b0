"""
chalkyoke.entry.ports

What the entry slice needs of the rest of the process.
"""

from typing import Protocol

from chalkyoke.configuration.resources import Service
from chalkyoke.scheduling.messages import EntryMessage


class SchedulerPort(Protocol):
    """The way to the schedulers of pools, wherever they run."""

    def owner(self, pool: str) -> str:
        """Give the id of the process that schedules a pool now."""

    def send(self, process: str, message: EntryMessage) -> None:
        """Send a message to the scheduler in a process."""

    def is_alive(self, process: str) -> bool:
        """Tell whether a process is in the membership view."""


class ConfigurationPort(Protocol):
    """What the entry slice asks of the configuration in force."""

    def service(self, name: str) -> Service | None:
        """Find a service."""

    def pool(self, request_service: str, request: str) -> str:
        """Give the pool that a request of a service belongs to."""

    def pools(self) -> list[str]:
        """List all pools."""

    def may_dispatch(self, upstream: str) -> bool:
        """Tell whether an upstream takes new work, as far as this process knows."""
