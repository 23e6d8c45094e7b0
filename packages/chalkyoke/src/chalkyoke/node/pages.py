"""
chalkyoke.node.pages

The HTTP pages of a gateway node: readiness and metrics.
"""

from collections.abc import Callable

from chalkyoke.administration.metrics import Metrics
from chalkyoke.administration.metricspage import metrics_page
from chalkyoke.http1.messages import AnswerHead, Headers, Request, reason_phrase
from chalkyoke.http1.response import ResponseWriter

READY_PATH = b"/readyz"
METRICS_PATH = b"/metrics"


class _FinishedPage:
    """The handler of a page request, which is complete as soon as it is created.

    It ignores disconnects and flow control.
    """

    def caller_left(self) -> None:
        pass

    def caller_can_read(self, can_read: bool) -> None:
        pass


class PageServer:
    """Serve the readiness and metrics pages.

    :param is_ready: returns whether this node is ready for callers.
    :param describe_lack: returns what a node that is not ready lacks; empty if nothing.
    """

    def __init__(
        self, is_ready: Callable[[], bool], describe_lack: Callable[[], str], metrics: Metrics
    ) -> None:
        self._is_ready = is_ready
        self._describe_lack = describe_lack
        self._metrics = metrics

    def start(self, request: Request, response: ResponseWriter) -> _FinishedPage:
        """Answer one page request at once; 404 for other paths."""
        path = request.target.partition(b"?")[0]
        if path == READY_PATH:
            if self._is_ready():
                self._respond(response, 200, b"ready")
            else:
                why = self._describe_lack()
                text = f"not ready: {why}" if why else "not ready"
                self._respond(response, 503, text.encode())
        elif path == METRICS_PATH:
            self._respond(response, 200, metrics_page(self._metrics))
        else:
            self._respond(response, 404, b"no such page")
        return _FinishedPage()

    def _respond(self, response: ResponseWriter, status: int, body: bytes) -> None:
        headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        response.send_head(AnswerHead(status, reason_phrase(status), headers, len(body)), body)
        response.finish()
