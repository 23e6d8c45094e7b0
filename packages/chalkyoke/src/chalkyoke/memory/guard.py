"""
chalkyoke.memory.guard

Watches the resident memory of the process, since the account doesn't see everything: objects of
connections, copies that exist for a moment, and what the allocator keeps. Performs no I/O.
"""

from chalkyoke.memory.account import MemoryAccount
from chalkyoke.memory.limit import BYTES_PER_MB

# Share of the host's memory at which large bodies are refused whatever the account says, and the
# one below which they are admitted again.
NEARLY_FULL_SHARE = 0.9
RELIEVED_SHARE = 0.85


class ResidentGuard:
    """Whether the process has nearly reached the memory of its host.

    :param host_mb: memory at which the host ends the process, in MB.
    """

    def __init__(self, account: MemoryAccount, host_mb: float) -> None:
        self._account = account
        self._host_bytes = host_mb * BYTES_PER_MB

    def on_measured(self, resident_bytes: int) -> bool:
        """Follow the resident memory.

        :return: whether it has become nearly full or been relieved.
        """
        was_full = self._account.is_nearly_full
        share = RELIEVED_SHARE if was_full else NEARLY_FULL_SHARE
        is_full = resident_bytes >= share * self._host_bytes
        self._account.is_nearly_full = is_full
        return is_full != was_full
