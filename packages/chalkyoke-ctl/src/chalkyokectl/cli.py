"""
chalkyokectl.cli

Commands for operators. Exit codes: 0 done, 1 the call was refused, 2 bad usage or a bad file,
3 a conflict, 4 no node or store was reached, 5 applied but not yet in force everywhere.
"""

import asyncio
import tomllib
import uuid
from collections.abc import Coroutine, Iterable
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
from chalkyoke.configuration.resources import build_resources, read_document
from chalkyoke.tokens.codec import request_id_of
from result import Err

from chalkyokectl import heldstory, limitstory, rolloutstory, story, versionstory
from chalkyokectl.client import AdministrationClient, Answer
from chalkyokectl.output import Form, at, facts, picture, show

EXIT_REFUSED = 1
EXIT_FILE = 2
EXIT_CONFLICT = 3
EXIT_NOT_REACHED = 4
EXIT_NOT_EVERYWHERE = 5

WAIT_S = 30.0
POLL_S = 0.2
TRIES = 5

T = TypeVar("T")

app = typer.Typer(help="Operate a chalkyoke fleet.", no_args_is_help=True)

Server = Annotated[
    str,
    typer.Option(
        "--server", envvar="CHALKYOKECTL_SERVER", help="ip:port of a node's administration."
    ),
]
Token = Annotated[
    str, typer.Option("--auth", envvar="CHALKYOKECTL_AUTH", help="The operator's token.")
]
Output = Annotated[Form, typer.Option("--output", "-o", help="How to show the answer.")]
File = Annotated[Path, typer.Option("--file", "-f", help="TOML file of resources.")]
Wait = Annotated[bool, typer.Option("--wait", help="Wait until it is in force on all live nodes.")]


def _run(work: Coroutine[Any, Any, T]) -> T:
    return asyncio.run(work)


def _fail(answer: Answer) -> typer.Exit:
    """Print why a call was refused, and choose the exit code."""
    body = answer.body
    typer.echo(f"{body.get('title', 'not reached')}: {body.get('detail', '')}", err=True)
    for problem in body.get("problems", []):
        typer.echo(f"  {problem['path']}: {problem['message']}", err=True)
    for path in body.get("fields", []):
        typer.echo(f"  {path}", err=True)
    codes = {409: EXIT_CONFLICT, 422: EXIT_FILE, 0: EXIT_NOT_REACHED, 503: EXIT_NOT_REACHED}
    return typer.Exit(codes.get(answer.status, EXIT_REFUSED))


def _good(answer: Answer) -> dict[str, Any]:
    if not answer.good:
        raise _fail(answer)
    return answer.body


def _read(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        typer.echo(f"{path}: is no TOML: {error}", err=True)
    raise typer.Exit(EXIT_FILE)


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="TOML file of resources.")],
) -> None:
    """Check a file without a server."""
    specs = read_document(_read(file))
    problems = specs.err_value if isinstance(specs, Err) else []
    if not isinstance(specs, Err):
        built = build_resources(specs.ok_value)
        problems = built.err_value if isinstance(built, Err) else []
    for problem in problems:
        typer.echo(f"{problem.path}: {problem.message}", err=True)
    if problems:
        raise typer.Exit(EXIT_FILE)
    typer.echo(f"{file}: good")


@app.command()
def plan(file: File, server: Server, token: Token, output: Output = Form.TABLE) -> None:
    """Show what an apply would change, and what it would leave without an upstream."""
    client = AdministrationClient(server, token)
    body = _good(_run(client.post("/v1/plan", {"resources": _read(file)})))
    show([{"field": path} for path in body["paths"]], ["field"], output, body)
    for route in body.get("routes_without_upstream", []):
        typer.echo(f"warning: route {route} would have no upstream", err=True)
    for tier in body.get("unused_tiers", []):
        typer.echo(f"warning: tier {tier} would be used by no team", err=True)


async def _apply(client: AdministrationClient, change: dict[str, Any]) -> Answer:
    """Apply, asking again with the same change id while it can't be told what happened."""
    answer = await client.post("/v1/apply", change)
    for _ in range(TRIES):
        if answer.status not in (0, 503, 504):
            break
        await asyncio.sleep(1.0)
        answer = await client.post("/v1/apply", change)
    return answer


