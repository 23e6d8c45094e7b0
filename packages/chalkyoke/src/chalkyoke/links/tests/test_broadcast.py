"""Broadcasts to all nodes, some of which relay."""

from chalkyoke.links.broadcast import relay_to_domain, send_to_all
from chalkyoke.quarantine.messages import RequestsServed

MESSAGE = RequestsServed((b"name",))


class Audience:
    def broadcast_targets(self):
        return ["near-1", "near-2"], ["far-1"]

    def domain_addresses(self):
        return ["near-1", "near-2"]


def sent_by(broadcast, message):
    sent = []
    count = broadcast(Audience(), lambda address, each: sent.append((address, each.relay)), message)
    return count, sent


def test_only_messages_to_relays_have_the_relay_flag():
    assert sent_by(send_to_all, MESSAGE) == (
        3,
        [("near-1", False), ("near-2", False), ("far-1", True)],
    )


def test_relayed_message_is_forwarded_without_the_relay_flag():
    relayed = RequestsServed((b"name",), relay=True)
    assert sent_by(relay_to_domain, relayed)[1] == [("near-1", False), ("near-2", False)]
    assert sent_by(relay_to_domain, MESSAGE)[1] == []
