"""
Record the messages that a version of chalkyoke sends on its links and the records that it writes to
the store, as data for the tests.

    git worktree add out/old COMMIT
    python scripts/record_version.py out/old > tests/versions/COMMIT.json

The script imports the code of that version from the named checkout, builds a message of each kind
with values for all fields, and encodes it as that version does.
"""

import enum
import json
import sys
import types
import typing
from collections.abc import Iterable
from pathlib import Path
from typing import Any

CHECKOUT = Path(sys.argv[1]).resolve() if __name__ == "__main__" else None
if CHECKOUT is not None:
    sys.path.insert(0, str(CHECKOUT / "packages/chalkyoke/src"))

import msgspec  # noqa: E402
from chalkyoke import node  # noqa: E402
from chalkyoke.clock import Stamp  # noqa: E402
from chalkyoke.links.codec import FrameCodec  # noqa: E402
from chalkyoke.links.messages import Challenge, Hello, Received, Welcome  # noqa: E402
from chalkyoke.node.registration import NodeEntry  # noqa: E402
from chalkyoke.node.routing import LINK_MESSAGES  # noqa: E402
from chalkyoke.platform.documents import write_status  # noqa: E402
from chalkyoke.rollouts.resources import RolloutOrder, RolloutState  # noqa: E402

STAMP = Stamp(1_760_000_000_000, 3)


def sample_value(kind: Any, number: int) -> Any:
    """Build a value of a type; different numbers give different values where the type allows."""
    origin, parts = typing.get_origin(kind), typing.get_args(kind)
    if origin in (typing.Union, types.UnionType):
        return sample_value(parts[0], number)
    if origin is tuple:
        inner = parts[:1] * 2 if parts[-1] is Ellipsis else parts
        return tuple(sample_value(each, number + place) for place, each in enumerate(inner))
    if origin is typing.Annotated:
        return sample_value(parts[0], number)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return build_message(kind, number)
    if isinstance(kind, type) and issubclass(kind, tuple):
        return kind(
            *(
                sample_value(each, number + place)
                for place, each in enumerate(_named_tuple_types(kind))
            )
        )
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return list(kind)[number % len(list(kind))]
    simple = {str: f"t{number}", bytes: bytes([number % 250]) * 3, float: number + 0.5}
    return {**simple, int: number, bool: number % 2 == 0}[kind]


def _named_tuple_types(kind: Any) -> Iterable[Any]:
    """Return the types of the fields of a named tuple."""
    return typing.get_type_hints(kind, include_extras=True).values()


def build_message(kind: Any, number: int) -> Any:
    """Build a message with a value in each field."""
    hints = typing.get_type_hints(kind, include_extras=True)
    names = [field.name for field in msgspec.structs.fields(kind)]
    return kind(*(sample_value(hints[name], number + place) for place, name in enumerate(names)))


def message_schema(kind: Any) -> list[Any]:
    """List the name and type of each field of a message, and whether the field is required."""
    hints = typing.get_type_hints(kind, include_extras=True)
    fields = []
    for field in msgspec.structs.fields(kind):
        required = field.default is msgspec.NODEFAULT
        required = required and field.default_factory is msgspec.NODEFAULT
        fields.append([field.name, describe_type(hints[field.name]), required])
    return fields


def describe_type(kind: Any) -> Any:
    """Describe a type without module names, and a nested message by its fields."""
    origin, parts = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        # Bounds of a number are not part of its form on the wire.
        return describe_type(parts[0])
    if origin is typing.Union:
        # The same union, spelled with an annotated type.
        origin = types.UnionType
    if parts:
        return [str(getattr(origin, "__name__", origin)), *(describe_type(each) for each in parts)]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return message_schema(kind)
    if isinstance(kind, type) and issubclass(kind, tuple):
        return ["tuple", *(describe_type(each) for each in _named_tuple_types(kind))]
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return ["enum", *sorted(str(each.value) for each in kind)]
    return getattr(kind, "__name__", str(kind))


def main() -> None:
    """Write the recorded messages and store records to standard output as JSON."""
    assert CHECKOUT is not None
    assert Path(str(node.__file__)).is_relative_to(CHECKOUT), node.__file__
    kinds: tuple[type[msgspec.Struct], ...] = (*LINK_MESSAGES, Challenge, Hello, Received, Welcome)
    codec = FrameCodec(kinds)
    messages = {}
    for number, kind in enumerate(kinds):
        frame = codec.encode(STAMP, build_message(kind, number + 1))
        messages[str(kind.__struct_config__.tag)] = {
            "frame": frame.hex(),
            "schema": message_schema(kind),
        }
    order = RolloutOrder("model", "2", 2, 30.0, 7)
    key, status = write_status(order, RolloutState.RUNNING)
    records = {
        "registration": msgspec.msgpack.encode(NodeEntry("10.0.0.1:80", "a", 2.0)).hex(),
        "status": [key, status.hex()],
    }
    json.dump({"messages": messages, "records": records}, sys.stdout, indent=0, sort_keys=True)


if __name__ == "__main__":
    main()
