"""Tests of clusters of balancer processes on loopback, with injected faults."""

import asyncio
import json
import re
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from random import Random

import pytest
from cluster_helpers import ANSWER_TIMEOUT_S, history_contains, send_line_async, with_cluster
from paths import ROOT

from cypresswalk import operator
from cypresswalk.agreement.messages import RequestVote
from cypresswalk.fleet.messages import PROTOCOL, Call, Hello, encode_frame
from cypresswalk.lab.balancers import address_text, free_port
from cypresswalk.lab.cluster.checkers.answers import ClientFlow
from cypresswalk.lab.cluster.checkers.four_rules import rule_violations
from cypresswalk.lab.cluster.plan import (
    BALANCER_AGENT_ACTIONS,
    RELEASE_ACTIONS,
    SERVER_AGENT_ACTIONS,
    Action,
    Plan,
    Step,
    read_plan,
)
from cypresswalk.lab.cluster.random_plans import random_plan
from cypresswalk.lab.cluster.testbed.cluster_testbed import SLACK, ClusterTestBed
from cypresswalk.lab.cluster.testbed.run import run_plan
from cypresswalk.lab.cluster.testbed.settings import checker_rules
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.units import SECOND
from cypresswalk.refusal import CommandError

PLANS = ROOT / "experiments/together"
CLI = [sys.executable, "-m", "cypresswalk", "fleet"]
HEAL = Step(at_s=0, action=Action.HEAL)


async def read_counters(address) -> dict:
    """Return the counters that a balancer reports to operators."""
    return json.loads(await send_line_async(address, "vars"))


async def wait_until(is_met: Callable[[], Awaitable[bool]], timeout_s: float) -> bool:
    """Wait until a condition holds; return False on timeout."""
    until = time.monotonic() + timeout_s
    while not await is_met():
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.02)
    return True


def run_to_report(plan: Plan, tmp_path) -> dict:
    """Run a plan and return the report."""
    return asyncio.run(run_plan(plan, tmp_path / "rig"))


@pytest.mark.parametrize(
    "plan, not_possible",
    [
        (Plan(), BALANCER_AGENT_ACTIONS | SERVER_AGENT_ACTIONS | RELEASE_ACTIONS),
        (Plan(balancer_agents=True), SERVER_AGENT_ACTIONS),
        (Plan(server_agents=True), BALANCER_AGENT_ACTIONS),
    ],
)
def test_every_action_that_a_plan_may_have_can_be_done(plan, not_possible, tmp_path):
    """A step without a handler would fail in the middle of a run."""
    testbed = ClusterTestBed(plan, tmp_path / "rig")
    assert testbed.player.actions == set(Action) - not_possible


def test_modules_of_the_testbed_import_in_one_direction_and_checkers_none_of_them():
    """Imports contain no cycle, including imports inside functions."""
    folder = ROOT / "cypresswalk/lab/cluster"
    statement = re.compile(
        r"^\s*from cypresswalk\.lab\.cluster\.testbed(?:\.| import )(\w+)", re.MULTILINE
    )
    imports = {
        path.stem: set(statement.findall(path.read_text()))
        for path in (folder / "testbed").glob("*.py")
        if path.stem != "__init__"
    }
    assert len(imports) > 20
    while ready := {name for name, needs in imports.items() if not needs & imports.keys()}:
        for name in ready:
            del imports[name]
    assert imports == {}
    for path in (folder / "checkers").glob("*.py"):
        assert "cluster.testbed" not in path.read_text(), path


def test_faults_plan_breaks_no_rule_and_agrees_on_settings_and_removals(tmp_path):
    """Five processes under each kind of fault; the operators' page names this plan."""
    report = run_to_report(read_plan(PLANS / "faults.toml"), tmp_path)
    assert not report["broken"], report
    assert report["longest_contradiction_s"] <= 5.5
    assert report["answers"]["UP"] > 300
    assert report["calls"]["offers_yes"] >= 1, report
    assert report["calls"]["taken_out"] >= 2, report


def test_no_reservation_is_lost_as_replicas_lose_disks_one_by_one_and_in_pairs(tmp_path):
    """Flows that are sent again with a reserved id are rejected."""
    report = run_to_report(read_plan(PLANS / "copies.toml"), tmp_path)
    assert not report["broken"], report
    assert report["answers"]["UP"] > 700, report
    assert report["answers"]["ERR"] > 40, report


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_no_key_runs_twice_under_random_faults(seed, tmp_path):
    """Random faults, including lost disks, with three replicas of each key."""
    report = run_to_report(random_plan(seed, duration_s=12, faults=6, replicas=3), tmp_path)
    assert not report["broken"], (seed, report)
    assert report["answers"]["UP"] > 150, report
    assert report["answers"]["ERR"] > 10, report


