"""Telling all nodes, some of which relay."""

from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.quarantine.messages import RequestsServed

MESSAGE = RequestsServed((b"name",))


class Audience:
    def broadcast_targets(self):
        return ["near-1", "near-2"], ["far-1"]

    def domain_addresses(self):
        return ["near-1", "near-2"]


def sent_by(tell, message):
    sent = []
    told = tell(Audience(), lambda address, each: sent.append((address, each.relay)), message)
    return told, sent


def test_those_who_relay_are_asked_to_and_the_others_are_not():
    assert sent_by(send_to_all, MESSAGE) == (
        3,
        [("near-1", False), ("near-2", False), ("far-1", True)],
    )


def test_what_is_to_be_relayed_goes_on_once():
    relayed = RequestsServed((b"name",), relay=True)
    assert sent_by(relay_to_domain, relayed)[1] == [("near-1", False), ("near-2", False)]
    assert sent_by(relay_to_domain, MESSAGE)[1] == []
