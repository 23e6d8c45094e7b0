"""
chalkyoke_fakes.soak.play

Play one seed: start a fleet, send requests while faults are injected, and check the records.
"""

import asyncio
import contextlib
import itertools
import json
import random
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from chalkyoke_fakes.leaving import Leave, encode_request, leave_node
from chalkyoke_fakes.memoryload.manners import Upload as LargeUpload
from chalkyoke_fakes.memoryload.records import Ending
from chalkyoke_fakes.platformfleet import KEY, TEAM
from chalkyoke_fakes.replica import read_events, shared_parts, stream_events
from chalkyoke_fakes.soak import fleet as fleets
from chalkyoke_fakes.soak.causes import COLLECTED, is_node_fault
from chalkyoke_fakes.soak.checkers import CHECKERS, MIXED_VERSION_CHECKERS, run_checkers
from chalkyoke_fakes.soak.fleet import SoakFleet
from chalkyoke_fakes.soak.injector import Injector
from chalkyoke_fakes.soak.largeuploads import LargeUploader, UploadEnd
from chalkyoke_fakes.soak.memorywatch import MemoryWatch
from chalkyoke_fakes.soak.observations import (
    CallerAttempt,
    Decision,
    FaultPeriod,
    Kind,
    LeftRequest,
    Observations,
    Quota,
    Rejection,
    ReplicaRun,
    RetryLimit,
    Violation,
)
from chalkyoke_fakes.soak.plan import Fault, draw_faults, draw_roll
from chalkyoke_fakes.soak.refusedsenders import UPLOADS as UPLOADS_REFUSED
from chalkyoke_fakes.soak.refusedsenders import send_while_refused
from chalkyoke_fakes.soak.uploads import Upload

KIND_BY_PATH = {
    "/book/1": Kind.ONCE,
    "/find/1": Kind.REPEATABLE,
    "/chat/1": Kind.STREAM,
    "/explain/1": Kind.RESUMABLE,
}
# The deadline that callers send with each request, and the time after which they stop waiting.
DEADLINE_S = 8.0
CALLER_TIMEOUT_S = 20.0
# The time by which the first output of the stand-in's routes is due, in seconds.
GOAL_S = 1.0
RECOVERED_REQUESTS_IN_A_ROW = 3
RECOVERY_TIMEOUT_S = 30.0
# The interval at which a request that ends replicas is repeated, and for how long it is repeated
# after its fault has ended, in seconds.
CRASHING_INTERVAL_S = 0.3
CRASHING_EXTRA_S = 5.0
# The first part of all prompts, and the number of subjects that they share beside it.
FIRST_PART = "5a5a"
SUBJECTS = 6
# Callers that leave, in a second; the time after which they leave, in seconds, and the time for
# which their requests would run at replicas.
LEAVING_PER_S = 2.0
LEAVES_AFTER_S = 0.3
LEFT_WORK_S = 1.5
# Share of new connections that callers open to a preferred node.
PREFERRED_SHARE = 0.9
# Number of callers that read slowly at a time, the size of their answers in bytes, and the time
# between two of their reads in seconds: an answer takes some 2 s, well within its deadline.
SLOW_READERS = 8
SLOW_ANSWER_BYTES = 600_000
READ_PAUSE_S = 0.25

# Number of callers whose bodies end late beside a planned stop.
UPLOADS = 8
# Number of callers that send large bodies to one node at a time: more than its host has memory for.
LARGE_UPLOADERS = 48
# Requests a second during a flood of one team, and how often its callers resend a refused one: some
# callers were seen to ignore Retry-After up to three times.
FLOOD_PER_S = 40.0
FLOOD_RESENDS = 3
# Interval at which the process of the stand-ins checks whether it is late, and the longest delay
# that counts as none, in seconds.
WATCH_S = 0.05
MAX_LATE_S = 0.15
# Streams that begin in a second while engines break them off, and how often a caller resumes one.
STREAMS_PER_S = 20.0
MAX_RESUMES = 3


