"""
tests.streamcallers

Callers that take broken streams up at other nodes, and what they got. Each event of the fake
replicas names the software version that wrote it.
"""

import asyncio
import random
from dataclasses import dataclass, field

from chalkyoke_fakes.replica import read_events

PATH = "/explain/1"
MAX_TRIES = 5
RETRY_S = 0.1


@dataclass
class Stream:
    """One stream as its caller got it.

    :ivar events: (number, version) of each event.
    :ivar tries: answers to the caller's attempts.
    :ivar take_ups: for each attempt that took the stream up, whether the stream went on.
    :ivar resumptions: answers to those attempts.
    """

    body: bytes
    events: list = field(default_factory=list)
    tries: list = field(default_factory=list)
    take_ups: list = field(default_factory=list)
    resumptions: list = field(default_factory=list)
    whole: bool = False

    @property
    def begun(self):
        """Whether the first attempt brought an event."""
        return bool(read_events(self.tries[0].body))

    @property
    def versions(self):
        return {version for _, version in self.events}

    @property
    def is_in_order(self):
        return [number for number, _ in self.events] == list(range(len(self.events)))


def name_first_attempt(stream, began_as):
    """Return the headers of a caller that names the attempt which brought the first event."""
    return (("Last-Event-Id", stream.events[-1][0]), ("Resumes", began_as))


async def take_stream(
    fleet,
    choose_node,
    body,
    *,
    resume_headers=name_first_attempt,
    tries=MAX_TRIES,
    pause_s=RETRY_S,
):
    """Begin a stream, and take it up at other nodes until it is whole.

    :param choose_node: returns the index of a node; gets the stream so far.
    :param resume_headers: returns the headers of an attempt that takes the stream up; gets the
        stream so far and the id of the attempt that brought its first event.
    :param tries: maximum number of attempts.
    :param pause_s: time between two attempts, in seconds.
    :rtype: Stream
    """
    stream = Stream(body)
    began_as = ""
    for _ in range(tries):
        headers = resume_headers(stream, began_as) if stream.events else ()
        answer = await fleet.send_request(
            choose_node(stream), PATH, body, until_whole=True, headers=headers
        )
        stream.tries.append(answer)
        got = read_events(answer.body) if answer.status == 200 else []
        if headers:
            stream.resumptions.append(answer)
            stream.take_ups.append(bool(got) or (answer.status == 200 and answer.whole))
        if got and not began_as:
            began_as = answer.request
        stream.events += got
        stream.whole = answer.status == 200 and answer.whole
        if stream.whole:
            break
        await asyncio.sleep(pause_s)
    return stream


def break_streams(replicas, share, rng):
    """Let a share of the streams break off within an event, some events after their start."""
    for each in replicas:
        each.faults.break_streams = 1 if rng.random() < share else 0
        each.faults.break_after = rng.randrange(1, 5)


async def run_streams(fleet, count, mean_pause_s, broken_share, send):
    """Begin streams one after the other, and wait for the end of all.

    :param broken_share: share of the engines that break off the next stream.
    :param send: coroutine function that plays one caller; gets the number of its stream.
    """
    rng = random.Random(64)
    tasks = []
    for number in range(count):
        break_streams(fleet.models, broken_share, rng)
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(rng.expovariate(1 / mean_pause_s))
    return await asyncio.gather(*tasks)


def share(values):
    """Return the share of true values."""
    return sum(map(bool, values)) / max(1, len(values))


def check_streams(streams):
    """Check that each stream has one version, and that streams which are taken up go on.

    :return: the share of new streams that began, and of those taken up that went on.
    """
    mixed = [each for each in streams if len(each.versions) > 1]
    taken_up = [each for stream in streams for each in stream.take_ups]
    began, went_on = share([each.begun for each in streams]), share(taken_up)
    assert not mixed, f"{len(mixed)} of {len(streams)} streams have two versions"
    assert all(each.is_in_order for each in streams)
    # The operators' bound, from a dozen streams on that are taken up.
    assert len(taken_up) >= 12 and went_on >= began / 2, (began, went_on, len(taken_up))
    return began, went_on
