"""
chalkyoke.discovery.host_list

The platform's list of live and leaving hosts, as JSON over HTTP. The list may be out of date.
"""

import aiohttp
import msgspec
from result import Err, Result

from chalkyoke.administration.metrics import Metrics
from chalkyoke.callsessions import read_body
from chalkyoke.configuration.messages import HostsAnswer, ListedHost
from chalkyoke.decoding.bounds import Count
from chalkyoke.decoding.decoder import decode_json
from chalkyoke.http1.calls import MAX_BODY_BYTES

# How long one fetch of the list may take, in seconds.
FETCH_TIMEOUT_S = 2.0


class _Entry(msgspec.Struct):
    id: str
    address: str
    failure_domain: str
    state: str = "live"
    labels: dict[str, str] = {}


class _List(msgspec.Struct):
    version: Count
    hosts: list[_Entry]


class HostListClient:
    """Fetch the host list.

    :param session: a session of :func:`chalkyoke.storage.keyvalue.make_session`.
    :param url: URL of the list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str, metrics: Metrics) -> None:
        self._session = session
        self._url = url
        self._metrics = metrics

    async def fetch(self) -> HostsAnswer | None:
        """Fetch the list once; return None if it is unavailable or invalid.

        :rtype: HostsAnswer or None
        """
        self._metrics.count("store_calls", kind="hosts")
        try:
            async with self._session.get(
                self._url, timeout=aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
            ) as response:
                if response.status != 200:
                    return None
                found = read_hosts(await read_body(response, MAX_BODY_BYTES))
        except (aiohttp.ClientError, TimeoutError, OSError):
            found = Err("unavailable")
        if isinstance(found, Err):
            self._metrics.count("store_failures", kind="hosts")
            return None
        return found.ok_value


def read_hosts(body: bytes) -> Result[HostsAnswer, str]:
    """Decode the host list, or return why it can't be decoded."""
    return decode_json(body, _List).map(_make_answer)


def _make_answer(listed: _List) -> HostsAnswer:
    hosts = tuple(
        ListedHost(each.id, each.address, each.failure_domain, each.state != "live", each.labels)
        for each in listed.hosts
    )
    return HostsAnswer(listed.version, hosts)
