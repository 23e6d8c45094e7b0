"""
chalkyoke.configuration.publisher

Publish one change: write its chunks, then swap the root. A swap whose answer is lost is settled
by reading the root back before anything is reported. No I/O: the machine asks for store calls.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import msgpack
import msgspec

from chalkyoke.configuration.chunks import MAX_CHUNK_BYTES, chunk_hash, merge_chunks, split_chunks
from chalkyoke.configuration.messages import Revision, Root
from chalkyoke.configuration.resources import Problem, Specs, build_resources, check_spec
from chalkyoke.configuration.state import EMPTY_ROOT

ROOT_KEY = "chalkyoke/root"
CHUNK_PREFIX = "chalkyoke/chunk/"
# Revisions that are remembered in the root, in number: some five hours of 1,300 changes a day.
HISTORY_LENGTH = 256
# How often a swap that another change has overtaken is tried, in number.
MAX_SWAPS = 8
# How often the root is read to settle a swap whose answer was lost, in number.
MAX_READS = 6


@dataclass(frozen=True, slots=True)
class Get:
    """Ask the store for a value."""

    key: str


@dataclass(frozen=True, slots=True)
class Put:
    """Ask the store to write a value if its version is still the expected one; 0 is absent."""

    key: str
    value: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class Found:
    """A value and its version; version 0 and no value where the key is absent."""

    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect."""

    version: int


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The write did not take effect: the version was another."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call did not take effect: the store was not reached, or refused it."""


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The call may or may not have taken effect."""


StoreCall = Get | Put
StoreAnswer = Found | Written | Mismatch | Unavailable | AnswerLost


@dataclass(frozen=True, slots=True)
class Change:
    """What an operator wants.

    :param change_id: the same for every try of the same change.
    :param base: the revision that the operator saw; ``None`` takes the current one.
    :param upserts: whole specs by (kind, name).
    :param deletes: resources to take away.
    """

    change_id: str
    author: str
    base: int | None
    upserts: Specs
    deletes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is known to have taken effect."""

    root: Root
    revision: int
    paths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change touched the same fields first; nothing was changed."""

    paths: tuple[str, ...]
    other: Revision | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change does not fit; nothing was changed."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class NotReached:
    """The store is away; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Unsettled:
    """It can't be told yet whether the change took effect; ask again with the same change id."""

    change_id: str


ApplyOutcome = Accepted | Conflict | Invalid | NotReached | Unsettled
StoreProgram = Generator[StoreCall, StoreAnswer, ApplyOutcome]


def encode_root(root: Root) -> bytes:
    """Write a root for the store.

    :rtype: bytes
    """
    packed: bytes = msgpack.packb(msgspec.to_builtins(root))
    return packed


def decode_root(value: bytes | None) -> Root:
    """Read a root from the store; an absent one is revision 0.

    :raises ValueError: when it is not readable.
    """
    if value is None:
        return EMPTY_ROOT
    return msgspec.convert(msgpack.unpackb(value), Root)


def changed_paths(before: Specs, after: Specs) -> tuple[str, ...]:
    """List the fields in which two configurations differ, as ``kind/name.field``.

    :rtype: tuple[str, ...]
    """
    paths: list[str] = []
    for key in sorted(set(before) | set(after)):
        old: dict[str, Any] = before.get(key, {})
        new: dict[str, Any] = after.get(key, {})
        paths += [
            f"{key[0]}/{key[1]}.{field}"
            for field in sorted(set(old) | set(new))
            if old.get(field) != new.get(field)
        ]
    return tuple(paths)


def publish_change(change: Change, now_ms: int) -> StoreProgram:
    """Publish one change.

    Drive it with ``send``: it yields a :class:`Get` or :class:`Put` and wants the store's answer.

    :param now_ms: wall time, in milliseconds, for the history only.
    :return: the outcome, as the generator's return value.
    """
    swapped = False
    for _ in range(MAX_SWAPS):
        found = yield from _read(ROOT_KEY)
        if found is None:
            return Unsettled(change.change_id) if swapped else NotReached()
        root = decode_root(found.value)
        settled = _find(root, change.change_id)
        if settled is not None:
            return Accepted(root, settled.number, settled.paths)

        before = yield from _load(root)
        if before is None:
            return Unsettled(change.change_id) if swapped else NotReached()
        planned = plan_change(root, before, change, now_ms)
        if not isinstance(planned, Planned):
            return planned
        if not planned.paths and not swapped:
            return Accepted(root, root.revision, ())

        stored = yield from _store_chunks(planned.chunks, root)
        if not stored:
            return Unsettled(change.change_id) if swapped else NotReached()
        answer = yield Put(ROOT_KEY, encode_root(planned.root), found.version)
        if isinstance(answer, Written):
            return Accepted(planned.root, planned.root.revision, planned.paths)
        swapped = swapped or isinstance(answer, AnswerLost)
    return Unsettled(change.change_id) if swapped else NotReached()


