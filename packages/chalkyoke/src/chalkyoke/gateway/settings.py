"""
chalkyoke.gateway.settings

The settings of a gateway node: a TOML file that is checked as a whole.
"""

import math
from enum import StrEnum
from pathlib import Path

import msgspec

from chalkyoke import tomlfile
from chalkyoke.exceptions import SettingsError
from chalkyoke.scheduling.placement import Features
from chalkyoke.sockets import LISTEN_WAIT_S

# Shortest key of a fleet, in bytes: 128 bits can't be guessed.
MIN_KEY_BYTES = 16
# Network traffic of a fleet duty that uses one core, in Mbit/s: a pool's scheduler sends some 3,
# the broadcasts for a failure domain send more.
LINK_MBPS_PER_CORE = 10.0
# Lowest limit for the silence of a connection to the store, in milliseconds. The timeout for an
# answer is a quarter of it; a shorter one would mistake slow answers for a dead connection.
MIN_SILENCE_MS = 400
# Late requests wait behind their own tier only, since late answers still have value for callers.
GATEWAY_FEATURES = Features(late_last=False, headroom=True, early=True)


class NodeSection(msgspec.Struct, frozen=True):
    """Identity and capacity of this node.

    :param first_start: whether the whole fleet starts for the first time.
    :param cores: number of cores of the host.
    :param cpu_share: share of each core that this process may use.
    :param link_mbps: capacity of the host's network link, in Mbit/s.
    """

    host: str
    failure_domain: str
    first_start: bool = False
    cores: float = 1.0
    cpu_share: float = 1.0
    link_mbps: float = 1000.0

    @property
    def capacity(self) -> float:
        """Capacity of this host for the fleet's duties, in cores."""
        return min(self.cores * self.cpu_share, self.link_mbps / LINK_MBPS_PER_CORE)


class ListenSection(msgspec.Struct, frozen=True):
    """Addresses that this node listens on, as ``ip:port``.

    :param metrics: address of the metrics page; empty for none.
    :param links_advertised: address at which other nodes reach ``links``, if it is a different one.
    :param wait_s: how long a start waits for addresses that are in use, in seconds.
    """

    callers: str
    ready: str
    links: str
    metrics: str = ""
    links_advertised: str = ""
    wait_s: float = LISTEN_WAIT_S

    @property
    def advertised_links_address(self) -> str:
        """Address that is announced to other nodes."""
        return self.links_advertised or self.links


class PeersSection(msgspec.Struct, frozen=True):
    """Addresses for joining the fleet.

    :param seeds: link addresses of other nodes; some may be stale.
    """

    seeds: list[str] = []


class StoreSection(msgspec.Struct, frozen=True):
    """The connection to the store.

    :param watchers: number of nodes of a failure domain that watch the store; these send the
        changes to the other nodes.
    :param silence_ms: longest time from the moment when a connection goes silent until the changes
        behind it are known, in milliseconds. This is the delay that operators tolerate.
    """

    address: str
    watchers: int = 2
    silence_ms: float = 3000.0
    lease_s: float = 30.0


class FleetSection(msgspec.Struct, frozen=True):
    """Settings that are equal on all nodes of the fleet.

    :param key_hex: secret with which nodes prove to each other that they belong to the fleet.
    """

    key_hex: str


class LimitsSection(msgspec.Struct, frozen=True):
    """The fleet's limits, over all nodes.

    :param canary_share: share of a service's requests that a new version may get until it has
        proven good.
    :param canary_slack: number of requests above that share, over all nodes.
    :param grace_s: longest duration of a planned stop, in seconds.
    :param descriptors: number of file descriptors that this process may open; 0 for the limit of
        the system.
    :param quota_snapshots: whether owners of quotas write snapshots of their windows to the store,
        so that the spending survives the loss of all hosts.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    quota_window_s: float = 8.0
    quota_over: float = 0.1
    quota_slack: float = 0.0
    canary_share: float = 0.1
    canary_slack: float = 50.0
    grace_s: float = 8.0
    descriptors: int = 0
    quota_snapshots: bool = False


class PlainServices(StrEnum):
    """How replicas of plain services are chosen.

    ``local``: each node chooses alone. ``queued``: the scheduler of the service's pool decides.
    ``auto``: the scheduler decides while the fleet uses a large share of the service's slots.
    """

    LOCAL = "local"
    QUEUED = "queued"
    AUTO = "auto"


class SchedulingSection(msgspec.Struct, frozen=True):
    """How replicas are chosen.

    :param pooled: whether one scheduler decides for each pool of engines; otherwise each node
        decides alone.
    :param prefill_tokens_per_s: initial estimate for an unknown engine: prompt tokens per second.
    :param token_s: initial estimate: time between two output tokens, in seconds.
    :param setup_s: initial estimate: time of a request besides its tokens, in seconds.
    :param attention_s_per_pair: initial estimate: time for each pair of prompt tokens, in seconds.
    :param prefill_chunk_tokens: number of prompt tokens that an engine reads between two output
        tokens of streams.
    :param plain_services: how replicas of plain services are chosen.
    :param on: features of the policy to enable in addition to the default ones.
    :param off: features of the policy to disable, to measure the value of each.
    """

    pooled: bool = True
    prefill_tokens_per_s: float = 35_000.0
    token_s: float = 0.0055
    setup_s: float = 0.05
    attention_s_per_pair: float = 1.2e-9
    prefill_chunk_tokens: int = 2048
    heartbeat_interval_s: float = 0.25
    plain_services: PlainServices = PlainServices.LOCAL
    on: list[str] = []
    off: list[str] = []

    @property
    def features(self) -> Features:
        """Enabled features of the pools' policy."""
        changed = dict.fromkeys(self.on, True) | dict.fromkeys(self.off, False)
        return msgspec.structs.replace(GATEWAY_FEATURES, **changed)


