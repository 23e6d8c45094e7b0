"""
chalkyoke.gateway.gateway

The requests that a node is answering.
"""

import asyncio

from chalkyoke.gateway.drain import PlannedStop
from chalkyoke.gateway.exchange import Exchange
from chalkyoke.gateway.parts import GatewayParts
from chalkyoke.http1.messages import Request
from chalkyoke.http1.response import ResponseWriter


class Gateway:
    """Start an exchange for each request.

    :ivar refused_after_end: how many requests were refused since :meth:`end_now`.
    """

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._exchanges: dict[asyncio.Task[None], Exchange] = {}
        self._end_reason = ""
        self.refused_after_end = 0

    @property
    def in_progress(self) -> int:
        """Count the requests that are being answered."""
        return len(self._exchanges)

    def start_exchange(self, request: Request, response: ResponseWriter) -> Exchange:
        """Start the task that answers a request; it is refused at once after :meth:`end_now`."""
        exchange = Exchange(self._parts, request, response)
        if self._end_reason:
            self.refused_after_end += 1
            asyncio.get_running_loop().call_soon(exchange.end_now, self._end_reason)
            return exchange
        exchange.task = asyncio.get_running_loop().create_task(exchange.run())
        self._exchanges[exchange.task] = exchange
        exchange.task.add_done_callback(self._on_task_done)
        return exchange

    def begin_stop(self, stop: PlannedStop) -> None:
        """Refuse from now on the requests that would not end before the node does."""
        self._parts.drain.stop = stop
        for exchange in list(self._exchanges.values()):
            exchange.begin_stop()

    def end_now(self, reason: str) -> int:
        """End all requests, and refuse later ones, as the process is about to end.

        :param reason: why it ends, as its callers are told.
        :return: how many answers had not ended yet.
        """
        self._end_reason = reason
        return sum(each.end_now(reason) for each in list(self._exchanges.values()))

    def on_request_held(self, request: bytes) -> None:
        """End the waiting exchanges of a request that is held back from now on.

        :param request: digest of the request.
        """
        for exchange in list(self._exchanges.values()):
            exchange.on_request_held(request)

    def on_replica_ended(self, replica: str) -> None:
        """End the sends at a replica start that has ended, so that their requests can be retried.

        :param replica: id of that start.
        """
        for exchange in list(self._exchanges.values()):
            exchange.on_replica_ended(replica)

    def _on_task_done(self, task: "asyncio.Task[None]") -> None:
        self._exchanges.pop(task, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            report = {"message": "an exchange failed unexpectedly", "exception": error}
            asyncio.get_running_loop().call_exception_handler(report)
