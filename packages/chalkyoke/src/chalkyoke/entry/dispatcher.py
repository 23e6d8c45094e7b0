"""
chalkyoke.entry.dispatcher

Sends a request to its upstream and relays the answer. A broken stream is resumed at the same
engine. A request is never dispatched a second time, to any upstream, for any reason.
"""

from collections.abc import Callable

import aiohttp
import msgspec

from chalkyoke.administration.events import EventKind, EventRing
from chalkyoke.administration.metrics import Metrics
from chalkyoke.entry.acquirer import Acquirer
from chalkyoke.entry.ends import RETRY_AFTER_S, OutcomeRecorder
from chalkyoke.entry.messages import AnswerHead
from chalkyoke.entry.ports import ConfigurationPort
from chalkyoke.entry.room import AnswerRoom
from chalkyoke.entry.state import Run
from chalkyoke.entry.streams import EventSplitter, StreamUsage, read_usage
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

# Maximum number of times that a broken stream is resumed at its engine.
MAX_STREAM_RESUMES = 3
# Size in bytes of the end of an answer that is searched for usage.
TAIL_BYTES = 4_096


class Dispatcher:
    """Send runs to upstreams and relay their answers.

    :param now: seconds on the monotonic clock since this process started.
    :param room: memory for answers.
    """

    def __init__(
        self,
        acquirer: Acquirer,
        recorder: OutcomeRecorder,
        configuration: ConfigurationPort,
        upstreams: UpstreamClient,
        events: EventRing,
        metrics: Metrics,
        now: Callable[[], float],
        room: AnswerRoom | None = None,
    ) -> None:
        self._room = room or AnswerRoom()
        self._acquirer = acquirer
        self._recorder = recorder
        self._configuration = configuration
        self._upstreams = upstreams
        self._events = events
        self._metrics = metrics
        self._now = now

    async def send(self, run: Run, grant: Grant) -> None:
        """Send a run to the upstream of its grant and relay the answer until the run ends.

        A run that has not ended when this returns was not sent and may acquire another grant.
        """
        if run.end is not None:
            # Its deadline passed before the task of an unrepeatable run began.
            self._acquirer.release(run, ReleaseOutcome.UNUSED)
            return
        service = self._configuration.service(run.request.service)
        if service is None:
            self._acquirer.release(run, ReleaseOutcome.UNUSED)
            self._recorder.refuse(run, not_run(Reason.NO_UPSTREAM, "its service was taken away"))
            return

        body, headers = _encode_request(run, grant)
        outcome = await self._upstreams.post(
            grant.address, run.request.path, body, headers, lambda: self._claim_dispatch(run, grant)
        )
        if isinstance(outcome, NotConnected):
            self._events.add(EventKind.UNREACHABLE, run.id, upstream=grant.upstream)
            self._metrics.count("unreachable")
            self._acquirer.release(run, ReleaseOutcome.UNREACHABLE)
        elif isinstance(outcome, NotPermitted):
            self._acquirer.release(run, ReleaseOutcome.UNUSED)
            if run.end is None:
                text = "its deadline passed before it was sent"
                self._recorder.refuse(run, not_run(Reason.EXPIRED, text))
        else:
            try:
                if service.protocol == "plain":
                    await self._relay_plain(run, outcome, service.max_answer_bytes)
                else:
                    await self._relay_stream(run, grant, outcome, service.max_answer_bytes)
            finally:
                self._room.settle(run)

    def _claim_dispatch(self, run: Run, grant: Grant) -> bool:
        if not run.claim_dispatch(self._now()):
            return False
        self._events.add(EventKind.DISPATCHED, run.id, upstream=grant.upstream)
        self._metrics.count("dispatched", tier=run.request.tier)
        return True

    async def _relay_plain(self, run: Run, outcome: CallOutcome, max_answer_bytes: int) -> None:
        if not isinstance(outcome, Opened):
            self._fail_unanswered(run, outcome)
            return
        await self._relay_whole(
            run, outcome.response, max_answer_bytes, StreamUsage(output_tokens=1)
        )

    async def _relay_whole(
        self,
        run: Run,
        response: aiohttp.ClientResponse,
        max_answer_bytes: int,
        usage: StreamUsage,
    ) -> None:
        """Relay an answer once it has been received up to its end."""
        head = AnswerHead(response.status, response.headers.get("Content-Type", ""))
        try:
            parts: list[bytes] = []
            size = 0
            while size <= max_answer_bytes and (part := await response.content.readany()):
                parts.append(part)
                size += len(part)
                await self._room.grow(run, size)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._recorder.fail(
                run, Reason.CUT_SHORT, f"the answer broke off: {type(error).__name__}"
            )
            return
        finally:
            response.release()
        if size > max_answer_bytes:
            self._recorder.fail(
                run, Reason.TOO_LARGE, f"the answer is larger than {max_answer_bytes} bytes"
            )
            return
        run.start_answer(head)
        run.append_chunk(b"".join(parts), self._now(), tokens=usage.output_tokens)
        self._recorder.finish(run, usage)

    async def _relay_stream(
        self, run: Run, grant: Grant, outcome: CallOutcome, max_answer_bytes: int
    ) -> None:
        """Relay events until the final one; resume a broken stream at the same engine."""
        splitter = EventSplitter()
        for _ in range(1 + MAX_STREAM_RESUMES):
            if not isinstance(outcome, Opened):
                break
            if outcome.response.status != 200:
                # The engine rejects the request.
                await self._relay_whole(
                    run, outcome.response, max_answer_bytes, StreamUsage(output_tokens=0)
                )
                return
            await self._relay_events(run, outcome.response, splitter, max_answer_bytes)
            if splitter.done:
                self._recorder.finish(run, read_usage(b"".join(run.chunks[-4:])[-TAIL_BYTES:]))
                return
            if run.size + splitter.partial_bytes > max_answer_bytes:
                self._recorder.fail(
                    run, Reason.TOO_LARGE, f"the answer is larger than {max_answer_bytes} bytes"
                )
                await self.cancel(run)
                return
            splitter.discard_partial()
            self._events.add(EventKind.RESUMED, run.id, offset=splitter.event_count)
            self._metrics.count("resumed")
            outcome = await self._upstreams.resume(
                grant.address, run.request.path, run.id, splitter.event_count
            )
        if run.head is None and not isinstance(outcome, Opened):
            self._fail_unanswered(run, outcome)
        else:
            self._recorder.fail(run, Reason.CUT_SHORT, "the engine's stream broke off")

    async def _relay_events(
        self,
        run: Run,
        response: aiohttp.ClientResponse,
        splitter: EventSplitter,
        max_answer_bytes: int,
    ) -> None:
        try:
            while data := await response.content.readany():
                events_before = splitter.event_count
                await self._room.grow(run, run.size + splitter.partial_bytes + len(data))
                if complete := splitter.feed(data):
                    if run.head is None:
                        self._record_first_byte(run, response)
                    run.append_chunk(complete, self._now(), splitter.event_count - events_before)
                if splitter.done or run.size + splitter.partial_bytes > max_answer_bytes:
                    break
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        finally:
            if splitter.done:
                response.release()
            else:
                response.close()

    def _record_first_byte(self, run: Run, response: aiohttp.ClientResponse) -> None:
        run.start_answer(AnswerHead(200, response.headers.get("Content-Type", "")))
        self._events.add(EventKind.FIRST_BYTE, run.id)
        self._metrics.record_duration(
            "first_byte", self._now() - run.arrived, tier=run.request.tier
        )

    def _fail_unanswered(self, run: Run, outcome: CallOutcome) -> None:
        if isinstance(outcome, Declined):
            text = f"the upstream declined with status {outcome.status}: {outcome.detail}"
            refusal = Refusal(
                Verdict.FAILED,
                Reason.UPSTREAM_REFUSED,
                text,
                outcome.retry_after_s or RETRY_AFTER_S,
            )
            self._recorder.fail_with(run, refusal, rest_s=outcome.rest_s)
            return
        detail = outcome.detail if isinstance(outcome, NoAnswer | NotConnected) else ""
        self._recorder.fail(run, Reason.NO_ANSWER, f"it was sent and no answer came: {detail}")

    async def cancel(self, run: Run) -> None:
        """Ask the upstream to cancel a run whose answer is no longer needed."""
        if run.grant is not None:
            await self._upstreams.cancel(run.grant.address, run.request.path, run.id)


def _encode_request(run: Run, grant: Grant) -> tuple[bytes, dict[str, str]]:
    """Build the body and headers for the upstream.

    A request for a model engine always asks for a stream with usage and carries the priority of its
    grant; a plain request is sent unchanged.
    """
    headers = {REQUEST_ID: run.id, "Content-Type": run.request.content_type}
    if run.request.max_output == 0:
        return run.request.body, headers

    # The body was parsed as JSON, whatever content type the caller declared.
    headers["Content-Type"] = "application/json"
    body = msgspec.json.decode(run.request.body)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = grant.priority
    return msgspec.json.encode(body), headers
