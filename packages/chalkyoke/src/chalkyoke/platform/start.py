"""
chalkyoke.platform.start

Assembly of the platform's adapters for the start-up code.
"""

from chalkyoke.catalog.keeper import StoreKeys
from chalkyoke.node.parts import PlatformParts
from chalkyoke.platform.documents import (
    CONFIGURATION_KEY,
    REPLICAS_PREFIX,
    ROLLOUT_ORDERS_PREFIX,
    ROLLOUT_STATUSES_PREFIX,
    read_catalog,
    read_record,
    write_status,
)
from chalkyoke.platform.headers import PlatformHeaders
from chalkyoke.platform.store import PlatformStore

NODES_PREFIX = "chalkyoke/nodes/"
HELD_PREFIX = "chalkyoke/held/"
QUOTAS_PREFIX = "chalkyoke/quotas/"


def platform_parts() -> PlatformParts:
    """Return the platform's store, header format, document formats and store keys."""
    return PlatformParts(
        make_store=PlatformStore,
        headers=PlatformHeaders(),
        read_catalog=read_catalog,
        read_record=read_record,
        write_status=write_status,
        keys=StoreKeys(
            CONFIGURATION_KEY,
            (REPLICAS_PREFIX, ROLLOUT_ORDERS_PREFIX, ROLLOUT_STATUSES_PREFIX, HELD_PREFIX),
            NODES_PREFIX,
            HELD_PREFIX,
            QUOTAS_PREFIX,
        ),
    )
