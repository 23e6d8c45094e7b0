"""
tests.test_crashing_requests

What was seen: a request that ends each replica that runs it came again at other hosts, with the
same path, caller and body, and nine replicas of a pool of six ended under it; with each, all that
ran beside. How it came about: each host sent it on as any other request. Cause: nothing named a
request beyond one attempt, and what ran under the ends of several replicas was compared nowhere.
Shown by the logs of all hosts side by side, and by this fleet of whole nodes in virtual time.
"""

import asyncio

from tests.gatewayfleet import play

CRASHING = b"a body that ends who runs it"
# How long hosts in touch may take to know, in seconds, and how often the request may reach replicas
# after that: what operators allow.
KNOWN_S = 3.0
MOST_LATER = 3
# As seen: it comes again each 0.3 to 4 s.
AGAIN_S = 0.3
PLAYED_S = 12.0


def crash_by(replicas, body, **more):
    for replica in replicas:
        replica.faults.crash_bodies = replica.faults.crash_bodies | {body}
        for name, value in more.items():
            setattr(replica.faults, name, value)


def arrivals(replicas, body):
    return sorted(seen.at for replica in replicas for seen in replica.seen if seen.body == body)


def ends(replicas):
    return sorted(at for replica in replicas for at in replica.ends)


def later_arrivals(replicas, body):
    """List when a request has reached replicas later than operators allow without a count."""
    third = ends(replicas)[2]
    return [at for at in arrivals(replicas, body) if at > third + KNOWN_S]


async def keep_asking(fleet, path, body, seconds=PLAYED_S, again_s=AGAIN_S):
    """Send a request again and again at all nodes in turn; give the answers."""
    loop = asyncio.get_running_loop()
    until = loop.time() + seconds
    asked = []
    turn = 0
    while loop.time() < until:
        node = turn % len(fleet.nodes)
        asked.append(asyncio.ensure_future(fleet.ask(node, path, body)))
        turn += 1
        await asyncio.sleep(again_s)
    return await asyncio.gather(*asked)


def later_of(path):
    """Play a route; give how often the request has reached replicas too late to go uncounted."""
    later = []

    async def check(fleet):
        replicas = fleet.seats if path in ("/find/1", "/book/1") else fleet.models
        crash_by(replicas, CRASHING)
        await keep_asking(fleet, path, CRASHING)
        later.extend(later_arrivals(replicas, CRASHING))

    play(check)
    return len(later)


def test_a_request_that_ends_replicas_is_held_back_by_all_hosts():
    later = {path: later_of(path) for path in ("/chat/1", "/explain/1", "/find/1", "/book/1")}
    assert all(count <= MOST_LATER for count in later.values()), later
