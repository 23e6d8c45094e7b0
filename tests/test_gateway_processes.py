"""
tests.test_gateway_processes

The path of a request over real sockets: gateway nodes as processes, with the platform's fake store
and replicas.
"""

import asyncio
import json
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp
from chalkyoke_fakes.platformfleet import HOST, KEY, PlatformFleet, default_configuration

# Longest time until all nodes of a started fleet know each other, in seconds.
RESUME_TIME_S = 10.0
WHOLE_STREAM = b"".join(b"id: %d\ndata: piece %d of v1\n\n" % (n, n) for n in range(8))


def with_fleet(check, zones=("a", "b", "c"), **limits):
    async def main():
        with tempfile.TemporaryDirectory(prefix="chalkyoke-test-") as folder:
            fleet = PlatformFleet(Path(folder), zones)
            fleet.limits.update(limits)
            async with fleet:
                await check(fleet)

    asyncio.run(main())


def engine_replicas(fleet):
    return [each for each in fleet.replicas.values() if each.engine]


def plain_replicas(fleet):
    return [each for each in fleet.replicas.values() if not each.engine]


def test_requests_and_answers_pass_unaltered_to_and_from_one_replica():
    async def check(fleet):
        for name in fleet.nodes:
            got = await fleet.send_request(name, "/chat/x?y=%20z", body=b"\x00\xff")
            assert (got.status, got.body, got.whole) == (200, WHOLE_STREAM, True)
        assert sum(fleet.count_runs().values()) == 3
        seen = next(each.seen[0] for each in engine_replicas(fleet) if each.seen)
        assert (seen.method, seen.target, seen.body) == ("POST", "/chat/x?y=%20z", b"\x00\xff")
        assert seen.headers["x-tenant"] == "clerks" and "x-credential" not in seen.headers
        assert 0 < int(seen.headers["x-deadline-ms"]) <= 8000

        got = await fleet.send_request(
            "n1", "/book/1", X_Tenant="forged", X_Expect_Instance="forged"
        )
        assert got.status == 200 and got.headers["x-server-stamp"]
        seen = next(each.seen[-1] for each in plain_replicas(fleet) if each.seen)
        assert seen.headers["x-tenant"] == "clerks"

        for path, key, status in (
            ("/none/", KEY, 404),
            ("/book/1", "nobody", 401),
            ("/book/1", None, 401),
        ):
            assert (await fleet.send_request("n1", path, key=key)).status == status

    with_fleet(check)


def test_only_repeatable_requests_are_sent_again():
    async def check(fleet):
        for replica in plain_replicas(fleet):
            replica.faults.lose_answers = 1
        got = await fleet.send_request("n1", "/book/1", request_id="once")
        assert got.status == 502
        assert fleet.count_runs()["once"] == 1
        for replica in plain_replicas(fleet):
            replica.faults.lose_answers = 0
            replica.faults.fail = 1
        got = await fleet.send_request("n1", "/find/1", method="GET", body=b"", request_id="twice")
        assert got.status == 500 and fleet.count_runs()["twice"] == 2
        for replica in plain_replicas(fleet):
            replica.faults.fail = 0
            replica.faults.shed = 1
        got = await fleet.send_request("n1", "/book/1", request_id="declined")
        assert got.status == 200 and fleet.count_runs()["declined"] == 1

    with_fleet(check)


async def resume_stream(fleet):
    """Resume a stream as a caller that returns when it is told to.

    In the first tenths of a second, a node does not know yet which hosts may know its origin.
    """
    async with asyncio.timeout(RESUME_TIME_S):
        while True:
            got = await fleet.send_request("n2", "/explain/1", Last_Event_Id="4")
            if got.status != 503:
                return got
            await asyncio.sleep(float(got.headers["retry-after"]))


