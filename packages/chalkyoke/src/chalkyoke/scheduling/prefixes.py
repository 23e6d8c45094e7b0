"""
chalkyoke.scheduling.prefixes

A guess at which engine holds which prompt prefix. Grants fill it, engines' events correct it, and
what an engine says it found in its cache corrects how much it is believed to hold.
"""

from collections import OrderedDict

# What one answer of an engine changes of the part of its cache that is believed, as factors.
MISS_SHRINK_FACTOR = 0.95
HIT_GROWTH_FACTOR = 1.01
MIN_BELIEVED_SHARE = 0.1


class PrefixIndex:
    """Look up, for one prompt, how many of its leading blocks each engine holds."""

    def __init__(self) -> None:
        self._holders: dict[int, set[str]] = {}
        self._held: dict[str, OrderedDict[int, None]] = {}
        self._capacity: dict[str, int] = {}
        self._believed: dict[str, float] = {}

    def add_upstream(self, upstream: str, capacity: int) -> None:
        """Start to follow an engine.

        :param capacity: blocks that its cache holds.
        """
        self._held.setdefault(upstream, OrderedDict())
        self._believed.setdefault(upstream, float(capacity))
        self._capacity[upstream] = capacity

    def remove_upstream(self, upstream: str) -> None:
        """Forget an engine."""
        self.drop_blocks(upstream, tuple(self._held.get(upstream, ())))
        for table in (self._held, self._capacity, self._believed):
            table.pop(upstream, None)

    def matches(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Count the leading blocks that each engine is believed to hold.

        :return: upstream id to blocks; engines that hold none are left out.
        """
        depths: dict[str, int] = {}
        alive: set[str] | None = None
        for depth, block in enumerate(blocks):
            holders = self._holders.get(block)
            if not holders:
                break
            alive = holders if alive is None else alive & holders
            if not alive:
                break
            for upstream in alive:
                depths[upstream] = depth + 1
        return depths

    def insert_blocks(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Note that an engine reads a prompt, and so caches its blocks."""
        held = self._held.get(upstream)
        if held is None or self._capacity[upstream] <= 0:
            return

        # Last block first: the shared head of many prompts is then the most recently used.
        for block in reversed(blocks):
            held[block] = None
            held.move_to_end(block)
            self._holders.setdefault(block, set()).add(upstream)
        while len(held) > self._believed[upstream]:
            block, _ = held.popitem(last=False)
            self._forget(upstream, block)

    def drop_blocks(self, upstream: str, blocks: tuple[int, ...]) -> None:
        """Note that an engine dropped blocks."""
        held = self._held.get(upstream)
        if held is None:
            return
        for block in blocks:
            if block in held:
                del held[block]
                self._forget(upstream, block)

    def correct_capacity(self, upstream: str, expected_blocks: int, found_blocks: int) -> None:
        """Learn how much an engine's cache really holds.

        :param expected_blocks: leading blocks that were believed to be cached.
        :param found_blocks: leading blocks that the engine found.
        """
        capacity = self._capacity.get(upstream)
        if not capacity or expected_blocks == 0:
            return
        factor = MISS_SHRINK_FACTOR if found_blocks < expected_blocks else HIT_GROWTH_FACTOR
        believed = self._believed[upstream] * factor
        self._believed[upstream] = min(capacity, max(MIN_BELIEVED_SHARE * capacity, believed))

    def _forget(self, upstream: str, block: int) -> None:
        holders = self._holders[block]
        holders.discard(upstream)
        if not holders:
            del self._holders[block]
