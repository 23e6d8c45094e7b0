import pytest
from chalkyoke.http1.calls import CallAnswer
from chalkyoke.platform.store import PlatformStore
from chalkyoke.storage.messages import (
    Changes,
    Item,
    LeaseGranted,
    Listing,
    Unavailable,
    Written,
)

from tests import virtual

PAGE = b'{"items": [{"key": "a", "value": "", "rev": 3}], "at": 4, "more": true}'
LAST_PAGE = b'{"items": [{"key": "b", "value": "", "rev": 2}], "at": 5}'


class ScriptedCaller:
    """Gives the answers of a script, one after the other."""

    def __init__(self, *answers):
        self.answers = list(answers)

    async def call(self, method, target, body, timeout_s):
        return self.answers.pop(0)


def answer(body, *eras):
    return CallAnswer(200, body, [(b"Store-Era", era) for era in eras])


def asked(make_call, *answers):
    async def main():
        return await make_call(PlatformStore(ScriptedCaller(*answers)))

    return virtual.run(main)


def test_each_answer_names_the_stores_epoch():
    changes = asked(lambda store: store.watch("", 1, 0.0, 1.0), answer(LAST_PAGE_EVENTS, b"2"))
    assert changes == Changes((), 5, 2)
    written = asked(lambda store: store.write("k", b""), answer(b'{"rev": 9}', b"3"))
    assert written == Written(9, 3)
    lease = asked(
        lambda store: store.grant_lease(5.0), answer(b'{"lease": 7, "ttl_ms": 5000}', b"4")
    )
    assert lease == LeaseGranted(7, 5.0, 4)
    lease = asked(lambda store: store.renew_lease(7), answer(b'{"ttl_ms": 5000}', b"5"))
    assert lease == LeaseGranted(7, 5.0, 5)


LAST_PAGE_EVENTS = b'{"events": [], "at": 5}'


@pytest.mark.parametrize("eras", [(), (b"",), (b"x",), (b"-1",), (b"1.5",), (b"9" * 30,)])
def test_an_epoch_that_can_not_be_read_is_none(eras):
    listing = asked(lambda store: store.read(""), answer(LAST_PAGE, *eras))
    assert listing == Listing((Item("b", b"", 2),), 5, 0)


def test_pages_of_two_epochs_are_no_listing():
    def read(store):
        return store.read("")

    whole = asked(read, answer(PAGE, b"1"), answer(LAST_PAGE, b"1"))
    assert (whole.revision, whole.epoch, len(whole.items)) == (4, 1, 2)
    assert isinstance(asked(read, answer(PAGE, b"1"), answer(LAST_PAGE, b"2")), Unavailable)
