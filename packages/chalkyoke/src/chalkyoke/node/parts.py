"""
chalkyoke.node.parts

The platform-specific parts that the start-up code passes to a gateway node.
"""

from collections.abc import Callable

from chalkyoke.catalog.keeper import StoreKeys
from chalkyoke.catalog.records import ReadRecord
from chalkyoke.catalog.state import ReadCatalog
from chalkyoke.gateway.ports import HeaderFormat
from chalkyoke.http1.calls import HttpClient
from chalkyoke.rollouts.resources import RolloutOrder, RolloutState
from chalkyoke.storage.port import Store

WriteStatus = Callable[[RolloutOrder, RolloutState], tuple[str, bytes]]


class PlatformParts:
    """The platform-specific parts of a gateway node.

    :param make_store: creates the store client on an HTTP caller.
    :param headers: reads and writes the platform's headers.
    :param read_catalog: decodes the catalog document.
    :param read_record: decodes a replica's record, a roll-out order or the status of one.
    :param write_status: encodes the status of an order; returns its key and document.
    :param keys: the keys and key prefixes of the store.
    """

    def __init__(
        self,
        make_store: Callable[[HttpClient], Store],
        headers: HeaderFormat,
        read_catalog: ReadCatalog,
        read_record: ReadRecord,
        write_status: WriteStatus,
        keys: StoreKeys,
    ) -> None:
        self.make_store = make_store
        self.headers = headers
        self.read_catalog = read_catalog
        self.read_record = read_record
        self.write_status = write_status
        self.keys = keys
