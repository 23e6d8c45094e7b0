"""
scripts.demo

Start a fleet on loopback addresses, send a few dozen requests, kill a node in the middle, and
print what each caller got.
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
REQUESTS = 48
KILL_AFTER = 20
EXTRA = 2
LEAD_S = 0.6
PURCHASE_LEAD_S = 0.02
SEED = 7
PLATFORM = "platform"
PROMPT_TOKENS = (40, 200, 800, 4000)
ARRIVAL_S = 0.12


class Demo:
    """One run of the demo."""

    def __init__(self, fleet: LocalFleet, plan: dict[str, Any], session: aiohttp.ClientSession):
        self.fleet = fleet
        self.plan = plan
        self.session = session
        self.random = random.Random(SEED)
        self.told: collections.Counter[ReplyOutcome] = collections.Counter()
        self.wrong: list[str] = []
        self.refused: dict[str, int] = {}
        self.alive = list(fleet.nodes)

    async def run(self) -> None:
        """Send all requests, with a kill in the middle."""
        tasks = []
        for number in range(REQUESTS):
            tasks.append(asyncio.create_task(self.send(number)))
            await asyncio.sleep(ARRIVAL_S)
            if number == KILL_AFTER:
                await self.kill_in_the_middle(tasks)
        await asyncio.gather(*tasks)
        await self.check()

    async def kill_in_the_middle(self, tasks: list["asyncio.Task[None]"]) -> None:
        """Kill one node while it has a long answer and a seat purchase under way."""
        victim = self.alive[-1]
        long_one = asyncio.create_task(self.send(REQUESTS, victim, plain=False, size=4000))
        await asyncio.sleep(LEAD_S)
        purchase = asyncio.create_task(self.send(REQUESTS + 1, victim, plain=True, size=40))
        await asyncio.sleep(PURCHASE_LEAD_S)
        self.alive.remove(victim)
        print(f"-- killing {victim} (SIGKILL)", flush=True)
        self.fleet.nodes[victim].send_signal(signal.SIGKILL)
        tasks += [long_one, purchase]

    async def send(
        self, number: int, host: str = "", plain: bool | None = None, size: int = 0
    ) -> None:
        """Send one request, and a retry with the same token where a node died on it."""
        spec = self.plan["caller"][number % len(self.plan["caller"])]
        caller = Caller(self.session, spec["key"])
        host = host or self.random.choice(self.alive)
        plain = number % 3 == 2 if plain is None else plain
        size = size or self.random.choice(PROMPT_TOKENS)
        headers = {"Chalkyoke_Tier": spec["tier"]}
        if "labels" in spec:
            headers["Chalkyoke_Labels"] = spec["labels"]
        address = self.fleet.nodes[host].address
        try:
            headers["Chalkyoke_Token"] = await caller.take_token(address)
        except aiohttp.ClientError:
            host = self.random.choice(self.alive)
            address = self.fleet.nodes[host].address
            headers["Chalkyoke_Token"] = await caller.take_token(address)
        reply = await self._post(caller, address, number, plain, size, headers)
        if reply.outcome is ReplyOutcome.NOTHING:
            other = self.random.choice(self.alive)
            print(f"#{number:02d} {host} gave no answer; asking {other} with the same token")
            address = self.fleet.nodes[other].address
            reply = await self._post(caller, address, number, plain, size, headers)
        self.note(number, spec, host, plain, size, reply)

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

    def note(
        self, number: int, spec: dict[str, Any], host: str, plain: bool, size: int, reply: Reply
    ) -> None:
        """Print and count what a caller got."""
        self.told[reply.outcome] += 1
        kind = self.plan["plain"] if plain else f"{self.plan['service']} ({size} tokens)"
        why = f" {reply.reason}" if reply.outcome is not ReplyOutcome.WHOLE else ""
        print(
            f"#{number:02d} {spec['tier']:>8} {kind:<22} by {host}: {reply.outcome}{why}"
            f" in {reply.total_s:.2f} s",
            flush=True,
        )
        if reply.outcome in (ReplyOutcome.BAD, ReplyOutcome.NOTHING):
            self.wrong.append(f"#{number} was not accounted for: {reply.outcome} {reply.reason}")
        if reply.outcome is ReplyOutcome.NOT_RUN:
            self.refused[request_id_of(reply.token)] = number

    async def check(self) -> None:
        """Compare what callers were told with what the upstreams counted."""
        counts = await self.fleet.counts()
        seen: collections.Counter[str] = collections.Counter()
        for each in counts.values():
            seen.update(each["seen"])
        doubled = sum(1 for count in seen.values() if count > 1)
        sent = sum(self.told.values())
        for request, number in self.refused.items():
            if seen[request]:
                self.wrong.append(f"#{number} was told 'not run' and ran")
        print(
            f"demo: {sent} sent, {self.told[ReplyOutcome.WHOLE]} whole, "
            f"{self.told[ReplyOutcome.NOT_RUN]} not run, "
            f"{self.told[ReplyOutcome.FAILED]} failed, {self.told[ReplyOutcome.UNKNOWN]} unknown, "
            f"{doubled} doubled"
        )
        if doubled or sent != REQUESTS + EXTRA or self.wrong:
            print("\n".join(self.wrong))
            sys.exit(1)


async def main(name: str) -> None:
    if name == PLATFORM:
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
