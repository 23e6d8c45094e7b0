"""A replica that restarts under the same id: state of the previous start must not apply to it."""

import json

from chalkyoke.balancing.local import LocalBalancer
from chalkyoke.balancing.messages import RouteCount
from chalkyoke.balancing.observer import Observer
from chalkyoke.catalog.resources import Catalog, Service
from chalkyoke.catalog.state import CatalogState
from chalkyoke.gateway.settings import SchedulingSection
from chalkyoke.node.pools import DeclaredPools, DeclaredReplicas
from chalkyoke.platform.documents import read_catalog, read_record
from chalkyoke.storage.messages import Item

CATALOG = Catalog(version=1, services={"model": Service("model", engine_slots=4)})


def written(born, revision):
    record = {
        "service": "model",
        "addr": "10.0.0.9:80",
        "zone": "a",
        "slots": 4,
        "state": "ready",
        "born": born,
    }
    return Item("servers/m1", json.dumps(record).encode(), revision)


def starts(*born):
    state = CatalogState(read_catalog, read_record)
    for revision, each in enumerate(born, start=1):
        state.apply_replica_changes([written(each, revision)], revision, 0.0)
    return state


def test_a_restarted_replica_is_a_new_upstream_of_its_pool():
    pools = DeclaredPools(SchedulingSection())
    names = []
    for state in (starts(1), starts(1, 2)):
        pools.rebuild(CATALOG, state.replicas)
        names.append([each.id for each in pools.pools["model"].upstreams])
    assert names == [["m1/1"], ["m1/2"]]


def test_the_previous_start_is_neither_listed_nor_a_fallback():
    state = starts(1, 2)
    replicas = DeclaredReplicas(state, lambda: 0.0)
    replicas.rebuild()
    assert [each.id for each in replicas.of_service("model")] == ["m1/2"]
    assert replicas.find("m1/1") is None


def test_failures_and_reachability_of_the_previous_start_do_not_count():
    balancer = LocalBalancer("a", lambda: 0.5)
    balancer.stats("m1/1").record_failure(5.0, 0.0)
    balancer.stats("m1/1").record_unreachable(0.0)
    (replica,) = starts(1, 2).replicas.values()
    balancer.prune({replica.id}, 0.0)
    assert balancer.stats(replica.id).recent_failures(0.0) == 0.0
    assert not balancer.are_all_unreachable([replica], 0.0, tried=[replica.id])


def test_reports_about_the_previous_start_do_not_make_the_new_one_a_suspect():
    observer = Observer()
    observer.add_counts([RouteCount("m2/1", "r", 50, 0), RouteCount("m1/1", "r", 0, 9)], 0.0)
    observer.add_counts([RouteCount("m1/2", "r", 1, 0)], 0.1)
    assert observer.suspects(3, 0.1) == ("m1/1",)
