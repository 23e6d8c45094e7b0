"""
chalkyoke.logs

Set-up of logbook: one line for each change of state, as plain text or JSON.
"""

import logbook
import msgspec

from chalkyoke.standarderror import StandardError

PLAIN = "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} {record.channel}: {record.message}"


def _json_line(record: logbook.LogRecord, _: logbook.Handler) -> str:
    line = {
        "at": record.time.isoformat() + "Z",
        "level": record.level_name,
        "channel": record.channel,
        "message": record.message,
        **record.kwargs,
    }
    return msgspec.json.encode(line, enc_hook=str).decode()


def set_up(form: str, level: str) -> None:
    """Write this process's log lines to standard error.

    :param form: ``plain`` or ``json``.
    :param level: lowest level that is written.
    """
    handler = logbook.StreamHandler(StandardError(), level=level, format_string=PLAIN)
    if form == "json":
        handler.formatter = _json_line
    handler.push_application()


def logger(name: str) -> logbook.Logger:
    """Return the logger of a package.

    :param name: last part of the channel name ``chalkyoke.NAME``.

    :rtype: logbook.Logger
    """
    return logbook.Logger(f"chalkyoke.{name}")
