import pytest
from chalkyoke.memory.receiving import (
    MIN_BYTES,
    OVERHEAD,
    RECEIVE_BUFFER_BYTES,
    RECEIVE_SHARE,
    ReceiveBuffers,
)


def test_few_connections_have_receive_buffers_of_the_usual_size():
    assert ReceiveBuffers(64.0).size(1) == RECEIVE_BUFFER_BYTES
    assert ReceiveBuffers().size(1_000_000) == RECEIVE_BUFFER_BYTES


# Guards against what the system receives for hundreds of connections, which filled a small host.
@pytest.mark.parametrize("connections", [50, 100, 200, 300])
def test_receive_buffers_of_new_connections_share_a_part_of_the_memory(connections):
    size = ReceiveBuffers(64.0).size(connections)
    assert MIN_BYTES <= size < RECEIVE_BUFFER_BYTES
    assert size * connections * OVERHEAD <= 64e6 * RECEIVE_SHARE


def test_receive_buffers_do_not_fall_below_the_smallest_size():
    assert ReceiveBuffers(64.0).size(100_000) == MIN_BYTES