def test_without_replicas_repeated_once_only_flows_run_twice(tmp_path):
    """Without this effect the tests above would pass whether replicas work or not."""
    plan = read_plan(PLANS / "copies.toml")
    without_replicas = {"replicas": 0, "duration_s": 6.0, "steps": plan.steps[:1]}
    report = run_to_report(plan.model_copy(update=without_replicas), tmp_path)
    assert any("once-only flow" in line and "ran at" in line for line in report["broken"]), report


async def set_down_everywhere(testbed: ClusterTestBed, balancer: str, server: str) -> None:
    """Take a server out of rotation at all balancers of the fleet by one operator's call."""
    assert await send_line_async(testbed.balancers[balancer].admin, f"set-down {server}") == "OK"
    for host in testbed.balancers.values():

        async def is_out(admin=host.admin) -> bool:
            return (await read_counters(admin))["out_of_rotation"] >= 1

        assert await wait_until(is_out, timeout_s=5)


def test_an_isolated_balancer_rejects_flows_once_its_lease_is_over_and_rejoins(tmp_path):
    """While isolated it refuses calls that need the fleet, unless they are forced."""

    async def test(testbed):
        isolated = testbed.balancers["n2"]
        await set_down_everywhere(testbed, "n2", "s-0")
        assert (await send_line_async(isolated.admin, "set-down nobody")).startswith("ERR no list")
        await testbed.player.do(Step(at_s=0, action=Action.ISOLATE, balancer="n2"))
        assert (await send_line_async(isolated.admin, "set-down s-1")).startswith("ERR not agreed")

        async def is_not_ready() -> bool:
            return await send_line_async(isolated.listen, "PING") != "PONG"

        await wait_until(is_not_ready, timeout_s=8)
        assert await send_line_async(isolated.listen, "PING") == "ERR"
        assert (await send_line_async(isolated.admin, "check")).endswith("no lease of the fleet's")
        # A reject that contains the time after which to retry: the flow has not run.
        assert await send_line_async(isolated.listen, "OPEN late1 77 c=book,d=900") == "BUSY 300"
        healthy = testbed.balancers["n0"]
        assert await send_line_async(healthy.listen, "OPEN sound1 77 c=book,d=900") == "UP rsound1"
        # Forced at this balancer alone; recorded in the fleet's history once it is reachable.
        assert await send_line_async(isolated.admin, "set-down-here s-1") == "OK"
        await testbed.player.do(HEAL)
        assert await testbed.convergence.wait() is not None
        assert await send_line_async(isolated.listen, "PING") == "PONG"

        async def is_recorded() -> bool:
            return await history_contains(testbed, "n0", "set-down-here s-1 at n2 alone")

        assert await wait_until(is_recorded, timeout_s=5)
        _, body = await testbed.calls.call("n0", "show")
        assert set(body["out"]) <= {"s-0", "s-1"}
        assert "s-0" in body["out"]
        assert await send_line_async(isolated.admin, "set-up-here s-1") in (
            "OK",
            "ERR out by the fleet still: `set-up` ends that",
        )

    with_cluster(tmp_path, test, balancers=3, max_contradiction_s=2)


async def start_successor(testbed: ClusterTestBed, name: str) -> tuple[str, int]:
    """Start a second process beside a running one; return its admin address once it is ready.

    Both processes share one $TMPDIR, as docs/on-call.md describes.
    """
    admin = testbed.addresses.balancer_host, free_port(testbed.addresses.balancer_host)
    testbed.balancers[name].start(PROXY_ADMIN_ADDR=address_text(admin))

    async def is_ready() -> bool:
        try:
            return await send_line_async(admin, "check") == "OK"
        except OSError:
            return False  # the process does not listen yet

    await wait_until(is_ready, timeout_s=10)
    return admin


async def run_copies_command(
    testbed: ClusterTestBed, *arguments: str
) -> subprocess.CompletedProcess:
    """Run `cypresswalk fleet copies` with arguments."""
    at = address_text(testbed.balancers["n0"].fleet)
    command = [*CLI, "--at", at, "--fleet", "rig", "copies", *arguments]
    return await asyncio.to_thread(
        subprocess.run, command, cwd=ROOT, capture_output=True, text=True, timeout=30
    )


