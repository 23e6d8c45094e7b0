"""
chalkyokectl.client

Calls on the administration API of nodes.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp

CALL_S = 15.0


@dataclass(frozen=True, slots=True)
class Answer:
    """One answer of a node.

    :param status: HTTP status; 0 where the node was not reached.
    """

    status: int
    body: dict[str, Any]

    @property
    def good(self) -> bool:
        """Whether the call did what it was for."""
        return 200 <= self.status < 300


class AdministrationClient:
    """Call one node, and through its status all others.

    :param server: ``ip:port`` of a node's administration listener, with ``https://`` before it
        where the listeners have certificates; authorities are those of ``SSL_CERT_FILE``.
    :param token: the operator's token.
    """

    def __init__(self, server: str, token: str) -> None:
        scheme, separator, address = server.rpartition("://")
        self._scheme = scheme if separator else "http"
        self.server = address
        self._headers = {"Authorization": f"Bearer {token}"}

    async def get(self, path: str, server: str = "", **params: str) -> Answer:
        """Read a page.

        :param server: another node than the usual one.
        :rtype: Answer
        """
        return await self._call("GET", path, server, params=params)

    async def post(self, path: str, body: dict[str, Any], server: str = "") -> Answer:
        """Post a document.

        :rtype: Answer
        """
        return await self._call("POST", path, server, json=body)

    async def nodes(self) -> dict[str, str]:
        """List the live nodes.

        :return: administration address by host.
        """
        status = await self.get("/v1/status")
        return {each["host"]: each["administration"] for each in status.body.get("nodes", [])}

    async def everywhere(self, path: str, **params: str) -> dict[str, Answer]:
        """Read a page of every live node.

        :return: answers by host.
        """
        nodes = await self.nodes()
        answers = await asyncio.gather(
            *(self.get(path, address, **params) for address in nodes.values())
        )
        return dict(zip(nodes, answers, strict=True))

    async def _call(self, method: str, path: str, server: str, **options: Any) -> Answer:
        url = f"{self._scheme}://{server or self.server}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_S)
        try:
            async with (
                aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session,
                session.request(method, url, **options) as response,
            ):
                return Answer(response.status, await response.json(content_type=None))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Answer(0, {"detail": f"{url}: {type(error).__name__}: {error}"})
