"""
tests.test_processes

The guarantees with real processes: killed, frozen and disconnected ones, a store outage, and
planned stops.
"""

import asyncio
import hashlib
import signal
import socket
import tempfile
from pathlib import Path

import aiohttp
from chalkyoke_fakes.caller import Caller, ReplyOutcome
from chalkyoke_fakes.fleet import LocalFleet

KEY = "team-key"
DOMAINS = ("d1", "d2", "d3")
KEY_SHA256 = hashlib.sha256(KEY.encode()).hexdigest()

PLATFORM = {
    "lag_s": 0.2,
    "entry": [{"host": f"n{i + 1}", "failure_domain": each} for i, each in enumerate(DOMAINS)],
    "engine": [
        {
            "id": f"e{i}",
            "failure_domain": DOMAINS[i],
            "labels": {"kind": "engine"},
            "slots": 2,
            "decode_tokens_per_s": 40,
            "prefill_tokens_per_s": 20000,
        }
        for i in range(2)
    ],
    "plain": [
        {"id": "p1", "failure_domain": "d1", "labels": {"kind": "plain"}, "latency_s": 0.05},
    ],
}
RESOURCES = {
    "tier": [{"name": "high", "rank": 0}, {"name": "low", "rank": 1}],
    "team": [{"name": "team", "tiers": ["low", "high"], "key_sha256": [KEY_SHA256]}],
    "service": [
        {"name": "model", "protocol": "completions", "selector": {"kind": "engine"}},
        {"name": "seats", "protocol": "plain", "selector": {"kind": "plain"}, "repeatable": False},
    ],
    "upstream_class": [
        {"name": "e", "selector": {"kind": "engine"}, "slots": 2, "decode_tokens_per_s": 40},
        {"name": "p", "selector": {"kind": "plain"}, "slots": 8, "decode_tokens_per_s": 20},
    ],
    "route": [{"name": "model", "service": "model"}, {"name": "seats", "service": "seats"}],
}


def with_fleet(check, platform=PLATFORM):
    """Run a check against a fresh fleet of three nodes."""

    async def main():
        with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
            fleet = LocalFleet(Path(folder), platform, RESOURCES)
            async with fleet, aiohttp.ClientSession() as session:
                await check(fleet, Caller(session, KEY))

    asyncio.run(main())


def completion_body(tokens, stream=True):
    return {
        "model": "model",
        "prompt": "a question",
        "max_tokens": tokens,
        "stream": stream,
        "fake_output_tokens": tokens,
    }


async def received_counts(fleet):
    """Count how often the upstreams received each request."""
    counts = await fleet.counts()
    merged = {}
    for each in counts.values():
        for request, count in each["seen"].items():
            merged[request] = merged.get(request, 0) + count
    return merged


async def wait_until(check, seconds=10):
    async with asyncio.timeout(seconds):
        while not await check():
            await asyncio.sleep(0.05)


async def wait_until_removed(fleet, host, watcher):
    async def check():
        status = await fleet.get_json(fleet.nodes[watcher].administration, "/v1/status")
        return all(each["host"] != host for each in status["nodes"])

    await wait_until(check)


def test_a_retry_joins_through_another_host_while_it_runs_and_after_it_has_finished():
    async def check(fleet, caller):
        one, other = fleet.nodes["n1"].address, fleet.nodes["n2"].address
        token = await caller.take_token(one)
        first = asyncio.create_task(
            caller.complete(one, completion_body(30), Chalkyoke_Token=token)
        )
        await wait_until(lambda: received_counts(fleet))
        second = await caller.complete(other, completion_body(30), Chalkyoke_Token=token)
        third = await caller.complete(other, completion_body(30), Chalkyoke_Token=token)
        assert (await first).outcome is second.outcome is third.outcome is ReplyOutcome.WHOLE
        assert (await first).body == second.body == third.body
        assert list((await received_counts(fleet)).values()) == [1]

    with_fleet(check)


def test_requests_of_a_killed_issuer_are_reported_as_unknown_and_never_run_again():
    async def check(fleet, caller):
        token = await caller.take_token(fleet.nodes["n1"].address)
        unspent = await caller.take_token(fleet.nodes["n1"].address)
        call = caller.call(fleet.nodes["n1"].address, "seats", b"{}", Chalkyoke_Token=token)
        await fleet.set_faults(fleet.upstreams["p1"], latency_s=1.0)
        first = asyncio.create_task(call)
        await wait_until(lambda: received_counts(fleet))
        fleet.nodes["n1"].send_signal(signal.SIGKILL)
        assert (await first).outcome is ReplyOutcome.NOTHING
        for each in (token, unspent):
            reply = await caller.call(
                fleet.nodes["n2"].address, "seats", b"{}", Chalkyoke_Token=each
            )
            assert reply.outcome is ReplyOutcome.UNKNOWN
        fleet.start_node("n1")
        await wait_until(lambda: is_ready(fleet, "n1"))
        reply = await caller.call(fleet.nodes["n1"].address, "seats", b"{}", Chalkyoke_Token=token)
        assert (reply.outcome, reply.reason) == (ReplyOutcome.UNKNOWN, "issuer_gone")
        assert list((await received_counts(fleet)).values()) == [1]

    with_fleet(check)


