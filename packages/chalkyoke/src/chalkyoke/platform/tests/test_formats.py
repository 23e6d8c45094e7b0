import json

import pytest
from chalkyoke.catalog.resources import RouteKind
from chalkyoke.gateway.ports import Forwarding, Load
from chalkyoke.platform.documents import (
    read_catalog,
    read_record,
    read_replica,
    write_status,
)
from chalkyoke.platform.headers import PlatformHeaders
from chalkyoke.rollouts.resources import RolloutState
from chalkyoke.storage.messages import Item
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "path-prefix": "/x/",
            "kind": "stream",
            "timeout-ms": 4000,
            "goal-ms": 800,
            "gap-goal-ms": 400,
            "priority": 1,
            "service": "model",
            "attempts": 2,
            "resumable": True,
        },
        {
            "name": "r2",
            "host": "a.example",
            "path-prefix": "/y/",
            "kind": "idempotent",
            "split": [{"service": "model", "weight": 90}, {"service": "plain", "weight": 10}],
            "public": True,
        },
    ],
    "services": [
        {
            "name": "model",
            "max-conns": 630,
            "engine": {"slots": 7, "kv-capacity": 185, "stride": 3},
        },
        {"name": "plain", "max-conns": 110, "unknown-field": 1},
    ],
    "limits": {"max-header-bytes": 100, "idle-timeout-ms": 15000},
    "tenants": [
        {"name": "t", "api-keys": ["k"], "priority": 1, "unit": "tokens", "plain-tokens": 200}
    ],
}


def test_a_configuration_is_parsed_into_a_catalog():
    catalog = read_catalog(json.dumps(CONFIGURATION).encode()).ok_value
    route = catalog.find_route("a.example", "/x/1")
    assert (route.kind, route.timeout_s, route.goal_s) == (RouteKind.STREAM, 4.0, 0.8)
    assert (route.gap_goal_s, route.rank, route.attempts, route.resumable) == (0.4, 1, 2, True)
    assert [each.service for each in catalog.find_route("a.example", "/y/").targets] == [
        "model",
        "plain",
    ]
    model, plain = catalog.services["model"], catalog.services["plain"]
    assert (model.engine_slots, model.cache_tokens, model.tokens_per_event) == (7, 185, 3)
    assert (plain.is_engine, plain.max_connections) == (False, 110)
    team = catalog.find_team("k")
    assert (team.rank, team.by_tokens, team.default_cost) == (1, True, 200)
    assert catalog.requires_keys and catalog.limits.header_bytes == 100


def test_a_configuration_without_tenants_requires_no_keys():
    catalog = read_catalog(b'{"version": 1}').ok_value
    assert not catalog.requires_keys


def test_documents_that_can_t_be_parsed_are_errors_and_not_exceptions():
    for document in (b"", b"{", b"[]", b'{"version": "x"}', b"\xff"):
        assert isinstance(read_catalog(document), Err)
        assert isinstance(read_replica(Item("servers/i", document, 1)), Err)
    assert isinstance(read_replica(Item("servers/i", b'{"service":"s","addr":"nope"}', 1)), Err)


def test_a_replica_record_is_parsed():
    value = b'{"service":"s","addr":"10.1.2.3:80","zone":"z","slots":7,"state":"draining","seq":4}'
    replica = read_replica(Item("servers/i-7", value, 1)).ok_value
    assert (replica.id, replica.address, replica.draining) == ("i-7", "10.1.2.3:80", True)


REQUEST = [
    (b"Host", b"a.example"),
    (b"X-Request-Id", b"r1"),
    (b"X-Deadline-Ms", b"6000"),
    (b"X-Credential", b"k"),
    (b"X-Model", b"m"),
    (b"X-Token-Count", b"1460,80"),
    (b"X-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410"),
    (b"X-Length-Hint", b"33"),
    (b"X-Tenant", b"forged"),
    (b"X-Expect-Instance", b"forged"),
    (b"Kv-From", b"10.0.0.1:80/x"),
    (b"X-Hold", b"forged"),
    (b"Connection", b"keep-alive, X-Drop, X-Model"),
    (b"X-Drop", b"hop"),
    (b"Keep-Alive", b"timeout=5"),
    (b"X-Custom", b"kept"),
]


