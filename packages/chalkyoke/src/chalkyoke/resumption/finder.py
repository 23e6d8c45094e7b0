"""
chalkyoke.resumption.finder

Distribute the origins of streams to the nodes that keep them, and find the origin of a stream that
a caller resumes here.
"""

import asyncio
import itertools
from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

import msgspec

from chalkyoke.resumption.messages import (
    Origin,
    OriginAnswer,
    OriginMessage,
    OriginRequest,
    Sought,
    StreamBegan,
    VersionHistory,
)
from chalkyoke.resumption.origins import KeptOrigins, only_version

# Timeout for the answers of the keepers, in seconds. It includes the handshake of a new link
# between distant failure domains.
ANSWER_TIMEOUT_S = 0.25


class OriginSource(StrEnum):
    """How the origin of a stream became known.

    ``ONLY_VERSION``: no node keeps it, but only one version of the service can have begun it.
    ``UNKNOWN``: it did not.
    """

    KEPT_HERE = "kept_here"
    KEEPER = "keeper"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


class FoundOrigin(msgspec.Struct, frozen=True):
    """The result of the search for a stream's origin.

    :param origin: None if it is unknown.
    :param answers: number of keepers that answered.
    :param fleet_share: share of the fleet that this node saw when no keeper knew the origin; 1
        otherwise.
    """

    origin: Origin | None
    source: OriginSource
    answers: int = 0
    fleet_share: float = 1.0


class KeeperPort(Protocol):
    """The nodes that keep the origins of streams, and what this node knows of versions."""

    def keepers(self, stream: int) -> list[str]:
        """List the link addresses of the other nodes that keep the origin of a stream."""

    def send(self, address: str, message: OriginMessage) -> None:
        """Send a message to a node by its link address."""

    def history(self, sought: Sought) -> VersionHistory:
        """Return this node's version history of a service for the time since a stream began."""

    def is_older(self, address: str) -> bool:
        """Return whether a node is known to be of an older build, which keeps no origins."""

    def fleet_share(self) -> float:
        """Return the share of the nodes that may exist which this node believes alive."""

    def sees_fleet(self) -> bool:
        """Return whether this node sees almost all of the fleet."""


class _Search(msgspec.Struct):
    """A search in progress.

    :param asked: link addresses of the keepers that were asked.
    :ivar ended: set once a keeper knows the origin, or all have answered.
    :ivar histories: answers of the keepers that do not know the origin, by link address.
    """

    asked: list[str]
    ended: "asyncio.Future[None]"
    origin: Origin | None = None
    histories: dict[str, VersionHistory] = {}


class OriginFinder:
    """Record the origins of streams that begin here, and find those of streams resumed here.

    :param now: the node's clock, in seconds.
    """

    def __init__(self, port: KeeperPort, now: Callable[[], float]) -> None:
        self._port = port
        self._now = now
        self._kept = KeptOrigins()
        self._numbers = itertools.count(1)
        self._searches: dict[int, _Search] = {}

    @property
    def kept_count(self) -> int:
        """The number of origins that this node keeps."""
        return len(self._kept)

    def record_began(self, stream: int, origin: Origin, keep_s: float) -> None:
        """Keep the origin of a stream, here and at its keepers.

        Call it before the first event is forwarded: a caller may resume the stream at another node
        as soon as it has that event.

        :param keep_s: how long the caller may resume the stream, in seconds.
        """
        self._keep(stream, origin, keep_s)
        message = StreamBegan(stream, origin, keep_s)
        for address in self._port.keepers(stream):
            self._port.send(address, message)

    async def find(self, stream: int, sought: Sought) -> FoundOrigin:
        """Find what began a stream.

        :param sought: where and when it may have begun if no node keeps its origin.
        """
        origin = self._kept.find(stream, self._now())
        if origin is not None:
            return FoundOrigin(origin, OriginSource.KEPT_HERE)
        search = await self._ask_keepers(stream, sought)
        answers = len(search.histories) + (search.origin is not None)
        if search.origin is not None:
            self._keep(stream, search.origin, sought.age_s)
            return FoundOrigin(search.origin, OriginSource.KEEPER, answers)
        version = self._only_version(search, sought)
        share = self._port.fleet_share()
        if version is None:
            return FoundOrigin(None, OriginSource.UNKNOWN, answers, share)
        origin = Origin(sought.service, version)
        return FoundOrigin(origin, OriginSource.ONLY_VERSION, answers, share)

    def receive(self, address: str, message: OriginMessage) -> None:
        """Handle a message of another node.

        :param address: link address of the sender.
        """
        if isinstance(message, StreamBegan):
            self._keep(message.stream, message.origin, message.keep_s)
        elif isinstance(message, OriginRequest):
            self._port.send(address, self._answer(message))
        else:
            self._apply_answer(address, message)

    def drop_expired(self) -> None:
        """Drop the origins of streams that can no longer be resumed."""
        self._kept.drop_expired(self._now())

    def _keep(self, stream: int, origin: Origin, keep_s: float) -> None:
        now = self._now()
        self._kept.put(stream, origin, now + keep_s, now)

    def _only_version(self, search: _Search, sought: Sought) -> str | None:
        """Return the version that must have begun a stream of unknown origin; None if unsure.

        A keeper that does not answer may know of another version: this node may be cut off.
        """
        silent = (each for each in search.asked if each not in search.histories)
        if any(not self._port.is_older(each) for each in silent):
            return None
        if not search.histories and not self._port.sees_fleet():
            return None
        histories = [self._port.history(sought), *search.histories.values()]
        return only_version(histories, sought.age_s)

    async def _ask_keepers(self, stream: int, sought: Sought) -> _Search:
        """Ask all keepers at once; the first one that knows the origin ends the search."""
        keepers = [each for each in self._port.keepers(stream) if not self._port.is_older(each)]
        search = _Search(keepers, asyncio.get_running_loop().create_future())
        if not keepers:
            return search
        number = next(self._numbers)
        self._searches[number] = search
        try:
            request = OriginRequest(number, stream, sought.service, sought)
            for address in keepers:
                self._port.send(address, request)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await search.ended
        except TimeoutError:
            pass
        finally:
            del self._searches[number]
        return search

    def _answer(self, request: OriginRequest) -> OriginAnswer:
        origin = self._kept.find(request.stream, self._now())
        if origin is not None:
            return OriginAnswer(request.number, origin)
        sought = request.sought or Sought(request.service)
        return OriginAnswer(request.number, None, self._port.history(sought))

    def _apply_answer(self, address: str, answer: OriginAnswer) -> None:
        search = self._searches.get(answer.number)
        if search is None or search.ended.done():
            return
        if answer.origin is not None:
            search.origin = answer.origin
        else:
            search.histories[address] = answer.history
        if search.origin is not None or len(search.histories) == len(search.asked):
            search.ended.set_result(None)
