"""
chalkyoke.gatewayd

Start a gateway node: ``python3 -m chalkyoke.gatewayd``. It loads as little as it can, because a
start costs processor time just when requests wait for it; ``chalkyoke gateway`` does the same.
"""

import asyncio
import gc
import os
import sys
from pathlib import Path

from chalkyoke import eventloop
from chalkyoke.exceptions import InvariantBroken, SettingsError
from chalkyoke.gateway.settings import GatewaySettings, load
from chalkyoke.linelog import LineHandler, LineWriter
from chalkyoke.node.gateway import GatewayNode
from chalkyoke.platform.start import platform_parts

SETTINGS_VARIABLE = "CHALKYOKE_BOOT"
# What the program ends with: bad settings, an address that is taken, a broken promise.
EXIT_SETTINGS = 2
EXIT_ADDRESS = 3
EXIT_INVARIANT = 70
STANDARD_OUTPUT = 1


async def serve(settings: GatewaySettings, path: Path) -> None:
    """Serve until a planned stop is through."""
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
    finally:
        writer.flush()


def check(path: Path) -> int:
    """Check the settings of a gateway node, and print each mistake.

    :return: the process's exit status.
    """
    try:
        load(path)
    except SettingsError as error:
        for problem in error.problems:
            print(f"settings: {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    return 0


def run(path: Path) -> int:
    """Run a gateway node.

    :param path: of its settings.
    :return: the process's exit status.
    """
    status = check(path)
    if status:
        return status
    try:
        eventloop.run(serve(load(path), path))
    except OSError as error:
        print(f"can't listen: {error}", file=sys.stderr)
        return EXIT_ADDRESS
    except InvariantBroken as error:
        print(error, file=sys.stderr)
        return EXIT_INVARIANT
    return 0


def main() -> None:
    """Run the node whose settings the environment or the first argument names."""
    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        print(f"name the settings file, or set {SETTINGS_VARIABLE}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    sys.exit(run(Path(path)))


if __name__ == "__main__":
    main()
