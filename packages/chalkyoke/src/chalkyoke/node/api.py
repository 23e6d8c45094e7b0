"""
chalkyoke.node.api

The administration API: resources, plan and apply, history, status, events, metrics and planned
stops.
"""

import hashlib
import hmac
from typing import TYPE_CHECKING, Any

import falcon
import falcon.asgi
import msgspec
from result import Err, Ok, Result

from chalkyoke import problems
from chalkyoke.administration.events import EventKind
from chalkyoke.administration.metricspage import metrics_page
from chalkyoke.configuration.publisher import (
    Accepted,
    Change,
    Conflict,
    Invalid,
    NotReached,
    Planned,
    plan_change,
    publish_change,
)
from chalkyoke.configuration.resources import KINDS, Problem, Specs, build_resources, read_document
from chalkyoke.decoding.bounds import Count
from chalkyoke.decoding.decoder import decode_json
from chalkyoke.logs import logger
from chalkyoke.node.fleet import FleetView

if TYPE_CHECKING:
    from chalkyoke.node.process import Node

MAX_DOCUMENT_BYTES = 8_000_000
# The roles of operators.
VIEW = "view"
OPERATE = "operate"
# The time after which a client may retry while the store is unavailable, in seconds.
STORE_RETRY_S = 2.0

log = logger("administration")


class _ChangeBody(msgspec.Struct, forbid_unknown_fields=True):
    change_id: str = ""
    base: Count | None = None
    resources: dict[str, Any] = {}
    deletes: list[tuple[str, str]] = []


class NodeApi:
    """Serve the administration API to operators.

    :param node: the node that is administered.
    """

    def __init__(self, node: "Node") -> None:
        self.node = node

    def app(self) -> Any:
        """Build the ASGI application.

        :rtype: falcon.asgi.App
        """
        app: Any = falcon.asgi.App()
        for path, resource in (
            ("/v1/health", _Health(self)),
            ("/v1/ready", _Ready(self)),
            ("/metrics", _MetricsPage(self)),
            ("/v1/resources", _Resources(self)),
            ("/v1/resources/{kind}", _Resources(self)),
            ("/v1/resources/{kind}/{name}", _Resources(self)),
            ("/v1/plan", _Plan(self)),
            ("/v1/apply", _Apply(self)),
            ("/v1/history", _History(self)),
            ("/v1/status", _Status(self)),
            ("/v1/events", _Events(self)),
            ("/v1/drain", _Drain(self)),
        ):
            app.add_route(path, resource)
        app.set_error_serializer(_serialize_error)
        problems.stop_on_broken_invariants(app)
        return app

    def check_role(self, req: falcon.asgi.Request, role: str) -> str:
        """Check that the caller's token has a role.

        :param role: ``view`` or ``operate``; a token that may operate may also view.
        :return: the first 8 digits of the token's digest, as the author in the history.
        :raises falcon.HTTPError: 401 or 403.
        """
        scheme, _, token = (req.auth or "").partition(" ")
        if scheme.lower() != "bearer" or not token:
            raise falcon.HTTPUnauthorized(description="send an operator's token: 'Bearer TOKEN'")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        section = self.node.settings.administration
        may_operate = any(hmac.compare_digest(digest, each) for each in section.operate_sha256)
        may_view = any(hmac.compare_digest(digest, each) for each in section.view_sha256)
        if not may_operate and not may_view:
            raise falcon.HTTPUnauthorized(description="the token belongs to no operator")
        if role == OPERATE and not may_operate:
            raise falcon.HTTPForbidden(description="the token may view, not operate")
        return digest[:8]

    async def read_change(
        self, req: falcon.asgi.Request, author: str
    ) -> Result[Change, list[Problem]]:
        """Decode a change from a request's body.

        :return: the change, or all problems in it.
        """
        body = await req.stream.read(MAX_DOCUMENT_BYTES + 1)
        if len(body) > MAX_DOCUMENT_BYTES:
            return Err([Problem(path="body", message=f"larger than {MAX_DOCUMENT_BYTES} bytes")])
        read = decode_json(body, _ChangeBody)
        if isinstance(read, Err):
            return Err([Problem(path="body", message=read.err_value)])
        parsed = read.ok_value
        specs = read_document(parsed.resources)
        if isinstance(specs, Err):
            return specs
        deletes = tuple(parsed.deletes)
        return Ok(Change(parsed.change_id, author, parsed.base, specs.ok_value, deletes))


