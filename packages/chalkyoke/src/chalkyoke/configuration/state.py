"""
chalkyoke.configuration.state

The configuration in force on one node. Its revision only rises.
"""

from result import Err, Ok, Result

from chalkyoke.configuration.chunks import chunk_hash, merge_chunks
from chalkyoke.configuration.messages import Root
from chalkyoke.configuration.resources import Resources, Specs, build_resources
from chalkyoke.invariants import require

EMPTY_ROOT = Root(0, {}, ())


class ConfigurationState:
    """Hold the root of the configuration in force, its chunks by hash, specs and resources."""

    def __init__(self) -> None:
        self.root = EMPTY_ROOT
        self.chunks: dict[str, bytes] = {}
        self.specs: Specs = {}
        self.resources = Resources()

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first configuration."""
        return self.root.revision

    def missing_chunks(self, root: Root) -> list[str]:
        """List the hashes of a root's chunks that this node lacks.

        :rtype: list[str]
        """
        return [each for each in root.chunks.values() if each not in self.chunks]

    def apply_root(self, root: Root, fetched: dict[str, bytes]) -> Result[bool, str]:
        """Apply a configuration if its revision is higher.

        :param root: the root from the store or a peer.
        :param fetched: the chunks that this node lacked, by hash.
        :return: whether the configuration was applied, or why it can't be.
        """
        if root.revision <= self.revision:
            if root.revision == self.revision and root.chunks != self.root.chunks:
                return Err(f"revision {root.revision} has another content than the one in force")
            return Ok(False)

        chunks: dict[str, bytes] = {}
        for name, digest in root.chunks.items():
            content = fetched.get(digest, self.chunks.get(digest))
            if content is None:
                return Err(f"chunk {name} of revision {root.revision} is missing")
            if chunk_hash(content) != digest:
                return Err(f"chunk {name} of revision {root.revision} does not match its hash")
            chunks[digest] = content
        return self._decode_and_apply(root, chunks)

    def _decode_and_apply(self, root: Root, chunks: dict[str, bytes]) -> Result[bool, str]:
        merged = merge_chunks(chunks)
        if isinstance(merged, Err):
            return Err(f"revision {root.revision} can't be decoded: {merged.err_value}")
        specs = merged.ok_value
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
