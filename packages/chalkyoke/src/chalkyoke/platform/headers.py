"""
chalkyoke.platform.headers

The platform's HTTP headers of requests and answers.
"""

import string

from chalkyoke.decimals import parse_count, parse_decimal, parse_integer, parse_smallest_decimal
from chalkyoke.gateway.ports import AnswerFields, Forwarding, Load, PromptPart, RequestFields
from chalkyoke.http1.heads import has_conflict
from chalkyoke.http1.messages import Headers, end_to_end_headers
from chalkyoke.retry_after import parse_retry_after

REQUEST_ID = b"x-request-id"
DEADLINE_MS = b"x-deadline-ms"
CREDENTIAL = b"x-credential"
MODEL = b"x-model"
TOKEN_COUNT = b"x-token-count"
PREFIX_HASH = b"x-prefix-hash"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
STAMP = b"x-server-stamp"
NOT_RUN = b"x-not-run"
LOAD = b"x-server-load"
LENGTH_HINT = b"x-length-hint"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LIMIT = b"server-limit"
BRITTLE = b"server-brittle"

HEX_DIGITS = frozenset(string.hexdigits)
MAX_ID_DIGITS = 16  # of the id of a part of a prompt: 64 bits
KEPT_HEADERS = frozenset((REQUEST_ID, MODEL, TOKEN_COUNT, PREFIX_HASH, LAST_EVENT_ID, b"host"))
# Headers that decide how a message counts, so that it may name one value of each only.
REQUEST_SINGLETONS = KEPT_HEADERS | {DEADLINE_MS, CREDENTIAL, RESUMES}
ANSWER_SINGLETONS = frozenset((REQUEST_ID, STAMP, NOT_RUN, RETRY_AFTER))
SYSTEM_HEADERS = frozenset(
    b"x-tenant x-expect-instance x-expect-version x-deadline-ms x-credential"
    b" x-pin-ms x-hold x-kv-backup kv-from kv-fetch".split()
)


class PlatformHeaders:
    """Implement :class:`chalkyoke.gateway.ports.HeaderFormat` for the platform's headers."""

    def read_request(self, headers: Headers) -> RequestFields:
        """Parse the platform's fields of a request; an invalid value counts as absent."""
        found = {name.lower(): value.decode("latin-1") for name, value in headers}
        prompt, most = _parse_token_counts(found.get(TOKEN_COUNT, ""))
        return RequestFields(
            request_id=found.get(REQUEST_ID, ""),
            deadline_s=_parse_milliseconds(found.get(DEADLINE_MS, "")),
            key=found.get(CREDENTIAL),
            prompt_tokens=prompt,
            max_output_tokens=most,
            estimated_output_tokens=parse_integer(found.get(LENGTH_HINT, "")),
            parts=_parse_prompt_parts(found.get(PREFIX_HASH, "")),
            last_event_id=found.get(LAST_EVENT_ID, ""),
            resumes=found.get(RESUMES, "").strip(),
            contradictory=has_conflict(headers, REQUEST_SINGLETONS),
        )

    def forwarded_headers(self, headers: Headers, forwarding: Forwarding) -> Headers:
        """Drop hop-by-hop headers and those that only the system may set; add the system's own."""
        passed = end_to_end_headers(headers, keep=KEPT_HEADERS)
        kept = [pair for pair in passed if pair[0].lower() not in SYSTEM_HEADERS]
        if forwarding.last_event_id:
            kept = [pair for pair in kept if pair[0].lower() != LAST_EVENT_ID]
            kept.append((b"Last-Event-Id", forwarding.last_event_id.encode()))
        kept.append((b"X-Deadline-Ms", b"%d" % max(1, int(forwarding.deadline_s * 1000))))
        kept.append((b"X-Expect-Instance", forwarding.replica.encode()))
        if forwarding.team:
            kept.append((b"X-Tenant", forwarding.team.encode()))
        return kept

    def read_answer(self, headers: Headers) -> AnswerFields:
        """Parse an answer's fields; an invalid value counts as absent, the lowest limit applies."""
        found = {name.lower(): value.decode("latin-1") for name, value in headers}
        limits = [value.decode("latin-1") for name, value in headers if name.lower() == LIMIT]
        limit = parse_smallest_decimal(limits)
        return AnswerFields(
            request_id=found.get(REQUEST_ID, ""),
            signed=STAMP in found,
            not_run=NOT_RUN in found,
            encoded=b"content-encoding" in found,
            load=_parse_load(found.get(LOAD, "")),
            leaving=found.get(LEAVING, "").strip() == "1",
            retry_after_s=parse_retry_after(found.get(RETRY_AFTER, "")),
            limit_per_s=limit.value,
            limit_unreadable=limit.unreadable,
            max_rejections_per_s=parse_decimal(found.get(BRITTLE, "")),
            contradictory=has_conflict(headers, ANSWER_SINGLETONS),
        )


def _parse_milliseconds(text: str) -> float | None:
    count = parse_count(text)
    return None if count is None else count / 1000


def _parse_token_counts(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    prompt, most = parse_count(first), parse_count(second)
    return (0, 0) if prompt is None or most is None else (prompt, most)


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts: list[PromptPart] = []
    for each in text.split(","):
        name, _, tokens = each.partition(":")
        count = parse_count(tokens)
        name = name.strip()
        if count is None or not 0 < len(name) <= MAX_ID_DIGITS or set(name) - HEX_DIGITS:
            return ()
        parts.append(PromptPart(int(name, 16), count))
    return tuple(parts)


def _parse_load(value: str) -> Load | None:
    """Parse the numbers of running and waiting requests, of slots, and the time in percent."""
    counts = [count for each in value.split(",") if (count := parse_count(each)) is not None]
    if len(counts) not in (3, 4) or value.count(",") != len(counts) - 1:
        return None
    running, waiting, slots, percent = [*counts, 100][:4]
    return Load(running, waiting, slots, percent / 100) if percent else None
