"""
chalkyoke.settings

The settings of one node: a TOML file with overrides from the environment, validated as a whole.
"""

import difflib
import ipaddress
import re
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator, model_validator

from chalkyoke import tomlfile
from chalkyoke.exceptions import SettingsError
from chalkyoke.sockets import LISTEN_WAIT_S

ENVIRONMENT_PREFIX = "CHALKYOKE_"
NAME = re.compile(r"^[a-z0-9][a-z0-9-]{0,62}$")
SHA256 = re.compile(r"^[0-9a-f]{64}$")
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
# Shortest grace period of a planned stop, in seconds; 0 means none.
MIN_GRACE_S = 3.0
# Lowest limit of memory, in MB: what the program uses itself, and some requests.
MIN_MEMORY_MB = 80.0


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(_Section):
    """Identity of this node."""

    host: str
    failure_domain: str

    @field_validator("host", "failure_domain")
    @classmethod
    def _check_name(cls, name: str) -> str:
        if not NAME.match(name):
            raise ValueError("use lower case letters, digits and '-'")
        return name


def _check_address(address: str) -> str:
    ip, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        raise ValueError("write an IPv4 number and a port, for example 10.0.0.7:8080") from None
    if not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise ValueError("the port is a number from 1 to 65535")
    return address


class ListenSection(_Section):
    """Addresses that this node listens on, as ``ip:port``.

    :ivar wait_s: how long a start waits for addresses that are in use, in seconds.
    """

    callers: str
    links: str
    administration: str
    wait_s: float = Field(default=LISTEN_WAIT_S, ge=0.0, allow_inf_nan=False)

    @field_validator("callers", "links", "administration")
    @classmethod
    def _check(cls, address: str) -> str:
        return _check_address(address)


class PlatformSection(_Section):
    """Addresses of the platform's services."""

    store_url: str = Field(pattern=r"^https?://")
    hosts_url: str = Field(pattern=r"^https?://")


