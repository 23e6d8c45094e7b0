import random

import pytest
from chalkyoke.memory.account import MIN_SHARE_BYTES, MemoryAccount, Purpose
from chalkyoke.memory.bodygrants import (
    MAX_BODY_SHARE,
    MAX_WAIT_S,
    OLDEST_LEVEL,
    PIECE_BYTES,
    BodyGrants,
)

LIMIT = 40_000_000
BODY_BYTES = 4_194_304


class Uploader:
    """Sends a body as fast as it is read."""

    def __init__(self, grants, now, size=BODY_BYTES):
        self.size = size
        self.sent = 0
        self.is_read = True
        self.is_refused = False
        self.grant = grants.open(self, now)

    @property
    def is_complete(self):
        return self.sent == self.size

    @property
    def is_sending(self):
        return self.is_read and not self.is_refused and not self.is_complete

    def pause_body(self):
        self.is_read = False

    def resume_body(self):
        self.is_read = True

    def refuse_body(self):
        self.is_refused = True
        self.grant.close()

    def send(self, size, now):
        self.sent = min(self.size, self.sent + size)
        self.grant.on_received(self.sent, now)
        if self.is_complete:
            self.grant.close()


@pytest.mark.parametrize("seed", range(5))
def test_uploads_of_unknown_length_leave_room_for_others_and_all_end(seed):
    """They filled the account, so that others were refused and none of them could end."""
    random_numbers = random.Random(seed)
    account = MemoryAccount(LIMIT)
    grants = BodyGrants(account)
    now = 0.0
    uploads = [Uploader(grants, now) for _ in range(50)]
    while not all(each.is_complete for each in uploads):
        now += 0.001
        sending = [each for each in uploads if each.is_sending]
        random_numbers.shuffle(sending)
        for each in sending:
            each.send(random_numbers.randint(1, PIECE_BYTES), now)
            # Each body may exceed its grant by one read.
            assert account.total <= LIMIT * OLDEST_LEVEL + len(uploads) * PIECE_BYTES
        assert account.admits(MIN_SHARE_BYTES, 0.0)
        grants.tick(now)
        assert now < 10.0
    assert account.total == 0 and not grants.waiting
    assert not any(each.is_refused for each in uploads)


def test_a_small_body_of_unknown_length_is_read_beside_large_ones():
    account = MemoryAccount(LIMIT)
    grants = BodyGrants(account)
    large = [Uploader(grants, 0.0) for _ in range(50)]
    while any(each.is_sending for each in large[1:]):
        for each in large[1:]:
            if each.is_sending:
                each.send(PIECE_BYTES, 0.0)
    small = Uploader(grants, 0.0, 10_000)
    small.send(10_000, 0.0)
    assert small.is_complete


def test_the_oldest_upload_ends_while_newer_ones_hold_all_that_is_common():
    """Uploads that were read in part waited for each other's room until their time was over."""
    account = MemoryAccount(LIMIT)
    grants = BodyGrants(account)
    uploads = [Uploader(grants, 0.0), *(Uploader(grants, 0.0, 2 * BODY_BYTES) for _ in range(50))]
    for _ in range(2 * BODY_BYTES // PIECE_BYTES):
        for each in uploads[1:]:
            if each.is_sending:
                each.send(PIECE_BYTES, 0.0)
        grants.tick(0.0)
    assert not any(each.is_read for each in uploads[1:])
    while uploads[0].is_sending:
        uploads[0].send(PIECE_BYTES, 0.0)
        grants.tick(0.0)
    assert uploads[0].is_complete


def test_an_upload_that_waits_too_long_in_total_is_refused():
    account = MemoryAccount(LIMIT)
    grants = BodyGrants(account)
    others = account.open(Purpose.BODIES_KEPT)
    upload = Uploader(grants, 0.0)
    now = 0.0
    for _ in range(3):
        others.resize(LIMIT)
        while upload.is_sending:
            upload.send(PIECE_BYTES, now)
        now += MAX_WAIT_S / 4
        grants.tick(now)
        assert not upload.is_refused
        others.release()
        grants.tick(now)
        assert upload.is_sending
    others.resize(LIMIT)
    while upload.is_sending:
        upload.send(PIECE_BYTES, now)
    grants.tick(now + MAX_WAIT_S / 4)
    assert upload.is_refused
    assert account.total == LIMIT


def test_a_body_larger_than_any_may_be_is_refused_at_once():
    account = MemoryAccount(4_000_000)
    upload = Uploader(BodyGrants(account), 0.0)
    while upload.is_sending:
        upload.send(PIECE_BYTES, 0.0)
        upload.grant._grants.tick(0.0)
    assert upload.is_refused and account.total == 0


def test_without_a_limit_nothing_waits():
    grants = BodyGrants(MemoryAccount())
    upload = Uploader(grants, 0.0)
    while not upload.is_complete:
        upload.send(PIECE_BYTES, 0.0)
        assert upload.is_read


def test_a_body_as_large_as_any_may_be_is_read_to_its_end():
    """It was refused with the piece that filled its grant, although only its end was due."""
    account = MemoryAccount(LIMIT)
    upload = Uploader(BodyGrants(account), 0.0, int(LIMIT * MAX_BODY_SHARE))
    while upload.is_sending:
        upload.send(PIECE_BYTES, 0.0)
    assert upload.is_complete
