"""
tests.test_stream_origins

The origins of streams in fleets of 7 and of 300 hosts, with the real membership, while hosts are
killed: a stream goes on at the version that began it, and most streams go on.
"""

import asyncio
import random
from types import SimpleNamespace

import pytest
from chalkyoke.node.fleetsize import FleetSize
from chalkyoke.node.originkeepers import ORIGIN_GROUPS, ORIGIN_KEEPERS, PeerOriginKeepers
from chalkyoke.node.routehistory import RouteHistories
from chalkyoke.node.versionhistory import VersionHistories
from chalkyoke.quotas.owner import Presence
from chalkyoke.resumption.finder import OriginFinder
from chalkyoke.resumption.messages import Origin, Sought

from tests import virtual
from tests.memberfleet import INTERVAL_S, Fleet

LINK_DELAY_S = 0.002
KEEP_S = 8.0
VERSIONS = ("v1", "v1.1", "v1.2")
DOMAINS = 3
STREAMS = 300
# The operators' bound on the share of resumed streams that go on, of those that begin.
MIN_SHARE = 0.5


class _UnreachableStore:
    """A store that confirms nothing."""

    async def confirm(self):
        return False


class OriginFleet:
    """The finders of all hosts over links with a delay.

    :ivar contacted: addresses to which each host has sent messages.
    """

    def __init__(self, hosts):
        names = [f"h{number}" for number in range(hosts)]
        self.members = Fleet({f"d{n}": names[n::DOMAINS] for n in range(DOMAINS)})
        self.members.run(3.0)
        self.finders = {}
        self.contacted = {name: set() for name in names}
        for name in names:
            self.start(name)

    def start(self, host):
        view = self.members.views[host]
        loop = asyncio.get_running_loop()
        port = PeerOriginKeepers(
            view,
            VersionHistories(None, loop.time),
            RouteHistories(SimpleNamespace(), loop.time),
            SimpleNamespace(
                send=lambda address, message: self._send(host, address, message),
                withholds=lambda address, kind: False,
            ),
            lambda: Presence(len(view.live()), len(self.contacted), 1.0),
            FleetSize(),
            _UnreachableStore(),
        )
        self.finders[host] = OriginFinder(port, loop.time)

    def kill(self, host):
        self.members.kill(host)
        del self.finders[host]

    def restart(self, host, incarnation):
        self.members.start(host, incarnation)
        self.start(host)

    def _send(self, sender, address, message):
        self.contacted[sender].add(address)

        def deliver():
            found = self.finders.get(address.split(":")[0])
            if found is not None:
                found.receive(f"{sender}:1", message)

        asyncio.get_running_loop().call_later(LINK_DELAY_S, deliver)


@pytest.mark.parametrize(("hosts", "killed_share"), [(7, 0.15), (7, 0.5), (300, 0.5)])
def test_streams_resumed_at_other_hosts_go_on_at_their_version_while_hosts_are_killed(
    hosts, killed_share
):
    async def main():
        rng = random.Random(64)
        fleet = OriginFleet(hosts)
        found = []

        async def run_membership():
            while True:
                await asyncio.sleep(INTERVAL_S)
                fleet.members.run(INTERVAL_S)

        async def kill_hosts():
            for incarnation in range(2, 99):
                await asyncio.sleep(0.8)
                killed = rng.sample(sorted(fleet.finders), max(1, round(killed_share * hosts)))
                for host in killed:
                    fleet.kill(host)
                await asyncio.sleep(1.2)
                for host in killed:
                    fleet.restart(host, incarnation)

        async def play_stream(number):
            origin = Origin("model", rng.choice(VERSIONS))
            host = rng.choice(sorted(fleet.finders))
            fleet.finders[host].record_began(number, origin, KEEP_S)
            await asyncio.sleep(rng.uniform(0.05, 2.0))
            other = rng.choice(sorted(fleet.finders.keys() - {host}))
            finder = fleet.finders[other]
            found.append((origin, (await finder.find(number, Sought("model", KEEP_S))).origin))

        tasks = [asyncio.ensure_future(each()) for each in (run_membership, kill_hosts)]
        streams = []
        for number in range(STREAMS):
            streams.append(asyncio.ensure_future(play_stream(number)))
            await asyncio.sleep(rng.expovariate(STREAMS / 6.0))
        await asyncio.gather(*streams)
        for task in tasks:
            task.cancel()
        assert len(found) == STREAMS
        assert all(got in (None, origin) for origin, got in found)
        went_on = sum(got is not None for _, got in found) / STREAMS
        assert went_on >= MIN_SHARE, went_on
        # Members that join and leave change the keepers of a group now and then.
        most = max(len(each) for each in fleet.contacted.values())
        assert most <= 2 * ORIGIN_GROUPS * ORIGIN_KEEPERS

    virtual.run(main)
