"""
chalkyoke.gateway.intake

Decides by the head of a request whether its body is read, when memory is scarce. Performs no I/O.
"""

from collections.abc import Callable

import msgspec

from chalkyoke.catalog.resources import Catalog, combined_rank
from chalkyoke.gateway.ports import HeaderFormat
from chalkyoke.http1.messages import Headers, find_header
from chalkyoke.memory.account import MemoryAccount


class RefusedHead(msgspec.Struct, frozen=True):
    """A request that is refused before its body is read.

    :param rank: combined rank of team and route; None if the request has no route.
    :param length: declared length of the body in bytes; 1 if it is unknown, 0 without a body.
    """

    request_id: str
    rank: int | None
    length: int


class Intake:
    """Admits requests by rank: the less urgent one is refused first.

    :param catalog: returns the current catalog.
    :param on_refused: called with each refused request.
    """

    def __init__(
        self,
        account: MemoryAccount,
        headers: HeaderFormat,
        catalog: Callable[[], Catalog],
        on_refused: Callable[[RefusedHead], None],
    ) -> None:
        self._account = account
        self._headers = headers
        self._catalog = catalog
        self._on_refused = on_refused
        self._ranks: list[int] = []
        self._ranks_version = -1

    def __call__(self, target: bytes, headers: Headers, length: int) -> bool:
        """Return whether a request is read.

        :param length: declared length of its body in bytes; 1 if it is unknown, 0 without a body.
        """
        if self._account.admits_any(length):
            return True
        fields = self._headers.read_request(headers)
        rank = self._rank(target, headers, fields.key)
        if self._account.admits(length, self._urgency(rank)):
            return True
        self._on_refused(RefusedHead(fields.request_id, rank, length))
        return False

    def _rank(self, target: bytes, headers: Headers, key: str | None) -> int | None:
        catalog = self._catalog()
        host = (find_header(headers, b"host") or b"").decode("latin-1")
        path = target.partition(b"?")[0].decode("latin-1")
        route = catalog.find_route(host, path)
        if route is None:
            return None
        return combined_rank(route, catalog.find_team(key) if key else None)

    def _urgency(self, rank: int | None) -> float:
        """Return the position of a rank among all ranks: 0 for the least urgent, 1 for the most."""
        ranks = self._all_ranks()
        if rank is None or rank not in ranks or len(ranks) == 1:
            return 0.0
        return 1.0 - ranks.index(rank) / (len(ranks) - 1)

    def _all_ranks(self) -> list[int]:
        catalog = self._catalog()
        if self._ranks_version != catalog.version:
            self._ranks_version = catalog.version
            by_rank = {team.rank: team for team in catalog.teams.values()}
            teams = [None, *by_rank.values()]
            ranks = {combined_rank(route, team) for route in catalog.routes for team in teams}
            self._ranks = sorted(ranks)
        return self._ranks