def test_a_broken_stream_is_resumed_elsewhere_if_resumable_and_else_visibly_truncated():
    async def check(fleet):
        for replica in engine_replicas(fleet):
            replica.faults.break_streams = 1
        got = await fleet.send_request("n1", "/chat/1", request_id="chat")
        assert not got.whole and WHOLE_STREAM.startswith(got.body) and got.body
        assert fleet.count_runs()["chat"] == 1
        broken = next(each for each in engine_replicas(fleet) if each.faults.break_streams == 0)
        broken.faults.break_streams = 1
        for replica in engine_replicas(fleet):
            replica.faults.break_after = 3
        got = await fleet.send_request("n2", "/explain/1", request_id="explain")
        assert fleet.count_runs()["explain"] == 2
        seen = [each for replica in engine_replicas(fleet) for each in replica.seen]
        sends = [each for each in seen if each.headers["x-request-id"] == "explain"]
        assert sorted(each.headers.get("last-event-id", "") for each in sends) == ["", "2"]
        assert WHOLE_STREAM.startswith(got.body)
        for replica in engine_replicas(fleet):
            replica.faults.break_streams = 0
        got = await resume_stream(fleet)
        assert got.whole and got.body == WHOLE_STREAM[WHOLE_STREAM.index(b"id: 5") :]

    with_fleet(check)


def test_unsolicited_answers_are_dropped():
    async def check(fleet):
        for replica in plain_replicas(fleet):
            replica.faults.extra_answers = 20
        for number in range(30):
            got = await fleet.send_request("n1", "/book/1", request_id=f"e{number}")
            assert got.status == 200 and got.body.endswith(f" did e{number}".encode())

    with_fleet(check, ("a",))


def test_a_different_replica_at_a_known_address_runs_no_requests_meant_for_the_former():
    async def check(fleet):
        old = fleet.replicas["s0"]
        await old.crash()
        port = int(old.address.rsplit(":", 1)[1])
        stranger = await fleet.add_replica("x0", "other", "a", port=port)
        for number in range(6):
            got = await fleet.send_request("n1", "/book/1", request_id=f"r{number}")
            assert got.status == 200
        assert not stranger.runs

    with_fleet(check)


def test_a_leaving_replica_gets_no_requests_once_the_nodes_know():
    async def check(fleet):
        leaving = fleet.replicas["s0"]
        await leaving.write_record("draining")

        async def gets_no_requests():
            before = sum(leaving.runs.values())
            for name in fleet.nodes:
                for _ in range(4):
                    assert (await fleet.send_request(name, "/book/1")).status == 200
            return sum(leaving.runs.values()) == before

        await fleet.wait_until(gets_no_requests, "a leaving replica to get no requests")

    with_fleet(check)


def test_a_crashed_replica_fails_no_later_request():
    async def check(fleet):
        await fleet.replicas["m0"].crash()
        await fleet.replicas["s0"].crash()
        for name in fleet.nodes:
            assert (await fleet.send_request(name, "/chat/1")).body == WHOLE_STREAM
            assert (await fleet.send_request(name, "/book/1")).status == 200

    with_fleet(check)


def test_a_configuration_takes_effect_on_all_nodes_and_survives_a_store_outage():
    async def check(fleet):
        changed = default_configuration(5)
        changed["routes"][2]["path-prefix"] = "/moved/"
        changed["tenants"][0]["api-keys"] = ["new-key"]
        await fleet.configure(changed)

        async def in_force():
            answers = [
                await fleet.send_request(name, "/moved/1", key="new-key") for name in fleet.nodes
            ]
            return all(each.status == 200 for each in answers)

        await fleet.wait_until(in_force, "a configuration to be in force")
        for name in fleet.nodes:
            assert (await fleet.send_request(name, "/moved/1")).status == 401
            assert (await fleet.send_request(name, "/book/1", key="new-key")).status == 404

        fleet.store.faults.silent = True
        fleet.nodes["n3"].send_signal(signal.SIGKILL)
        fleet.nodes["n3"].popen.wait()
        fleet.start_node("n3", first_start=False)
        await fleet.wait_until_ready("n3")
        assert (await fleet.send_request("n3", "/moved/1", key="new-key")).status == 200
        assert (await fleet.send_request("n3", "/book/1", key="new-key")).status == 404
        fleet.store.faults.silent = False

    with_fleet(check)


def test_a_lost_store_history_hides_no_change():
    async def check(fleet):
        await fleet.store.forget_history()
        changed = default_configuration(9)
        changed["routes"][2]["path-prefix"] = "/moved/"
        await fleet.configure(changed)

        async def in_force():
            return all(
                [(await fleet.send_request(name, "/moved/1")).status == 200 for name in fleet.nodes]
            )

        await fleet.wait_until(in_force, "a configuration to be in force")

    with_fleet(check)


