"""
chalkyoke.node.parts

What the start-up code brings of the users' platform.
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
    """The users' platform, as a gateway node sees it.

    :param make_store: makes the store's client over a caller.
    :param read_record: reads a replica's record, an order of a roll-out or the answer to one.
    :param write_status: words the answer to an order: its key and document.
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
