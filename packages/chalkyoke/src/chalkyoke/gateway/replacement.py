"""
chalkyoke.gateway.replacement

Which replica may take a request from a silent one.
"""

from chalkyoke.gateway.granted import Granted, ReplicaPort, find_eligible
from chalkyoke.gateway.reception import Admission
from chalkyoke.gateway.takeover import Send


def find_objection(
    admission: Admission,
    granted: Granted,
    silent: Send | None,
    replicas: ReplicaPort,
    version: str | None,
) -> str | None:
    """Return why a replica must not take a request from a silent one; None if it may.

    A second run at the silent replica would be answered no sooner; only the sole replica of a
    service may get its request again, since the connection may be dead.

    :param silent: the send whose replica is silent; None if there is none.
    :param version: software version that the replica must run; None for any.
    """
    if silent is None:
        return None
    replica = granted.replica
    if replica.id != silent.granted.replica.id:
        return None
    eligible = find_eligible(replicas, admission.service.name, version)
    return "no other replica" if any(each.id != replica.id for each in eligible) else None
