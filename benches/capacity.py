"""
benches.capacity

Capacity planning: the cost of each role of a node as a line over its size, extrapolated to the
target size two years from now. The roles are heartbeats and membership, scheduling, configuration,
the host list and calls on the store.
"""

import random
import time
import tracemalloc
from collections.abc import Callable

import msgpack
from chalkyoke.clock import Stamp
from chalkyoke.configuration.chunks import chunk_hash, split_chunks
from chalkyoke.configuration.messages import ListedHost, Revision, Root
from chalkyoke.configuration.publisher import encode_root
from chalkyoke.configuration.resources import Specs, build_resources, read_document
from chalkyoke.configuration.state import ConfigurationState
from chalkyoke.links.codec import FrameCodec
from chalkyoke.membership.messages import Digest, Heartbeat, MemberRecord, ShortHeartbeat, Summary
from chalkyoke.membership.view import FULL_EVERY_BEATS, MembershipView
from chalkyoke.node.fleet import FleetView
from chalkyoke.node.process import LINK_MESSAGES
from chalkyoke.scheduling.messages import Acquire, Grant, Progress, ProgressItem, Release, Usage
from chalkyoke.scheduling.scheduler import PoolScheduler
from chalkyoke.scheduling.state import PoolSpec, RouteSpec, TeamSpec, TierSpec, UpstreamSpec

from benches.statistics import Line, fit_line

# The target: counts of the fleet's parts, and rates of requests and changes.
NODES, REPLICAS, TEAMS, MODELS, DOMAINS = 340, 1300, 3800, 20, 7
REQUESTS_PER_S = 6700
CHANGES_PER_DAY = 1300
RESTARTS_PER_DAY = 90 + 16
# The budget of one node for control work: share of a core, memory, and bytes per second.
CORE_SHARE_BUDGET, MEMORY_BUDGET_MB, BYTES_PER_S_BUDGET = 0.016, 32.0, 25_000.0
HEARTBEAT_INTERVAL_S = 1.0
PROGRESS_INTERVAL_S = 1.0
MEAN_ANSWER_S = 8.0
TICK_S = 0.05

CODEC = FrameCodec(LINK_MESSAGES)
STAMP = Stamp(1_790_000_000_000, 3)


def frame_bytes(message: object) -> int:
    """Return the size of a message on a link, in bytes."""
    return len(CODEC.encode(STAMP, message))  # type: ignore[arg-type]


def best_processor_s(work: Callable[[], object], rounds: int = 5) -> float:
    """Return the least processor time of a function over some rounds, in seconds."""
    best = float("inf")
    for _ in range(rounds):
        started = time.process_time()
        work()
        best = min(best, time.process_time() - started)
    return best


def allocated_bytes(make: Callable[[], object]) -> float:
    """Return the bytes that a function's result keeps allocated."""
    tracemalloc.start()
    held = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del held
    return float(size)


def print_line(what: str, sizes: str, line: Line, unit: str, scale: float, at: float) -> None:
    """Print one fitted line as a table row.

    :param scale: factor from the line's values to the unit.
    :param at: target size, at which the row gives the value.
    """
    print(
        f"| {what} | {sizes} | {line.base * scale:.3g} + {line.slope * scale:.3g} n {unit} "
        f"| {line.residual:.0%} | {line.value_at(at) * scale:.3g} {unit} at {at:.0f} |"
    )


# Membership.


def member_record(index: int, domain: str) -> MemberRecord:
    """Create the record in which a member describes itself."""
    address = f"10.{index // 250}.{index % 250}.7:7000"
    return MemberRecord(
        f"entry-{index}", 2**61 + index, address, address, domain, False, True, 4000, 90_000
    )


def membership_view(members: int) -> tuple[MembershipView, list[Heartbeat]]:
    """Create a view of its own domain's members and the other domains' summaries.

    :param members: members of each domain.
    """
    view = MembershipView(member_record(0, "d0"), HEARTBEAT_INTERVAL_S)
    beats = [Heartbeat(member_record(i, "d0"), 1) for i in range(1, members)]
    for beat in beats:
        view.receive(beat.record.address, beat, 0.0)
    for domain in range(1, DOMAINS):
        name = f"d{domain}"
        records = tuple(member_record(1000 * domain + i, name) for i in range(members))
        view.receive("x", Summary(Digest(name, f"r{domain}", 1), records), 0.0)
    return view, beats