async def check_copies_commands(testbed: ClusterTestBed) -> None:
    """Check that the commands show complete replicas and refuse to discard existing ones."""
    shown = await run_copies_command(testbed)
    assert shown.returncode == 0, shown
    assert shown.stdout.startswith("64 parts, 3 copies asked for, 2 needed; 0 lack copies"), shown
    assert "part 63" in shown.stdout, shown
    checked = await run_copies_command(testbed, "check")
    assert checked.returncode == 0, checked
    assert "alike" in checked.stdout, checked
    renewed = await run_copies_command(testbed, "renew", "5", "--yes")
    assert renewed.returncode == 2, renewed
    assert "parts [5] have copies" in renewed.stderr, renewed


def test_an_upgrade_beside_a_running_process_keeps_one_identity_and_serves_throughout(tmp_path):
    """Reservations pause while the replica is handed over; each flow is answered."""

    async def test(testbed):
        host = testbed.balancers["n1"]
        before = (await testbed.calls.call("n1", "local")).body
        predecessor = host.process
        successor_admin = await start_successor(testbed, "n1")
        assert (await send_line_async(successor_admin, "set-down s-0")).startswith(
            "ERR this process has no part in the fleet yet"
        )
        predecessor.send_signal(signal.SIGTERM)
        viewed: list[str] = []
        booked: list[str] = []
        until = time.monotonic() + 6
        while (predecessor.poll() is None or len(viewed) < 120) and time.monotonic() < until:
            viewed.append(
                await send_line_async(host.listen, f"OPEN up{len(viewed)} 5 c=view,d=900")
            )
            booked.append(
                await send_line_async(host.listen, f"OPEN cl{len(viewed)} 5 c=book,d=900")
            )
            await asyncio.sleep(0.02)
        assert predecessor.poll() == 0
        assert await testbed.convergence.wait() is not None
        after = (await testbed.calls.call("n1", "local")).body
        assert after["id"] == before["id"]
        assert after["boot"] == before["boot"] + 1
        assert all(answer.startswith("UP ") for answer in viewed), viewed
        assert all(answer.startswith(("UP ", "BUSY ")) for answer in booked), booked
        assert sum(answer.startswith("UP ") for answer in booked) > 0.8 * len(booked)
        assert (await testbed.convergence.wait_for_replicas()).complete
        await check_copies_commands(testbed)

    with_cluster(tmp_path, test, balancers=3, max_contradiction_s=8, replicas=3)


