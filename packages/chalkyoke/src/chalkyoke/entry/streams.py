"""
chalkyoke.entry.streams

Splits an engine's stream into complete server-sent events, so that callers get only complete events
and a broken stream can be resumed at an exact offset.
"""

import msgspec
from result import Err, Ok, Result

from chalkyoke.decoding.bounds import Count, Integer
from chalkyoke.decoding.decoder import decode_json

EVENT_END = b"\n\n"
DONE_EVENT = b"data: [DONE]" + EVENT_END
DATA_PREFIX = b"data: "


class EventSplitter:
    """Buffer bytes of a stream and return complete events.

    :ivar event_count: number of complete events so far; the offset at which a stream is resumed.
    :ivar done: whether the final event has arrived.
    """

    __slots__ = ("_partial", "done", "event_count")

    def __init__(self) -> None:
        self._partial = bytearray()
        self.event_count = 0
        self.done = False

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes, which are no complete event yet."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add bytes of the stream.

        :return: the events that are complete now, unchanged; empty where none is.
        """
        partial = self._partial
        searched = max(0, len(partial) - len(EVENT_END) + 1)
        partial += data
        end = partial.rfind(EVENT_END, searched) + len(EVENT_END)
        if end < len(EVENT_END):
            return b""

        complete = bytes(partial[:end])
        del partial[:end]
        self.event_count += complete.count(EVENT_END)
        if complete.endswith(DONE_EVENT):
            self.done = True
        return complete

    def discard_partial(self) -> None:
        """Discard the buffered partial event before the stream is resumed."""
        self._partial.clear()


class _PromptTokensDetails(msgspec.Struct):
    cached_tokens: Integer = -1


class _UsageBody(msgspec.Struct):
    prompt_tokens: Count = 0
    completion_tokens: Count = 0
    prompt_tokens_details: _PromptTokensDetails | None = None


class _Choice(msgspec.Struct):
    text: str = ""
    delta: dict[str, object] | None = None
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: str = ""
    model: str = ""
    choices: list[_Choice] = []
    usage: _UsageBody | None = None


class StreamUsage(msgspec.Struct, frozen=True):
    """Usage in tokens that an engine reported at the end of a stream; -1 where it reported none."""

    prompt_tokens: int = -1
    output_tokens: int = -1
    cached_tokens: int = -1


def read_usage(tail: bytes) -> StreamUsage:
    """Parse the usage from the last events of a stream.

    :param tail: end of the stream, with at least the last two events complete.
    :rtype: StreamUsage
    """
    for part in reversed(tail.split(EVENT_END)):
        if b'"usage"' not in part or not part.startswith(DATA_PREFIX):
            continue
        event = decode_json(part[len(DATA_PREFIX) :], _Event)
        usage = None if isinstance(event, Err) else event.ok_value.usage
        if usage is not None:
            details = usage.prompt_tokens_details or _PromptTokensDetails()
            return StreamUsage(usage.prompt_tokens, usage.completion_tokens, details.cached_tokens)
    return StreamUsage()


def assemble_completion(stream: bytes) -> Result[bytes, str]:
    """Assemble the events of a streamed completion into one JSON answer.

    :param stream: all events, including the final one.
    :return: the body of a completion that is not streamed, or why an event can't be decoded.
    """
    text: list[str] = []
    content: list[str] = []
    last, usage, finish = _Event(), None, None
    for part in stream.split(EVENT_END):
        if not part.startswith(DATA_PREFIX) or part == DONE_EVENT[: -len(EVENT_END)]:
            continue
        event = decode_json(part[len(DATA_PREFIX) :], _Event)
        if isinstance(event, Err):
            return event
        last = event.ok_value
        usage = last.usage or usage
        for choice in last.choices:
            text.append(choice.text)
            finish = choice.finish_reason or finish
            if choice.delta is not None:
                content.append(str(choice.delta.get("content", "")))
    choice_body: dict[str, object] = {"index": 0, "finish_reason": finish or "stop"}
    if content:
        choice_body["message"] = {"role": "assistant", "content": "".join(content)}
    else:
        choice_body["text"] = "".join(text)
    body = {"id": last.id, "model": last.model, "choices": [choice_body], "usage": usage}
    return Ok(msgspec.json.encode(body))