def measure_membership() -> tuple[Line, Line, float]:
    """Measure one second of heartbeats against the number of members of a domain.

    :return: processor seconds, bytes of memory, and mean bytes of a heartbeat.
    """
    times, memory = [], []
    for members in (10, 25, 49, 100, 200):
        view, beats = membership_view(members)
        frames = [CODEC.encode(STAMP, each) for each in beats]

        def run_second(view: MembershipView = view, beats: list[Heartbeat] = beats) -> None:
            for send in view.due_messages(1.0):
                CODEC.encode(STAMP, send.message)
            for beat in beats:
                again = Heartbeat(beat.record, beat.beat + 1)
                view.receive("x", again, 1.0)
            view.tick(1.0)
            view.pool_owner("some-pool")

        times.append((members, best_processor_s(run_second)))
        memory.append((members, allocated_bytes(lambda m=members: membership_view(m))))  # type: ignore[misc]
        del frames
    digests = (Digest("d1", "entry-1/fffffff", 9),)
    member = member_record(1, "d0")
    whole = frame_bytes(Heartbeat(member, 12345, digests))
    short = frame_bytes(ShortHeartbeat(member.host, member.incarnation, "d0", 12345, digests))
    return (
        fit_line(times),
        fit_line(memory),
        (whole + (FULL_EVERY_BEATS - 1) * short) / FULL_EVERY_BEATS,
    )


# Scheduling.


def pool_spec(upstreams: int, teams: int = 200) -> PoolSpec:
    """Create a pool of upstreams with different speeds."""
    specs = tuple(
        UpstreamSpec(f"u{i}", f"a{i}", "d", 8, 4000.0 + 500 * (i % 9), 40.0 + 5 * (i % 7), 1.5, 400)
        for i in range(upstreams)
    )
    return PoolSpec(
        "pool",
        specs,
        tuple(TierSpec(f"t{rank}", rank) for rank in range(5)),
        tuple(TeamSpec(f"m{i}") for i in range(teams)),
        (RouteSpec("r", frozenset(each.id for each in specs)),),
    )


def acquire_message(number: int, source: random.Random) -> Acquire:
    """Create a request's acquire message with random tier, team and prompt."""
    blocks = tuple(source.randrange(50) * 100 + i for i in range(4))
    return Acquire(
        f"h-{number}",
        1,
        "pool",
        "r",
        f"t{source.randrange(5)}",
        f"m{source.randrange(200)}",
        source.randrange(50, 4000),
        256,
        blocks,
        30.0,
        0.0,
    )


def busy_scheduler(upstreams: int, waiting: int) -> PoolScheduler:
    """Create a scheduler with all slots in use and some requests waiting."""
    source = random.Random(4)
    scheduler = PoolScheduler(pool_spec(upstreams), source.random, 0.0)
    for number in range(upstreams * 8 + waiting):
        scheduler.acquire("entry", "d", acquire_message(number, source), 1.0)
    return scheduler


