"""
chalkyoke.entry.dispatcher

One dispatch: the call on the upstream, its answer passed on, and a broken stream resumed at the
same engine. There is no second dispatch, to any upstream, for any reason.
"""

from collections.abc import Callable

import aiohttp
import msgspec

from chalkyoke.administration.events import EventKind, EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.ends import COME_BACK_S, Ends
from chalkyoke.entry.messages import AnswerHead
from chalkyoke.entry.ports import ConfigurationPort
from chalkyoke.entry.state import Run
from chalkyoke.entry.streams import EventCutter, StreamUsage, read_usage
from chalkyoke.outcomes import Reason, Refusal, Verdict, not_run
from chalkyoke.scheduling.messages import Grant
from chalkyoke.scheduling.state import ReleaseOutcome
from chalkyoke.upstreams.client import REQUEST_ID, UpstreamClient
from chalkyoke.upstreams.messages import (
    CallOutcome,
    Declined,
    NoAnswer,
    NotConnected,
    NotPermitted,
    Opened,
)

# How often a broken stream is taken up again at its engine, in number.
MAX_RESUMES = 3
# The end of an answer in which usage is looked for, and the most of an error's text, in bytes.
TAIL_BYTES = 4_096


class Dispatcher:
    """Send runs to upstreams.

    :param now: seconds on the monotonic clock since this process started.
    """

    def __init__(
        self,
        acquirer: Acquirer,
        ends: Ends,
        configuration: ConfigurationPort,
        upstreams: UpstreamClient,
        events: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
    ) -> None:
        self._acquirer = acquirer
        self._ends = ends
        self._configuration = configuration
        self._upstreams = upstreams
        self._events = events
        self._metrics = metrics
        self._now = now

    async def send(self, run: Run, grant: Grant) -> None:
        """Send a run to the upstream of its grant and see it to its end.

        A run that has no end afterwards was not sent, and may acquire again.
        """
        service = self._configuration.service(run.request.service)
        if service is None:
            self._acquirer.release(run, ReleaseOutcome.UNUSED)
            self._ends.refuse(run, not_run(Reason.NO_UPSTREAM, "its service was taken away"))
            return

        body, headers = _wire(run, grant)
        outcome = await self._upstreams.post(
            grant.address, run.request.path, body, headers, lambda: self._open_gate(run, grant)
        )
        if isinstance(outcome, NotConnected):
            self._events.add(EventKind.UNREACHABLE, run.id, upstream=grant.upstream)
            self._metrics.count("unreachable")
            self._acquirer.release(run, ReleaseOutcome.UNREACHABLE)
        elif isinstance(outcome, NotPermitted):
            self._acquirer.release(run, ReleaseOutcome.UNUSED)
            if run.end is None:
                text = "its deadline passed before it was sent"
                self._ends.refuse(run, not_run(Reason.EXPIRED, text))
        elif service.protocol == "plain":
            await self._read_plain(run, outcome, service.max_answer_bytes)
        else:
            await self._read_stream(run, grant, outcome, service.max_answer_bytes)

    def _open_gate(self, run: Run, grant: Grant) -> bool:
        if not run.dispatch(self._now()):
            return False
        self._events.add(EventKind.DISPATCHED, run.id, upstream=grant.upstream)
        self._metrics.count("dispatched", tier=run.request.tier)
        return True

    async def _read_plain(self, run: Run, outcome: CallOutcome, most: int) -> None:
        if not isinstance(outcome, Opened):
            self._not_answered(run, outcome)
            return
        response = outcome.response
        head = AnswerHead(response.status, response.headers.get("Content-Type", ""))
        try:
            data = await response.content.read(most + 1)
            while not response.content.at_eof() and len(data) <= most:
                data += await response.content.read(most + 1 - len(data))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._ends.fail(run, Reason.CUT_SHORT, f"the answer broke off: {type(error).__name__}")
            return
        finally:
            response.release()
        if len(data) > most:
            self._ends.fail(run, Reason.TOO_LARGE, f"the answer is larger than {most} bytes")
            return
        run.start_answer(head)
        run.add(data, self._now(), tokens=1)
        self._ends.finish(run, StreamUsage(output_tokens=1))

    async def _read_stream(self, run: Run, grant: Grant, outcome: CallOutcome, most: int) -> None:
        """Pass events on until the final one, resuming at the same engine where that helps."""
        cutter = EventCutter()
        for _ in range(1 + MAX_RESUMES):
            if not isinstance(outcome, Opened):
                break
            if outcome.response.status != 200:
                await self._pass_error(run, outcome.response)
                return
            await self._read_events(run, outcome.response, cutter, most)
            if cutter.done:
                self._ends.finish(run, read_usage(b"".join(run.chunks[-4:])[-TAIL_BYTES:]))
                return
            if run.size > most:
                self._ends.fail(run, Reason.TOO_LARGE, f"the answer is larger than {most} bytes")
                await self.cancel(run)
                return
            cutter.restart()
            self._events.add(EventKind.RESUMED, run.id, offset=cutter.events)
            self._metrics.count("resumed")
            outcome = await self._upstreams.resume(
                grant.address, run.request.path, run.id, cutter.events
            )
        if run.head is None and not isinstance(outcome, Opened):
            self._not_answered(run, outcome)
        else:
            self._ends.fail(run, Reason.CUT_SHORT, "the engine's stream broke off")

    async def _read_events(
        self, run: Run, response: aiohttp.ClientResponse, cutter: EventCutter, most: int
    ) -> None:
        try:
            while data := await response.content.readany():
                before = cutter.events
                whole = cutter.feed(data)
                if not whole:
                    continue
                if run.head is None:
                    self._first_byte(run, response)
                run.add(whole, self._now(), cutter.events - before)
                if cutter.done or run.size > most:
                    break
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        finally:
            if cutter.done:
                response.release()
            else:
                response.close()

    def _first_byte(self, run: Run, response: aiohttp.ClientResponse) -> None:
        run.start_answer(AnswerHead(200, response.headers.get("Content-Type", "")))
        self._events.add(EventKind.FIRST_BYTE, run.id)
        self._metrics.record_duration(
            "first_byte", self._now() - run.arrived, tier=run.request.tier
        )

    async def _pass_error(self, run: Run, response: aiohttp.ClientResponse) -> None:
        """Hand on an engine's own 4xx: the whole answer to a request that it does not take."""
        try:
            data = await response.content.read(TAIL_BYTES)
        except (aiohttp.ClientError, OSError):
            data = b""
        response.close()
        run.start_answer(AnswerHead(response.status, response.headers.get("Content-Type", "")))
        run.add(data, self._now())
        self._ends.finish(run, StreamUsage(output_tokens=0))

    def _not_answered(self, run: Run, outcome: CallOutcome) -> None:
        if isinstance(outcome, Declined):
            text = f"the upstream declined with status {outcome.status}: {outcome.detail}"
            refusal = Refusal(
                Verdict.FAILED, Reason.UPSTREAM_REFUSED, text, outcome.retry_after_s or COME_BACK_S
            )
            self._ends.fail_with(run, refusal, rest_s=outcome.rest_s)
            return
        detail = outcome.detail if isinstance(outcome, NoAnswer | NotConnected) else ""
        self._ends.fail(run, Reason.NO_ANSWER, f"it was sent and no answer came: {detail}")

    async def cancel(self, run: Run) -> None:
        """Tell the upstream of a run that nobody waits for it any more."""
        if run.grant is not None:
            await self._upstreams.cancel(run.grant.address, run.request.path, run.id)


def _wire(run: Run, grant: Grant) -> tuple[bytes, dict[str, str]]:
    """Write the request as the upstream takes it."""
    headers = {REQUEST_ID: run.id, "Content-Type": run.request.content_type}
    if run.request.max_output == 0:
        return run.request.body, headers

    # It was read as JSON, whatever the caller called it.
    headers["Content-Type"] = "application/json"
    body = msgspec.json.decode(run.request.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = grant.priority
    return msgspec.json.encode(body), headers