@dataclass(frozen=True, slots=True)
class RunConfig:
    """The size and options of a run.

    :param zones: the failure domain of each node.
    :param replicas_per_zone: replicas of each service in each failure domain.
    :param seconds: how long callers send requests; faults begin until 2 s before the end.
    :param requests_per_s: requests a second for each node.
    :param old_packages: folder of the packages of another build, from which the nodes are rolled to
        this one while faults are injected; None where all nodes run this build.
    :param calm: whether the roll is the only fault, to show its effect on callers.
    :param only: the kinds of faults to inject; all if empty. Shares of requests that are served are
        compared only where no other fault is near.
    :param paths: the paths that callers ask for.
    """

    zones: tuple[str, ...] = ("a", "b", "c")
    replicas_per_zone: int = 1
    seconds: float = 15.0
    requests_per_s: float = 8.0
    old_packages: Path | None = None
    calm: bool = False
    only: frozenset[str] = frozenset()
    paths: tuple[str, ...] = tuple(KIND_BY_PATH)


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """The records of a run and the violations found in them."""

    seed: int
    observations: Observations
    violations: list[Violation]

    def summary(self) -> str:
        """Summarize the run in one line."""
        observations = self.observations
        good = sum(1 for each in observations.attempts if each.status == 200 and each.complete)
        back = "never" if observations.recovered_s is None else f"{observations.recovered_s:.1f} s"
        return (
            f"seed {self.seed}: {len(observations.attempts)} asked, {good} whole, "
            f"{len(observations.runs)} runs, {len(observations.faults)} faults, "
            f"{len(observations.drains)} drained, {len(observations.upload_periods)} uploads, "
            f"{max(observations.peak_mb.values(), default=0.0):.0f} MB, back after {back}, "
            f"{len(self.violations)} broken"
        )


def count_caller_outcomes(observations: Observations) -> dict[str, int]:
    """Count the refused, failed and late requests of all requests, and the reasons of refusals."""
    counts = {
        "asked": len(observations.attempts),
        "refused": 0,
        "over quota": 0,
        "failed": 0,
        "late": 0,
    }
    for each in observations.attempts:
        if each.status == 429:
            counts["over quota"] += 1
        elif each.status == 503:
            counts["refused"] += 1
            reason = f"refused: {each.body.decode(errors='replace')}"
            counts[reason] = counts.get(reason, 0) + 1
        elif each.status != 200 or not each.complete:
            counts["failed"] += 1
        elif each.ended - each.began > GOAL_S:
            counts["late"] += 1
    return counts


@dataclass(frozen=True, slots=True)
class BrokenStream:
    """A stream that broke, as its caller has got it.

    :ivar began_as: id of the attempt that brought the first event.
    :ivar last_event: number of the last event.
    :ivar version: version of the software that wrote it.
    """

    began_as: str
    last_event: int
    version: str

    def headers(self) -> dict[str, str]:
        """Return the headers with which the caller resumes the stream."""
        return {"Last_Event_Id": str(self.last_event), "Resumes": self.began_as}


