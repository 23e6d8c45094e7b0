"""
chalkyoke.gateway.announcements

What an exchange tells of the things that replicas say of themselves in their answers.
"""

from typing import Protocol

from chalkyoke.catalog.resources import Replica


class AnnouncementPort(Protocol):
    """Takes what replicas say of themselves."""

    def leaves(self, replica: Replica) -> None:
        """Note that a replica says that it leaves."""

    def rests(self, replica: Replica, seconds: float) -> None:
        """Note that a replica wants nothing of this node for some time.

        :param seconds: as the replica said.
        """
