"""
chalkyokectl.client

Client of the administration API of nodes.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

import aiohttp
from chalkyoke.decoding.decoder import decode_json
from result import Err

# Total time that one call may take.
CALL_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class Response:
    """Response of a node to one call.

    :param status: HTTP status; 0 if the node was not reached or its response was no JSON.
    :param body: the decoded JSON document; if ``status`` is 0, its ``detail`` names the error.
    """

    status: int
    body: dict[str, Any]

    @property
    def is_success(self) -> bool:
        """Whether the HTTP status is 2xx."""
        return 200 <= self.status < 300


class AdministrationClient:
    """Call one node directly, and the other live nodes at the addresses that its status lists.

    :param server: ``ip:port`` of a node's administration listener, with ``https://`` before it if
        the listeners have certificates; the trusted authorities are those of ``SSL_CERT_FILE``.
    :param token: the operator's token.
    """

    def __init__(self, server: str, token: str) -> None:
        scheme, separator, address = server.rpartition("://")
        self._scheme = scheme if separator else "http"
        self.server = address
        self._headers = {"Authorization": f"Bearer {token}"}

    async def get(self, path: str, server: str = "", **params: str) -> Response:
        """Send a GET request.

        :param server: address of another node; empty selects the configured one.
        :param params: query parameters.
        :rtype: Response
        """
        return await self._call("GET", path, server, params=params)

    async def post(self, path: str, body: dict[str, Any], server: str = "") -> Response:
        """Send a POST request with a JSON body.

        :param server: address of another node; empty selects the configured one.
        :rtype: Response
        """
        return await self._call("POST", path, server, json=body)

    async def nodes(self) -> dict[str, str]:
        """List the live nodes that the configured node sees.

        :return: administration address by host; empty if the call failed.
        """
        status = await self.get("/v1/status")
        return {each["host"]: each["administration"] for each in status.body.get("nodes", [])}

    async def get_from_all(self, path: str, **params: str) -> dict[str, Response]:
        """Send a GET request to all live nodes concurrently.

        :return: responses by host.
        """
        nodes = await self.nodes()
        responses = await asyncio.gather(
            *(self.get(path, address, **params) for address in nodes.values())
        )
        return dict(zip(nodes, responses, strict=True))

    async def _call(self, method: str, path: str, server: str, **options: Any) -> Response:
        url = f"{self._scheme}://{server or self.server}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(headers=self._headers, timeout=timeout) as session,
                session.request(method, url, **options) as response,
            ):
                body = decode_json(await response.read(), dict[str, Any])
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Response(0, {"detail": f"{url}: {type(error).__name__}: {error}"})
        if isinstance(body, Err):
            return Response(0, {"detail": f"{url}: unreadable response: {body.err_value}"})
        return Response(response.status, body.ok_value)
