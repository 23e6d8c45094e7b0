"""
chalkyoke_fakes.soak.refusedsenders

Callers that send on for seconds while they are refused: their body is too large, or their key is
unknown. Most read their answer only when they have sent everything.
"""

import contextlib
from collections.abc import Callable
from dataclasses import replace

from chalkyoke_fakes.memoryload.connection import Connection
from chalkyoke_fakes.memoryload.manners import MAX_BODY_BYTES, Upload
from chalkyoke_fakes.memoryload.uploading import send_upload
from chalkyoke_fakes.soak.dispatched import NODE_ENDS
from chalkyoke_fakes.soak.observations import Observations, RefusedSender, Violation
from chalkyoke_fakes.soak.plan import Fault

UNKNOWN_KEY = "nobody's key"
# Each takes some 4 s to send.
PAUSE_S = 0.06
TOO_LARGE = Upload(
    size=MAX_BODY_BYTES + 100_000,
    chunked=False,
    part_bytes=65_536,
    pause_s=PAUSE_S,
    hold_s=0.0,
    is_whole=True,
    tries=1,
    reads_late=False,
)
UNKNOWN = replace(TOO_LARGE, size=1_000_000, part_bytes=16_384, key=UNKNOWN_KEY)
UPLOADS = tuple(
    replace(each, reads_late=reads_late)
    for each in (TOO_LARGE, UNKNOWN, replace(UNKNOWN, chunked=True))
    for reads_late in (False, True)
)


async def send_while_refused(
    address: str, node: str, name: str, upload: Upload, now: Callable[[], float]
) -> list[RefusedSender]:
    """Send an upload that is refused, and return what its caller got.

    :param now: returns the seconds since the run began.
    :return: nothing if the node accepts no connection.
    """
    began = now()
    with contextlib.suppress(OSError):
        async with Connection(address) as connection:
            end = await send_upload(connection, upload, name, "/book/1", 0.0)
        return [RefusedSender(name, node, began, now(), end.status)]
    return []


def refused_senders_get_answers(observations: Observations) -> list[Violation]:
    """Check that each caller that was refused while it sent got the answer.

    Excused are those whose node was stopped, killed or suspended meanwhile.
    """
    return [
        Violation("refused senders", f"{each.request} got nothing at {each.node}")
        for each in observations.refused_senders
        if not each.status
        and not any(
            fault.fault in NODE_ENDS | {Fault.NODE_STOP}
            and fault.target == each.node
            and fault.overlaps(each.began, each.ended)
            for fault in observations.faults
        )
    ]
