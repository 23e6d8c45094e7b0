"""
tests.test_operators

The operators' command line and the administration API, against a fleet of real processes.
"""

import asyncio
import json
import subprocess
import sys

from chalkyoke_fakes.caller import ReplyOutcome
from chalkyoke_fakes.fleet import OPERATOR_TOKEN

from tests.test_processes import KEY_SHA256, RESOURCES, completion_body, wait_until, with_fleet


async def ctl(fleet, *arguments, host="n1"):
    """Run chalkyokectl; return its exit code, standard output and standard error."""
    server = fleet.nodes[host].administration
    command = [sys.executable, "-m", "chalkyokectl.cli", *arguments]
    if arguments[0] != "check":
        command += ["--server", server, "--auth", OPERATOR_TOKEN]
    done = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
    return done.returncode, done.stdout, done.stderr


def test_an_operator_plans_applies_waits_and_sees_the_change(tmp_path):
    async def check(fleet, caller):
        good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
        good.write_text(
            f'[[team]]\nname = "team"\ntiers = ["low"]\nweight = 4\nkey_sha256 = ["{KEY_SHA256}"]\n'
        )
        bad.write_text('[[route]]\nname = "r"\nservice = "model"\nupstreams = { host = "e0" }\n')
        assert (await ctl(fleet, "check", str(good)))[
            0
        ] == 2  # without the tiers it names an unknown one
        code, _, errors = await ctl(fleet, "check", str(bad))
        assert (code, "route[0].upstreams" in errors) == (2, True)
        code, out, _ = await ctl(fleet, "plan", "-f", str(good))
        assert (code, "team/team.weight" in out) == (0, True)
        code, _, errors = await ctl(fleet, "apply", "-f", str(good), "--base", "1", "--wait")
        assert (code, "in force on all live nodes" in errors) == (0, True)
        code, _, errors = await ctl(fleet, "apply", "-f", str(good).replace("good", "other"))
        assert code == 2
        other = tmp_path / "other.toml"
        other.write_text(good.read_text().replace("4", "7", 1))
        code, _, errors = await ctl(fleet, "apply", "-f", str(other), "--base", "1", host="n2")
        assert (code, "team/team.weight" in errors) == (3, True)
        code, out, _ = await ctl(fleet, "get", "team", "-o", "json")
        assert json.loads(out)["resources"]["team"][0]["weight"] == 4
        code, _, _ = await ctl(fleet, "label", "team", "team", "channel=desk", "--wait")
        assert code == 0
        code, out, _ = await ctl(fleet, "history", "-o", "json")
        assert json.loads(out)["changes"][-1]["paths"] == ["team/team.labels"]

    with_fleet(check)


def test_the_timeline_shows_one_request_across_all_processes():
    async def check(fleet, caller):
        token = await caller.take_token(fleet.nodes["n1"].address)
        for host in ("n1", "n2"):
            reply = await caller.complete(
                fleet.nodes[host].address, completion_body(4), Chalkyoke_Token=token
            )
            assert reply.outcome is ReplyOutcome.WHOLE
        code, out, _ = await ctl(fleet, "events", "--token", token, "-o", "json")
        kinds = [event["kind"] for event in json.loads(out)]
        order = [
            "arrived",
            "granted",
            "dispatched",
            "first_byte",
            "answered",
            "forwarded",
            "joined",
        ]
        assert [kind for kind in kinds if kind in order] == order
        code, out, _ = await ctl(fleet, "events", "-o", "html")
        assert (code, out.startswith("<!doctype html>"), "n2" in out) == (0, True, True)
        code, out, _ = await ctl(fleet, "status", "-o", "json")
        assert set(json.loads(out)) == {"n1", "n2", "n3"}

    with_fleet(check)


def test_a_drained_node_ends_and_the_others_go_on():
    async def check(fleet, caller):
        code, out, _ = await ctl(fleet, "drain", "n2")
        assert (code, "is stopping" in out) == (0, True)

        async def ended():
            return fleet.nodes["n2"].popen.poll() == 0

        await wait_until(ended)
        assert (
            await caller.complete(fleet.nodes["n3"].address, completion_body(4))
        ).outcome is ReplyOutcome.WHOLE

    with_fleet(check)


def test_roles_are_separate_and_every_error_is_a_problem_document():
    async def check(fleet, caller):
        address = fleet.nodes["n1"].administration
        for path, method, status in (
            ("/v1/status", "GET", 401),
            ("/v1/apply", "POST", 401),
            ("/v1/nothing", "GET", 404),
        ):
            async with fleet.session.request(method, f"http://{address}{path}", json={}) as answer:
                assert answer.status == status
                assert answer.content_type == "application/problem+json"
        status, answer = await fleet.apply_configuration(
            {"team": [{"name": "Bad Name", "tiers": []}]}
        )
        assert status == 422
        paths = {each["path"] for each in answer["problems"]}
        assert paths == {"team[0].name", "team[0].tiers"}
        async with fleet.session.get(f"http://{address}/metrics") as answer:
            text = await answer.text()
        assert "chalkyoke_store_calls_total" in text
        assert RESOURCES["service"][0]["name"] == "model"

    with_fleet(check)
