"""
chalkyoke.configuration.selectors

Selectors over labels, and the check that none of them addresses a single machine.
"""

import ipaddress
import re
from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict, Field, field_validator

MACHINE_LABELS = frozenset(
    {"host", "hostname", "host_name", "id", "ip", "address", "addr", "node", "machine", "name"}
)
LABEL_NAME = re.compile(r"^[a-z][a-z0-9_.-]{0,62}$")
# Maximum length of a label value, in characters.
MAX_LABEL_VALUE = 128


class NotIn(BaseModel):
    """A condition that matches all other values and also the absence of the label."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    excluding: list[str] = Field(alias="not", min_length=1)


Condition = str | list[str] | NotIn


def _is_machine_address(value: str) -> bool:
    host = value.rsplit(":", 1)[0] if value.count(":") == 1 else value
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def check_label(name: str, value: str) -> None:
    """Check one label.

    :raises ValueError: if the name has other characters, or the value is too long.
    """
    if not LABEL_NAME.match(name):
        raise ValueError(f"label name {name!r} is not lower case letters, digits, '_', '-' or '.'")
    if len(value) > MAX_LABEL_VALUE:
        raise ValueError(f"label {name!r} is longer than {MAX_LABEL_VALUE} characters")


def check_conditions(conditions: Mapping[str, Condition]) -> None:
    """Check the conditions of a selector.

    :raises ValueError: if a condition addresses a single machine or has an invalid label name.
    """
    for name, condition in conditions.items():
        if name in MACHINE_LABELS:
            raise ValueError(f"label {name!r} names a single machine; select by labels of classes")
        if not LABEL_NAME.match(name):
            raise ValueError(f"label name {name!r} is not usable")
        for value in condition_values(condition):
            if _is_machine_address(value):
                raise ValueError(f"value {value!r} of {name!r} is the address of a single machine")


def condition_values(condition: Condition) -> list[str]:
    """List the values that a condition names.

    :rtype: list[str]
    """
    if isinstance(condition, str):
        return [condition]
    return condition.excluding if isinstance(condition, NotIn) else condition


def labels_match(conditions: Mapping[str, Condition], labels: Mapping[str, str]) -> bool:
    """Return whether labels satisfy every condition of a selector.

    :rtype: bool

    Usage::

      >>> matches({"hardware": ["gen3", "gen4"]}, {"hardware": "gen4"})
      True
    """
    for name, condition in conditions.items():
        value = labels.get(name)
        if isinstance(condition, NotIn):
            if value in condition.excluding:
                return False
        elif value is None or value not in condition_values(condition):
            return False
    return True


class Labelled(BaseModel):
    """Base of resources with labels, which are checked."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    labels: dict[str, str] = Field(default_factory=dict)

    @field_validator("labels")
    @classmethod
    def _check_labels(cls, labels: dict[str, str]) -> dict[str, str]:
        for name, value in labels.items():
            check_label(name, value)
        return labels
