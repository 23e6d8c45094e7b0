"""
chalkyoke.node.readlog

Writes a log line for each request that is refused before it has been read, and for each connection
whose caller may have lost its last answer, and counts them.
"""

from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.http1.lingering import LingerEnd
from chalkyoke.http1.messages import Headers
from chalkyoke.http1.refusals import RefusedRead
from chalkyoke.logs import logger
from chalkyoke.node.requestlog import MAX_TARGET_CHARS

log = logger("request")


class ReadLog:
    """Log and count how the reading of requests ends.

    :param find_id: returns the id of a request by its headers.
    """

    def __init__(self, metrics: Metrics, find_id: Callable[[Headers], str]) -> None:
        self._metrics = metrics
        self._find_id = find_id

    def on_refused(self, refused: RefusedRead) -> None:
        """Log a request that was refused before its end; it has not run."""
        self._metrics.count("requests_not_read", status=str(refused.status))
        log.notice(
            "not_read",
            request=self._find_id(refused.headers),
            status=refused.status,
            target=refused.target.decode("latin-1")[:MAX_TARGET_CHARS],
            body_bytes=refused.body_bytes,
            declared_bytes=refused.declared_bytes,
            took_s=round(refused.took_s, 4),
        )

    def on_answer_lost(self, end: LingerEnd) -> None:
        """Log a connection whose caller may have lost its last answer."""
        self._metrics.count("answers_lost", cause=end.cause)
        log.notice(
            "answer_lost",
            request=self._find_id(end.headers),
            cause=end.cause,
            lingered_s=round(end.lingered_s, 4),
            discarded_bytes=end.discarded_bytes,
        )
