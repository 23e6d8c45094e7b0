"""
chalkyoke.entry.ports

Interfaces that the entry slice needs from the rest of the process.
"""

from typing import Protocol

from chalkyoke.configuration.resources import Service
from chalkyoke.scheduling.messages import EntryMessage


class SchedulerPort(Protocol):
    """Access to the schedulers of pools, local or remote."""

    def owner(self, pool: str) -> str:
        """Return the id of the process that schedules a pool now."""

    def send(self, process: str, message: EntryMessage) -> None:
        """Send a message to the scheduler in a process."""

    def is_alive(self, process: str) -> bool:
        """Return whether a process is in the membership view."""


class ConfigurationPort(Protocol):
    """Lookups in the active configuration."""

    def service(self, name: str) -> Service | None:
        """Find a service by its name; None for an unknown one."""

    def pool(self, request_service: str, request: str) -> str:
        """Return the pool that a request of a service belongs to."""

    def pools(self) -> list[str]:
        """List all pools."""

    def may_dispatch(self, upstream: str) -> bool:
        """Return whether an upstream accepts new requests, as far as this process knows."""
