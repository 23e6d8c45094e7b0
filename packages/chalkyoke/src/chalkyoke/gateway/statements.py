"""
chalkyoke.gateway.statements

Statements that replicas make about themselves in their answers. A new kind of statement needs a
field here and its handling in the implementation of the port.
"""

from typing import Protocol

import msgspec

from chalkyoke.catalog.resources import Replica
from chalkyoke.gateway.ports import AnswerFields
from chalkyoke.gateway.verdict import UNAVAILABLE


class Statement(msgspec.Struct, frozen=True):
    """The statements of one answer about its replica.

    :param leaving: whether the replica announces its shutdown.
    :param rest_s: time for which the replica wants no requests from this node, in seconds; 0 if
        none was stated.
    :param limit_per_s: requests per second that the replica accepts from all nodes; None for no
        limit.
    :param reports_limit: whether the answer states if there is a limit; otherwise ``limit_per_s``
        has no meaning.
    :param is_rejection: whether the replica had no room for the request.
    :param max_rejections_per_s: rejections a second above which the replica falls over; None if
        the answer states none.
    """

    leaving: bool = False
    rest_s: float = 0.0
    limit_per_s: float | None = None
    reports_limit: bool = False
    is_rejection: bool = False
    max_rejections_per_s: float | None = None


def read_statement(status: int, fields: AnswerFields) -> Statement:
    """Read the statements of an answer about its replica.

    A missing limit means that there is none only in an answer that the replica has signed.
    """
    has_limit = fields.limit_per_s is not None
    return Statement(
        leaving=fields.leaving,
        rest_s=fields.retry_after_s if status == UNAVAILABLE else 0.0,
        limit_per_s=fields.limit_per_s,
        reports_limit=has_limit or (fields.signed and not fields.limit_unreadable),
        is_rejection=status == UNAVAILABLE and fields.not_run,
        max_rejections_per_s=fields.max_rejections_per_s,
    )


class AnnouncementPort(Protocol):
    """Receives the statements of replicas."""

    def record_answer(self, replica: Replica, statement: Statement) -> None:
        """Record the statements of an answer about its replica."""