class FleetSection(_Section):
    """Values that all nodes of the fleet share."""

    key_hex: str

    @field_validator("key_hex")
    @classmethod
    def _check_key(cls, text: str) -> str:
        try:
            key = bytes.fromhex(text)
        except ValueError:
            raise ValueError("write the key in hexadecimal") from None
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(f"the key has {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
        return text

    @property
    def key(self) -> bytes:
        """The fleet's key as bytes."""
        return bytes.fromhex(self.key_hex)


class AdministrationSection(_Section):
    """Hashes (SHA-256, hexadecimal) of the operators' tokens, by role."""

    view_sha256: list[str] = []
    operate_sha256: list[str] = []

    @field_validator("view_sha256", "operate_sha256")
    @classmethod
    def _check(cls, hashes: list[str]) -> list[str]:
        for each in hashes:
            if not SHA256.match(each):
                raise ValueError("a hash is 64 lower case hexadecimal digits")
        return hashes


class TimingSection(_Section):
    """Intervals of periodic tasks, in seconds."""

    heartbeat_interval_s: float = Field(default=0.25, ge=0.05, le=5)
    hosts_interval_s: float = Field(default=1.0, ge=0.1, le=60)
    watch_wait_s: float = Field(default=5.0, ge=0.5, le=60)
    load_interval_s: float = Field(default=1.0, ge=0.1, le=60)


class LimitsSection(_Section):
    """Limits of the state that this node keeps, and of its planned stop.

    :ivar grace_s: how long a planned stop may take, in seconds; 0 for no limit.
    :ivar leave_delay_s: how long a stopping node still takes requests that end within the grace
        period, in seconds.
    """

    token_lifetime_s: float = Field(default=900.0, ge=1, le=86_400)
    tokens_kept: int = Field(default=100_000, ge=100)
    grace_s: float = Field(default=30.0, allow_inf_nan=False)
    leave_delay_s: float = Field(default=0.0, ge=0, le=600)

    @field_validator("grace_s")
    @classmethod
    def _check_grace(cls, grace_s: float) -> float:
        if grace_s != 0 and grace_s < MIN_GRACE_S:
            raise ValueError(f"the grace period is at least {MIN_GRACE_S:g} s, or 0 for no limit")
        return grace_s

    @model_validator(mode="after")
    def _check_delay(self) -> Self:
        if self.grace_s and self.leave_delay_s > self.grace_s / 2:
            raise ValueError("leave_delay_s is at most half of grace_s")
        return self


class MemorySection(_Section):
    """The memory of this process.

    :ivar limit_mb: memory at which the host ends the process, in MB; 0 for no limit. With a limit,
        buffered bytes are accounted for and bounded.
    """

    limit_mb: float = Field(default=0.0, ge=0, allow_inf_nan=False)

    @field_validator("limit_mb")
    @classmethod
    def _check_limit(cls, limit_mb: float) -> float:
        if 0 < limit_mb < MIN_MEMORY_MB:
            raise ValueError(f"the program needs {MIN_MEMORY_MB:g} MB; write 0 for no limit")
        return limit_mb

    @property
    def is_accounted(self) -> bool:
        """Whether buffered bytes are accounted for and limited."""
        return self.limit_mb > 0


class PolicySection(_Section):
    """Parts of the scheduling policy; each can be switched off to measure its effect."""

    hold: bool = True
    prefix: bool = True
    learn: bool = True
    shed: bool = True
    fair: bool = True
    predict: bool = True
    guard: bool = True
    late_last: bool = True
    headroom: bool = False
    early: bool = False
    spare: bool = False
    fair_admission: bool = False
    reserved_retries: bool = False
    local_domain: bool = False
    time_factors: bool = False
    best_fit: bool = False


class TlsSection(_Section):
    """Certificate and key files; empty paths mean plain HTTP."""

    callers_certificate: str = ""
    callers_key: str = ""
    administration_certificate: str = ""
    administration_key: str = ""


class LogsSection(_Section):
    """Format and lowest level of log lines."""

    form: Literal["plain", "json"] = "plain"
    level: Literal["DEBUG", "INFO", "NOTICE", "WARNING", "ERROR"] = "INFO"


class Settings(_Section):
    """All settings of one node."""

    node: NodeSection
    listen: ListenSection
    platform: PlatformSection
    fleet: FleetSection
    administration: AdministrationSection = AdministrationSection()
    timing: TimingSection = TimingSection()
    limits: LimitsSection = LimitsSection()
    memory: MemorySection = MemorySection()
    policy: PolicySection = PolicySection()
    tls: TlsSection = TlsSection()
    logs: LogsSection = LogsSection()


def load(path: Path, environment: Mapping[str, str]) -> Settings:
    """Read the settings of a node.

    :param path: the TOML file.
    :param environment: ``CHALKYOKE_SECTION__KEY`` overrides ``key`` of ``[section]``.
    :raises SettingsError: with all mistakes at once.

    Usage::

      >>> settings = load(Path("node.toml"), os.environ)
    """
    document = tomlfile.read(path)
    problems = list(_apply_environment(document, environment))
    return _validate(document, problems)


def _validate(document: dict[str, Any], problems: list[str]) -> Settings:
    try:
        settings = Settings.model_validate(document)
    except ValidationError as error:
        problems += [
            _describe_error(item["loc"], item["type"], item["msg"])
            for each in [error]
            for item in each.errors()
        ]
        raise SettingsError(problems) from None
    if problems:
        raise SettingsError(problems)
    return settings


def _apply_environment(document: dict[str, Any], environment: Mapping[str, str]) -> Iterator[str]:
    """Apply overrides from the environment; yield a problem for each unknown section."""
    for name, value in sorted(environment.items()):
        section, separator, key = name.removeprefix(ENVIRONMENT_PREFIX).lower().partition("__")
        if not name.startswith(ENVIRONMENT_PREFIX) or not separator:
            continue
        model = Settings.model_fields.get(section)
        if model is None:
            yield f"{name} (environment): unknown section {section!r}{_hint(section, Settings)}"
            continue
        table = document.setdefault(section, {})
        if isinstance(table, dict):
            table[key] = value.split(",") if key.endswith("_sha256") else value


def _describe_error(location: tuple[int | str, ...], kind: str, message: str) -> str:
    path = ".".join(str(part) for part in location)
    if kind != "extra_forbidden":
        return f"{path}: {message.removeprefix('Value error, ')}"
    model: type[BaseModel] = Settings
    for part in location[:-1]:
        annotation = model.model_fields[str(part)].annotation
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            model = annotation
    return f"{path}: unknown{_hint(str(location[-1]), model)}"


def _hint(name: str, model: type[BaseModel]) -> str:
    close = difflib.get_close_matches(name, model.model_fields, n=1, cutoff=0.5)
    return f"; did you mean {close[0]!r}?" if close else ""
