"""
chalkyoke.configuration.state

The configuration in force on one node. It only moves to a higher revision.
"""

import msgspec
from result import Err, Ok, Result

from chalkyoke.configuration.chunks import chunk_hash, merge_chunks
from chalkyoke.configuration.messages import Root
from chalkyoke.configuration.resources import Resources, Specs, build_resources
from chalkyoke.invariants import require

EMPTY_ROOT = Root(0, {}, ())


class ConfigurationState:
    """Hold the revision in force, its chunks and its resources."""

    def __init__(self) -> None:
        self.root = EMPTY_ROOT
        self.chunks: dict[str, bytes] = {}
        self.specs: Specs = {}
        self.resources = Resources()

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        return self.root.revision

    def missing_chunks(self, root: Root) -> list[str]:
        """List the hashes of a root's chunks that are not held here.

        :rtype: list[str]
        """
        return [each for each in root.chunks.values() if each not in self.chunks]

    def apply_root(self, root: Root, fetched: dict[str, bytes]) -> Result[bool, str]:
        """Move to a configuration, if its revision is higher.

        :param root: what the store or a peer gave.
        :param fetched: chunks by hash, as far as they were not held.
        :return: whether it was taken, or why it can't be read.
        :raises InvariantBroken: when one revision has two contents.
        """
        if root.revision <= self.revision:
            self._check_same(root)
            return Ok(False)

        chunks: dict[str, bytes] = {}
        for name, digest in root.chunks.items():
            content = fetched.get(digest, self.chunks.get(digest))
            if content is None:
                return Err(f"chunk {name} of revision {root.revision} is missing")
            if chunk_hash(content) != digest:
                return Err(f"chunk {name} of revision {root.revision} has another content")
            chunks[digest] = content
        return self._take(root, chunks)

    def _take(self, root: Root, chunks: dict[str, bytes]) -> Result[bool, str]:
        try:
            specs = merge_chunks(chunks)
        except (ValueError, msgspec.MsgspecError) as error:
            return Err(f"revision {root.revision} is not readable: {error}")
        built = build_resources(specs, (self.specs, self.resources))
        if isinstance(built, Err):
            first = built.err_value[0]
            return Err(f"revision {root.revision}: {first.path}: {first.message}")

        before = self.revision
        self.root, self.chunks = root, chunks
        self.specs, self.resources = specs, built.ok_value
        require(
            self.revision > before, "a configuration never reverts", held=before, now=self.revision
        )
        return Ok(True)

    def _check_same(self, root: Root) -> None:
        if root.revision == self.revision and root.revision > 0:
            require(
                root.chunks == self.root.chunks,
                "one revision has one content",
                revision=root.revision,
            )
