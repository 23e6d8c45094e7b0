"""
chalkyoke.node.allocator

Settings of the C library's allocator, for large buffers that come and go.
"""

import contextlib
import ctypes

# M_MMAP_THRESHOLD of mallopt (malloc.h of glibc).
_MMAP_THRESHOLD = -3
# Size from which on a buffer gets pages of its own, which return to the system when it is freed, in
# bytes. It is above the 256 KB that asyncio allocates for each read.
MMAP_BYTES = 1_048_576


def return_large_buffers() -> None:
    """Make freed large buffers return to the system; no effect with another C library."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_MMAP_THRESHOLD, MMAP_BYTES)


def trim() -> None:
    """Return the free pages of the heap to the system; no effect with another C library."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).malloc_trim(0)
