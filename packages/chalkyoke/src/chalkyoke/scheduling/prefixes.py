"""
chalkyoke.scheduling.prefixes

An approximate index of the prompt prefixes in the engines' caches. Grants insert blocks, eviction
events remove them, and the cache hits that engines report correct the assumed cache capacity.
"""

from collections import OrderedDict

# Factors by which a miss or a hit changes the assumed capacity of an engine's cache, and the lower
# bound of the assumed capacity as a share of the configured one.
MISS_SHRINK_FACTOR = 0.95
HIT_GROWTH_FACTOR = 1.01
MIN_ASSUMED_SHARE = 0.1


class PrefixIndex:
    """Look up how many leading blocks of a prompt each engine has cached."""

    def __init__(self) -> None:
        self._holders: dict[int, set[str]] = {}
        self._blocks: dict[str, OrderedDict[int, None]] = {}
        self._capacity: dict[str, int] = {}
        self._assumed_capacity: dict[str, float] = {}

    def add_upstream(self, upstream: str, capacity: int) -> None:
        """Add an engine, or update its capacity.

        :param capacity: number of blocks in its cache.
        """
        self._blocks.setdefault(upstream, OrderedDict())
        self._assumed_capacity.setdefault(upstream, float(capacity))
        self._capacity[upstream] = capacity

    def remove_upstream(self, upstream: str) -> None:
        """Remove an engine and its blocks."""
        self.drop_blocks(upstream, tuple(self._blocks.get(upstream, ())))
        for table in (self._blocks, self._capacity, self._assumed_capacity):
            table.pop(upstream, None)

    def matches(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Count the leading blocks that each engine has probably cached.

        :return: number of blocks by upstream id, without engines that have none.
        """
        depths: dict[str, int] = {}
        matching: set[str] | None = None
        for depth, block in enumerate(blocks):
            holders = self._holders.get(block)
            if not holders:
                break
            matching = holders if matching is None else matching & holders
            if not matching:
                break
            for upstream in matching:
                depths[upstream] = depth + 1
        return depths

    def insert_blocks(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Record that an engine reads a prompt and caches its blocks; evict the oldest ones."""
        blocks_held = self._blocks.get(upstream)
        if blocks_held is None or self._capacity[upstream] <= 0:
            return

        # Insert the last block first, so that the shared head of many prompts is the most recently
        # used one.
        for block in reversed(blocks):
            blocks_held[block] = None
            blocks_held.move_to_end(block)
            self._holders.setdefault(block, set()).add(upstream)
        while len(blocks_held) > self._assumed_capacity[upstream]:
            block, _ = blocks_held.popitem(last=False)
            self._remove_holder(upstream, block)

    def drop_blocks(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Record that an engine evicted blocks."""
        blocks_held = self._blocks.get(upstream)
        if blocks_held is None:
            return
        for block in blocks:
            if block in blocks_held:
                del blocks_held[block]
                self._remove_holder(upstream, block)

    def correct_capacity(self, upstream: str, expected_blocks: int, found_blocks: int) -> None:
        """Adjust the assumed capacity of an engine's cache after a request.

        :param expected_blocks: leading blocks that the index expected to be cached.
        :param found_blocks: leading blocks that the engine found in its cache.
        """
        capacity = self._capacity.get(upstream)
        if not capacity or expected_blocks == 0:
            return
        factor = MISS_SHRINK_FACTOR if found_blocks < expected_blocks else HIT_GROWTH_FACTOR
        assumed = self._assumed_capacity[upstream] * factor
        self._assumed_capacity[upstream] = min(capacity, max(MIN_ASSUMED_SHARE * capacity, assumed))

    def _remove_holder(self, upstream: str, block: int) -> None:
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders:
            del self._holders[block]