class _Endpoint:
    def __init__(self, api: NodeApi) -> None:
        self._api = api
        self._node = api.node


class _Health(_Endpoint):
    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Report that the process is alive."""
        resp.media = {"alive": True, "process": self._node.process}


class _Ready(_Endpoint):
    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Report whether this node is ready for callers; 503 if not."""
        state = self._node.configuration.state
        stopping = self._node.stopping
        ready = state.revision > 0 and not stopping
        reason = "stopping" if stopping else "no configuration is in force here yet"
        resp.status = 200 if ready else 503
        resp.media = {"ready": ready, "revision": state.revision}
        if not ready:
            resp.media["reason"] = reason


class _MetricsPage(_Endpoint):
    async def on_get(self, _: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the metrics in the Prometheus text exposition format."""
        resp.content_type = "text/plain; version=0.0.4; charset=utf-8"
        resp.data = metrics_page(self._node.metrics)


class _Resources(_Endpoint):
    async def on_get(
        self,
        req: falcon.asgi.Request,
        resp: falcon.asgi.Response,
        kind: str = "",
        name: str = "",
    ) -> None:
        """Return the resources of the revision in force, filtered by kind and name."""
        self._api.check_role(req, VIEW)
        if kind and kind not in KINDS:
            raise falcon.HTTPNotFound(description=f"kinds are {', '.join(KINDS)}")
        state = self._node.configuration.state
        chosen: dict[str, list[Any]] = {}
        for (each_kind, each_name), spec in sorted(state.specs.items()):
            if kind in ("", each_kind) and name in ("", each_name):
                chosen.setdefault(each_kind, []).append(spec)
        if name and not chosen:
            raise falcon.HTTPNotFound(description=f"there is no {kind} {name!r}")
        resp.media = {"revision": state.revision, "resources": chosen}


def _plan_warnings(before: FleetView, specs: Specs) -> dict[str, Any]:
    """Return the routes without an upstream and the unused tiers of a planned configuration.

    The result is empty if the configuration is invalid.
    """
    built = build_resources(specs)
    if isinstance(built, Err):
        return {}
    after = FleetView(built.ok_value, before.hosts)
    return {
        "routes_without_upstream": after.routes_without_upstream(),
        "unused_tiers": after.unused_tiers(),
    }


class _Plan(_Endpoint):
    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the effects of a change without writing anything."""
        author = self._api.check_role(req, VIEW)
        change = await self._api.read_change(req, author)
        if isinstance(change, Err):
            _respond_invalid(resp, tuple(change.err_value))
            return
        keeper = self._node.configuration
        planned = plan_change(keeper.state.root, keeper.state.specs, change.ok_value, 0)
        if isinstance(planned, Planned):
            shown = _plan_warnings(keeper.fleet, planned.specs)
            resp.media = {"revision": keeper.state.revision, "paths": planned.paths, **shown}
        elif isinstance(planned, Conflict):
            _respond_conflict(resp, planned)
        else:
            _respond_invalid(resp, planned.problems)


class _Apply(_Endpoint):
    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Apply a change; it is accepted only if it is known to have taken effect."""
        author = self._api.check_role(req, OPERATE)
        change = await self._api.read_change(req, author)
        if isinstance(change, Err):
            _respond_invalid(resp, tuple(change.err_value))
            return
        if not change.ok_value.change_id:
            _respond_invalid(
                resp, (Problem(path="change_id", message="is needed: a new one per change"),)
            )
            return
        node = self._node
        wall_ms = node.events.stamp().wall_ms
        outcome = await node.store.run_program(publish_change(change.ok_value, wall_ms))
        node.events.add(EventKind.CHANGE, outcome=type(outcome).__name__, author=author)
        log.notice(
            "change {} by {}: {}", change.ok_value.change_id, author, outcome.__class__.__name__
        )
        if isinstance(outcome, Accepted):
            resp.media = {
                "accepted": True,
                "revision": outcome.revision,
                "paths": outcome.paths,
                "change_id": change.ok_value.change_id,
            }
        elif isinstance(outcome, Conflict):
            _respond_conflict(resp, outcome)
        elif isinstance(outcome, Invalid):
            _respond_invalid(resp, outcome.problems)
        elif isinstance(outcome, NotReached):
            text = "the platform's key-value service is away; nothing was changed"
            _respond_problem(resp, 503, "store_away", text, retry_after_s=STORE_RETRY_S)
        else:
            text = "it can't be told yet whether the change took effect; send it again as it is"
            _respond_problem(resp, 504, "unsettled", text, retry_after_s=STORE_RETRY_S)


class _History(_Endpoint):
    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """List the latest changes, oldest first."""
        self._api.check_role(req, VIEW)
        root = self._node.configuration.state.root
        resp.media = {
            "revision": root.revision,
            "changes": [
                {
                    "revision": each.number,
                    "change_id": each.change_id,
                    "author": each.author,
                    "at_ms": each.at_ms,
                    "paths": each.paths,
                }
                for each in root.history
            ],
        }


class _Status(_Endpoint):
    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Return the nodes, pools and upstreams that this node sees."""
        self._api.check_role(req, VIEW)
        node = self._node
        now = node.now()
        resp.media = {
            "process": node.process,
            "revision": node.configuration.state.revision,
            "hosts_version": node.configuration.hosts_version,
            "stopping": node.stopping,
            "in_progress": len(node.entry.in_progress()),
            "nodes": [msgspec.structs.asdict(record) for record in node.view.live()],
            "pools": {
                name: node.view.pool_owner(name).host for name in node.configuration.fleet.pools
            },
            "scheduled_here": {
                name: {
                    "waiting": pool.waiting,
                    "running": pool.running,
                    "upstreams": {
                        uid: {
                            "running": len(each.running),
                            "slots": each.spec.slots,
                            "leaving": each.leaving,
                            "suspended_s": max(0.0, round(each.suspended_until - now, 2)),
                            "decode_factor": round(each.speed.decode_factor, 3),
                            "prefill_factor": round(each.speed.prefill_factor, 3),
                        }
                        for uid, each in pool.upstreams.items()
                    },
                }
                for name, pool in node.schedulers.pools.items()
            },
        }


class _Events(_Endpoint):
    async def on_get(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """List this node's events, oldest first."""
        self._api.check_role(req, VIEW)
        request = req.get_param("request") or ""
        since = req.get_param_as_int("since_ms") or 0
        limit = req.get_param_as_int("limit", min_value=1) or 1000
        events = self._node.events.select(request, since, limit)
        resp.content_type = "application/json"
        resp.data = msgspec.json.encode({"events": events})


class _Drain(_Endpoint):
    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response) -> None:
        """Begin a planned stop of this node."""
        self._api.check_role(req, OPERATE)
        resp.status = 202
        resp.media = {"stopping": True, "in_progress": len(self._node.entry.in_progress())}
        self._node.stop()


def _respond_problem(
    resp: falcon.asgi.Response, status: int, kind: str, detail: str, **members: object
) -> None:
    problems.respond(resp, problems.document(status, kind, detail, **members))


def _respond_invalid(resp: falcon.asgi.Response, found: tuple[Problem, ...]) -> None:
    listed = [each.model_dump() for each in found]
    text = "; ".join(f"{each.path}: {each.message}" for each in found[:3])
    _respond_problem(resp, 422, "invalid", text, problems=listed)


def _respond_conflict(resp: falcon.asgi.Response, conflict: Conflict) -> None:
    other = conflict.other
    if other is None:
        text = "the revision that the change builds on is too old to compare with"
        _respond_problem(resp, 409, "conflict", text, fields=conflict.paths)
        return
    text = f"change {other.change_id} (revision {other.number}) touched the same fields first"
    members = {"revision": other.number, "change_id": other.change_id, "author": other.author}
    _respond_problem(resp, 409, "conflict", text, fields=conflict.paths, other=members)


def _serialize_error(
    _: falcon.asgi.Request, resp: falcon.asgi.Response, error: falcon.HTTPError
) -> None:
    detail = error.description or error.title or ""
    _respond_problem(resp, error.status_code, "bad_request", detail)
