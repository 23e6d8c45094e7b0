import asyncio

import pytest
from chalkyoke.resumption.finder import (
    ANSWER_TIMEOUT_S,
    Confirmation,
    OriginFinder,
    OriginSource,
)
from chalkyoke.resumption.messages import Origin, Sought, StreamBegan, VersionHistory

from tests import virtual

ORIGIN = Origin("model", "v1.1")
STREAM, KEEP_S = 7, 8.0
SOUGHT = Sought("model", KEEP_S)
DELAY_S = 0.002


class Fleet:
    """Finders that are all keepers of all streams.

    :ivar silent: nodes that get no messages.
    :ivar older: nodes whose build keeps no origins, once a link to them has been opened.
    :ivar with_store: nodes that the store answers.
    """

    def __init__(self, nodes=4, keepers=(1, 2, 3), histories=None):
        loop = asyncio.get_running_loop()
        self.keepers = keepers
        self.histories = histories or {}
        self.silent = set()
        self.older = set()
        self.with_store = set()
        self.nodes = [OriginFinder(Port(self, number), loop.time) for number in range(nodes)]


class Port:
    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self.sees_all = True
        self.confirmations = 0
        self._linked = set()

    def keepers(self, stream):
        return [each for each in self._fleet.keepers if each != self._number]

    def send(self, address, message):
        fleet, sender = self._fleet, self._number
        self._linked.add(address)
        if address not in fleet.silent | fleet.older:
            asyncio.get_running_loop().call_later(
                DELAY_S, lambda: fleet.nodes[address].receive(sender, message)
            )

    def history(self, sought):
        versions, covers_s = self._fleet.histories.get(self._number, ((), 0.0))
        return VersionHistory(versions, covers_s)

    def is_older(self, address):
        return address in self._fleet.older & self._linked

    def other_nodes(self):
        return [each for each in range(len(self._fleet.nodes)) if each != self._number]

    def fleet_share(self):
        return 1.0 if self.sees_all else 0.5

    def sees_whole_fleet(self):
        return self.sees_all

    async def confirm_history(self):
        self.confirmations += 1
        return self._number in self._fleet.with_store


def test_the_first_keeper_that_knows_the_origin_ends_the_search():
    async def main():
        fleet = Fleet()
        fleet.silent = {1}
        fleet.nodes[2].record_began(STREAM, ORIGIN, KEEP_S)
        await asyncio.sleep(0.1)
        began = asyncio.get_running_loop().time()
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert (found.origin, found.source) == (ORIGIN, OriginSource.KEEPER)
        assert asyncio.get_running_loop().time() - began <= 2 * DELAY_S
        again = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert (again.origin, again.source) == (ORIGIN, OriginSource.KEPT_HERE)

    virtual.run(main)


def test_the_origin_outlives_the_node_that_relayed_the_stream_and_all_keepers_but_one():
    async def main():
        fleet = Fleet(nodes=5)
        fleet.nodes[4].record_began(STREAM, ORIGIN, KEEP_S)
        await asyncio.sleep(0.1)
        fleet.silent = {1, 2, 4}
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert found.origin == ORIGIN

    virtual.run(main)


def test_an_origin_that_nobody_knows_is_unknown_while_versions_differ():
    async def main():
        fleet = Fleet(histories={0: (("v1",), 30.0), 2: (("v1", "v1.1"), 30.0)})
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert (found.origin, found.source) == (None, OriginSource.UNKNOWN)
        assert found.answers == 3

    virtual.run(main)


def test_with_a_single_version_a_restarted_node_resumes_a_stream_by_the_history_of_others():
    async def main():
        fleet = Fleet(histories={0: (("v1",), 1.0), 2: (("v1",), 30.0)})
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert (found.origin, found.source) == (Origin("model", "v1"), OriginSource.ONLY_VERSION)

    virtual.run(main)


def test_beside_nodes_of_older_builds_the_own_history_decides():
    """They keep no origins and are sent no messages that they do not understand."""

    async def main():
        fleet = Fleet(histories={0: (("v1",), 30.0)})
        fleet.older = {1, 2, 3}
        loop = asyncio.get_running_loop()
        for longest in (1.01 * ANSWER_TIMEOUT_S, 0.0):
            began = loop.time()
            found = await fleet.nodes[0].find(STREAM, SOUGHT)
            assert found.origin == Origin("model", "v1")
            assert loop.time() - began <= longest
        fleet.nodes[0]._port.sees_all = False
        assert (await fleet.nodes[0].find(STREAM, SOUGHT)).origin is None

    virtual.run(main)


