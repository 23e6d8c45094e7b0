"""
chalkyoke.node.ending

The end of a gateway node: what has been read is answered before the process ends.
"""

import asyncio
import contextlib

from chalkyoke.gateway.gateway import Gateway
from chalkyoke.gateway.replies import RETRY_SOON_S
from chalkyoke.logs import logger
from chalkyoke.node.listener import Listener

log = logger("node")


async def finish_requests(callers: Listener, seconds: float) -> None:
    """Answer what has been read and close the connections.

    :param seconds: longest time to wait for answers that are in progress.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, seconds)):
            await callers.finish_requests()


async def answer_unfinished(
    gateway: Gateway, callers: Listener, reason: str, seconds: float
) -> None:
    """Tell callers what is known of the requests that this node can't finish.

    Requests that are still being read are refused too.

    :param reason: why the node ends.
    :param seconds: longest time in which the callers read their answers.
    """
    in_progress = gateway.end_now(reason)
    unread = callers.refuse_unread(RETRY_SOON_S)
    if in_progress or unread:
        log.notice("ended_unfinished", reason=reason, in_progress=in_progress, unread=unread)
    await finish_requests(callers, seconds)
    # Those that have begun since get an answer too.
    unread = callers.refuse_unread(RETRY_SOON_S)
    refused = gateway.refused_after_end
    if refused or unread:
        log.notice("refused_at_end", reason=reason, refused=refused, unread=unread)
