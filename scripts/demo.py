"""
scripts.demo

Start a fleet on loopback addresses, send a few dozen requests, kill a node halfway, and print the
outcome of each request.
"""

import argparse
import asyncio
import collections
import random
import signal
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import aiohttp
from chalkyoke.tokens.codec import request_id_of
from chalkyoke_fakes import platformdemo
from chalkyoke_fakes.caller import Caller, Reply, ReplyOutcome
from chalkyoke_fakes.fleet import LocalFleet

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
REQUEST_COUNT = 48
# Number of the request after which a node is killed.
KILL_AFTER_REQUEST = 20
# Requests sent to the node that is killed, besides REQUEST_COUNT.
EXTRA_REQUEST_COUNT = 2
# Pauses after the long request and after the purchase is sent, before the node is killed.
LONG_REQUEST_LEAD_S = 0.6
PURCHASE_LEAD_S = 0.02
RANDOM_SEED = 7
# Name that starts the demo of the platform instead of an example fleet.
PLATFORM_DEMO = "platform"
# Sizes of prompts, one of which is drawn for each request.
PROMPT_TOKENS = (40, 200, 800, 4000)
# Time between two requests.
ARRIVAL_INTERVAL_S = 0.12


class Demo:
    """One run of the demo against a started fleet.

    :param plan: contents of the ``demo.toml`` of the example.
    """

    def __init__(self, fleet: LocalFleet, plan: dict[str, Any], session: aiohttp.ClientSession):
        self.fleet = fleet
        self.plan = plan
        self.session = session
        self.random = random.Random(RANDOM_SEED)
        self.outcomes: collections.Counter[ReplyOutcome] = collections.Counter()
        self.violations: list[str] = []
        self.not_run_requests: dict[str, int] = {}
        self.live_hosts = list(fleet.nodes)

    async def run(self) -> None:
        """Send all requests, kill a node after KILL_AFTER_REQUEST, and verify the outcomes."""
        tasks = []
        for number in range(REQUEST_COUNT):
            tasks.append(asyncio.create_task(self.send_request(number)))
            await asyncio.sleep(ARRIVAL_INTERVAL_S)
            if number == KILL_AFTER_REQUEST:
                await self.kill_node(tasks)
        await asyncio.gather(*tasks)
        await self.verify_counts()

    async def kill_node(self, tasks: list["asyncio.Task[None]"]) -> None:
        """Kill one node while a long answer and a seat purchase are in flight on it."""
        victim = self.live_hosts[-1]
        long_request = asyncio.create_task(
            self.send_request(REQUEST_COUNT, victim, plain=False, size=4000)
        )
        await asyncio.sleep(LONG_REQUEST_LEAD_S)
        purchase = asyncio.create_task(
            self.send_request(REQUEST_COUNT + 1, victim, plain=True, size=40)
        )
        await asyncio.sleep(PURCHASE_LEAD_S)
        self.live_hosts.remove(victim)
        print(f"-- killing {victim} (SIGKILL)", flush=True)
        self.fleet.nodes[victim].send_signal(signal.SIGKILL)
        tasks += [long_request, purchase]

    async def send_request(
        self, number: int, host: str = "", plain: bool | None = None, size: int = 0
    ) -> None:
        """Send one request, and retry it with the same token on a live node if none answered."""
        spec = self.plan["caller"][number % len(self.plan["caller"])]
        caller = Caller(self.session, spec["key"])
        host = host or self.random.choice(self.live_hosts)
        plain = number % 3 == 2 if plain is None else plain
        size = size or self.random.choice(PROMPT_TOKENS)
        headers = {"Chalkyoke_Tier": spec["tier"]}
        if "labels" in spec:
            headers["Chalkyoke_Labels"] = spec["labels"]
        address = self.fleet.nodes[host].address
        try:
            headers["Chalkyoke_Token"] = await caller.take_token(address)
        except aiohttp.ClientError:
            host = self.random.choice(self.live_hosts)
            address = self.fleet.nodes[host].address
            headers["Chalkyoke_Token"] = await caller.take_token(address)
        reply = await self._post(caller, address, number, plain, size, headers)
        if reply.outcome is ReplyOutcome.NOTHING:
            other = self.random.choice(self.live_hosts)
            print(f"#{number:02d} {host} gave no answer; asking {other} with the same token")
            address = self.fleet.nodes[other].address
            reply = await self._post(caller, address, number, plain, size, headers)
        self.report_reply(number, spec, host, plain, size, reply)

    async def _post(
        self,
        caller: Caller,
        address: str,
        number: int,
        plain: bool,
        size: int,
        headers: dict[str, str],
    ) -> Reply:
        if plain:
            body = f'{{"hold": {number}}}'.encode()
            return await caller.call(address, self.plan["plain"], body, **headers)
        head = self.plan["head"] * 40
        prompt = (head + f"Case {number}. " + "detail " * size)[: size * 4]
        body_json = {
            "model": self.plan["service"],
            "prompt": prompt,
            "max_tokens": max(16, size // 8),
            "stream": number % 2 == 0,
        }
        return await caller.complete(address, body_json, **headers)

    def report_reply(
        self, number: int, spec: dict[str, Any], host: str, plain: bool, size: int, reply: Reply
    ) -> None:
        """Print and count the reply to one request."""
        self.outcomes[reply.outcome] += 1
        kind = self.plan["plain"] if plain else f"{self.plan['service']} ({size} tokens)"
        why = f" {reply.reason}" if reply.outcome is not ReplyOutcome.WHOLE else ""
        print(
            f"#{number:02d} {spec['tier']:>8} {kind:<22} by {host}: {reply.outcome}{why}"
            f" in {reply.total_s:.2f} s",
            flush=True,
        )
        if reply.outcome in (ReplyOutcome.BAD, ReplyOutcome.NOTHING):
            self.violations.append(
                f"#{number} was not accounted for: {reply.outcome} {reply.reason}"
            )
        if reply.outcome is ReplyOutcome.NOT_RUN:
            self.not_run_requests[request_id_of(reply.token)] = number

    async def verify_counts(self) -> None:
        """Compare the outcomes that callers saw with the runs that the upstreams counted.

        Prints the totals, and exits with 1 if a request ran twice, is unaccounted for, or ran
        although its caller was told that it had not.
        """
        counts = await self.fleet.counts()
        seen: collections.Counter[str] = collections.Counter()
        for each in counts.values():
            seen.update(each["seen"])
        doubled = sum(1 for count in seen.values() if count > 1)
        sent = sum(self.outcomes.values())
        for request, number in self.not_run_requests.items():
            if seen[request]:
                self.violations.append(f"#{number} was told 'not run' and ran")
        print(
            f"demo: {sent} sent, {self.outcomes[ReplyOutcome.WHOLE]} whole, "
            f"{self.outcomes[ReplyOutcome.NOT_RUN]} not run, "
            f"{self.outcomes[ReplyOutcome.FAILED]} failed, "
            f"{self.outcomes[ReplyOutcome.UNKNOWN]} unknown, "
            f"{doubled} doubled"
        )
        if doubled or sent != REQUEST_COUNT + EXTRA_REQUEST_COUNT or self.violations:
            print("\n".join(self.violations))
            sys.exit(1)


async def main(name: str) -> None:
    if name == PLATFORM_DEMO:
        await platformdemo.main()
        return
    folder = EXAMPLES / name
    if not folder.is_dir():
        sys.exit(f"there is no example fleet {name!r}")
    plan = tomllib.loads((folder / "demo.toml").read_text(encoding="utf-8"))
    with tempfile.TemporaryDirectory(prefix="chalkyoke-demo-") as temporary:
        fleet = LocalFleet.from_example(Path(temporary), folder)
        async with fleet, aiohttp.ClientSession() as session:
            print(
                f"-- {name}: {len(fleet.nodes)} nodes, {len(fleet.upstreams)} upstreams", flush=True
            )
            await Demo(fleet, plan, session).run()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleet", default="norrspar")
    asyncio.run(main(parser.parse_args().fleet))
