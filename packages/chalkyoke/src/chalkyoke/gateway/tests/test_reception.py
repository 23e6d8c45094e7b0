from chalkyoke.catalog.resources import (
    Catalog,
    Route,
    RouteKind,
    Service,
    Target,
    Team,
    combined_rank,
    pick_target,
)
from chalkyoke.gateway.ports import PromptPart, RequestFields
from chalkyoke.gateway.reception import (
    MAX_PROMPT_BLOCKS,
    Admission,
    Rejection,
    admit_continuation,
    admit_request,
    fingerprint,
    is_still_allowed,
    prompt_blocks,
)
from chalkyoke.http1.messages import Request

CLERKS = Team("clerks", ("k1", "k2"), rank=1, rate_per_s=10, by_tokens=True, default_cost=200)


def routes():
    return (
        Route("all", "a.example", "/", (Target("plain", 1),), RouteKind.IDEMPOTENT),
        Route(
            "chat", "a.example", "/chat/", (Target("model", 1),), RouteKind.STREAM, 4.0, 0.5, 0.3
        ),
        Route("open", "a.example", "/open/", (Target("plain", 1),), public=True),
    )


def catalog(version=1, teams=(CLERKS,), declared=None):
    services = {"plain": Service("plain"), "model": Service("model", engine_slots=4)}
    return Catalog(
        version,
        declared or routes(),
        services,
        {each.name: each for each in teams},
        requires_keys=True,
    )


def admit(path="/chat/x", key="k1", request_id="1", host=b"A.example:80", **fields):
    request = Request(b"GET", path.encode(), [(b"Host", host)], b"")
    return admit_request(
        request, RequestFields(request_id, key=key, **fields), catalog(), 100.0, "n1/1"
    )


def test_the_longest_prefix_of_the_path_decides():
    assert admit("/chat/x?y=/open/").route.name == "chat"
    assert admit("/chatter").route.name == "all"
    assert admit("/open/z", key=None).route.name == "open"


def test_each_rejection_has_its_own_status():
    assert admit(host=b"b.example") == Rejection(404, "no route")
    assert admit(key="nobody's").status == 401
    assert admit(key=None).status == 401
    assert admit(request_id="").status == 400
    assert admit(contradictory=True).status == 400
    empty = admit_request(
        Request(b"GET", b"/", [], b""), RequestFields("1"), Catalog(), 0.0, "n1/1"
    )
    assert empty.status == 503


def test_deadline_and_patience_follow_from_the_caller_and_the_route():
    admission = admit(deadline_s=15.0)
    assert (admission.deadline, admission.due_at) == (104.0, 100.5)
    assert admission.patience_until == 100.0 + 2.4
    assert admit(deadline_s=1.0).deadline == 101.0


def test_the_caller_of_a_stream_waits_for_each_event_as_long_as_for_the_first():
    """Guards against streams that can't go on elsewhere as their first event came long ago."""
    admission = admit(deadline_s=15.0)
    continued = admit_continuation(admission, 101.5, 102.5)
    assert continued.due_at == continued.patience_until == 101.5 + 2.4
    assert (continued.deadline, continued.search_id) == (admission.deadline, admission.search_id)
    assert admit_continuation(admission, 103.0, 103.9).patience_until == admission.deadline


def test_the_caller_of_a_stream_that_has_not_left_yet_waits_until_the_deadline():
    """Guards against streams whose every search is refused as expired while their callers wait."""
    admission = admit(deadline_s=15.0)
    continued = admit_continuation(admission, 101.5, 101.5 + 2.4)
    assert continued.due_at == continued.patience_until == admission.deadline


def test_a_request_costs_its_tokens_or_the_default_cost():
    assert admit(prompt_tokens=1000, max_output_tokens=50).cost == 1050
    assert admit().cost == 200


def test_the_team_ranks_before_the_route():
    low, high = routes()[0], routes()[1]
    urgent = Team("urgent", (), rank=0)
    assert combined_rank(low, urgent) < combined_rank(high, CLERKS)
    assert admit().rank == combined_rank(routes()[1], CLERKS)


def test_a_revoked_key_and_a_changed_or_removed_route_are_not_allowed():
    admission = admit()
    assert isinstance(admission, Admission)
    assert is_still_allowed(admission, catalog(2))
    assert not is_still_allowed(admission, catalog(2, teams=(Team("clerks", ("k2",)),)))
    assert not is_still_allowed(admission, catalog(2, teams=(Team("others", ("k1",)),)))
    moved = Route("chat", "a.example", "/chat/", (Target("plain", 1),))
    assert not is_still_allowed(admission, catalog(2, declared=(routes()[0], moved)))
    assert not is_still_allowed(admission, catalog(2, declared=routes()[:1]))


def test_splits_follow_their_weights():
    route = Route("r", "h", "/", (Target("a", 90), Target("b", 10), Target("c", 0)))
    picked = [pick_target(route, n / 1000) for n in range(1000)]
    assert (picked.count("a"), picked.count("b"), picked.count("c")) == (900, 100, 0)


def test_a_stream_is_resumed_at_the_service_of_a_split_route_that_began_it():
    """Guards against streams whose retry, with an id of its own, went to the other service."""
    split = (Target("plain", 1), Target("model", 1))
    for resumable in (True, False):
        route = Route("r", "h", "/", split, RouteKind.STREAM, resumable=resumable)
        services = {"plain": Service("plain"), "model": Service("model")}
        declared = Catalog(1, (route,), services)
        request = Request(b"POST", b"/", [(b"host", b"h")], b"")

        def service(request_id, resumes="", declared=declared, request=request):
            fields = RequestFields(request_id, resumes=resumes)
            return admit_request(request, fields, declared, 0.0, "n1/1").service.name

        same = [service(f"a{n}") == service(f"b{n}", f"a{n}") for n in range(100)]
        assert all(same) is resumable


def test_prompts_with_shared_parts_have_equal_leading_blocks():
    shared, own = PromptPart(7, 600), PromptPart(9, 300)
    one = prompt_blocks(RequestFields("1", parts=(shared, own)))
    other = prompt_blocks(RequestFields("2", parts=(shared, PromptPart(8, 300))))
    assert one[:2] == other[:2] and one[2:] != other[2:]


def test_a_retry_has_the_fingerprint_of_its_first_attempt():
    parts = (PromptPart(7, 600),)
    first, again = (admit(request_id=each, parts=parts) for each in ("1", "2"))
    assert fingerprint(first) == fingerprint(again) != 0
    assert fingerprint(admit(parts=())) == 0


def test_the_blocks_of_a_prompt_of_any_stated_length_are_bounded():
    """Guards against one header that keeps a node busy for seconds or without end."""
    parts = tuple(PromptPart(number, 10**15 - 1) for number in range(3))
    assert len(prompt_blocks(RequestFields("1", parts=parts))) == MAX_PROMPT_BLOCKS
    small = (PromptPart(1, 256), PromptPart(2, 512))
    assert len(prompt_blocks(RequestFields("2", parts=small))) == 3
