"""
chalkyoke.quotas.messages

Messages between nodes and the owners of team quotas.
"""

import msgspec

from chalkyoke.decoding.bounds import Finite, Integer


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True, tag="quota_request"):
    """A node requests a lease from the owner of a team.

    :param number: number of the request, repeated in the answer.
    :param need: cost of the request that waits for the lease.
    :param ahead: additional cost for later requests.
    :param version: configuration version at the requesting node.
    :param rank: rank of the request's route; 0 is the most urgent, higher ranks are refused first.
    :param returned: unspent cost of earlier leases, which the node returns.
    :param lease_of: number of the window that the returned cost was leased from; an owner
        accepts only cost of its own window.
    :param alone: cost that the node spent from its own share while no owner answered.
    """

    team: str
    number: int
    need: Finite
    ahead: Finite
    version: Integer
    rank: Integer = 0
    returned: Finite = 0.0
    lease_of: int = 0
    alone: Finite = 0.0


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag="quota_grant"):
    """An owner leases cost to a node, or refuses.

    :param amount: leased cost; 0 is a refusal.
    :param retry_after_s: retry delay after a refusal, in seconds.
    :param valid_s: lifetime of the lease, in seconds.
    :param lease_of: number of the window that the cost is leased from.
    :param spent: after a refusal, the cost in the owner's window.
    :param most: after a refusal, the highest cost that the owner leases in a window.
    """

    team: str
    number: int
    amount: Finite
    retry_after_s: Finite
    valid_s: Finite
    lease_of: int = 0
    spent: Finite = 0.0
    most: Finite = 0.0


class QuotaSurvey(msgspec.Struct, frozen=True, array_like=True, tag="quota_survey"):
    """A new owner of a team asks a node for its spending in the present window."""

    team: str


class QuotaSpent(msgspec.Struct, frozen=True, array_like=True, tag="quota_spent"):
    """A node's answer to the survey of a new owner.

    :param cost: cost that the node spent in the window that ends now.
    :param known_s: time since the node started, in seconds; if it is less than the window, earlier
        spending is unknown.
    :param window: if the node was the owner until now, the cost leased in each of the equal parts
        of the window, oldest first.
    :param own: the part of ``window`` that no other node reports.
    :param copied: whether ``window`` is this node's copy of an earlier owner's window.
    :param share: for a copy, the share of the team's limit that its owner used.
    :param assumed: whether ``window`` contains spending that was assumed since the snapshots in the
        store are not known; ``own`` was leased since.
    """

    team: str
    host: str
    cost: Finite
    known_s: Finite
    window: tuple[Finite, ...] = ()
    own: tuple[Finite, ...] = ()
    copied: bool = False
    share: Finite = 1.0
    assumed: bool = False


class WindowUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update of one team's window for the nodes that would own the team next.

    :param number: number of the window.
    :param total: cost leased since the window began, without the returned cost.
    :param share: the share of the team's limit that the owner uses.
    :param parts: cost in each of the equal parts of the window, oldest first; empty if the update
        has only ``total``.
    """

    team: str
    number: int
    total: Finite
    share: Finite
    parts: tuple[Finite, ...] = ()


class QuotaWindows(msgspec.Struct, frozen=True, array_like=True, tag="quota_windows"):
    """Updates of an owner's windows for one successor."""

    windows: tuple[WindowUpdate, ...]


class QuotaReturned(msgspec.Struct, frozen=True, array_like=True, tag="quota_returned"):
    """Cost that one side of a healed partition leased, for the owner of the whole fleet.

    :param share: the share of the team's limit that this side used and now returns.
    :param parts: cost leased in each of the equal parts of the window, oldest first.
    """

    team: str
    share: Finite
    parts: tuple[Finite, ...]


QuotaMessage = QuotaRequest | QuotaGrant | QuotaSurvey | QuotaSpent | QuotaWindows | QuotaReturned
