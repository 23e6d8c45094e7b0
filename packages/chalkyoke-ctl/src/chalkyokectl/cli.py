"""
chalkyokectl.cli

Commands for operators. Exit codes: 0 success, 1 the call was refused or the logs contain nothing
on the subject, 2 wrong usage or an invalid file, 3 conflict, 4 a node or the store was not reached,
5 applied but not yet in force on all live nodes.
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
from chalkyokectl.client import AdministrationClient, Response
from chalkyokectl.output import OutputFormat, format_facts, format_time, print_rows, render_timeline

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NOT_REACHED = 4
EXIT_NOT_IN_FORCE = 5

# How long ``--wait`` waits for a revision, and the pause between two polls of the nodes.
IN_FORCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
# Repetitions of an apply whose outcome is unknown.
MAX_APPLY_RETRIES = 5

T = TypeVar("T")

app = typer.Typer(help="Operate a chalkyoke fleet.", no_args_is_help=True)

Server = Annotated[
    str,
    typer.Option(
        "--server",
        envvar="CHALKYOKECTL_SERVER",
        help="ip:port of a node's administration listener.",
    ),
]
Token = Annotated[
    str, typer.Option("--auth", envvar="CHALKYOKECTL_AUTH", help="The operator's token.")
]
Output = Annotated[OutputFormat, typer.Option("--output", "-o", help="Output format.")]
File = Annotated[Path, typer.Option("--file", "-f", help="TOML file of resources.")]
Wait = Annotated[
    bool, typer.Option("--wait", help="Wait until the change is in force on all live nodes.")
]


def _run_async(coroutine: Coroutine[Any, Any, T]) -> T:
    return asyncio.run(coroutine)


def _failure_exit(response: Response) -> typer.Exit:
    """Print why a call failed, and return the exit with the code for its status."""
    body = response.body
    typer.echo(f"{body.get('title', 'not reached')}: {body.get('detail', '')}", err=True)
    for problem in body.get("problems", []):
        typer.echo(f"  {problem['path']}: {problem['message']}", err=True)
    for path in body.get("fields", []):
        typer.echo(f"  {path}", err=True)
    codes = {409: EXIT_CONFLICT, 422: EXIT_INVALID, 0: EXIT_NOT_REACHED, 503: EXIT_NOT_REACHED}
    return typer.Exit(codes.get(response.status, EXIT_REFUSED))


def _require_success(response: Response) -> dict[str, Any]:
    if not response.is_success:
        raise _failure_exit(response)
    return response.body


def _read_toml(path: Path) -> dict[str, Any]:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        typer.echo(f"{path}: {error.strerror}", err=True)
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as error:
        typer.echo(f"{path}: not valid TOML: {error}", err=True)
    raise typer.Exit(EXIT_INVALID)


@app.command()
def check(
    file: Annotated[Path, typer.Argument(help="TOML file of resources.")],
) -> None:
    """Validate a file of resources without a server."""
    specs = read_document(_read_toml(file))
    problems = specs.err_value if isinstance(specs, Err) else []
    if not isinstance(specs, Err):
        built = build_resources(specs.ok_value)
        problems = built.err_value if isinstance(built, Err) else []
    for problem in problems:
        typer.echo(f"{problem.path}: {problem.message}", err=True)
    if problems:
        raise typer.Exit(EXIT_INVALID)
    typer.echo(f"{file}: good")


@app.command()
def plan(file: File, server: Server, token: Token, output: Output = OutputFormat.TABLE) -> None:
    """Show what an apply would change and which routes it would leave without an upstream."""
    client = AdministrationClient(server, token)
    body = _require_success(_run_async(client.post("/v1/plan", {"resources": _read_toml(file)})))
    print_rows([{"field": path} for path in body["paths"]], ["field"], output, body)
    for route in body.get("routes_without_upstream", []):
        typer.echo(f"warning: route {route} would have no upstream", err=True)
    for tier in body.get("unused_tiers", []):
        typer.echo(f"warning: tier {tier} would not be used by any team", err=True)


async def _apply(client: AdministrationClient, change: dict[str, Any]) -> Response:
    """Apply a change, and repeat it with the same change id while its outcome is unknown."""
    response = await client.post("/v1/apply", change)
    for _ in range(MAX_APPLY_RETRIES):
        if response.status not in (0, 503, 504):
            break
        await asyncio.sleep(1.0)
        response = await client.post("/v1/apply", change)
    return response


async def _wait_until_in_force(client: AdministrationClient, revision: int) -> list[str]:
    """Wait until all live nodes report a revision.

    :return: the hosts that do not report it within the time limit; empty on success.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + IN_FORCE_TIMEOUT_S
    while True:
        responses = await client.get_from_all("/v1/ready")
        late = [host for host, each in responses.items() if each.body.get("revision", 0) < revision]
        if (responses and not late) or loop.time() > deadline:
            return late or ([] if responses else ["no node answered"])
        await asyncio.sleep(POLL_INTERVAL_S)