async def _wait_everywhere(client: AdministrationClient, revision: int) -> list[str]:
    """Wait until all live nodes report a revision.

    :return: the hosts that do not.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WAIT_S
    while True:
        answers = await client.everywhere("/v1/ready")
        late = [host for host, each in answers.items() if each.body.get("revision", 0) < revision]
        if (answers and not late) or loop.time() > deadline:
            return late or ([] if answers else ["no node answered"])
        await asyncio.sleep(POLL_S)


def _finish(client: AdministrationClient, answer: Answer, wait: bool, output: Form) -> None:
    body = _good(answer)
    show([{"field": path} for path in body["paths"]], ["field"], output, body)
    typer.echo(f"revision {body['revision']} is accepted", err=True)
    if not wait:
        return
    late = _run(_wait_everywhere(client, body["revision"]))
    for host in late:
        typer.echo(f"not yet in force: {host}", err=True)
    if late:
        raise typer.Exit(EXIT_NOT_EVERYWHERE)
    typer.echo(f"revision {body['revision']} is in force on all live nodes", err=True)


@app.command()
def apply(
    file: File,
    server: Server,
    token: Token,
    base: Annotated[int | None, typer.Option(help="The revision that the file builds on.")] = None,
    wait: Wait = False,
    output: Output = Form.TABLE,
) -> None:
    """Apply a file of resources; it adds and replaces, and takes nothing away."""
    client = AdministrationClient(server, token)
    change = {"change_id": str(uuid.uuid4()), "base": base, "resources": _read(file)}
    _finish(client, _run(_apply(client, change)), wait, output)


@app.command()
def delete(
    kind: str,
    name: str,
    server: Server,
    token: Token,
    wait: Wait = False,
    output: Output = Form.TABLE,
) -> None:
    """Take one resource away."""
    client = AdministrationClient(server, token)
    change = {"change_id": str(uuid.uuid4()), "deletes": [[kind, name]]}
    _finish(client, _run(_apply(client, change)), wait, output)


@app.command()
def get(
    server: Server,
    token: Token,
    kind: Annotated[str, typer.Argument(help="A kind, or all.")] = "",
    name: Annotated[str, typer.Argument(help="One resource.")] = "",
    output: Output = Form.TABLE,
) -> None:
    """Read the resources in force."""
    client = AdministrationClient(server, token)
    path = "/".join(filter(None, ["/v1/resources", kind, name]))
    body = _good(_run(client.get(path)))
    rows = [
        {
            "kind": each_kind,
            "name": spec["name"],
            "spec": {k: v for k, v in spec.items() if k != "name"},
        }
        for each_kind, specs in body["resources"].items()
        for spec in specs
    ]
    show(rows, ["kind", "name", "spec"], output, body)


@app.command()
def label(
    kind: str,
    name: str,
    labels: Annotated[list[str], typer.Argument(help="name=value sets, name- removes.")],
    server: Server,
    token: Token,
    wait: Wait = False,
    output: Output = Form.TABLE,
) -> None:
    """Change labels of a team or an upstream class."""
    client = AdministrationClient(server, token)
    body = _good(_run(client.get(f"/v1/resources/{kind}/{name}")))
    spec = body["resources"][kind][0]
    held = dict(spec.get("labels", {}))
    for each in labels:
        key, separator, value = each.partition("=")
        if separator:
            held[key] = value
        elif each.endswith("-"):
            held.pop(each[:-1], None)
        else:
            typer.echo(f"{each!r} is neither name=value nor name-", err=True)
            raise typer.Exit(EXIT_FILE)
    change = {
        "change_id": str(uuid.uuid4()),
        "base": body["revision"],
        "resources": {kind: [{**spec, "labels": held}]},
    }
    _finish(client, _run(_apply(client, change)), wait, output)


@app.command()
def history(server: Server, token: Token, output: Output = Form.TABLE) -> None:
    """List the latest changes."""
    body = _good(_run(AdministrationClient(server, token).get("/v1/history")))
    rows = [
        {**each, "at": at(each["at_ms"]), "paths": ", ".join(each["paths"][:4])}
        for each in body["changes"]
    ]
    show(rows, ["revision", "at", "author", "change_id", "paths"], output, body)


@app.command()
def status(server: Server, token: Token, output: Output = Form.TABLE) -> None:
    """Show nodes, and the pools and upstreams that each schedules."""
    answers = _run(AdministrationClient(server, token).everywhere("/v1/status"))
    if not answers:
        raise _fail(_run(AdministrationClient(server, token).get("/v1/status")))
    bodies = {host: each.body for host, each in answers.items()}
    rows = [
        {
            "host": host,
            "revision": body.get("revision", "not reached"),
            "in progress": body.get("in_progress", ""),
            "stopping": body.get("stopping", ""),
            "sees": len(body.get("nodes", [])),
            "schedules": ", ".join(
                f"{name} ({pool['running']} running, {pool['waiting']} waiting)"
                for name, pool in body.get("scheduled_here", {}).items()
                if body.get("pools", {}).get(name) == host
            ),
        }
        for host, body in bodies.items()
    ]
    show(rows, ["host", "revision", "in progress", "stopping", "sees", "schedules"], output, bodies)
    if any(not each.good for each in answers.values()):
        raise typer.Exit(EXIT_NOT_REACHED)


@app.command()
def events(
    server: Server,
    token: Token,
    request: Annotated[
        str, typer.Option("--token", help="One request: its token, or its id.")
    ] = "",
    since: Annotated[float, typer.Option(help="Seconds back from now; 0 is all.")] = 0,
    limit: Annotated[int, typer.Option(help="Events of each node.")] = 1000,
    output: Output = Form.TABLE,
) -> None:
    """Show the time line over all nodes, causes before effects."""
    client = AdministrationClient(server, token)
    answers = _run(
        client.everywhere("/v1/events", request=request_id_of(request), limit=str(limit))
    )
    if not answers:
        raise _fail(_run(client.get("/v1/status")))
    found = [event for each in answers.values() for event in each.body.get("events", [])]
    found.sort(key=lambda event: (event["wall_ms"], event["logical"], event["host"]))
    if since and found:
        found = [each for each in found if each["wall_ms"] >= found[-1]["wall_ms"] - since * 1000]
    if output is Form.HTML:
        typer.echo(picture(found), nl=False)
        return
    rows = [{**each, "at": at(each["wall_ms"]), "facts": facts(each)} for each in found]
    show(rows, ["at", "host", "kind", "request", "facts"], output, found)


@app.command()
def explain(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    request: Annotated[str, typer.Option("--request", help="Id of the request.")],
) -> None:
    """Tell what happened to one request, from the logs of several nodes."""
    told = story.tell(request, story.read(_log_texts(logs)))
    for line in story.show(told):
        typer.echo(line)
    if not told.lines:
        raise typer.Exit(EXIT_REFUSED)


@app.command()
def rollouts(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    service: Annotated[str, typer.Option("--service", help="Only of this service.")] = "",
) -> None:
    """Tell how roll-outs went, from the logs of several nodes."""
    found = rolloutstory.rollout_lines(story.read(_log_texts(logs)), service)
    _tell(rolloutstory.show(found), "no line speaks of a roll-out")


@app.command()
def held(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    digest: Annotated[str, typer.Option("--digest", help="Only this request.")] = "",
) -> None:
    """List the requests that nodes hold back, and why, from the logs of several nodes."""
    found = heldstory.suspicions(story.read(_log_texts(logs)), digest)
    _tell(heldstory.show(found), "no line speaks of a request that is held back")


@app.command()
def limits(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    replica: Annotated[str, typer.Option("--replica", help="Only this start of a replica.")] = "",
) -> None:
    """List the limits that replicas name and who counts, from the logs of several nodes."""
    found = limitstory.limits(story.read(_log_texts(logs)), replica)
    _tell(limitstory.show(found), "no line speaks of a limit")


@app.command()
def versions(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
) -> None:
    """List the version that each node runs, from the logs of several nodes."""
    found = versionstory.versions(story.read(_log_texts(logs)))
    _tell(versionstory.show(found), "no line speaks of a start")


def _tell(texts: Iterable[str], nothing: str) -> None:
    """Print what logs tell; where that is nothing, say so and end as refused."""
    told = False
    for text in texts:
        typer.echo(text)
        told = True
    if not told:
        typer.echo(nothing, err=True)
        raise typer.Exit(EXIT_REFUSED)


def _log_texts(logs: list[Path]) -> list[str]:
    texts: list[str] = []
    for path in logs:
        try:
            texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_FILE) from error
    return texts


@app.command()
def drain(host: str, server: Server, token: Token) -> None:
    """Stop a node on plan; what is in progress there is finished first."""
    client = AdministrationClient(server, token)
    address = _run(client.nodes()).get(host)
    if address is None:
        typer.echo(f"{host} is not live", err=True)
        raise typer.Exit(EXIT_NOT_REACHED)
    body = _good(_run(client.post("/v1/drain", {}, address)))
    typer.echo(f"{host} is stopping; {body['in_progress']} requests in progress")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
