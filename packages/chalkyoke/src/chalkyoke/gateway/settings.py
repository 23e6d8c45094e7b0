"""
chalkyoke.gateway.settings

The settings of a gateway node: a TOML file in the product's own names, checked as a whole.
"""

from pathlib import Path

import msgspec

from chalkyoke import tomlfile
from chalkyoke.exceptions import SettingsError
from chalkyoke.scheduling.placement import Features

# The shortest key of a fleet, in bytes: 128 bits can't be guessed.
MIN_KEY_BYTES = 16
# What a duty for the fleet sends while it uses a core, in Mbit/s: a pool's scheduler some 3, the
# news of a failure domain more.
LINK_MBPS_PER_CORE = 10.0
# The shortest time in which a silent connection to the store can be told from a slow answer, in
# milliseconds: an answer is waited for during a quarter of it.
MIN_SILENCE_MS = 400
# What is late waits for its own tier only: these callers' late answers still earn something.
GATEWAY_FEATURES = Features(late_last=False, headroom=True, early=True)


class NodeSection(msgspec.Struct, frozen=True):
    """Who this node is.

    :param first_start: whether the whole fleet starts for the first time.
    :param cores: how many cores the host has.
    :param cpu_share: the part of each that this process may use.
    :param link_mbps: what the host's link carries.
    """

    host: str
    failure_domain: str
    first_start: bool = False
    cores: float = 1.0
    cpu_share: float = 1.0
    link_mbps: float = 1000.0

    @property
    def capacity(self) -> float:
        """What this host can bear of the fleet's duties, in cores."""
        return min(self.cores * self.cpu_share, self.link_mbps / LINK_MBPS_PER_CORE)


class ListenSection(msgspec.Struct, frozen=True):
    """Addresses that this node listens on, as ``ip:port``.

    :param metrics: empty is none.
    :param links_advertised: where other nodes reach ``links``, where that is another address.
    """

    callers: str
    ready: str
    links: str
    metrics: str = ""
    links_advertised: str = ""

    @property
    def advertised_links_address(self) -> str:
        """The address that other nodes are told."""
        return self.links_advertised or self.links


class PeersSection(msgspec.Struct, frozen=True):
    """Where other nodes may be found.

    :param seeds: link addresses; they may be stale.
    """

    seeds: list[str] = []


class StoreSection(msgspec.Struct, frozen=True):
    """The store.

    :param watchers: how many nodes of a failure domain watch it; the others are told by them.
    :param silence_ms: how long a connection that went silent may go unnoticed until what comes
        behind it is known, in milliseconds: what operators forgive a disturbed connection.
    """

    address: str
    watchers: int = 2
    silence_ms: float = 3000.0
    lease_s: float = 30.0


class FleetSection(msgspec.Struct, frozen=True):
    """What all nodes of the fleet share.

    :param key_hex: proves to each other that two nodes are of one fleet.
    """

    key_hex: str


class LimitsSection(msgspec.Struct, frozen=True):
    """The fleet's limits, over all nodes.

    :param canary_share: the part of a service's requests that a new version may get before it is
        known to be good.
    :param canary_slack: requests on top of that, over all nodes.
    :param grace_s: how long a planned stop may take.
    :param descriptors: how many descriptors this process may have open; 0 asks the system.
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


class SchedulingSection(msgspec.Struct, frozen=True):
    """How replicas are chosen.

    :param pooled: whether one scheduler decides for each pool of engines; else each node alone.
    :param prefill_tokens_per_s: first guess for an engine that nothing is known of yet.
    :param token_s: first guess: seconds between two output tokens.
    :param setup_s: first guess: seconds that a request takes besides its tokens.
    :param attention_s_per_pair: first guess: seconds for each pair of prompt tokens.
    :param prefill_chunk_tokens: prompt tokens that an engine reads between two tokens of streams.
    :param on: parts of the policy that are switched on beside the usual ones.
    :param off: parts of the policy that are switched off, to measure what each is worth.
    """

    pooled: bool = True
    prefill_tokens_per_s: float = 35_000.0
    token_s: float = 0.0055
    setup_s: float = 0.05
    attention_s_per_pair: float = 1.2e-9
    prefill_chunk_tokens: int = 2048
    heartbeat_interval_s: float = 0.25
    on: list[str] = []
    off: list[str] = []

    @property
    def features(self) -> Features:
        """The parts of the pools' policy that are on."""
        changed = dict.fromkeys(self.on, True) | dict.fromkeys(self.off, False)
        return msgspec.structs.replace(GATEWAY_FEATURES, **changed)


class LogsSection(msgspec.Struct, frozen=True):
    """How lines are logged.

    :param lines_per_s: lines for requests that went well; failures have as many for themselves.
    """

    level: str = "INFO"
    lines_per_s: float = 100.0


class GatewaySettings(msgspec.Struct, frozen=True):
    """All settings of a gateway node. Unknown sections and fields are let pass."""

    node: NodeSection
    listen: ListenSection
    store: StoreSection
    fleet: FleetSection
    peers: PeersSection = PeersSection()
    limits: LimitsSection = LimitsSection()
    scheduling: SchedulingSection = SchedulingSection()
    logs: LogsSection = LogsSection()

    @property
    def key(self) -> bytes:
        """The fleet's key as bytes."""
        return bytes.fromhex(self.fleet.key_hex)


def load(path: Path) -> GatewaySettings:
    """Read the settings of a gateway node.

    :raises SettingsError: with what is wrong.
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
        told = settings.store.silence_ms
        problems.append(f"store.silence_ms: at least {MIN_SILENCE_MS}, not {told:g}")
    if settings.node.capacity <= 0:
        problems.append("node.cores, node.cpu_share, node.link_mbps: more than 0")
    if not 0 < settings.limits.canary_share <= 1:
        told = settings.limits.canary_share
        problems.append(f"limits.canary_share: above 0 and up to 1, not {told:g}")
    if settings.limits.canary_slack < 0:
        problems.append("limits.canary_slack: a number of requests, 0 or more")
    if settings.limits.descriptors < 0:
        problems.append("limits.descriptors: a number of descriptors, or 0 to ask the system")
    try:
        if len(settings.key) < MIN_KEY_BYTES:
            problems.append(f"fleet.key_hex: the key has {MIN_KEY_BYTES} bytes or more")
    except ValueError:
        problems.append("fleet.key_hex: write the key in hexadecimal")
    return problems
