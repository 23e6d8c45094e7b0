"""
chalkyoke.configuration.publisher

Publish a change of the configuration: write its chunks, then replace the root by compare-and-swap.
If the answer to the swap is lost, the root is read back before an outcome is reported. The module
does no I/O: its generators yield the store calls.
"""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

import msgpack
import msgspec
from result import Err, Ok, Result

from chalkyoke.configuration.chunks import MAX_CHUNK_BYTES, chunk_hash, merge_chunks, split_chunks
from chalkyoke.configuration.messages import Revision, Root
from chalkyoke.configuration.resources import Problem, Specs, build_resources, check_spec
from chalkyoke.configuration.state import EMPTY_ROOT
from chalkyoke.decoding.decoder import convert, unpack

ROOT_KEY = "chalkyoke/root"
CHUNK_PREFIX = "chalkyoke/chunk/"
# Maximum number of revisions in the root's history: about five hours at 1,300 changes a day.
HISTORY_LENGTH = 256
# Maximum number of swaps of the root for one change; a swap fails if another change precedes it.
MAX_SWAPS = 8
# Maximum number of attempts to read a value, such as the root after a swap whose answer was lost,
# or to write a chunk.
MAX_READS = 6


@dataclass(frozen=True, slots=True)
class Get:
    """A store call that reads a value."""

    key: str


@dataclass(frozen=True, slots=True)
class Put:
    """A store call that writes a value if its version is the expected one; 0 means absent."""

    key: str
    value: bytes
    expected: int


@dataclass(frozen=True, slots=True)
class Found:
    """A value and its version; an absent key has no value and version 0."""

    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class Written:
    """The write was applied."""

    version: int


@dataclass(frozen=True, slots=True)
class Mismatch:
    """The write was not applied, since the version was not the expected one."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call was not applied: the store was unreachable or refused it."""


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """The call may or may not have been applied."""


StoreCall = Get | Put
StoreAnswer = Found | Written | Mismatch | Unavailable | AnswerLost


@dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator requests.

    :param change_id: the same for every retry of the change.
    :param base: the revision on which the operator based the change; ``None`` for the current one.
    :param upserts: complete specs by (kind, name).
    :param deletes: (kind, name) of the resources to delete.
    """

    change_id: str
    author: str
    base: int | None
    upserts: Specs
    deletes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class Accepted:
    """The change is known to have been applied, at this revision."""

    root: Root
    revision: int
    paths: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Conflict:
    """Another change has modified the same fields first; nothing was changed.

    :param paths: the fields in conflict, or all changed fields if ``other`` is None.
    :param other: the revision that modified them; None if the history does not reach back to the
        operator's base revision.
    """

    paths: tuple[str, ...]
    other: Revision | None


@dataclass(frozen=True, slots=True)
class Invalid:
    """The change is not valid; nothing was changed."""

    problems: tuple[Problem, ...]


@dataclass(frozen=True, slots=True)
class NotReached:
    """The store is unavailable; nothing was changed."""


@dataclass(frozen=True, slots=True)
class Unsettled:
    """It is not known whether the change was applied; retry it with the same change id."""

    change_id: str


ApplyOutcome = Accepted | Conflict | Invalid | NotReached | Unsettled
StoreProgram = Generator[StoreCall, StoreAnswer, ApplyOutcome]


def encode_root(root: Root) -> bytes:
    """Encode a root for the store.

    :rtype: bytes
    """
    packed: bytes = msgpack.packb(msgspec.to_builtins(root))
    return packed


def decode_root(value: bytes | None) -> Result[Root, str]:
    """Decode a root from the store; an absent one is revision 0.

    :return: the root, or why it can't be decoded.
    """
    if value is None:
        return Ok(EMPTY_ROOT)
    return unpack(value).and_then(_convert_root)


def _convert_root(found: object) -> Result[Root, str]:
    return convert(found, Root)


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

    The generator yields a :class:`Get` or :class:`Put` and expects the store's answer by ``send``.

    :param now_ms: wall time, in milliseconds; it is only recorded in the history.
    :return: the outcome, as the generator's return value.
    """
    swapped = False
    for _ in range(MAX_SWAPS):
        found = yield from _read_value(ROOT_KEY)
        if found is None:
            return Unsettled(change.change_id) if swapped else NotReached()
        decoded = decode_root(found.value)
        if isinstance(decoded, Err):
            return Unsettled(change.change_id) if swapped else _unreadable(decoded.err_value)
        root = decoded.ok_value
        published = _find_revision(root, change.change_id)
        if published is not None:
            return Accepted(root, published.number, published.paths)

        before = yield from _load_specs(root)
        if before is None:
            return Unsettled(change.change_id) if swapped else NotReached()
        if isinstance(before, Err):
            return Unsettled(change.change_id) if swapped else _unreadable(before.err_value)
        planned = plan_change(root, before.ok_value, change, now_ms)
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
    """The result of applying a change to one root.

    :param root: the new root.
    :param specs: the new specs.
    :param chunks: all chunks of the new configuration, by hash.
    :param paths: the changed fields, as ``kind/name.field``.
    """

    root: Root
    specs: Specs
    chunks: dict[str, bytes]
    paths: tuple[str, ...]


def plan_change(
    root: Root, before: Specs, change: Change, now_ms: int
) -> Planned | Conflict | Invalid:
    """Compute the result of a change without writing anything.

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
    conflict = _find_conflict(root, change, paths)
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


def _find_conflict(root: Root, change: Change, paths: tuple[str, ...]) -> Conflict | None:
    """Find the latest revision since the operator's base that changed one of the same fields."""
    if change.base is None or change.base >= root.revision:
        return None
    later = [each for each in root.history if each.number > change.base]
    if len(later) < root.revision - change.base:
        return Conflict(paths, None)

    wanted = set(paths)
    for revision in reversed(later):
        overlap = [path for path in revision.paths if path in wanted]
        if overlap:
            return Conflict(tuple(sorted(overlap)), revision)
    return None


def _find_revision(root: Root, change_id: str) -> Revision | None:
    return next((each for each in root.history if each.change_id == change_id), None)


def _read_value(key: str) -> Generator[StoreCall, StoreAnswer, Found | None]:
    for _ in range(MAX_READS):
        answer = yield Get(key)
        if isinstance(answer, Found):
            return answer
    return None


def _unreadable(why: str) -> Invalid:
    message = f"the configuration in the store can't be read: {why}"
    return Invalid((Problem(path=ROOT_KEY, message=message),))


def _load_specs(root: Root) -> Generator[StoreCall, StoreAnswer, Result[Specs, str] | None]:
    chunks: dict[str, bytes] = {}
    for digest in root.chunks.values():
        found = yield from _read_value(CHUNK_PREFIX + digest)
        if found is None or found.value is None or chunk_hash(found.value) != digest:
            return None
        chunks[digest] = found.value
    return merge_chunks(chunks)


def _store_chunks(
    chunks: dict[str, bytes], current: Root
) -> Generator[StoreCall, StoreAnswer, bool]:
    """Write the chunks that the store lacks; return whether all of them are stored.

    A mismatch counts as stored: chunks are addressed by content, so an existing one is equal.
    """
    stored_hashes = set(current.chunks.values())
    for digest, content in chunks.items():
        if digest in stored_hashes:
            continue
        for _ in range(MAX_READS):
            answer = yield Put(CHUNK_PREFIX + digest, content, 0)
            if isinstance(answer, Written | Mismatch):
                break
        else:
            return False
    return True