async def is_ready(fleet, host):
    try:
        return (await fleet.get_json(fleet.nodes[host].administration, "/v1/ready"))["ready"]
    except aiohttp.ClientError:
        return False


def test_a_frozen_issuer_that_resumes_has_run_its_request_once():
    async def check(fleet, caller):
        token = await caller.take_token(fleet.nodes["n1"].address)
        await fleet.set_faults(fleet.upstreams["p1"], latency_s=0.5)
        first = asyncio.create_task(
            caller.call(fleet.nodes["n1"].address, "seats", b"{}", Chalkyoke_Token=token)
        )
        await wait_until(lambda: received_counts(fleet))
        fleet.nodes["n1"].send_signal(signal.SIGSTOP)
        await wait_until_removed(fleet, "n1", "n2")
        reply = await caller.call(fleet.nodes["n2"].address, "seats", b"{}", Chalkyoke_Token=token)
        assert reply.outcome is ReplyOutcome.UNKNOWN
        fleet.nodes["n1"].send_signal(signal.SIGCONT)
        assert (await first).outcome is ReplyOutcome.WHOLE
        reply = await caller.call(fleet.nodes["n2"].address, "seats", b"{}", Chalkyoke_Token=token)
        assert reply.outcome is ReplyOutcome.WHOLE
        assert list((await received_counts(fleet)).values()) == [1]

    with_fleet(check)


async def is_known_leaving(fleet, upstream):
    """Return whether the scheduler of the pool knows that an upstream is leaving."""
    status = await fleet.get_json(fleet.nodes["n1"].administration, "/v1/status")
    owner = fleet.nodes[status["pools"]["model"]]
    status = await fleet.get_json(owner.administration, "/v1/status")
    return status["scheduled_here"]["model"]["upstreams"][upstream]["leaving"]


def test_a_killed_scheduler_loses_no_waiting_request():
    async def check(fleet, caller):
        status = await fleet.get_json(fleet.nodes["n1"].administration, "/v1/status")
        owner = status["pools"]["model"]
        entry = next(host for host in fleet.nodes if host != owner)
        calls = [
            asyncio.create_task(caller.complete(fleet.nodes[entry].address, completion_body(40)))
            for _ in range(10)
        ]
        await asyncio.sleep(0.4)
        fleet.nodes[owner].send_signal(signal.SIGKILL)
        replies = await asyncio.gather(*calls)
        assert [each.outcome for each in replies] == [ReplyOutcome.WHOLE] * 10
        assert set((await received_counts(fleet)).values()) == {1}

    with_fleet(check)


def test_a_purchase_whose_answer_is_lost_runs_once_and_is_reported_as_unknown():
    async def check(fleet, caller):
        address = fleet.nodes["n2"].address
        token = await caller.take_token(address)
        await fleet.set_faults(fleet.upstreams["p1"], lose_answers=1)
        for host in ("n2", "n3", "n2"):
            reply = await caller.call(
                fleet.nodes[host].address, "seats", b"{}", Chalkyoke_Token=token
            )
            assert reply.outcome is ReplyOutcome.UNKNOWN
        assert list((await received_counts(fleet)).values()) == [1]

    with_fleet(check)


def test_a_cut_stream_is_resumed_at_the_same_engine_or_reported_as_incomplete():
    async def check(fleet, caller):
        address = fleet.nodes["n1"].address
        for name in ("e0", "e1"):
            await fleet.set_faults(fleet.upstreams[name], cut_streams=1)
        reply = await caller.complete(address, completion_body(30))
        assert reply.outcome is ReplyOutcome.WHOLE
        assert reply.body.count(b"\n\n") == 32
        for name in ("e0", "e1"):
            await fleet.set_faults(fleet.upstreams[name], cut_streams=1, can_resume=False)
        reply = await caller.complete(address, completion_body(30))
        assert (reply.outcome, reply.reason) == (ReplyOutcome.FAILED, "cut_short")
        assert not reply.body.endswith(b"[DONE]\n\n")
        assert set((await received_counts(fleet)).values()) == {1}

    with_fleet(check)


