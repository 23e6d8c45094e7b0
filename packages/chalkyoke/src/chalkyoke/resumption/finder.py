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
# Timeout for the answers of nodes that ask the store first, in seconds.
CONFIRMED_ANSWER_TIMEOUT_S = 0.5
# Maximum number of nodes that are asked to confirm a history with the store.
MAX_CONFIRMING_NODES = 32


class OriginSource(StrEnum):
    """How the origin of a stream became known.

    ``ONLY_VERSION``: no node keeps it, but only one version of the service can have begun it.
    ``UNKNOWN``: it did not.
    """

    KEPT_HERE = "kept_here"
    KEEPER = "keeper"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


class Confirmation(StrEnum):
    """What showed that no other version can have begun a stream of unknown origin.

    ``STORE``: the store, asked by this node. ``PEER``: the store, asked by another node.
    ``FLEET``: every node that may exist.
    """

    NONE = "none"
    STORE = "store"
    PEER = "peer"
    FLEET = "fleet"


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
    confirmed_by: Confirmation = Confirmation.NONE


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

    def other_nodes(self) -> list[str]:
        """List the link addresses of all other nodes that are believed alive."""

    def fleet_share(self) -> float:
        """Return the share of the nodes that may exist which this node believes alive."""

    def sees_whole_fleet(self) -> bool:
        """Return whether every node that may exist is believed alive."""

    async def confirm_history(self) -> bool:
        """Bring this node's histories up to date with the store; return whether it answered."""


class _Search(msgspec.Struct):
    """A search in progress.

    :param asked: link addresses of the nodes that were asked.
    :ivar ended: set once a node knows the origin or has a confirmed history, or all have answered.
    :ivar histories: answers of the nodes that do not know the origin, by link address.
    """

    asked: list[str]
    ended: "asyncio.Future[None]"
    origin: Origin | None = None
    histories: dict[str, VersionHistory] = {}

    @property
    def is_confirmed(self) -> bool:
        """Whether the store has confirmed one of the histories."""
        return any(each.is_confirmed for each in self.histories.values())

    @property
    def is_complete(self) -> bool:
        """Whether all nodes that were asked have answered."""
        return len(self.histories) == len(self.asked)


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
        search = await self._ask(stream, sought, self._port.keepers(stream))
        if search.origin is not None:
            return self._found(stream, sought, search)
        return await self._find_only_version(stream, sought, search)

    def receive(self, address: str, message: OriginMessage) -> None:
        """Handle a message of another node.

        :param address: link address of the sender.
        """
        if isinstance(message, StreamBegan):
            self._keep(message.stream, message.origin, message.keep_s)
        elif isinstance(message, OriginRequest):
            if message.confirm and self._kept.find(message.stream, self._now()) is None:
                asyncio.create_task(self._send_confirmed_answer(address, message))
            else:
                self._port.send(address, self._answer(message))
        else:
            self._apply_answer(address, message)

    def drop_expired(self) -> None:
        """Drop the origins of streams that can no longer be resumed."""
        self._kept.drop_expired(self._now())

    def _keep(self, stream: int, origin: Origin, keep_s: float) -> None:
        now = self._now()
        self._kept.put(stream, origin, now + keep_s, now)

    def _found(self, stream: int, sought: Sought, search: _Search) -> FoundOrigin:
        """Keep the origin that another node has found, and return it."""
        assert search.origin is not None
        self._keep(stream, search.origin, sought.age_s)
        return FoundOrigin(search.origin, OriginSource.KEEPER, len(search.histories) + 1)

    async def _find_only_version(self, stream: int, sought: Sought, search: _Search) -> FoundOrigin:
        """Return the version that must have begun a stream whose keepers do not know it.

        Nodes that are cut off together agree with each other, and none of them may know a version
        that has joined since. So the store must confirm the history of one of them, or all nodes
        that may exist must have answered.
        """
        share = self._port.fleet_share()
        unknown = FoundOrigin(None, OriginSource.UNKNOWN, len(search.histories), share)
        # A keeper that does not answer may know of another version: this node may be cut off.
        silent = (each for each in search.asked if each not in search.histories)
        if any(not self._port.is_older(each) for each in silent):
            return unknown
        if self._only_version(sought, search) is None:
            return unknown
        confirmed_by = Confirmation.STORE
        if not await self._port.confirm_history():
            asked = search
            search, confirmed_by = await self._ask_to_confirm(stream, sought)
            if search.origin is not None:
                return self._found(stream, sought, search)
            if confirmed_by is Confirmation.NONE:
                return unknown
            search.histories = asked.histories | search.histories
        version = self._only_version(sought, search)
        if version is None:
            return unknown
        origin = Origin(sought.service, version)
        answers = len(search.histories)
        return FoundOrigin(origin, OriginSource.ONLY_VERSION, answers, share, confirmed_by)

    async def _ask_to_confirm(self, stream: int, sought: Sought) -> tuple[_Search, Confirmation]:
        """Ask all other nodes that keep origins; one of them may reach the store."""
        others = [each for each in self._port.other_nodes() if not self._port.is_older(each)]
        # The view may change while they answer, and bring back a node that was not asked.
        sees_whole_fleet = self._port.sees_whole_fleet()
        search = await self._ask(stream, sought, others[:MAX_CONFIRMING_NODES], confirm=True)
        if search.is_confirmed:
            return search, Confirmation.PEER
        has_all = len(search.asked) == len(others) and search.is_complete
        if has_all and sees_whole_fleet:
            return search, Confirmation.FLEET
        return search, Confirmation.NONE

    def _only_version(self, sought: Sought, search: _Search) -> str | None:
        """Return the only version in the histories of this node and of those that answered."""
        histories = [self._port.history(sought), *search.histories.values()]
        return only_version(histories, sought.age_s)

    async def _ask(
        self, stream: int, sought: Sought, nodes: list[str], *, confirm: bool = False
    ) -> _Search:
        """Ask nodes all at once; the first one that knows the origin ends the search."""
        asked = [each for each in nodes if not self._port.is_older(each)]
        search = _Search(asked, asyncio.get_running_loop().create_future())
        if not asked:
            return search
        number = next(self._numbers)
        self._searches[number] = search
        try:
            request = OriginRequest(number, stream, sought.service, sought, confirm)
            for address in asked:
                self._port.send(address, request)
            async with asyncio.timeout(CONFIRMED_ANSWER_TIMEOUT_S if confirm else ANSWER_TIMEOUT_S):
                await search.ended
        except TimeoutError:
            pass
        finally:
            del self._searches[number]
        return search

    async def _send_confirmed_answer(self, address: str, request: OriginRequest) -> None:
        is_confirmed = await self._port.confirm_history()
        answer = self._answer(request)
        history = msgspec.structs.replace(answer.history, is_confirmed=is_confirmed)
        self._port.send(address, msgspec.structs.replace(answer, history=history))

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
        if search.origin is not None or search.is_complete or search.is_confirmed:
            search.ended.set_result(None)
