"""
chalkyoke.memory.limit

Derives the limit of the account from the memory of the host.
"""

BYTES_PER_MB = 1_000_000
# Share of the host's memory that stays outside of the account: for the objects of connections and
# requests in progress, copies that exist for a moment, memory that the allocator holds, and
# received bytes that the program has not read yet.
RESERVE_SHARE = 0.2
# Lowest limit, in bytes, for a host whose memory the program itself nearly fills: requests of a
# usual size must still be served.
MIN_LIMIT_BYTES = 4_000_000
# Time after the start during which the memory of the program itself grows, in seconds: the node
# reads its catalog and opens its links.
START_S = 5.0


def account_limit_bytes(host_mb: float, program_bytes: int) -> int:
    """Return the number of bytes that may be buffered.

    :param host_mb: memory of the host, in MB.
    :param program_bytes: memory that the program itself uses, in bytes.
    :rtype: int
    """
    host_bytes = host_mb * BYTES_PER_MB
    free = host_bytes * (1 - RESERVE_SHARE) - program_bytes
    return max(MIN_LIMIT_BYTES, int(free))