def _report_change(
    client: AdministrationClient, response: Response, wait: bool, output: OutputFormat
) -> None:
    body = _require_success(response)
    print_rows([{"field": path} for path in body["paths"]], ["field"], output, body)
    typer.echo(f"revision {body['revision']} is accepted", err=True)
    if not wait:
        return
    late = _run_async(_wait_until_in_force(client, body["revision"]))
    for host in late:
        typer.echo(f"not yet in force: {host}", err=True)
    if late:
        raise typer.Exit(EXIT_NOT_IN_FORCE)
    typer.echo(f"revision {body['revision']} is in force on all live nodes", err=True)


@app.command()
def apply(
    file: File,
    server: Server,
    token: Token,
    base: Annotated[int | None, typer.Option(help="Revision on which the file is based.")] = None,
    wait: Wait = False,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Apply a file of resources; resources that the file does not name stay unchanged."""
    client = AdministrationClient(server, token)
    change = {"change_id": str(uuid.uuid4()), "base": base, "resources": _read_toml(file)}
    _report_change(client, _run_async(_apply(client, change)), wait, output)


@app.command()
def delete(
    kind: str,
    name: str,
    server: Server,
    token: Token,
    wait: Wait = False,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Delete one resource."""
    client = AdministrationClient(server, token)
    change = {"change_id": str(uuid.uuid4()), "deletes": [[kind, name]]}
    _report_change(client, _run_async(_apply(client, change)), wait, output)


@app.command()
def get(
    server: Server,
    token: Token,
    kind: Annotated[str, typer.Argument(help="Kind of the resources; all kinds by default.")] = "",
    name: Annotated[str, typer.Argument(help="Name of one resource.")] = "",
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show the resources in force."""
    client = AdministrationClient(server, token)
    path = "/".join(filter(None, ["/v1/resources", kind, name]))
    body = _require_success(_run_async(client.get(path)))
    rows = [
        {
            "kind": each_kind,
            "name": spec["name"],
            "spec": {k: v for k, v in spec.items() if k != "name"},
        }
        for each_kind, specs in body["resources"].items()
        for spec in specs
    ]
    print_rows(rows, ["kind", "name", "spec"], output, body)


@app.command()
def label(
    kind: str,
    name: str,
    labels: Annotated[list[str], typer.Argument(help="name=value sets a label, name- removes it.")],
    server: Server,
    token: Token,
    wait: Wait = False,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Change labels of a team or an upstream class."""
    client = AdministrationClient(server, token)
    body = _require_success(_run_async(client.get(f"/v1/resources/{kind}/{name}")))
    spec = body["resources"][kind][0]
    new_labels = dict(spec.get("labels", {}))
    for each in labels:
        key, separator, value = each.partition("=")
        if separator:
            new_labels[key] = value
        elif each.endswith("-"):
            new_labels.pop(each[:-1], None)
        else:
            typer.echo(f"{each!r} is neither name=value nor name-", err=True)
            raise typer.Exit(EXIT_INVALID)
    change = {
        "change_id": str(uuid.uuid4()),
        "base": body["revision"],
        "resources": {kind: [{**spec, "labels": new_labels}]},
    }
    _report_change(client, _run_async(_apply(client, change)), wait, output)


@app.command()
def history(server: Server, token: Token, output: Output = OutputFormat.TABLE) -> None:
    """List the latest changes."""
    body = _require_success(_run_async(AdministrationClient(server, token).get("/v1/history")))
    rows = [
        {**each, "at": format_time(each["at_ms"]), "paths": ", ".join(each["paths"][:4])}
        for each in body["changes"]
    ]
    print_rows(rows, ["revision", "at", "author", "change_id", "paths"], output, body)


@app.command()
def status(server: Server, token: Token, output: Output = OutputFormat.TABLE) -> None:
    """Show the nodes, and the pools and upstreams that each of them schedules."""
    responses = _run_async(AdministrationClient(server, token).get_from_all("/v1/status"))
    if not responses:
        raise _failure_exit(_run_async(AdministrationClient(server, token).get("/v1/status")))
    bodies = {host: each.body for host, each in responses.items()}
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
    print_rows(
        rows, ["host", "revision", "in progress", "stopping", "sees", "schedules"], output, bodies
    )
    if any(not each.is_success for each in responses.values()):
        raise typer.Exit(EXIT_NOT_REACHED)


@app.command()
def events(
    server: Server,
    token: Token,
    request: Annotated[str, typer.Option("--token", help="Token or id of one request.")] = "",
    since: Annotated[float, typer.Option(help="Seconds before the latest event; 0 shows all.")] = 0,
    limit: Annotated[int, typer.Option(help="Maximum number of events of each node.")] = 1000,
    output: Output = OutputFormat.TABLE,
) -> None:
    """Show the events of all nodes in one time line, causes before effects."""
    client = AdministrationClient(server, token)
    responses = _run_async(
        client.get_from_all("/v1/events", request=request_id_of(request), limit=str(limit))
    )
    if not responses:
        raise _failure_exit(_run_async(client.get("/v1/status")))
    found = [event for each in responses.values() for event in each.body.get("events", [])]
    found.sort(key=lambda event: (event["wall_ms"], event["logical"], event["host"]))
    if since and found:
        found = [each for each in found if each["wall_ms"] >= found[-1]["wall_ms"] - since * 1000]
    if output is OutputFormat.HTML:
        typer.echo(render_timeline(found), nl=False)
        return
    rows = [
        {**each, "at": format_time(each["wall_ms"]), "facts": format_facts(each)} for each in found
    ]
    print_rows(rows, ["at", "host", "kind", "request", "facts"], output, found)


@app.command()
def explain(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    request: Annotated[str, typer.Option("--request", help="Id of the request.")],
) -> None:
    """Show what happened to one request, from the logs of several nodes."""
    timeline = story.build_timeline(request, story.parse_log_lines(_read_logs(logs)))
    for line in story.format_timeline(timeline):
        typer.echo(line)
    if not timeline.lines:
        raise typer.Exit(EXIT_REFUSED)


@app.command()
def rollouts(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    service: Annotated[str, typer.Option("--service", help="Only roll-outs of this service.")] = "",
) -> None:
    """Show the course of roll-outs, from the logs of several nodes."""
    found = rolloutstory.select_rollout_lines(story.parse_log_lines(_read_logs(logs)), service)
    _print_lines(rolloutstory.format_rollout_lines(found), "no log line is about a roll-out")


@app.command()
def held(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    digest: Annotated[
        str, typer.Option("--digest", help="Only the request with this digest.")
    ] = "",
) -> None:
    """List the requests that nodes hold back, and why, from the logs of several nodes."""
    found = heldstory.collect_held_requests(story.parse_log_lines(_read_logs(logs)), digest)
    _print_lines(
        heldstory.format_held_requests(found), "no log line is about a request that is held back"
    )


@app.command()
def limits(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
    replica: Annotated[str, typer.Option("--replica", help="Only this start of a replica.")] = "",
) -> None:
    """List the limits that replicas announce and who counts, from the logs of several nodes."""
    found = limitstory.collect_limits(story.parse_log_lines(_read_logs(logs)), replica)
    _print_lines(limitstory.format_limits(found), "no log line is about a limit")


@app.command()
def versions(
    logs: Annotated[list[Path], typer.Argument(help="Collected log files of nodes.")],
) -> None:
    """List the version that each node runs, from the logs of several nodes."""
    found = versionstory.find_last_starts(story.parse_log_lines(_read_logs(logs)))
    _print_lines(versionstory.format_versions(found), "no log line is about a start")


def _print_lines(texts: Iterable[str], message: str) -> None:
    """Print the lines; if there are none, print the message and exit with EXIT_REFUSED."""
    any_printed = False
    for text in texts:
        typer.echo(text)
        any_printed = True
    if not any_printed:
        typer.echo(message, err=True)
        raise typer.Exit(EXIT_REFUSED)


def _read_logs(logs: list[Path]) -> list[str]:
    texts: list[str] = []
    for path in logs:
        try:
            texts += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(EXIT_INVALID) from error
    return texts


@app.command()
def drain(host: str, server: Server, token: Token) -> None:
    """Stop a node once the requests in progress there have finished."""
    client = AdministrationClient(server, token)
    address = _run_async(client.nodes()).get(host)
    if address is None:
        typer.echo(f"{host} is not live", err=True)
        raise typer.Exit(EXIT_NOT_REACHED)
    body = _require_success(_run_async(client.post("/v1/drain", {}, address)))
    typer.echo(f"{host} is stopping; {body['in_progress']} requests in progress")


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
