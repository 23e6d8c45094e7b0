"""
chalkyoke_fakes.load

The load generator: callers arrive at random, take a token first and retry with it when a node gives
no answer. ``python -m chalkyoke_fakes.load --plan FILE --nodes ip:port,ip:port``.
"""

import argparse
import asyncio
import math
import random
import tomllib
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from chalkyoke_fakes.caller import Caller, Reply, ReplyOutcome

MAX_TRIES = 5
RETRY_S = 0.3
CHARACTERS_PER_TOKEN = 4


@dataclass
class Tally:
    """The outcomes of one tier's requests.

    :ivar first_s: time to the first byte of each request, in seconds; -1 where none arrived.
    """

    outcomes: Counter[ReplyOutcome] = field(default_factory=Counter)
    reasons: Counter[str] = field(default_factory=Counter)
    first_s: list[float] = field(default_factory=list)

    @property
    def sent(self) -> int:
        """The number of finished requests."""
        return sum(self.outcomes.values())


class Load:
    """Send a plan's requests to nodes.

    :param nodes: the nodes' addresses for callers; the list may shrink while the load runs.
    """

    def __init__(
        self, plan: dict[str, Any], nodes: list[str], session: aiohttp.ClientSession, seed: int
    ) -> None:
        self.plan = plan
        self.nodes = nodes
        self.tallies: dict[str, Tally] = defaultdict(Tally)
        self._session = session
        self._random = random.Random(seed)
        self._number = 0
        head = random.Random(1)
        self._heads = ["".join(head.choices("abcdefgh ", k=4096)) for _ in range(8)]

    async def send_load(self, seconds: float) -> None:
        """Send requests for some seconds, then wait for all answers."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        calls: list[asyncio.Task[None]] = []
        model, plain = self.plan["model_requests_per_s"], self.plan["plain_requests_per_s"]
        while loop.time() < end:
            await asyncio.sleep(self._random.expovariate(model + plain))
            is_plain = self._random.random() < plain / (model + plain)
            calls.append(asyncio.create_task(self._send_request(is_plain)))
        await asyncio.gather(*calls)

    async def _send_request(self, is_plain: bool) -> None:
        self._number += 1
        callers = self.plan["caller"]
        spec = self._random.choices(callers, [each["share"] for each in callers])[0]
        caller = Caller(self._session, spec["key"])
        headers = {"Chalkyoke_Tier": spec["tier"]}
        if "labels" in spec:
            headers["Chalkyoke_Labels"] = spec["labels"]
        body = {"hold": self._number} if is_plain else self._completion_body(spec)
        reply = Reply(ReplyOutcome.NOTHING)
        token = ""
        for _ in range(MAX_TRIES):
            address = self._random.choice(self.nodes)
            try:
                token = token or await caller.take_token(address)
            except (aiohttp.ClientError, OSError, KeyError):
                await asyncio.sleep(RETRY_S)
                continue
            headers["Chalkyoke_Token"] = token
            if is_plain:
                data = str(body).encode()
                reply = await caller.call(address, self.plan["plain"], data, **headers)
            else:
                reply = await caller.complete(address, body, **headers)
            if reply.outcome is not ReplyOutcome.NOTHING:
                break
            await asyncio.sleep(RETRY_S)
        tally = self.tallies[f"{self.plan['plain']}" if is_plain else spec["tier"]]
        tally.outcomes[reply.outcome] += 1
        if reply.outcome is not ReplyOutcome.WHOLE:
            tally.reasons[f"{reply.outcome}: {reply.reason}"] += 1
        tally.first_s.append(reply.first_s)

    def _completion_body(self, spec: dict[str, Any]) -> dict[str, Any]:
        source, sigma = self._random, self.plan["sigma"]
        tokens = int(
            min(4000, max(40, source.lognormvariate(math.log(spec["prompt_median"]), sigma)))
        )
        output = source.lognormvariate(math.log(spec["output_median"]), 0.7)
        prompt = f"{source.choice(self._heads)} case {self._number} " + "detail " * tokens
        return {
            "model": self.plan["service"],
            "prompt": prompt[: tokens * CHARACTERS_PER_TOKEN],
            "max_tokens": spec["output_most"],
            "fake_output_tokens": int(min(spec["output_most"], max(4, output))),
            "stream": True,
        }

    def summary_lines(self) -> list[str]:
        """Return one line for each tier with its outcomes and the reasons of failures."""
        return [
            f"{tier}: {tally.sent} sent, {tally.outcomes[ReplyOutcome.WHOLE]} whole, "
            f"{dict(tally.reasons)}"
            for tier, tally in sorted(self.tallies.items())
        ]


async def _main(arguments: argparse.Namespace) -> None:
    plan = tomllib.loads(arguments.plan.read_text(encoding="utf-8"))
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        load = Load(plan, arguments.nodes.split(","), session, arguments.seed)
        await load.send_load(arguments.seconds)
    print("\n".join(load.summary_lines()))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Send load to nodes on loopback addresses.")
    parser.add_argument("--plan", type=Path, required=True)
    parser.add_argument("--nodes", required=True, help="ip:port,ip:port on 127.0.0.0/8")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args()
    if not all(each.startswith("127.") for each in parsed.nodes.split(",")):
        parser.error("load goes to 127.0.0.0/8 only")
    asyncio.run(_main(parsed))
