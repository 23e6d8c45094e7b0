"""
chalkyoke.gatewayd

Start a gateway node: ``python3 -m chalkyoke.gatewayd``. The module imports as little as possible,
because a start uses processor time while requests wait for it. ``chalkyoke gateway`` starts the
same node.
"""

from chalkyoke import startsignals

if __name__ == "__main__":
    # Signals that come during the imports below would end the process otherwise.
    startsignals.prepare()

import asyncio
import gc
import os
import sys
import time
from pathlib import Path

from chalkyoke import eventloop
from chalkyoke.exceptions import InvariantBroken, ListenError, SettingsError
from chalkyoke.gateway.settings import GatewaySettings, load
from chalkyoke.linelog import LineHandler, LineWriter
from chalkyoke.logs import logger
from chalkyoke.node.gateway import GatewayNode
from chalkyoke.platform.start import platform_parts
from chalkyoke.standarderror import write_line

SETTINGS_VARIABLE = "CHALKYOKE_BOOT"
# Exit codes: invalid settings, an address that can't be listened on, a violated invariant.
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_INVARIANT = 70
# How often a start reads settings that are invalid, and the interval, in seconds: for a second.
SETTINGS_READS = 11
SETTINGS_INTERVAL_S = 0.1
# File descriptor of standard output.
STANDARD_OUTPUT = 1

log = logger("node")


async def serve(settings: GatewaySettings, path: Path) -> None:
    """Run the node and its log until a planned stop is complete.

    :param path: the settings file, for a reload.
    """
    loop = asyncio.get_running_loop()
    started = loop.time()
    writer = LineWriter(STANDARD_OUTPUT, loop.call_later)
    handler = LineHandler(
        writer,
        settings.logs.level,
        settings.logs.lines_per_s,
        settings.node.host,
        lambda: loop.time() - started,
    )
    handler.push_application()
    gc.freeze()
    try:
        await GatewayNode(settings, path, platform_parts()).run()
    except ListenError as error:
        log.critical("start_failed", address=error.address, error=str(error))
        raise
    finally:
        startsignals.block()
        writer.flush()


def check(path: Path) -> int:
    """Check the settings of a gateway node and print each mistake to standard error.

    :return: exit code of the process.
    """
    try:
        load(path)
    except SettingsError as error:
        _report_problems(error)
        return EXIT_SETTINGS
    return 0


def load_when_valid(path: Path) -> GatewaySettings:
    """Read the settings of a node that starts; another process may be writing them.

    :raises SettingsError: if they are still invalid at the last of :data:`SETTINGS_READS`.
    """
    printed: list[str] = []
    for _ in range(SETTINGS_READS - 1):
        try:
            return load(path)
        except SettingsError as error:
            if error.problems != printed:
                _report_problems(error)
                printed = error.problems
        time.sleep(SETTINGS_INTERVAL_S)
    return load(path)


def run(path: Path) -> int:
    """Run a gateway node until a planned stop.

    :param path: the settings file.
    :return: exit code of the process.
    """
    startsignals.ignore_unused()
    try:
        eventloop.run(serve(load_when_valid(path), path))
    except SettingsError as error:
        _report_problems(error)
        return EXIT_SETTINGS
    except ListenError as error:
        write_line(error)
        return EXIT_ADDRESS
    except InvariantBroken as error:
        write_line(error)
        return EXIT_INVARIANT
    return 0


def _report_problems(error: SettingsError) -> None:
    for problem in error.problems:
        write_line(f"settings: {problem}")


def main() -> None:
    """Run the node with the settings file from the first argument or :data:`SETTINGS_VARIABLE`."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        write_line(f"name the settings file, or set {SETTINGS_VARIABLE}")
        sys.exit(EXIT_SETTINGS)
    sys.exit(run(Path(path)))


if __name__ == "__main__":
    main()
