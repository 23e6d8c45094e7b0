"""
chalkyoke_fakes.serving

Run one stand-in: a falcon application on uvicorn, until the process is ended.
"""

import argparse
from typing import Any

import falcon.asgi
import uvicorn


def parser(text: str) -> argparse.ArgumentParser:
    """Make the argument parser that all stand-ins share.

    :param text: description of the stand-in.
    :rtype: argparse.ArgumentParser
    """
    made = argparse.ArgumentParser(description=text)
    made.add_argument("--address", required=True, help="ip:port, on 127.0.0.0/8")
    return made


def serve(app: Any, address: str) -> None:
    """Serve an application until SIGTERM.

    :param address: ``ip:port``.
    """
    ip, port = address.rsplit(":", 1)
    uvicorn.run(
        app,
        host=ip,
        port=int(port),
        loop="asyncio",
        http="httptools",
        ws="none",
        lifespan="off",
        log_level="critical",
        access_log=False,
        timeout_graceful_shutdown=1,
    )


class Control:
    """The control route: switch faults at run time and read counts.

    :param target: an object with a ``faults`` attribute and a ``counts`` method.
    """

    def __init__(self, target: Any) -> None:
        self._target = target

    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the counts."""
        resp.media = self._target.counts()

    async def on_put(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Set faults by name; an unknown name is answered with 400."""
        for name, value in (await req.get_media()).items():
            if not hasattr(self._target.faults, name):
                raise falcon.HTTPBadRequest(description=f"no fault {name!r}")
            setattr(self._target.faults, name, value)
        resp.media = {"set": True}