def test_request_headers_are_parsed():
    fields = PlatformHeaders().read_request(REQUEST)
    assert (fields.request_id, fields.deadline_s, fields.key) == ("r1", 6.0, "k")
    assert (fields.prompt_tokens, fields.max_output_tokens, fields.estimated_output_tokens) == (
        1460,
        80,
        33,
    )
    assert [(each.id, each.tokens) for each in fields.parts] == [
        (0x5C1E07A2, 800),
        (0x91BD3F06, 410),
    ]


def test_invalid_request_headers_count_as_absent():
    invalid = [(b"X-Deadline-Ms", b"-5"), (b"X-Token-Count", b"x"), (b"X-Prefix-Hash", b"zz:1,")]
    fields = PlatformHeaders().read_request(invalid)
    assert (fields.deadline_s, fields.prompt_tokens, fields.parts) == (None, 0, ())


@pytest.mark.parametrize(
    "name", ["X-Request-Id", "X-Deadline-Ms", "X-Credential", "X-Model", "X-Token-Count", "Resumes"]
)
def test_a_request_with_two_values_of_a_deciding_header_is_contradictory(name):
    """Guards against a request whose replica reads another of its values than the node did."""
    read, name = PlatformHeaders().read_request, name.encode()
    assert read([(name, b"1"), (name.lower(), b"2")]).contradictory
    for other in ([], [(name, b"1")], [(name, b"1"), (name.lower(), b" 1")], REQUEST):
        assert not read(other).contradictory


def test_system_headers_can_t_be_forged_and_the_key_is_not_forwarded():
    forwarding = Forwarding("i-1", "clerks", 2.5)
    headers = PlatformHeaders().forwarded_headers(REQUEST, forwarding)
    names = [name.lower() for name, _ in headers]
    assert len(names) == len(set(names))
    found = {name.lower(): value for name, value in headers}
    assert found[b"x-tenant"] == b"clerks" and found[b"x-expect-instance"] == b"i-1"
    assert found[b"x-deadline-ms"] == b"2500"
    assert found[b"x-model"] == b"m" and found[b"x-custom"] == b"kept"
    for gone in (b"x-credential", b"kv-from", b"x-hold", b"x-drop", b"connection", b"keep-alive"):
        assert gone not in found


def test_without_a_team_no_tenant_header_is_sent():
    headers = PlatformHeaders().forwarded_headers(REQUEST, Forwarding("i-1", "", 2.5))
    assert b"x-tenant" not in {name.lower() for name, _ in headers}


def test_a_resumed_request_names_the_last_event_once():
    request = [*REQUEST, (b"Last-Event-Id", b"3")]
    headers = PlatformHeaders().forwarded_headers(request, Forwarding("i-1", "", 2.5, "9"))
    assert [value for name, value in headers if name.lower() == b"last-event-id"] == [b"9"]


def test_the_attempt_that_began_a_stream_is_read_and_forwarded():
    request = [*REQUEST, (b"Resumes", b" a1 "), (b"Last-Event-Id", b"3")]
    fields = PlatformHeaders().read_request(request)
    assert (fields.resumes, fields.last_event_id) == ("a1", "3")
    headers = PlatformHeaders().forwarded_headers(request, Forwarding("i-1", "", 2.5))
    assert (b"Resumes", b" a1 ") in headers
    assert PlatformHeaders().read_request(REQUEST).resumes == ""


