"""
chalkyoke.gateway.statements

What replicas say of themselves in their answers, as exchanges tell it. A further word is a field of
the statement, and its place in what takes statements.
"""

from typing import Protocol

import msgspec

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.ports import AnswerFields
from chalkyoke.gateway.verdict import UNAVAILABLE


class Statement(msgspec.Struct, frozen=True):
    """What one answer says of its replica.

    :param leaving: whether the replica leaves.
    :param rest_s: for how long it wants nothing of this node, in seconds; 0 where it did not ask.
    :param limit_per_s: requests a second that it takes from all nodes; nothing where it names none.
    :param reports_limit: whether the answer tells at all whether there is a limit.
    """

    leaving: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None
    reports_limit: bool = False


def read_statement(status: int, fields: AnswerFields) -> Statement:
    """Read an answer for what it says of its replica.

    That no limit is named is the replica's word only in an answer that carries its signature.
    """
    names = fields.limit_per_s is not None
    return Statement(
        leaving=fields.leaving,
        rest_s=fields.retry_after_s if status == UNAVAILABLE else 0.0,
        limit_per_s=fields.limit_per_s,
        reports_limit=names or (fields.signed and not fields.limit_unreadable),
    )


class AnnouncementPort(Protocol):
    """Takes what replicas say of themselves."""

    def record_answer(self, replica: Replica, statement: Statement) -> None:
        """Take what an answer says of its replica."""