def test_the_loss_or_freeze_of_a_scheduler_interrupts_no_requests():
    async def check(fleet):
        await asyncio.gather(*(fleet.send_request(name, "/chat/1") for name in fleet.nodes))
        for name in fleet.nodes:
            fleet.nodes[name].send_signal(signal.SIGSTOP)
            others = [each for each in fleet.nodes if each != name]
            for other in others:
                got = await fleet.send_request(other, "/chat/1")
                assert (got.status, got.body) == (200, WHOLE_STREAM)
            fleet.nodes[name].send_signal(signal.SIGCONT)
        fleet.nodes["n1"].send_signal(signal.SIGKILL)
        for other in ("n2", "n3"):
            assert (await fleet.send_request(other, "/chat/1")).body == WHOLE_STREAM

    with_fleet(check)


def test_a_planned_stop_finishes_running_streams_and_reports_not_ready_at_once():
    async def check(fleet):
        for replica in engine_replicas(fleet):
            replica.faults.event_s = 0.15
        tasks = [asyncio.create_task(fleet.send_request("n1", "/chat/1")) for _ in range(4)]
        await fleet.wait_until(lambda: sum(fleet.count_runs().values()) == 4, "four streams to run")
        fleet.nodes["n1"].send_signal(signal.SIGTERM)

        async def is_not_ready():
            return not await fleet.is_ready("n1")

        await fleet.wait_until(is_not_ready, "a stopping node to report not ready")
        got = await fleet.send_request("n1", "/book/1")
        assert got.status == 200
        for each in await asyncio.gather(*tasks):
            assert each.whole and each.body == WHOLE_STREAM
        assert fleet.nodes["n1"].popen.wait(timeout=20) == 0

    with_fleet(check)


def test_a_caller_that_disconnects_cancels_its_request_at_the_replica():
    async def check(fleet):
        for replica in engine_replicas(fleet):
            replica.faults.event_s = 0.1
        task = asyncio.create_task(fleet.send_request("n1", "/chat/1"))
        await fleet.wait_until(lambda: sum(fleet.count_runs().values()) == 1, "a stream to run")
        task.cancel()
        seen = [each for replica in engine_replicas(fleet) for each in replica.seen]
        await fleet.wait_until(
            lambda: seen[0].client_disconnected, "a replica to see the disconnect"
        )

        def left_lines():
            lines = (fleet.folder / "n1.log").read_text().splitlines()
            return [each for each in map(json.loads, lines) if each["event"] == "left"]

        await fleet.wait_until(left_lines, "the log line of a disconnected caller")
        assert left_lines()[0]["sends"] == 1 and 0 <= left_lines()[0]["silent_s"] < 60
        assert left_lines()[0]["events"] >= 0

    with_fleet(check, ("a",))


def test_metrics_are_served_and_the_log_has_each_request():
    async def check(fleet):
        await fleet.send_request("n1", "/book/1", request_id="told")
        async with fleet.session.get(f"http://{fleet.nodes['n1'].metrics}/metrics") as page:
            assert "chalkyoke_requests_total" in await page.text()

        def lines():
            text = (fleet.folder / "n1.log").read_text()
            return [json.loads(line) for line in text.splitlines()]

        def events_of_request():
            return {each["event"]: each for each in lines() if each.get("request") == "told"}

        await fleet.wait_until(lambda: "ended" in events_of_request(), "a request to be in the log")
        sent, ended = events_of_request()["sent"], events_of_request()["ended"]
        assert sent["replica"] == ended["replica"] and sent["version"] == ended["version"] == 1
        assert ended["end"] == "delivered" and sent["deadline_s"] <= 8.0

    with_fleet(check, ("a",))


def test_invalid_settings_are_reported_at_reload_and_start():
    async def check(fleet):
        node = fleet.nodes["n1"]
        node.settings.write_text("[node]\n")
        node.send_signal(signal.SIGHUP)

        def log():
            return (fleet.folder / "n1.log").read_text()

        await fleet.wait_until(lambda: "reload_failed" in log(), "the failed reload to be logged")
        assert (await fleet.send_request("n1", "/book/1")).status == 200
        node.send_signal(signal.SIGKILL)
        node.popen.wait()
        command = [sys.executable, "-m", "chalkyoke.gatewayd", str(node.settings)]
        process = await asyncio.create_subprocess_exec(*command, stderr=asyncio.subprocess.PIPE)
        _, error_output = await process.communicate()
        assert process.returncode == 2 and error_output.startswith(b"settings: ")

    with_fleet(check, ("a",))