def test_answer_headers_are_parsed():
    fields = PlatformHeaders().read_answer(
        [(b"X-Request-Id", b"r1"), (b"X-Server-Stamp", b"s"), (b"X-Server-Load", b"3,0,8")]
    )
    assert (fields.request_id, fields.signed, fields.not_run) == ("r1", True, False)
    assert fields.load == Load(3, 0, 8, 1.0)
    assert PlatformHeaders().read_answer([(b"X-Server-Load", b"3,x")]).load is None


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"3,0,8,250", Load(3, 0, 8, 2.5)),
        (b"3, 1, 8, 60", Load(3, 1, 8, 0.6)),
        (b"3,0,8,", None),
        (b"3,0,8,0", None),
        (b"3,0,8,-1", None),
        (b"3,0,8,100,1", None),
        (b"3,0", None),
    ],
)
def test_a_load_report_with_a_time_factor_is_not_discarded(value, load):
    assert PlatformHeaders().read_answer([(b"X-Server-Load", value)]).load == load


@pytest.mark.parametrize("name", [b"X-Request-Id", b"X-Server-Stamp", b"X-Not-Run", b"Retry-After"])
def test_an_answer_with_two_values_of_a_deciding_header_is_contradictory(name):
    """Guards against an answer that is read as that of the later of two requests it names."""
    read = PlatformHeaders().read_answer
    assert read([(name, b"1"), (name.lower(), b"2")]).contradictory
    for other in ([], [(name, b"1")], [(name, b"1"), (name.lower(), b" 1")]):
        assert not read(other).contradictory
    assert not read([(b"X-Server-Load", b"1,0,4"), (b"X-Server-Load", b"2,0,4")]).contradictory


def test_leaving_and_retry_after_headers_are_parsed():
    read = PlatformHeaders().read_answer
    assert read([(b"Server-Leaving", b"1")]).leaving
    for other in ([], [(b"Server-Leaving", b"0")], [(b"Server-Leaving", b"")]):
        assert not read(other).leaving
    usable = {b"3": 3.0, b" 0.25 ": 0.25, b"2.": 2.0, b"0": 0.0}
    unusable = (b"", b"-1", b"soon", b"1e9", b"1.2.3", b".", b"Wed, 21 Oct 2026 07:28:00 GMT")
    for value, seconds in (*usable.items(), *((each, 0.0) for each in unusable)):
        assert read([(b"Retry-After", value)]).retry_after_s == seconds, value
    assert read([(b"Retry-After", b"9" * 400)]).retry_after_s > 1e9


def test_the_limit_header_is_parsed():
    read = PlatformHeaders().read_answer
    assert read([]).limit_per_s is None
    for value, limit in {b"3.8": 3.8, b" 12 ": 12.0, b"0": 0.0, b"0.25": 0.25}.items():
        assert read([(b"Server-Limit", value)]).limit_per_s == limit
    for value in (b"", b"-1", b"few", b"1e3", b"3,8", b"nan"):
        fields = read([(b"server-limit", value)])
        assert (fields.limit_per_s, fields.limit_unreadable) == (None, True), value
    # Of several limits the lowest applies.
    several = read([(b"Server-Limit", b"7"), (b"Server-Limit", b"2"), (b"Server-Limit", b"few")])
    assert (several.limit_per_s, several.limit_unreadable) == (2.0, True)


def test_the_number_of_rejections_that_a_replica_survives_is_parsed():
    read = PlatformHeaders().read_answer
    assert read([]).max_rejections_per_s is None
    for value, most in {b"5": 5.0, b" 12 ": 12.0, b"0": 0.0}.items():
        assert read([(b"Server-Brittle", value)]).max_rejections_per_s == most
    for value in (b"", b"-1", b"few", b"nan"):
        assert read([(b"server-brittle", value)]).max_rejections_per_s is None