class MemorySection(msgspec.Struct, frozen=True):
    """The memory of this process.

    :param limit_mb: memory at which the host ends the process, in MB; 0 for no limit. With a limit,
        buffered bytes are accounted for and bounded.
    """

    limit_mb: float = 0.0

    @property
    def is_accounted(self) -> bool:
        """Whether buffered bytes are accounted for and limited."""
        return self.limit_mb > 0


class LogsSection(msgspec.Struct, frozen=True):
    """Logging.

    :param lines_per_s: highest rate of log lines for successful requests, in lines per second;
        failures have a separate limit of the same size.
    """

    level: str = "INFO"
    lines_per_s: float = 100.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of a gateway node. Unknown sections and fields are ignored."""

    node: NodeSection
    listen: ListenSection
    store: StoreSection
    fleet: FleetSection
    peers: PeersSection = PeersSection()
    limits: LimitsSection = LimitsSection()
    scheduling: SchedulingSection = SchedulingSection()
    memory: MemorySection = MemorySection()
    logs: LogsSection = LogsSection()

    @property
    def key(self) -> bytes:
        """The fleet's key as bytes."""
        return bytes.fromhex(self.fleet.key_hex)


def load(path: Path) -> GatewaySettings:
    """Read the settings of a gateway node.

    :raises SettingsError: lists all problems of the file.
    """
    document = tomlfile.read(path)
    try:
        settings = msgspec.convert(document, GatewaySettings)
    except msgspec.ValidationError as error:
        raise SettingsError([str(error)]) from error
    problems = _problems(settings)
    if problems:
        raise SettingsError(problems)
    return settings


def _problems(settings: GatewaySettings) -> list[str]:
    problems: list[str] = []
    listen = settings.listen
    addresses = {
        "listen.callers": listen.callers,
        "listen.ready": listen.ready,
        "listen.links": listen.links,
        "store.address": settings.store.address,
    }
    optional = {
        "listen.metrics": listen.metrics,
        "listen.links_advertised": listen.links_advertised,
    }
    addresses.update({name: address for name, address in optional.items() if address})
    for name, address in addresses.items():
        ip, _, port = address.rpartition(":")
        if not ip or not port.isdigit():
            problems.append(f"{name}: write an IPv4 number and a port, not {address!r}")
    parts = {each.name for each in msgspec.structs.fields(Features)}
    scheduling = settings.scheduling
    for setting, names in (("on", scheduling.on), ("off", scheduling.off)):
        for name in sorted(set(names) - parts):
            known = ", ".join(sorted(parts))
            problems.append(f"scheduling.{setting}: no part is called {name!r}; there are {known}")
    problems += [
        f"scheduling: {name!r} is switched on and off"
        for name in sorted(set(scheduling.on) & set(scheduling.off))
    ]
    if settings.store.silence_ms < MIN_SILENCE_MS:
        value = settings.store.silence_ms
        problems.append(f"store.silence_ms: at least {MIN_SILENCE_MS}, not {value:g}")
    if settings.node.capacity <= 0:
        problems.append("node.cores, node.cpu_share, node.link_mbps: more than 0")
    if not 0 < settings.limits.canary_share <= 1:
        value = settings.limits.canary_share
        problems.append(f"limits.canary_share: above 0 and up to 1, not {value:g}")
    if settings.limits.canary_slack < 0:
        problems.append("limits.canary_slack: a number of requests, 0 or more")
    if settings.memory.limit_mb < 0:
        problems.append("memory.limit_mb: a number of megabytes, or 0 for no limit")
    if not 0 <= listen.wait_s < math.inf:
        problems.append("listen.wait_s: a number of seconds, 0 or more")
    if settings.limits.descriptors < 0:
        problems.append("limits.descriptors: a number of descriptors, or 0 to ask the system")
    try:
        if len(settings.key) < MIN_KEY_BYTES:
            problems.append(f"fleet.key_hex: the key has {MIN_KEY_BYTES} bytes or more")
    except ValueError:
        problems.append("fleet.key_hex: write the key in hexadecimal")
    return problems