def test_a_reload_that_is_requested_while_a_node_starts_takes_place_after_the_start():
    """Guards against a reload signal that ended a process before its handler was set."""

    async def check(fleet):
        node = fleet.nodes["n1"]
        node.send_signal(signal.SIGKILL)
        node.popen.wait()
        log = fleet.folder / "n1.log"
        assert "reloaded" not in log.read_text()
        fleet.start_node("n1")
        # A library that the node needs is loaded: the imports are under way.
        loaded = Path(f"/proc/{node.popen.pid}/maps")
        await fleet.wait_until(lambda: "msgspec" in loaded.read_text(), "the start of the imports")
        node.send_signal(signal.SIGHUP)
        await fleet.wait_until_ready("n1")
        await fleet.wait_until(lambda: "reloaded" in log.read_text(), "the reload")
        assert node.popen.poll() is None

    with_fleet(check, ("a",))


def test_a_request_with_two_lengths_is_never_forwarded():
    async def check(fleet):
        ip, port = fleet.nodes["n1"].callers.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            b"POST /book/1 HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nX-Request-Id: evil\r\n"
            b"X-Credential: " + KEY.encode() + b"\r\nContent-Length: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /book/2 HTTP/1.1\r\n\r\n"
        )
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 400 ") and answer.count(b"HTTP/1.1") == 1
        writer.close()
        assert not fleet.count_runs()

    with_fleet(check, ("a",))


def test_a_callers_connection_is_reused_between_requests():
    async def check(fleet):
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(3):
                url = f"http://{fleet.nodes['n1'].callers}/book/1"
                headers = {"Host": HOST, "X-Request-Id": f"k{number}", "X-Credential": KEY}
                async with session.post(url, headers=headers) as answer:
                    assert answer.status == 200
                    assert answer.connection is None or "close" not in answer.headers

    with_fleet(check, ("a",))


def test_a_frozen_node_serves_in_the_first_second_after_it_resumes():
    async def check(fleet):
        await asyncio.sleep(1.0)
        node = fleet.nodes["n1"]
        node.send_signal(signal.SIGSTOP)
        # Longer than all leases, grants and heartbeat timeouts.
        await asyncio.sleep(6.0)
        node.send_signal(signal.SIGCONT)
        paths = ("/chat/1", "/explain/1", "/find/1", "/book/1")
        asked = []
        for number in range(40):
            path = paths[number % 4]
            name = f"woken-{number}"
            asked.append(asyncio.create_task(fleet.send_request("n1", path, request_id=name)))
            await asyncio.sleep(0.025)
        got = await asyncio.gather(*asked)
        assert [(each.status, each.whole) for each in got] == [(200, True)] * 40
        runs = fleet.count_runs()
        assert {runs[f"woken-{number}"] for number in range(40)} == {1}

    with_fleet(check)


# Guards against one odd entry in the store that ends every node, and again at each start.
def test_nodes_live_and_follow_beside_a_deep_configuration_and_a_deep_order():
    async def check(fleet):
        deep = "[" * 100_000 + "]" * 100_000
        document = json.dumps({**default_configuration(5), "unknown": "@"}).replace('"@"', deep)
        await fleet.store.put("op/config", document.encode())
        order = json.dumps({"to-version": "v2", "over-s": 9, "unknown": "@"}).replace('"@"', deep)
        await fleet.store.put("op/rollout/seats", order.encode())
        await asyncio.sleep(1.0)
        for name in fleet.nodes:
            assert (await fleet.send_request(name, "/book/1")).status == 200
        later = default_configuration(6)
        later["routes"].append({**later["routes"][2], "name": "new", "path-prefix": "/new/"})
        await fleet.configure(later)
        await asyncio.sleep(1.0)
        for name in fleet.nodes:
            assert (await fleet.send_request(name, "/new/1")).status == 200
        logs = "".join(path.read_text() for path in fleet.folder.glob("*.log"))
        assert '"event":"entry_unreadable"' in logs and '"event":"fatal"' not in logs

    with_fleet(check)