def decision_time(upstreams: int, waiting: int, rounds: int = 60) -> float:
    """Return the median processor time of one decision: a release and the grant that follows."""
    scheduler = busy_scheduler(upstreams, waiting)
    source = random.Random(5)
    usage = Usage(100, 0, 60, 0.2, 1.5)
    used: list[float] = []
    for number in range(rounds):
        request = source.choice(list(scheduler._pool.running))
        release = Release(request, 1, "pool", "delivered", usage)
        started = time.process_time()
        actions = scheduler.release("d", release, 2.0)
        used.append(time.process_time() - started)
        assert any(isinstance(out.action, Grant) for out in actions)
        scheduler.acquire("entry", "d", acquire_message(100_000 + number, source), 2.0)
    return sorted(used)[len(used) // 2]


def tick_time(waiting: int) -> float:
    """Return the processor time of one tick with a forecast over the queue of 40 upstreams."""
    scheduler = busy_scheduler(40, waiting)

    def tick() -> None:
        scheduler._refuser._next_forecast = 0.0
        scheduler.tick(2.0)

    return best_processor_s(tick, 3)


def measure_scheduling() -> tuple[Line, Line, Line, Line]:
    """Measure a pool scheduler.

    :return: processor seconds of a decision by upstreams and by waiting requests, those of a tick
        with a forecast by waiting requests, and bytes of memory by upstreams.
    """
    by_upstreams = [(n, decision_time(n, 1000)) for n in (5, 10, 20, 40, 80, 160)]
    by_waiting = [(n, decision_time(40, n)) for n in (10, 100, 300, 1000, 2000)]
    by_forecast = [(n, tick_time(n)) for n in (100, 300, 1000, 2000)]
    memory = [(n, allocated_bytes(lambda n=n: busy_scheduler(n, 10 * n))) for n in (10, 20, 40, 80)]  # type: ignore[misc]
    return fit_line(by_upstreams), fit_line(by_waiting), fit_line(by_forecast), fit_line(memory)


# Configuration.


def fleet_specs(teams: int) -> Specs:
    """Create a configuration of many teams and 20 models."""
    document = {
        "tier": [{"name": f"t{rank}", "rank": rank} for rank in range(5)],
        "team": [
            {
                "name": f"team-{i}",
                "tiers": ["t2", "t3"],
                "weight": 2,
                "labels": {"channel": "desk", "region": f"r{i % 3}"},
                "key_sha256": [f"{i:064x}"],
            }
            for i in range(teams)
        ],
        "service": [
            {"name": f"model-{i}", "protocol": "completions", "selector": {"model": f"m{i}"}}
            for i in range(MODELS)
        ],
        "upstream_class": [
            {"name": f"gen{i}", "selector": {"hardware": f"gen{i}"}, "slots": 16} for i in range(4)
        ],
        "route": [{"name": f"route-{i}", "service": f"model-{i}"} for i in range(MODELS)],
    }
    return read_document(document).unwrap()


def host_list(replicas: int) -> tuple[ListedHost, ...]:
    """Create a host list of replicas and, in the target's proportion, nodes."""
    entries = [
        ListedHost(
            f"entry-{i}", f"10.0.{i % 250}.1:7000", f"d{i % DOMAINS}", False, {"kind": "entry"}
        )
        for i in range(replicas * NODES // REPLICAS)
    ]
    engines = [
        ListedHost(
            f"engine-{i}",
            f"10.1.{i % 250}.1:8000",
            f"d{i % DOMAINS}",
            False,
            {"kind": "engine", "model": f"m{i % MODELS}", "hardware": f"gen{i % 4}"},
        )
        for i in range(replicas)
    ]
    return tuple(entries + engines)


def apply_configuration(
    specs: Specs, teams: int
) -> tuple[ConfigurationState, Root, dict[str, bytes]]:
    """Apply a configuration and create the next revision, in which one team has changed.

    :return: the state, the root of the next revision, and its new chunks by hash.
    """
    state = ConfigurationState()
    chunks = split_chunks(specs)
    hashes = {name: chunk_hash(content) for name, content in chunks.items()}
    history = tuple(Revision(i, f"change-{i}", "op", 0, ("team/x.weight",)) for i in range(256))
    state.apply_root(
        Root(1, hashes, history), {hashes[name]: chunks[name] for name in chunks}
    ).unwrap()
    changed = dict(specs)
    changed["team", "team-1"] = {**specs["team", "team-1"], "weight": 3 + teams % 900}
    after = split_chunks(changed)
    new = {name: chunk_hash(content) for name, content in after.items()}
    fresh = {new[name]: after[name] for name in after if new[name] != hashes[name]}
    return state, Root(2, new, history), fresh


def measure_configuration() -> tuple[Line, Line, Line, float]:
    """Measure a configuration against its number of teams.

    :return: processor seconds to apply one change and to rebuild the fleet's view, bytes of memory,
        and bytes that a change transfers.
    """
    times, rebuilds, memory = [], [], []
    moved = 0.0
    for teams in (475, 950, 1900, 3800):
        specs = fleet_specs(teams)
        state, root, fresh = apply_configuration(specs, teams)

        def apply_change(
            state: ConfigurationState = state, root: Root = root, fresh: dict[str, bytes] = fresh
        ) -> None:
            copy = ConfigurationState()
            copy.root, copy.chunks = state.root, state.chunks
            copy.specs, copy.resources = state.specs, state.resources
            copy.apply_root(root, fresh).unwrap()

        times.append((teams, best_processor_s(apply_change, 3)))
        memory.append(
            (teams, allocated_bytes(lambda s=specs, t=teams: apply_configuration(s, t)[0]))  # type: ignore[misc]
        )
        resources = build_resources(specs).unwrap()
        listed = host_list(teams * REPLICAS // TEAMS)
        rebuilds.append((teams, best_processor_s(lambda r=resources, h=listed: FleetView(r, h), 3)))  # type: ignore[misc]
        moved = float(sum(len(each) for each in fresh.values()) + root_bytes(root))
    return fit_line(times), fit_line(rebuilds), fit_line(memory), moved


def root_bytes(root: Root) -> int:
    """Return the size of a root with its history, in bytes."""
    return len(encode_root(root))


# Links.


def measure_links() -> tuple[float, float, float, float]:
    """Measure the messages on a link.

    :return: processor seconds to encode and to decode a message, bytes of one request's messages,
        and bytes of one progress item.
    """
    source = random.Random(2)
    message = acquire_message(1, source)
    frame = CODEC.encode(STAMP, message)
    listed = msgpack.unpackb(frame)
    count = 2000
    encode = best_processor_s(lambda: [CODEC.encode(STAMP, message) for _ in range(count)]) / count
    decode = best_processor_s(lambda: [CODEC.decode(list(listed)) for _ in range(count)]) / count
    grant = Grant(
        "entry-100-3fffffffffffffff-100000", 1, "model-11", "engine-1000", "10.1.200.1:8000", 2
    )
    release = Release(grant.request, 1, "model-11", "delivered", Usage(900, 0, 120, 0.3, 8.0))
    per_request = float(len(frame) + 30 + frame_bytes(grant) + frame_bytes(release))
    items = tuple(ProgressItem(grant.request, 120, 0.31234, 4.51234) for _ in range(100))
    per_item = frame_bytes(Progress("model-11", items)) / 100
    return encode, decode, per_request, per_item


async def main() -> None:
    """Run the benchmark and print its table."""
    print("\n## Part capacity\n")
    print("| what | sizes n | fitted line | residual | at the target |")
    print("|---|---|---|---|---|")
    per_domain = NODES / DOMAINS
    beats, members, beat_bytes = measure_membership()
    print_line(
        "a heartbeat round, processor", "10..200 members of a domain", beats, "ms", 1e3, per_domain
    )
    print_line("membership, memory", "10..200 members of a domain", members, "kB", 1e-3, per_domain)
    by_upstreams, by_waiting, by_forecast, pool_memory = measure_scheduling()
    per_pool = REPLICAS / MODELS
    print_line("a decision, 1,000 waiting", "5..160 upstreams", by_upstreams, "us", 1e6, per_pool)
    print_line("a decision, 40 upstreams", "10..2,000 waiting", by_waiting, "us", 1e6, 1000)
    print_line(
        "a tick with a forecast, 40 upstreams", "100..2,000 waiting", by_forecast, "ms", 1e3, 1000
    )
    print_line(
        "a pool scheduler, memory",
        "10..80 upstreams, 18 requests each",
        pool_memory,
        "kB",
        1e-3,
        per_pool,
    )
    change_cost, rebuild, config_memory, moved = measure_configuration()
    print_line("taking one change, processor", "475..3,800 teams", change_cost, "ms", 1e3, TEAMS)
    print_line(
        "rebuilding the fleet's view",
        "475..3,800 teams, 162..1,300 replicas",
        rebuild,
        "ms",
        1e3,
        TEAMS,
    )
    print_line("configuration, memory", "475..3,800 teams", config_memory, "MB", 1e-6, TEAMS)
    encode, decode, per_request, per_item = measure_links()
    print(
        f"\nA link message costs {encode * 1e6:.1f} us to write and {decode * 1e6:.1f} us to read."
    )

    _print_budget(
        beats,
        beat_bytes,
        by_upstreams,
        change_cost,
        rebuild,
        config_memory,
        members,
        pool_memory,
        encode + decode,
        per_request,
        per_item,
        moved,
    )


def _print_budget(
    beats: Line,
    beat_bytes: float,
    by_upstreams: Line,
    change_cost: Line,
    rebuild: Line,
    config_memory: Line,
    members: Line,
    pool_memory: Line,
    message: float,
    per_request: float,
    per_item: float,
    moved: float,
) -> None:
    """Print the control work of one node at the target size, next to its budget."""
    per_domain, rate = NODES / DOMAINS, REQUESTS_PER_S / NODES
    pools_here = MODELS / NODES
    running = rate * MEAN_ANSWER_S
    rows: list[tuple[str, float, float, float]] = [
        (
            "heartbeats",
            beats.value_at(per_domain) / HEARTBEAT_INTERVAL_S + 2 * per_domain * message,
            2 * per_domain * beat_bytes / HEARTBEAT_INTERVAL_S,
            members.value_at(per_domain) / 1e6,
        ),
        ("acquire, grant, release of own requests", rate * 3 * message, rate * per_request, 0.0),
        (
            "progress of own requests",
            message * MODELS + running * 2e-6,
            running * per_item / PROGRESS_INTERVAL_S,
            0.0,
        ),
        (
            "changes of configuration",
            CHANGES_PER_DAY / 86_400 * (change_cost.value_at(TEAMS) + rebuild.value_at(TEAMS)),
            CHANGES_PER_DAY / 86_400 * moved,
            config_memory.value_at(TEAMS) / 1e6,
        ),
        (
            "host list changes",
            RESTARTS_PER_DAY / 86_400 * 2 * rebuild.value_at(TEAMS),
            RESTARTS_PER_DAY / 86_400 * 2 * (NODES + REPLICAS) * 90,
            0.5,
        ),
    ]
    print("\n| control of an entry node at the target | of a core | bytes a second | memory |")
    print("|---|---|---|---|")
    for what, core, octets, memory in rows:
        print(f"| {what} | {core:.3%} | {octets:,.0f} | {memory:.1f} MB |")
    core = sum(row[1] for row in rows)
    octets = sum(row[2] for row in rows)
    memory = sum(row[3] for row in rows)
    print(
        f"| together | {core:.2%} of {CORE_SHARE_BUDGET:.1%} | {octets:,.0f} of {BYTES_PER_S_BUDGET:,.0f} "
        f"| {memory:.1f} of {MEMORY_BUDGET_MB:.0f} MB |"
    )
    pool_rate = REQUESTS_PER_S / MODELS
    each = 2 * by_upstreams.value_at(REPLICAS / MODELS) + 3 * message
    whole = pool_rate * each
    shards = max(1, -(-whole // CORE_SHARE_BUDGET))
    print(
        f"\nA whole pool of {REPLICAS / MODELS:.0f} replicas at {pool_rate:.0f} requests a second costs its "
        f"scheduler {whole:.1%} of a core and {pool_rate * per_request:,.0f} bytes a second; "
        f"{pools_here:.2f} pools a node. Spread over all nodes that is {whole * MODELS / NODES:.2%} a node; "
        f"inside the budget of one node a pool needs about {shards:.0f} shards."
    )
    print(
        f"A pool scheduler's memory there: {pool_memory.value_at(REPLICAS / MODELS) / 1e6:.1f} MB."
    )
    watchers = DOMAINS * (1 / 5.0 + 1.0)
    print(
        f"Calls on the store: {DOMAINS} watchers, one watch each 5 s and the host list each second: "
        f"{watchers:.1f} a second at 3 domains {3 * 1.2:.1f}; it grows with domains, not with nodes."
    )
