"""
chalkyoke_fakes.hosts

A stand-in for the platform's list of live and leaving hosts. Changes appear in it after a lag.
"""

import asyncio
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import falcon
import falcon.asgi

from chalkyoke_fakes.serving import Control, parser, serve


@dataclass
class Faults:
    """Faults that can be switched at run time.

    :ivar lag_s: delay until a change appears in the list, in seconds.
    :ivar outage: reads are answered with 503.
    """

    lag_s: float = 0.0
    outage: bool = False


class HostList:
    """The published list of hosts, and changes that are still pending."""

    def __init__(self, hosts: list[dict[str, Any]], lag_s: float) -> None:
        self.faults = Faults(lag_s)
        self.version = 1
        self.hosts = {str(host["id"]): host for host in hosts}
        self.calls = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def counts(self) -> dict[str, Any]:
        """Return the number of reads and the list's version."""
        return {"calls": self.calls, "version": self.version}

    def schedule_change(self, host: dict[str, Any]) -> None:
        """Add, update or (state ``gone``) remove a host after the lag."""
        task = asyncio.create_task(self._change_later(host))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change_later(self, host: dict[str, Any]) -> None:
        await asyncio.sleep(self.faults.lag_s)
        name = str(host["id"])
        if host.get("state") == "gone":
            self.hosts.pop(name, None)
        else:
            self.hosts[name] = {**self.hosts.get(name, {}), **host}
        self.version += 1


class ListPage:
    """The route of the host list."""

    def __init__(self, hosts: HostList) -> None:
        self._hosts = hosts

    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the version and the hosts."""
        self._hosts.calls += 1
        if self._hosts.faults.outage:
            raise falcon.HTTPServiceUnavailable(description="outage")
        resp.media = {"version": self._hosts.version, "hosts": list(self._hosts.hosts.values())}

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Change one host."""
        self._hosts.schedule_change(await req.get_media())
        resp.media = {"taken": True}


def make_app(hosts: list[dict[str, Any]], lag_s: float) -> Any:
    """Build the application."""
    listed = HostList(hosts, lag_s)
    app: Any = falcon.asgi.App()
    app.add_route("/v1/hosts", ListPage(listed))
    app.add_route("/control", Control(listed))
    return app


if __name__ == "__main__":
    made = parser("a host list")
    made.add_argument("--hosts", type=Path, required=True, help="JSON file: a list of hosts")
    made.add_argument("--lag-s", type=float, default=0.0)
    arguments = made.parse_args()
    listed_hosts = json.loads(arguments.hosts.read_text(encoding="utf-8"))
    serve(make_app(listed_hosts, arguments.lag_s), arguments.address)