@dataclass(frozen=True, slots=True)
class Planned:
    """A change worked out against one root.

    :param chunks: all chunks of the new configuration, by hash.
    """

    root: Root
    specs: Specs
    chunks: dict[str, bytes]
    paths: tuple[str, ...]


def plan_change(
    root: Root, before: Specs, change: Change, now_ms: int
) -> Planned | Conflict | Invalid:
    """Work out what a change would do; nothing is written.

    :param before: the specs of ``root``.
    :rtype: Planned, Conflict or Invalid
    """
    problems: list[Problem] = []
    after = dict(before)
    for (kind, name), spec in change.upserts.items():
        checked = check_spec(kind, {"name": name, **spec}, f"{kind}/{name}")
        if checked.is_err():
            problems += checked.unwrap_err()
        else:
            after[kind, name] = checked.unwrap()
    for key in change.deletes:
        if key not in after:
            problems.append(Problem(path=f"{key[0]}/{key[1]}", message="there is no such resource"))
        after.pop(key, None)
    paths = changed_paths(before, after)
    conflict = _conflict(root, change, paths)
    if conflict is not None:
        return conflict

    built = build_resources(after)
    if built.is_err():
        problems += built.unwrap_err()
    chunks = split_chunks(after)
    for name, content in chunks.items():
        if len(content) > MAX_CHUNK_BYTES:
            problems.append(Problem(path=name, message=f"is larger than {MAX_CHUNK_BYTES} bytes"))
    if problems:
        return Invalid(tuple(problems))

    hashes = {name: chunk_hash(content) for name, content in chunks.items()}
    revision = Revision(root.revision + 1, change.change_id, change.author, now_ms, paths)
    history = (*root.history, revision)[-HISTORY_LENGTH:]
    planned = Root(root.revision + 1, hashes, history)
    by_hash = {hashes[name]: content for name, content in chunks.items()}
    return Planned(planned, after, by_hash, paths)


def _conflict(root: Root, change: Change, paths: tuple[str, ...]) -> Conflict | None:
    """Find the fields that others changed since the operator looked."""
    if change.base is None or change.base >= root.revision:
        return None
    later = [each for each in root.history if each.number > change.base]
    if len(later) < root.revision - change.base:
        return Conflict(paths, None)

    wanted = set(paths)
    for revision in reversed(later):
        clash = [path for path in revision.paths if path in wanted]
        if clash:
            return Conflict(tuple(sorted(clash)), revision)
    return None


def _find(root: Root, change_id: str) -> Revision | None:
    return next((each for each in root.history if each.change_id == change_id), None)


def _read(key: str) -> Generator[StoreCall, StoreAnswer, Found | None]:
    for _ in range(MAX_READS):
        answer = yield Get(key)
        if isinstance(answer, Found):
            return answer
    return None


def _load(root: Root) -> Generator[StoreCall, StoreAnswer, Specs | None]:
    chunks: dict[str, bytes] = {}
    for digest in root.chunks.values():
        found = yield from _read(CHUNK_PREFIX + digest)
        if found is None or found.value is None:
            return None
        chunks[digest] = found.value
    return merge_chunks(chunks)


def _store_chunks(chunks: dict[str, bytes], held: Root) -> Generator[StoreCall, StoreAnswer, bool]:
    """Write the chunks that the store lacks; a chunk that is there already has this content."""
    there = set(held.chunks.values())
    for digest, content in chunks.items():
        if digest in there:
            continue
        for _ in range(MAX_READS):
            answer = yield Put(CHUNK_PREFIX + digest, content, 0)
            if isinstance(answer, Written | Mismatch):
                break
        else:
            return False
    return True
