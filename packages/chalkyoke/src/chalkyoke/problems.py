"""
chalkyoke.problems

Problem documents (RFC 9457) for callers and operators.
"""

import asyncio
from typing import Any

import falcon
import falcon.asgi
import msgspec

from chalkyoke.exceptions import InvariantBroken
from chalkyoke.outcomes import Reason, Refusal, Verdict

MEDIA_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:chalkyoke:problem:"

STATUS_BY_REASON = {
    Reason.HOPELESS: 504,
    Reason.EXPIRED: 504,
    Reason.TOKEN_EXPIRED: 410,
    Reason.REFUSED_BEFORE: 410,
    Reason.REPLAY_GONE: 410,
}
STATUS_BY_VERDICT = {Verdict.NOT_RUN: 503, Verdict.FAILED: 502, Verdict.UNKNOWN: 504}


def document(status: int, kind: str, detail: str, **members: object) -> dict[str, Any]:
    """Build a problem document.

    :param kind: last part of the type URN, for example ``not_run``.
    :param members: further members; those that are ``None`` are left out.
    :rtype: dict
    """
    present = {name: value for name, value in members.items() if value is not None}
    title = kind.replace("_", " ")
    return {
        "type": TYPE_PREFIX + kind,
        "title": title,
        "status": status,
        "detail": detail,
        **present,
    }


def of_refusal(refusal: Refusal, token: str, event: str) -> dict[str, Any]:
    """Build the problem document of a refusal.

    :param token: the request's token, for a retry.
    :param event: id of the event that describes the refusal.
    :rtype: dict
    """
    status = STATUS_BY_REASON.get(refusal.reason, STATUS_BY_VERDICT[refusal.verdict])
    return document(
        status,
        refusal.verdict,
        refusal.detail,
        outcome=refusal.verdict,
        reason=refusal.reason,
        retry_after_s=refusal.retry_after_s,
        delivered_bytes=refusal.delivered_bytes or None,
        token=token,
        event=event,
    )


def stop_on_broken_invariants(app: Any) -> None:
    """Pass a broken invariant to the event loop's exception handler, which stops the process.

    Otherwise falcon would answer with status 500 and the process would keep running.

    :param app: a falcon application.
    """

    async def handle(
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        error: InvariantBroken,
        _: dict[str, Any],
    ) -> None:
        context = {"message": req.path, "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)
        respond(resp, document(500, "broken_invariant", "this host stops"))

    app.add_error_handler(InvariantBroken, handle)


def respond(response: falcon.asgi.Response, problem: dict[str, Any]) -> None:
    """Answer with a problem document, and with ``Retry-After`` if it has a retry time."""
    response.status = problem["status"]
    response.content_type = MEDIA_TYPE
    response.data = msgspec.json.encode(problem)
    retry_after_s = problem.get("retry_after_s")
    if retry_after_s is not None:
        response.set_header("Retry-After", str(max(1, round(retry_after_s))))
