"""
chalkyoke.cli

The node's command line.
"""

from chalkyoke import startsignals

if __name__ == "__main__":
    startsignals.prepare_command()

import os
import signal
from pathlib import Path
from typing import Annotated

import typer

from chalkyoke import __version__, eventloop, logs, settings
from chalkyoke.exceptions import InvariantBroken, ListenError, SettingsError
from chalkyoke.node.process import Node
from chalkyoke.standarderror import write_line

# Exit codes: invalid settings, an address that can't be listened on, a violated invariant.
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_INVARIANT = 70

app = typer.Typer(help="chalkyoke: a request scheduler for unlike engines.", no_args_is_help=True)
SettingsFile = Annotated[Path, typer.Option("--settings", help="TOML file of this node.")]


def _load_settings(path: Path) -> settings.Settings:
    try:
        return settings.load(path, os.environ)
    except SettingsError as error:
        for problem in error.problems:
            write_line(f"settings: {problem}")
        raise typer.Exit(EXIT_SETTINGS) from error


async def _serve(loaded: settings.Settings) -> None:
    # Until the node has its handler, a reload is ignored: there is nothing to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    try:
        await Node(loaded).run()
    finally:
        startsignals.block()


@app.command()
def serve(settings_file: SettingsFile) -> None:
    """Run a node until SIGTERM; a planned stop finishes what is in progress."""
    startsignals.ignore_unused()
    loaded = _load_settings(settings_file)
    logs.set_up(loaded.logs.form, loaded.logs.level)
    try:
        eventloop.run(_serve(loaded))
    except ListenError as error:
        write_line(error)
        raise typer.Exit(EXIT_ADDRESS) from error
    except InvariantBroken as error:
        write_line(error)
        raise typer.Exit(EXIT_INVARIANT) from error


@app.command()
def gateway(
    settings_file: SettingsFile,
    check: Annotated[bool, typer.Option("--check", help="Check the settings only.")] = False,
) -> None:
    """Run a gateway node on the users' platform until SIGTERM."""
    from chalkyoke import gatewayd

    raise typer.Exit(gatewayd.check(settings_file) if check else gatewayd.run(settings_file))


@app.command("check-settings")
def check_settings(
    settings_file: Annotated[Path, typer.Argument(help="TOML file of a node.")],
) -> None:
    """Check a settings file without starting anything."""
    loaded = _load_settings(settings_file)
    typer.echo(f"{settings_file}: good, for host {loaded.node.host}")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(__version__)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