ONE_VERSION = dict.fromkeys(range(4), (("v1",), 30.0))


@pytest.mark.parametrize(
    ("with_store", "sees_all", "confirmed_by"),
    [
        ({0}, False, Confirmation.STORE),
        ({2}, False, Confirmation.PEER),
        ((), True, Confirmation.FLEET),
        ((), False, Confirmation.NONE),
    ],
)
def test_agreement_of_the_keepers_counts_only_with_the_store_or_the_whole_fleet(
    with_store, sees_all, confirmed_by
):
    """Guards against hosts that are cut off together and agree on what they knew before."""

    async def main():
        fleet = Fleet(histories=ONE_VERSION)
        fleet.with_store = with_store
        fleet.nodes[0]._port.sees_all = sees_all
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert found.confirmed_by is confirmed_by
        is_found = confirmed_by is not Confirmation.NONE
        assert found.source is (OriginSource.ONLY_VERSION if is_found else OriginSource.UNKNOWN)

    virtual.run(main)


def test_a_version_that_the_store_or_a_peer_adds_is_taken_into_account():
    async def main():
        for adding in (0, 3):
            fleet = Fleet(keepers=(1, 2), histories=dict(ONE_VERSION))
            fleet.with_store = {adding}

            async def confirm(port=fleet.nodes[adding]._port, fleet=fleet, adding=adding):
                fleet.histories[adding] = (("v1", "v2"), 30.0)
                return True

            fleet.nodes[adding]._port.confirm_history = confirm
            assert (await fleet.nodes[0].find(STREAM, SOUGHT)).origin is None

    virtual.run(main)


def test_the_store_is_not_asked_where_its_answer_would_decide_nothing():
    async def main():
        for histories in ({0: (("v1", "v2"), 30.0)}, dict.fromkeys(range(4), (("v1",), 1.0))):
            fleet = Fleet(histories=histories)
            await fleet.nodes[0].find(STREAM, SOUGHT)
            assert not any(each._port.confirmations for each in fleet.nodes)

    virtual.run(main)


@pytest.mark.parametrize("silent", [{1}, {1, 2, 3}])
def test_while_a_keeper_is_silent_histories_do_not_decide(silent):
    """It may be on the other side of a partition, where another version began the stream."""

    async def main():
        fleet = Fleet(histories=dict.fromkeys(range(4), (("v1",), 30.0)))
        fleet.silent = silent
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        assert found.source is OriginSource.UNKNOWN

    virtual.run(main)


@pytest.mark.parametrize(
    ("versions", "covers_s", "origin"),
    [
        (("v1",), 0.1, None),
        (("v1",), KEEP_S, Origin("model", "v1")),
        (("v1", "v1.1"), KEEP_S, None),
        ((), KEEP_S, None),
    ],
)
def test_a_stream_that_no_node_can_know_goes_on_if_one_version_has_run_for_long_enough(
    versions, covers_s, origin
):
    """A node that has just started does not know which versions have left before."""

    async def main():
        fleet = Fleet(histories=dict.fromkeys(range(4), (versions, covers_s)))
        assert (await fleet.nodes[0].find(STREAM, SOUGHT)).origin == origin

    virtual.run(main)


def test_an_origin_that_was_found_is_told_to_keepers_that_lack_it():
    async def main():
        fleet = Fleet(nodes=5, keepers=(1, 2))
        fleet.nodes[0].record_began(STREAM, ORIGIN, KEEP_S)
        await asyncio.sleep(0.1)
        fleet.keepers = (3,)
        found = await fleet.nodes[0].find(STREAM, SOUGHT)
        fleet.nodes[0].record_began(STREAM, found.origin, KEEP_S)
        await asyncio.sleep(0.1)
        assert (await fleet.nodes[4].find(STREAM, SOUGHT)).origin == ORIGIN

    virtual.run(main)


def test_late_answers_are_ignored_and_expired_origins_dropped():
    async def main():
        fleet = Fleet()
        fleet.nodes[1].receive(0, StreamBegan(STREAM, ORIGIN, 0.05))
        search = asyncio.ensure_future(fleet.nodes[0].find(STREAM, SOUGHT))
        await asyncio.sleep(0)
        search.cancel()
        await asyncio.sleep(0.1)
        assert search.cancelled() and not fleet.nodes[0]._searches
        assert (await fleet.nodes[0].find(STREAM, SOUGHT)).origin is None
        fleet.nodes[1].drop_expired()
        assert fleet.nodes[1].kept_count == 0

    virtual.run(main)