def test_recover_begins_a_new_group_from_one_survivor(tmp_path):
    """One voter and one follower of the old group survive; the old group is fenced off."""

    async def test(testbed):
        assert (await testbed.calls.command("n3", "out", server="s-0")).ok
        survivor = await testbed.calls.leader()
        for name in ("n0", "n1", "n2"):
            if name != survivor:
                testbed.balancers[name].kill()
        host = testbed.balancers[survivor]
        host.process.kill()
        host.process.wait()
        command = [*CLI, "recover", str(host.fleet_folder)]
        recovered = subprocess.run(
            [*command, "--fleet", "rig", "--name", survivor, "--yes"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert recovered.returncode == 0, recovered
        assert json.loads(recovered.stdout)["out"] == ["s-0"], recovered
        host.start()
        assert await testbed.convergence.wait(names=[survivor, "n3"]) is not None
        _, body = await testbed.calls.call("n3", "show")
        assert body["version"] > 1000
        assert list(body["out"]) == ["s-0"]
        assert (await testbed.calls.command("n3", "out", server="s-1")).ok

    with_cluster(tmp_path, test, balancers=4, max_contradiction_s=2)


def invalid_frames() -> list[bytes]:
    """Return frames that no member of the fleet would send."""
    chance = Random(3)
    peer = "127.0.0.1:9"
    hello = Hello(PROTOCOL, "rig", "member", "", "n9#1", 1, 1, peer, "")
    other_fleet = Hello(PROTOCOL, "other", "member", "", "n9#1", 1, 1, "", "")
    other_protocol = Hello(PROTOCOL + 1, "rig", "member", "", "n9#1", 1, 1, "", "")
    other_group = Hello(PROTOCOL, "rig", "member", "another", "n9#2", 1, 1, "", "")
    return [
        chance.randbytes(3000),
        b"\xff" * 8,
        encode_frame(hello)[:9],
        encode_frame(hello)[4:] * 50,
        encode_frame(Call(1, "status", {})),
        encode_frame(other_fleet),
        encode_frame(other_protocol),
        encode_frame(other_group) + encode_frame(RequestVote(1 << 40, 9, 9, False, True)),
    ]


def test_invalid_frames_at_the_fleet_port_are_counted_and_change_nothing(tmp_path):
    """Invalid frames change neither the term nor the agreed state."""

    async def test(testbed):
        socks = []
        for data in invalid_frames() * 5:
            sock = socket.create_connection(testbed.balancers["n0"].fleet, timeout=ANSWER_TIMEOUT_S)
            sock.sendall(data)
            socks.append(sock)

        async def are_counted() -> bool:
            counts = (await testbed.calls.call("n0", "local")).body["counts"]
            return (
                counts.get("frames_odd", 0) >= 15
                and counts.get("hellos_refused", 0) >= 10
                and counts.get("words_of_other_groups", 0) >= 5
            )

        assert await wait_until(are_counted, timeout_s=8), await testbed.calls.call("n0", "local")
        assert (await testbed.calls.call("n0", "local")).body["term"] < 1000
        assert (await testbed.calls.command("n0", "out", server="s-0")).ok
        for sock in socks:
            sock.close()

    with_cluster(tmp_path, test, balancers=1, voters=1, flows_per_s=0)


def test_a_wrong_fleet_table_ends_the_start_with_a_line_for_each_field(tmp_path):
    """The table is read from the operator file."""
    file = tmp_path / "operator.toml"
    file.write_text(
        '[fleet]\nfleet = "a b"\nname = "n0"\naddress = "nowhere"\nfolder = "here"\n'
        "stated_s = 0\nodd = 1\n"
    )
    with pytest.raises(CommandError) as refusal:
        operator.read(str(file))
    lines = str(refusal.value).splitlines()
    assert len(lines) == 6
    for field in ("fleet", "address", "folder", "stated_s", "odd", "first"):
        assert any(f"fleet.{field}:" in line for line in lines), lines


def test_without_the_fleet_table_nothing_of_the_fleet_is_imported():
    """Without a fleet the program needs only the standard library."""
    program = (
        "import sys; from cypresswalk.service import program;"
        "print([m for m in sys.modules if 'fleet' in m or 'agreement' in m or 'msgspec' in m])"
    )
    run = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=20
    )
    assert run.stdout == "[]\n"


def test_machines_plan_breaks_no_rule_and_a_member_restarts_after_a_disk_error(tmp_path):
    """Five processes with full and failing disks, drifting clocks and restarting servers.

    The operators' page names this plan.
    """
    report = run_to_report(read_plan(PLANS / "machines.toml"), tmp_path)
    assert not report["broken"], report
    assert report["answers"]["UP"] > 500, report
    assert report["calls"]["taken_out"] >= 1, report
    log = (tmp_path / "rig/n1/log").read_text()
    assert "input/output error" in log
    assert "event=fleet_member_restarted" in log


def observed_flow(number: int, at: int, balancer: str) -> list[Observation]:
    """Return the observations of a flow that a server accepted."""
    flow = f"f{number}"
    attempt = {"balancer": balancer, "number": number, "load": 1.0}
    reply = {"number": number, "kind": "up", "receipt": "UP r"}
    return [
        Observation(at, "sent", flow, balancer, {"type": "view", "wait_ms": 1500}),
        Observation(at, "attempt", flow, "s-0", attempt),
        Observation(at, "reply", flow, "s-0", reply),
        Observation(at, "answer", flow, balancer, {"kind": "up", "line": "UP r"}),
    ]


def test_the_checker_sums_up_all_balancers_at_a_cold_server_and_respects_endpoint_lists():
    """Four balancers send ten flows each, which together are too many for a starting server."""
    flows = []
    observations = [Observation(0, "server_up", subject="s-0")]
    for number in range(40):
        at = SECOND + number * SECOND // 100
        balancer = f"n{number % 4}"
        observations += observed_flow(number, at, balancer)
        deadline = at + 2 * SECOND
        flows.append(ClientFlow(f"f{number}", "repeatable", at, deadline, "UP", at, balancer))
    rules = checker_rules(Plan(), SLACK)

    def broken_rules(seen, disruptions) -> list[str]:
        violations = rule_violations(seen, rules, flows, disruptions, 0)
        return [line.split(":")[0] for line in violations]

    assert broken_rules(observations, {}) == ["cold"]
    few = [event for event in observations if event.flow in ("", "f1", "f2", "f3")]
    assert broken_rules(few, {}) == []
    told = {"server": "s-0", "life": "terminating", "version": 1}
    drained = [Observation(0, "told", subject="n1", fields=told), *observations[1:]]
    assert set(broken_rules(drained, {})) == {"drains"}
    unanswered = [
        event for event in observations[1:] if (event.kind, event.flow) != ("answer", "f5")
    ]
    assert broken_rules(unanswered, {}) == ["one answer"]
    n1_was_killed = {"n1": [(SECOND, 2 * SECOND)]}
    assert broken_rules(unanswered, n1_was_killed) == []
