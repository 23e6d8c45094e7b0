"""
chalkyoke_fakes.plain

A stand-in for a plain service (seat reservations, claims) whose calls may not be repeated. It
counts the runs of each request; with ``--checks`` it refuses a request that it has run before.
"""

import asyncio
import os
from collections import Counter
from dataclasses import dataclass
from typing import Any

import falcon
import falcon.asgi

from chalkyoke_fakes.serving import Control, parser, serve

DIED_EXIT_CODE = 9


@dataclass
class Faults:
    """Faults that can be switched at run time.

    :ivar latency_s: time that a call runs, in seconds.
    :ivar refuse: answer 503 without running the call.
    :ivar hang: calls do not finish while this is set.
    :ivar lose_answers: the number of calls that run and whose connection is then broken.
    :ivar draining: report draining in the load report.
    :ivar die: end the process after the next run.
    """

    latency_s: float = 0.03
    refuse: bool = False
    hang: bool = False
    lose_answers: int = 0
    draining: bool = False
    die: bool = False


class Service:
    """The service's faults and run counters."""

    def __init__(self, checks: bool, latency_s: float) -> None:
        self.faults = Faults(latency_s)
        self.checks = checks
        self.runs: Counter[str] = Counter()
        self.running = 0

    def counts(self) -> dict[str, Any]:
        """Return the number of runs, in total and by request, and of requests run twice."""
        doubled = sum(1 for count in self.runs.values() if count > 1)
        return {"runs": sum(self.runs.values()), "doubled": doubled, "seen": dict(self.runs)}


class CallPage:
    """The route of calls."""

    def __init__(self, service: Service) -> None:
        self._service = service

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, path: str
    ) -> None:
        """Run one call, unless a fault or the check for repeated requests prevents it."""
        service = self._service
        body = await req.stream.read()
        if service.faults.refuse:
            raise falcon.HTTPServiceUnavailable(description="refused")
        name = req.get_header("X-Request-Id") or "anonymous"
        if service.checks and service.runs[name]:
            raise falcon.HTTPConflict(description="this request has run before")
        service.runs[name] += 1
        service.running += 1
        try:
            while service.faults.hang:
                await asyncio.sleep(0.05)
            await asyncio.sleep(service.faults.latency_s)
        finally:
            service.running -= 1
        if service.faults.die:
            os._exit(DIED_EXIT_CODE)
        if service.faults.lose_answers > 0:
            service.faults.lose_answers -= 1
            resp.stream = _broken_stream()
            return
        resp.media = {"path": path, "request": name, "bytes": len(body), "done": True}


async def _broken_stream() -> Any:
    raise ConnectionError("the answer is lost")
    yield b""


class LoadPage:
    """The route of the load report."""

    def __init__(self, service: Service) -> None:
        self._service = service

    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the load report."""
        resp.media = {
            "running": self._service.running,
            "waiting": 0,
            "age_s": 0.0,
            "draining": self._service.faults.draining,
        }


def make_app(checks: bool, latency_s: float) -> Any:
    """Build the application."""
    service = Service(checks, latency_s)
    app: Any = falcon.asgi.App()
    app.add_route("/load", LoadPage(service))
    app.add_route("/control", Control(service))
    app.add_route("/{path:path}", CallPage(service))
    return app


if __name__ == "__main__":
    made = parser("a plain service")
    made.add_argument("--checks", action="store_true", help="refuse a request that has run before")
    made.add_argument("--latency-s", type=float, default=0.03)
    parsed = made.parse_args()
    serve(make_app(parsed.checks, parsed.latency_s), parsed.address)