def test_rollout_orders_are_parsed_and_the_status_keeps_the_written_version():
    for written, read in ((b"2", "2"), (b'"v2"', "v2")):
        value = b'{"service":"s","to-version":%b,"over-s":20}' % written
        order = read_record(Item("op/rollout/s", value, 7)).ok_value
        assert (order.service, order.version, order.over_s, order.revision) == ("s", read, 20.0, 7)
        key, document = write_status(order, RolloutState.RUNNING)
        assert key == "status/rollout/s"
        assert document == b'{"state":"running","to-version":%b}' % written
        status = read_record(Item(key, document, 9)).ok_value
        assert (status.service, status.version, status.state) == ("s", read, "running")


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"[]",
        b'{"to-version":2}',
        b'{"to-version":2,"over-s":0}',
        b'{"to-version":2,"over-s":-3}',
        b'{"to-version":null,"over-s":3}',
        b'{"service":"other","to-version":2,"over-s":3}',
    ],
)
def test_invalid_rollout_orders_are_errors(value):
    assert isinstance(read_record(Item("op/rollout/s", value, 7)), Err)


VALID_RECORD = {
    "service": "s",
    "addr": "10.1.2.3:80",
    "zone": "z",
    "version": "v1",
    "slots": 7,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 4,
    "born": 1_780_000_000_000,
}
ANY_JSON_VALUE = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def parse_record(**fields):
    document = {name: value for name, value in (VALID_RECORD | fields).items() if value is not None}
    return read_replica(Item("servers/i", json.dumps(document).encode(), 1))


def test_records_of_foreign_writers_are_errors():
    assert isinstance(parse_record(), Ok)
    for name in ("service", "addr", "zone", "slots", "state"):
        assert isinstance(parse_record(**{name: None}), Err), name
    for slots in (0, -1, 10**9, 1.5, "7", True):
        assert isinstance(parse_record(slots=slots), Err), slots
    for state in ("", "leaving", "READY", 1, ["ready"]):
        assert isinstance(parse_record(state=state), Err), state
    for born in ("1780000000000", 1.5, [], True):
        assert isinstance(parse_record(born=born), Err), born
    for address in ("", "10.1.2.3", "10.1.2.3:", "10.1.2.3:0", "10.1.2.3:65536", "a.b:80", ":80"):
        assert isinstance(parse_record(addr=address), Err), address
    assert isinstance(read_replica(Item("servers/", json.dumps(VALID_RECORD).encode(), 1)), Err)
    deep = b'{"other":' + b"[" * 100_000
    assert isinstance(read_replica(Item("servers/i", deep, 1)), Err)


def test_a_version_may_be_a_number_or_a_string():
    for written, read in ((2, "2"), ("v2", "v2"), ("", "")):
        assert parse_record(version=written).ok_value.version == read


def test_two_starts_of_a_replica_have_different_ids():
    found = [parse_record(born=born).ok_value for born in (1, 2, 2)]
    assert len({each.id for each in found}) == 2
    assert {each.expected_id for each in found} == {"i"}
    assert parse_record(born=0).ok_value.id == "i"


@given(st.binary(max_size=60), st.sampled_from(["servers/i", "op/rollout/s", "status/rollout/s"]))
def test_parsing_any_bytes_raises_no_exception(value, key):
    assert isinstance(read_record(Item(key, value, 1)), Ok | Err)


@given(st.sampled_from(sorted(VALID_RECORD)), ANY_JSON_VALUE)
def test_parsing_a_record_with_any_invalid_field_raises_no_exception(name, value):
    found = read_replica(Item("servers/i", json.dumps(VALID_RECORD | {name: value}).encode(), 1))
    if isinstance(found, Ok):
        assert found.ok_value.slots >= 1 and 0 < found.ok_value.port < 65_536


@pytest.mark.parametrize("tokens", ["9" * 16, "9" * 5000, "-3", "1e9", "", "٣"])
def test_a_number_of_tokens_that_no_message_can_hold_counts_as_absent(tokens):
    """Guards against a header with which a request ends in an internal fault of the node."""
    headers = [
        (b"X-Token-Count", f"{tokens},5".encode("latin-1", "replace")),
        (b"X-Prefix-Hash", f"5a:{tokens},7:9".encode("latin-1", "replace")),
    ]
    fields = PlatformHeaders().read_request(headers)
    assert (fields.prompt_tokens, fields.max_output_tokens, fields.parts) == (0, 0, ())