def test_a_planned_stop_interrupts_no_request():
    async def check(fleet, caller):
        node = fleet.nodes["n1"]
        unspent = await caller.take_token(node.address)
        # Two engines have two slots each, so the fifth and sixth request wait in the queue.
        calls = [
            asyncio.create_task(caller.complete(node.address, completion_body(60)))
            for _ in range(6)
        ]
        await wait_until(lambda: received_counts(fleet))
        node.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        refused = await caller.complete(node.address, completion_body(5))
        assert (refused.outcome, refused.reason) == (ReplyOutcome.NOT_RUN, "stopping")
        replies = await asyncio.gather(*calls)
        assert [each.outcome for each in replies] == [ReplyOutcome.WHOLE] * 6
        async with asyncio.timeout(10):
            while node.popen.poll() is None:
                await asyncio.sleep(0.05)
        assert node.popen.returncode == 0
        reply = await caller.complete(
            fleet.nodes["n2"].address, completion_body(5), Chalkyoke_Token=unspent
        )
        assert reply.outcome is ReplyOutcome.UNKNOWN
        assert len(await received_counts(fleet)) == 6

    with_fleet(check)


def test_without_the_store_requests_are_served_and_a_new_node_learns_from_its_peers():
    async def check(fleet, caller):
        await fleet.set_faults(fleet.store, outage=True)
        status, answer = await fleet.apply_configuration(RESOURCES, change_id="while-away")
        assert (status, answer["title"]) == (503, "store away")
        fleet.nodes["n3"].send_signal(signal.SIGKILL)
        fleet.nodes["n3"].popen.wait()
        fleet.start_node("n3")
        await wait_until(lambda: is_ready(fleet, "n3"))
        assert (
            await caller.complete(fleet.nodes["n3"].address, completion_body(5))
        ).outcome is ReplyOutcome.WHOLE
        await fleet.set_faults(fleet.store, outage=False)
        changed = {"team": [{**RESOURCES["team"][0], "weight": 3}]}
        status, answer = await fleet.apply_configuration(changed, change_id="after")
        assert (status, answer["revision"]) == (200, 2)

        async def everywhere():
            found = [
                await fleet.get_json(n.administration, "/v1/ready") for n in fleet.nodes.values()
            ]
            return all(each["revision"] == 2 for each in found)

        await wait_until(everywhere)

    with_fleet(check)


def test_a_node_without_store_and_peers_reports_not_ready_until_one_is_back():
    async def check(fleet, caller):
        await fleet.set_faults(fleet.store, outage=True)
        for node in fleet.nodes.values():
            node.send_signal(signal.SIGKILL)
            node.popen.wait()
        fleet.start_node("n1")
        node = fleet.nodes["n1"]

        async def is_up():
            try:
                return (await fleet.get_json(node.administration, "/v1/health"))["alive"]
            except aiohttp.ClientError:
                return False

        await wait_until(is_up, 20)
        assert not await is_ready(fleet, "n1")
        reply = await caller.complete(node.address, completion_body(5))
        assert (reply.outcome, reply.reason) == (ReplyOutcome.NOT_RUN, "not_ready")
        await fleet.set_faults(fleet.store, outage=False)
        await wait_until(lambda: is_ready(fleet, "n1"), 20)
        assert (
            await caller.complete(node.address, completion_body(5))
        ).outcome is ReplyOutcome.WHOLE

    with_fleet(check)


def test_a_swap_whose_answer_is_lost_is_accepted_once_and_a_conflict_names_its_fields():
    async def check(fleet, caller):
        heavier = {"team": [{**RESOURCES["team"][0], "weight": 3}]}
        # The team's new chunk is written first, then the root.
        await fleet.set_faults(fleet.store, lose_writes=2)
        status, answer = await fleet.apply_configuration(heavier, "n1", "mine", 1)
        assert (status, answer["revision"]) == (200, 2)
        assert (await fleet.apply_configuration(heavier, "n2", "mine", 1))[1]["revision"] == 2
        racing = {"team": [{**RESOURCES["team"][0], "weight": 5}]}
        status, answer = await fleet.apply_configuration(racing, "n3", "other", 1)
        assert status == 409
        assert answer["fields"] == ["team/team.weight"]
        assert answer["other"]["change_id"] == "mine"

    with_fleet(check)


def test_an_upstream_that_leaves_by_host_list_or_by_its_own_answer_gets_no_new_work():
    async def check(fleet, caller):
        address = fleet.nodes["n1"].address
        await fleet.change_host(id="e0", state="leaving")
        await wait_until(lambda: is_known_leaving(fleet, "e0"))
        before = (await fleet.counts())["e0"]["requests"]
        await asyncio.gather(*(caller.complete(address, completion_body(5)) for _ in range(6)))
        assert (await fleet.counts())["e0"]["requests"] == before
        await fleet.change_host(id="e0", state="live")
        await fleet.set_faults(fleet.upstreams["e1"], draining=True)
        await wait_until(lambda: is_known_leaving(fleet, "e1"))
        before = (await fleet.counts())["e1"]["requests"]
        replies = await asyncio.gather(
            *(caller.complete(address, completion_body(5)) for _ in range(6))
        )
        assert [each.outcome for each in replies] == [ReplyOutcome.WHOLE] * 6
        assert (await fleet.counts())["e1"]["requests"] == before

    with_fleet(check)