class SoakRun:
    """One run of a seed with a fleet."""

    def __init__(self, fleet: SoakFleet, seed: int, config: RunConfig) -> None:
        self._fleet = fleet
        self._seed = seed
        self._config = config
        self._random = random.Random(seed + 1)
        self._numbers = itertools.count(1)
        self._began = time.monotonic()
        self._extra_callers: list[asyncio.Task[None]] = []
        self._slow_readers: list[asyncio.Task[CallerAttempt]] = []
        self._preferred_node = ""
        self.observations = Observations(
            retry_limit=RetryLimit(fleets.RETRY_RATIO, fleets.RETRY_SLACK, fleets.RETRY_WINDOW_S),
            streams={each: stream_events(each) for each in fleets.ENGINE_VERSIONS},
        )
        rate = fleets.QUOTA_RATE_PER_S * fleets.QUOTA_WINDOW_S + fleets.QUOTA_BURST
        most = rate * (1.0 + fleets.QUOTA_OVER) + fleets.QUOTA_SLACK
        self.observations.quotas.append(Quota(fleets.QUOTA_TEAM, most, fleets.QUOTA_WINDOW_S))

    def elapsed_s(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self._began

    async def play_faults(self) -> Observations:
        """Send requests while faults are injected, then wait until all nodes serve again."""
        injector = Injector(
            self._fleet,
            self.observations,
            self.elapsed_s,
            self._start_crashing_caller,
            self._start_slow_readers,
            self._send_burst,
            self._start_flood,
            self._send_streams,
            self._start_crashing_part_caller,
            self._prefer_node,
            self._start_uploads,
            self._start_large_uploads,
            self._start_refused_senders,
        )
        memory = MemoryWatch(self._fleet, self.observations, injector.ending, self.elapsed_s)
        memory_watch = asyncio.create_task(memory.run())
        watch = asyncio.create_task(self._watch_own_loop())
        callers = asyncio.create_task(self._run_callers(self._config.seconds, injector))
        leaving = asyncio.create_task(self._run_leaving_callers(self._config.seconds))
        steps = draw_faults(
            self._seed,
            self._config.seconds - 2.0,
            list(self._fleet.nodes),
            self._fleet.places,
        )
        injections = []
        if self._config.old_packages is not None:
            injections.append(asyncio.create_task(self._roll_nodes(injector)))
        if self._config.only:
            steps = [each for each in steps if each.fault in self._config.only]
        for step in [] if self._config.calm else steps:
            await asyncio.sleep(max(0.0, step.at - self.elapsed_s()))
            injections.append(asyncio.create_task(injector.inject_fault(step)))
        await callers
        await leaving
        await asyncio.gather(*self._extra_callers)
        await asyncio.gather(*self._slow_readers)
        await asyncio.gather(*injections)
        self.observations.recovered_s = await self._wait_for_recovery()
        watch.cancel()
        if memory_watch.done():
            memory_watch.result()
        memory_watch.cancel()
        self._collect_replica_records()
        return self.observations

    async def _watch_own_loop(self) -> None:
        """Record when this process, in which the replicas run, is late by itself."""
        while True:
            before = self.elapsed_s()
            await asyncio.sleep(WATCH_S)
            if self.elapsed_s() - before > WATCH_S + MAX_LATE_S:
                self.observations.halts.append((before, self.elapsed_s()))

    async def _roll_nodes(self, injector: Injector) -> None:
        for step in draw_roll(self._seed, list(self._fleet.nodes)):
            await asyncio.sleep(max(0.0, step.at - self.elapsed_s()))
            await injector.roll_node(step)

    # Callers.

    async def _run_callers(self, seconds: float, injector: Injector) -> None:
        tasks: list[asyncio.Task[None]] = []
        pause = 1.0 / (self._config.requests_per_s * len(self._fleet.nodes))
        while self.elapsed_s() < seconds:
            path = self._random.choice(self._config.paths)
            nodes = list(self._fleet.nodes)
            if self._config.calm:
                # A load balancer sends no requests to a host that stops or starts.
                nodes = [each for each in nodes if each not in injector.active_targets]
            node = self._random.choice(nodes)
            if self._preferred_node and self._random.random() < PREFERRED_SHARE:
                node = self._preferred_node
            team = fleets.QUOTA_TEAM if self._random.random() < 0.4 else TEAM
            tasks.append(asyncio.create_task(self._send_from_caller(node, path, team)))
            await asyncio.sleep(self._random.expovariate(1.0 / pause))
        await asyncio.gather(*tasks)

    async def _run_leaving_callers(self, seconds: float) -> None:
        """Send requests whose callers leave, of kinds that end with their callers."""
        rng = random.Random(f"leaving {self._seed}")
        ways = [each for each in Leave if each is not Leave.PIPELINED]
        paths = [path for path, kind in KIND_BY_PATH.items() if kind is not Kind.ONCE]
        tasks: list[asyncio.Task[None]] = []
        while self.elapsed_s() < seconds:
            node, path = rng.choice(list(self._fleet.nodes)), rng.choice(paths)
            tasks.append(asyncio.create_task(self._leave(node, path, rng.choice(ways))))
            await asyncio.sleep(rng.expovariate(LEAVING_PER_S))
        await asyncio.gather(*tasks)

    async def _leave(self, node: str, path: str, how: Leave) -> None:
        name = f"left{self._seed}-{next(self._numbers)}"
        method = "GET" if KIND_BY_PATH[path] is Kind.REPEATABLE else "POST"
        request = encode_request(name, method, path, b"{}", work_s=LEFT_WORK_S)
        # A node that is down may have received the request all the same.
        with contextlib.suppress(OSError):
            await leave_node(self._fleet.nodes[node].callers, {name: request}, LEAVES_AFTER_S, how)
        left = LeftRequest(name, node, self.elapsed_s())
        self.observations.left_requests.append(left)

    def _start_crashing_caller(self, body: bytes, seconds: float) -> None:
        self._extra_callers.append(
            asyncio.create_task(self._repeat_crashing_request(body, seconds))
        )

    async def _repeat_crashing_request(self, body: bytes, seconds: float) -> None:
        """Repeat one request at random nodes for longer than the nodes need to quarantine it."""
        until = min(self.elapsed_s() + seconds + CRASHING_EXTRA_S, self._config.seconds)
        path = self._random.choice(list(KIND_BY_PATH))
        while self.elapsed_s() < until:
            node = self._random.choice(list(self._fleet.nodes))
            await self._send_request(node, path, TEAM, body)
            await asyncio.sleep(CRASHING_INTERVAL_S)

    def _start_crashing_part_caller(self, part: str, seconds: float) -> None:
        self._extra_callers.append(asyncio.create_task(self._send_crashing_part(part, seconds)))

    async def _send_crashing_part(self, part: str, seconds: float) -> None:
        """Send prompts with a part to random nodes, no two alike."""
        until = min(self.elapsed_s() + seconds + CRASHING_EXTRA_S, self._config.seconds)
        paths = [path for path, kind in KIND_BY_PATH.items() if kind.streams]
        while self.elapsed_s() < until:
            node, path = self._random.choice(list(self._fleet.nodes)), self._random.choice(paths)
            body = b"with a part %d" % next(self._numbers)
            await self._send_request(node, path, TEAM, body, parts=(FIRST_PART, part))
            await asyncio.sleep(CRASHING_INTERVAL_S)

    def _prefer_node(self, node: str) -> None:
        self._preferred_node = node

    def _draw_parts(self, path: str) -> tuple[str, ...]:
        """Draw the shared parts of a sound prompt; plain requests have none."""
        if not KIND_BY_PATH[path].streams:
            return ()
        return FIRST_PART, f"50{self._random.randrange(SUBJECTS):02x}"

    def _start_slow_readers(self, node: str) -> None:
        paths = [path for path, kind in KIND_BY_PATH.items() if not kind.streams]
        for number in range(SLOW_READERS):
            path = paths[number % len(paths)]
            request = self._send_request(node, path, TEAM, read_pause_s=READ_PAUSE_S)
            self._slow_readers.append(asyncio.create_task(request))

    def _start_uploads(self, node: str) -> None:
        for number in range(UPLOADS):
            path = "/book/1" if number % 2 else "/find/1"
            self._extra_callers.append(asyncio.create_task(self._upload(node, path)))

    async def _upload(self, node: str, path: str) -> None:
        name = f"up{self._seed}-{next(self._numbers)}"
        upload = Upload(self._fleet.nodes[node].callers, name, path, self.elapsed_s)
        got = await upload.send(CALLER_TIMEOUT_S)
        if got is None:
            return
        self.observations.uploads.add(name)
        self.observations.attempts.append(
            CallerAttempt(
                name,
                KIND_BY_PATH[path],
                node,
                TEAM,
                upload.sent_at or self.elapsed_s(),
                self.elapsed_s(),
                DEADLINE_S,
                got.status,
                got.body,
                got.whole,
            )
        )

    def _start_refused_senders(self, node: str) -> None:
        for upload in UPLOADS_REFUSED:
            task = asyncio.create_task(self._send_while_refused(node, upload))
            self._extra_callers.append(task)

    async def _send_while_refused(self, node: str, upload: LargeUpload) -> None:
        name, address = f"refused{next(self._numbers)}", self._fleet.nodes[node].callers
        found = await send_while_refused(address, node, name, upload, self.elapsed_s)
        self.observations.refused_senders += found

    def _start_large_uploads(self, node: str, seconds: float) -> None:
        self._extra_callers.append(asyncio.create_task(self._upload_large(node, seconds)))

    async def _upload_large(self, node: str, seconds: float) -> None:
        """Let callers of a node send more than its host has memory for."""
        began = self.elapsed_s()
        until = min(began + seconds, self._config.seconds)
        paths = ("/book/1", "/find/1")
        uploaders = [
            LargeUploader(
                self._fleet.nodes[node].callers,
                f"large{self._seed}-{next(self._numbers)}",
                paths[number % len(paths)],
                self.elapsed_s,
            )
            for number in range(LARGE_UPLOADERS)
        ]
        ends = await asyncio.gather(*(each.run(until) for each in uploaders))
        for number, uploader_ends in enumerate(ends):
            for each in uploader_ends:
                self._record_large_upload(each, node, paths[number % len(paths)])
        self.observations.upload_periods.append(
            FaultPeriod(Fault.LARGE_UPLOADS, node, began, self.elapsed_s())
        )

    def _record_large_upload(self, end: UploadEnd, node: str, path: str) -> None:
        """Record an upload that was sent whole or answered; the caller left the others."""
        if end.ending is Ending.LEFT:
            return
        if end.finished:
            self.observations.uploads.add(end.name)
        self.observations.attempts.append(
            CallerAttempt(
                end.name,
                KIND_BY_PATH[path],
                node,
                TEAM,
                end.began,
                end.ended,
                DEADLINE_S,
                end.status,
                end.body,
                end.ending in (Ending.WHOLE, Ending.REFUSED, Ending.FAILED),
            )
        )

    async def _send_burst(self, rate_per_s: float, seconds: float) -> None:
        """Send plain requests to random nodes, and wait for their answers."""
        until = min(self.elapsed_s() + seconds, self._config.seconds)
        paths = [path for path, kind in KIND_BY_PATH.items() if kind is not Kind.STREAM]
        tasks: list[asyncio.Task[CallerAttempt]] = []
        while self.elapsed_s() < until:
            node = self._random.choice(list(self._fleet.nodes))
            path = self._random.choice(paths)
            tasks.append(asyncio.create_task(self._send_request(node, path, TEAM)))
            await asyncio.sleep(self._random.expovariate(rate_per_s))
        await asyncio.gather(*tasks)

    def _start_flood(self, seconds: float) -> None:
        self._extra_callers.append(asyncio.create_task(self._flood(seconds)))

    async def _flood(self, seconds: float) -> None:
        """Send streams of one team far faster than the engines serve them."""
        until = min(self.elapsed_s() + seconds, self._config.seconds)
        tasks: list[asyncio.Task[None]] = []
        while self.elapsed_s() < until:
            node = self._random.choice(list(self._fleet.nodes))
            tasks.append(asyncio.create_task(self._send_stubbornly(node)))
            await asyncio.sleep(1.0 / FLOOD_PER_S)
        await asyncio.gather(*tasks)

    async def _send_stubbornly(self, node: str) -> None:
        """Send a request and, while it is refused, resend it at once despite its Retry-After."""
        for _ in range(1 + FLOOD_RESENDS):
            if (await self._send_request(node, "/chat/1", TEAM)).status != 503:
                return

    async def _send_streams(self, seconds: float) -> None:
        """Begin streams at random nodes, and wait for their ends."""
        until = min(self.elapsed_s() + seconds, self._config.seconds)
        tasks: list[asyncio.Task[None]] = []
        while self.elapsed_s() < until:
            node = self._random.choice(list(self._fleet.nodes))
            body = b"stream %d" % next(self._numbers)
            tasks.append(asyncio.create_task(self._send_stream(node, "/explain/1", TEAM, body)))
            await asyncio.sleep(self._random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*tasks)

    async def _send_from_caller(self, node: str, path: str, team: str) -> None:
        if KIND_BY_PATH[path] is Kind.RESUMABLE:
            await self._send_stream(node, path, team, b"{}")
        else:
            await self._send_request(node, path, team)

    async def _send_stream(self, node: str, path: str, team: str, body: bytes) -> None:
        """Send a request for a stream, and resume the stream at other nodes while it breaks."""
        attempt = await self._send_request(node, path, team, body)
        stream: BrokenStream | None = None
        for _ in range(MAX_RESUMES):
            events = read_events(attempt.body) if attempt.status == 200 else []
            if events:
                began_as = stream.began_as if stream else attempt.request
                stream = BrokenStream(began_as, *events[-1])
            if stream is None or (attempt.status == 200 and attempt.complete):
                return
            other = self._random.choice(list(self._fleet.nodes))
            attempt = await self._send_request(other, path, team, body, resumed=stream)

    async def _send_request(
        self,
        node: str,
        path: str,
        team: str,
        body: bytes = b"{}",
        *,
        read_pause_s: float = 0.0,
        resumed: "BrokenStream | None" = None,
        parts: tuple[str, ...] | None = None,
    ) -> CallerAttempt:
        number = next(self._numbers)
        name = f"r{self._seed}-{number}"
        parts = self._draw_parts(path) if parts is None else parts
        key = fleets.QUOTA_KEY if team == fleets.QUOTA_TEAM else KEY
        method = "GET" if KIND_BY_PATH[path] is Kind.REPEATABLE else "POST"
        began = self.elapsed_s()
        serving = self._fleet.count_serving(resumed.version) if resumed else 0
        status, answer, whole, leaving, limited = 0, b"", False, "", ""
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                got = await self._fleet.send_request(
                    node,
                    path,
                    method=method,
                    body=body,
                    key=key,
                    request_id=name,
                    read_pause_s=read_pause_s,
                    X_Answer_Bytes=str(SLOW_ANSWER_BYTES if read_pause_s else 0),
                    **(resumed.headers() if resumed else {}),
                    **(_prompt_headers(parts, number) if parts else {}),
                )
            status, answer, whole = got.status, got.body, got.whole
            replica = got.headers.get("x-server-stamp", "").partition(".")[0]
            leaving = replica if "server-leaving" in got.headers else ""
            limited = replica if "server-limit" in got.headers else ""
        except TimeoutError:
            pass
        attempt = CallerAttempt(
            name,
            KIND_BY_PATH[path],
            node,
            team,
            began,
            self.elapsed_s(),
            DEADLINE_S,
            status,
            answer,
            whole,
            leaving,
            limited,
            resumed.began_as if resumed else "",
            resumed.last_event if resumed else -1,
            serving,
            parts,
        )
        self.observations.attempts.append(attempt)
        return attempt

    async def _wait_for_recovery(self) -> float | None:
        """Send requests to each node until it has answered some in a row.

        :return: the seconds that this took; None if :data:`RECOVERY_TIMEOUT_S` passed first.
        """
        began = self.elapsed_s()
        for node in self._fleet.nodes:
            answered_in_a_row = 0
            while answered_in_a_row < RECOVERED_REQUESTS_IN_A_ROW:
                if self.elapsed_s() - began > RECOVERY_TIMEOUT_S:
                    return None
                path = self._random.choice(list(KIND_BY_PATH))
                answer = await self._send_request(node, path, TEAM)
                answered_in_a_row = answered_in_a_row + 1 if answer.status == 200 else 0
                await asyncio.sleep(0.05)
        return self.elapsed_s() - began

    # Records of replicas and logs.

    def _collect_replica_records(self) -> None:
        for replica in [*self._fleet.replicas.values(), *self._fleet.removed_replicas]:
            self.observations.replica_exits[replica.id] = [
                at - self._began for at in replica.exit_times
            ]
            for received in replica.rejected:
                name, at = received.headers["x-request-id"], received.begun_at - self._began
                self.observations.rejections.append(
                    Rejection(name, replica.id, at, received.rest_s)
                )
            for received in replica.seen:
                self.observations.runs.append(
                    ReplicaRun(
                        received.headers["x-request-id"],
                        replica.id,
                        replica.service,
                        received.headers.get("x-tenant", ""),
                        received.at - self._began,
                        received.body,
                        frozenset(shared_parts(received)),
                        received.ended_at - self._began,
                        received.work_s,
                        received.begun_at - self._began,
                    )
                )
        for name in self._fleet.nodes:
            self._collect_lines(name)

    def _collect_lines(self, name: str) -> None:
        log = (self._fleet.folder / f"{name}.log").read_text(encoding="utf-8", errors="replace")
        process = ""
        for line in log.splitlines():
            try:
                entry = json.loads(line)
            except json.JSONDecodeError:
                continue
            if entry.get("event") == "started":
                process = entry["process"]
            elif entry.get("event") == "version":
                self.observations.versions.setdefault(process, []).append(entry["version"])
            elif is_node_fault(entry):
                self.observations.node_faults.append(Decision(name, entry["event"], entry))
            elif entry.get("event") in COLLECTED and "request" in entry:
                decision = Decision(name, entry["event"], entry)
                self.observations.decisions.setdefault(entry["request"], []).append(decision)


def _prompt_headers(parts: tuple[str, ...], number: int) -> dict[str, str]:
    """Return the headers of a prompt with shared parts and a last part of its own."""
    listed = ",".join(f"{each}:60" for each in (*parts, f"f{number:06x}"))
    return {"X_Prefix_Hash": listed, "X_Token_Count": f"{60 * (len(parts) + 1)},100"}


async def play_seed(seed: int, config: RunConfig, keep: Path | None = None) -> RunOutcome:
    """Play a seed and check the records of the run.

    :param keep: folder to which the logs of a run with violations are copied.
    """
    with tempfile.TemporaryDirectory(prefix="chalkyoke-soak-") as folder:
        async with SoakFleet(
            Path(folder), config.zones, config.replicas_per_zone, config.old_packages
        ) as fleet:
            observations = await SoakRun(fleet, seed, config).play_faults()
        broken = run_checkers(
            observations, CHECKERS if config.old_packages is None else MIXED_VERSION_CHECKERS
        )
        if broken and keep is not None:
            _copy_logs(Path(folder), keep / f"seed-{seed}")
    return RunOutcome(seed, observations, broken)


def _copy_logs(folder: Path, kept: Path) -> None:
    kept.mkdir(parents=True, exist_ok=True)
    for log in folder.glob("*.log"):
        (kept / log.name).write_bytes(log.read_bytes())
