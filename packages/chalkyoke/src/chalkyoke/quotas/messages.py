"""
chalkyoke.quotas.messages

What nodes and the owner of a team's quota say to each other.
"""

import msgspec


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota_request"):
    """Ask the owner of a team for some cost.

    :param number: names the question; the answer has the same.
    :param need: cost of the request that waits for it.
    :param ahead: cost that is welcome on top, for the next requests.
    :param lease_window: the window that those leases were of; an owner takes back only its own.
    :param returned: what is left of earlier leases and comes back with this question.
    :param rank: how urgent the request's route is; the less urgent are refused first.
    :param version: configuration version by which the asking node judges.
    :param alone: cost that the node has spent from its own share, while no owner answered.
    """

    team: str
    number: int
    need: float
    ahead: float
    version: int
    rank: int = 0
    returned: float = 0.0
    lease_window: int = 0
    alone: float = 0.0


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag="quota_grant"):
    """Lease some cost; 0 is a refusal.

    :param retry_after_s: when to come back after a refusal.
    :param lease_window: names the window that the lease is of.
    :param valid_s: how long what is left of the lease may be spent.
    :param spent: what the owner counts in the window.
    :param most: what it leases in a window at most.
    """

    team: str
    number: int
    amount: float
    retry_after_s: float
    valid_s: float
    lease_window: int = 0
    spent: float = 0.0
    most: float = 0.0


class QuotaSurvey(msgspec.Struct, frozen=True, array_like=True, tag="quota_survey"):
    """A node that has become the owner of a team asks what has been spent lately."""

    team: str


class QuotaSpent(msgspec.Struct, frozen=True, array_like=True, tag="quota_spent"):
    """Tell a new owner what one node has spent in the window that ends now.

    :param known_s: for how long before now this node can tell; less than the window where it
        started only then.
    :param window: where this node was the owner until now, all that was leased in the window, in
        equal parts, oldest first.
    :param own: the part of ``window`` that no other node tells of.
    :param copied: whether ``window`` is this node's copy of an earlier owner's.
    :param share: the share of the team's limit that the owner of a copy used.
    """

    team: str
    host: str
    cost: float
    known_s: float
    window: tuple[float, ...] = ()
    own: tuple[float, ...] = ()
    copied: bool = False
    share: float = 1.0


class WindowUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one team's owner has leased, for the nodes that would succeed it.

    :param number: names the window.
    :param total: cost leased since the window began, what came back taken off.
    :param share: the share of the team's limit that the owner uses.
    :param parts: the whole window in equal parts, oldest first; empty where only ``total`` is told.
    """

    team: str
    number: int
    total: float
    share: float
    parts: tuple[float, ...] = ()


class QuotaWindows(msgspec.Struct, frozen=True, array_like=True, tag="quota_windows"):
    """An owner tells a node that would succeed it what it has leased lately."""

    windows: tuple[WindowUpdate, ...]


class QuotaReturned(msgspec.Struct, frozen=True, array_like=True, tag="quota_returned"):
    """After a cut, what one side leased on its own, for the owner of the whole fleet.

    :param share: the share of the team's limit that the side used; it comes back with this.
    :param parts: what it leased, in equal parts of the window, oldest first.
    """

    team: str
    share: float
    parts: tuple[float, ...]


QuotaMessage = QuotaRequest | QuotaGrant | QuotaSurvey | QuotaSpent | QuotaWindows | QuotaReturned