def test_a_dead_engine_is_skipped_when_no_byte_was_sent():
    async def check(fleet, caller):
        fleet.upstreams["e0"].send_signal(signal.SIGKILL)
        fleet.upstreams["e0"].popen.wait()
        replies = await asyncio.gather(
            *(caller.complete(fleet.nodes["n2"].address, completion_body(5)) for _ in range(4))
        )
        assert [each.outcome for each in replies] == [ReplyOutcome.WHOLE] * 4

    with_fleet(check)


def test_bad_input_gets_a_clear_4xx_and_changes_nothing():
    async def check(fleet, caller):
        address = fleet.nodes["n1"].address
        cases = [
            (404, "service", {"model": "nothing", "prompt": "x"}, {}),
            (400, "body.prompt", {"model": "model"}, {}),
            (400, "body.max_tokens", {"model": "model", "prompt": "x", "max_tokens": 0}, {}),
            (400, "Chalkyoke-Deadline-Ms", completion_body(5), {"Chalkyoke_Deadline_Ms": "-5"}),
            (403, "Chalkyoke-Tier", completion_body(5), {"Chalkyoke_Tier": "royal"}),
            (400, "Chalkyoke-Token", completion_body(5), {"Chalkyoke_Token": "ck1_junk"}),
            (400, "Chalkyoke-Labels", completion_body(5), {"Chalkyoke_Labels": "nothing"}),
            (401, "Authorization", completion_body(5), {"Authorization": "Bearer wrong"}),
            (413, "body", {**completion_body(5), "prompt": "x" * 2_000_000}, {}),
        ]
        for status, field, sent, headers in cases:
            reply = await caller.complete(address, sent, **headers)
            assert (reply.status, reply.json()["field"]) == (status, field)
        broken = await caller.post(address, "/v1/completions", b"{not json")
        assert (broken.status, broken.json()["field"]) == (400, "body")
        keyed = await caller.call(address, "seats", b"{}", Idempotency_Key="mine")
        assert (keyed.status, keyed.json()["field"]) == (400, "Idempotency-Key")
        assert await received_counts(fleet) == {}

    with_fleet(check)


def test_a_token_serves_one_request_only():
    async def check(fleet, caller):
        token = await caller.take_token(fleet.nodes["n1"].address)
        first = await caller.complete(
            fleet.nodes["n1"].address, completion_body(5), Chalkyoke_Token=token
        )
        assert first.outcome is ReplyOutcome.WHOLE
        for host in ("n1", "n2"):
            other = await caller.complete(
                fleet.nodes[host].address, completion_body(6), Chalkyoke_Token=token
            )
            assert (other.status, other.json().get("field")) == (422, "Chalkyoke-Token"), other

    with_fleet(check)


def test_a_whole_answer_has_the_usual_form():
    async def check(fleet, caller):
        reply = await caller.complete(fleet.nodes["n3"].address, completion_body(4, stream=False))
        answer = reply.json()
        assert answer["choices"][0]["text"] == "w0 w1 w2 w3 "
        assert answer["usage"]["completion_tokens"] == 4
        form = "application/x-www-form-urlencoded"
        again = await caller.complete(
            fleet.nodes["n3"].address, completion_body(4, stream=False), Content_Type=form
        )
        assert again.json()["choices"] == answer["choices"]

    with_fleet(check)


def test_a_start_waits_for_an_address_that_another_socket_uses():
    """Guards against a node that was lost for good, as nothing started it again."""

    async def check(fleet, _):
        node = fleet.nodes["n1"]
        node.send_signal(signal.SIGKILL)
        node.popen.wait()
        ip, port = node.address.rsplit(":", 1)
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind((ip, int(port)))
            other.listen()
            fleet.start_node("n1")
            await asyncio.sleep(2.0)
            assert fleet.nodes["n1"].popen.poll() is None
        await fleet._wait_until(fleet._all_ready, "n1 to be ready")

    with_fleet(check)


def test_a_reload_does_not_end_a_node():
    """Guards against SIGHUP, which ended a node with all requests in progress."""

    async def check(fleet, _):
        node = fleet.nodes["n1"]
        node.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        assert node.popen.poll() is None
        await fleet._wait_until(fleet._all_ready, "n1 to be ready")

    with_fleet(check)
