"""Several balancer processes that agree, with faults between them, on loopback."""

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
from cluster_helpers import ANSWER_TIMEOUT_S, ask, with_cluster
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
from cypresswalk.lab.cluster.testbed.bed import SLACK, ClusterTestBed
from cypresswalk.lab.cluster.testbed.run import run_plan
from cypresswalk.lab.cluster.testbed.settings import checker_rules
from cypresswalk.lab.observations import Observation
from cypresswalk.lab.units import SECOND
from cypresswalk.refusal import CommandError

PLANS = ROOT / "experiments/together"
CLI = [sys.executable, "-m", "cypresswalk", "fleet"]
HEAL = Step(at_s=0, action=Action.HEAL)


async def ask_for_vars(address) -> dict:
    """Return the counters that a balancer tells operators."""
    return json.loads(await ask(address, "vars"))


async def wait_until(is_met: Callable[[], Awaitable[bool]], timeout_s: float) -> bool:
    """Wait until a condition holds; return whether it came to hold in time."""
    until = time.monotonic() + timeout_s
    while not await is_met():
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.02)
    return True


def run_to_report(plan: Plan, tmp_path) -> dict:
    """Play a plan and return the report."""
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
    bed = ClusterTestBed(plan, tmp_path / "rig")
    assert bed.player.actions == set(Action) - not_possible


def test_modules_of_the_test_bed_import_in_one_direction_and_checkers_none_of_them():
    """No circle, also not by an import inside a function."""
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
    """Five processes under each kind of fault: the plan that the operators' page names."""
    report = run_to_report(read_plan(PLANS / "faults.toml"), tmp_path)
    assert not report["broken"], report
    assert report["longest_contradiction_s"] <= 5.5
    assert report["answers"]["UP"] > 300
    assert report["calls"]["offers_yes"] >= 1, report
    assert report["calls"]["taken_out"] >= 2, report


def test_each_holder_loses_its_disk_in_turn_and_pairs_and_no_claim_is_lost(tmp_path):
    """Flows that are sent again under an id that is reserved are rejected."""
    report = run_to_report(read_plan(PLANS / "copies.toml"), tmp_path)
    assert not report["broken"], report
    assert report["answers"]["UP"] > 700, report
    assert report["answers"]["ERR"] > 40, report


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_no_key_runs_twice_under_random_faults(seed, tmp_path):
    """Random faults, disks that are lost among them, with three replicas of each key."""
    report = run_to_report(random_plan(seed, duration_s=12, faults=6, replicas=3), tmp_path)
    assert not report["broken"], (seed, report)
    assert report["answers"]["UP"] > 150, report
    assert report["answers"]["ERR"] > 10, report


def test_without_replicas_repeated_once_only_flows_run_twice(tmp_path):
    """Otherwise the runs above would show nothing."""
    plan = read_plan(PLANS / "copies.toml")
    without_replicas = {"replicas": 0, "duration_s": 6.0, "steps": plan.steps[:1]}
    report = run_to_report(plan.model_copy(update=without_replicas), tmp_path)
    assert any("once-only flow" in line and "ran at" in line for line in report["broken"]), report


async def set_down_everywhere(bed: ClusterTestBed, balancer: str, server: str) -> None:
    """Take a server out of rotation by an operator's call, which binds the whole fleet."""
    assert await ask(bed.balancers[balancer].admin, f"set-down {server}") == "OK"
    for host in bed.balancers.values():

        async def is_out(admin=host.admin) -> bool:
            return (await ask_for_vars(admin))["out_of_rotation"] >= 1

        assert await wait_until(is_out, timeout_s=5)


async def history_has(bed: ClusterTestBed, balancer: str, text: str) -> bool:
    """Return whether the fleet's history has a record with a text."""
    _, body = await bed.calls.call(balancer, "history")
    return any(text in record[3] for record in body["history"])


def test_a_balancer_that_is_cut_off_takes_nothing_once_its_lease_is_over_and_comes_back(tmp_path):
    """Until then nothing that needs the fleet is carried out there, but by force."""

    async def test(bed):
        isolated = bed.balancers["n2"]
        await set_down_everywhere(bed, "n2", "s-0")
        assert (await ask(isolated.admin, "set-down nobody")).startswith("ERR no list")
        await bed.player.do(Step(at_s=0, action=Action.ISOLATE, balancer="n2"))
        assert (await ask(isolated.admin, "set-down s-1")).startswith("ERR not agreed")

        async def is_not_ready() -> bool:
            return await ask(isolated.listen, "PING") != "PONG"

        await wait_until(is_not_ready, timeout_s=8)
        assert await ask(isolated.listen, "PING") == "ERR"
        assert (await ask(isolated.admin, "check")).endswith("no lease of the fleet's")
        # A reject that tells when to come back: nothing has run.
        assert await ask(isolated.listen, "OPEN late1 77 c=book,d=900") == "BUSY 300"
        sound = bed.balancers["n0"]
        assert await ask(sound.listen, "OPEN sound1 77 c=book,d=900") == "UP rsound1"
        # By force, at this one alone; said so and recorded once it can be.
        assert await ask(isolated.admin, "set-down-here s-1") == "OK"
        await bed.player.do(HEAL)
        assert await bed.convergence.wait() is not None
        assert await ask(isolated.listen, "PING") == "PONG"

        async def is_recorded() -> bool:
            return await history_has(bed, "n0", "set-down-here s-1 at n2 alone")

        assert await wait_until(is_recorded, timeout_s=5)
        _, body = await bed.calls.call("n0", "show")
        assert set(body["out"]) <= {"s-0", "s-1"}
        assert "s-0" in body["out"]
        assert await ask(isolated.admin, "set-up-here s-1") in (
            "OK",
            "ERR out by the fleet still: `set-up` ends that",
        )

    with_cluster(tmp_path, test, balancers=3, max_contradiction_s=2)


async def start_successor(bed: ClusterTestBed, name: str) -> tuple[str, int]:
    """Start a second process beside a running one; return its admin address once it is ready.

    As docs/on-call.md has it: both have one $TMPDIR.
    """
    admin = bed.addresses.balancer_host, free_port(bed.addresses.balancer_host)
    bed.balancers[name].start(PROXY_ADMIN_ADDR=address_text(admin))

    async def is_ready() -> bool:
        try:
            return await ask(admin, "check") == "OK"
        except OSError:
            return False  # it does not listen yet

    await wait_until(is_ready, timeout_s=10)
    return admin


async def run_copies_command(bed: ClusterTestBed, *arguments: str) -> subprocess.CompletedProcess:
    """Run `cypresswalk fleet copies` with arguments."""
    at = address_text(bed.balancers["n0"].fleet)
    command = [*CLI, "--at", at, "--fleet", "rig", "copies", *arguments]
    return await asyncio.to_thread(
        subprocess.run, command, cwd=ROOT, capture_output=True, text=True, timeout=30
    )


async def check_copies_commands(bed: ClusterTestBed) -> None:
    """The commands show complete replicas, and throw nothing away that is there."""
    shown = await run_copies_command(bed)
    assert shown.returncode == 0, shown
    assert shown.stdout.startswith("64 parts, 3 copies asked for, 2 needed; 0 lack copies"), shown
    assert "part 63" in shown.stdout, shown
    checked = await run_copies_command(bed, "check")
    assert checked.returncode == 0, checked
    assert "alike" in checked.stdout, checked
    renewed = await run_copies_command(bed, "renew", "5", "--yes")
    assert renewed.returncode == 2, renewed
    assert "parts [5] have copies" in renewed.stderr, renewed


def test_an_upgrade_beside_a_running_process_keeps_one_identity_and_serves_throughout(tmp_path):
    """Reservations rest while the replica goes from process to process; each flow is answered."""

    async def test(bed):
        host = bed.balancers["n1"]
        before = (await bed.calls.call("n1", "local")).body
        predecessor = host.process
        successor_admin = await start_successor(bed, "n1")
        assert (await ask(successor_admin, "set-down s-0")).startswith(
            "ERR this process has no part in the fleet yet"
        )
        predecessor.send_signal(signal.SIGTERM)
        viewed, booked = [], []
        until = time.monotonic() + 6
        while (predecessor.poll() is None or len(viewed) < 120) and time.monotonic() < until:
            viewed.append(await ask(host.listen, f"OPEN up{len(viewed)} 5 c=view,d=900"))
            booked.append(await ask(host.listen, f"OPEN cl{len(viewed)} 5 c=book,d=900"))
            await asyncio.sleep(0.02)
        assert predecessor.poll() == 0
        assert await bed.convergence.wait() is not None
        after = (await bed.calls.call("n1", "local")).body
        assert after["id"] == before["id"]
        assert after["boot"] == before["boot"] + 1
        assert all(answer.startswith("UP ") for answer in viewed), viewed
        assert all(answer.startswith(("UP ", "BUSY ")) for answer in booked), booked
        assert sum(answer.startswith("UP ") for answer in booked) > 0.8 * len(booked)
        assert (await bed.convergence.wait_for_replicas()).complete
        await check_copies_commands(bed)

    with_cluster(tmp_path, test, balancers=3, max_contradiction_s=8, replicas=3)


def test_recover_begins_a_new_group_from_one_survivor(tmp_path):
    """A voter is left, and a follower of the old group, which is now fenced off."""

    async def test(bed):
        assert (await bed.calls.command("n3", "out", server="s-0")).ok
        survivor = await bed.calls.leader()
        for name in ("n0", "n1", "n2"):
            if name != survivor:
                bed.balancers[name].kill()
        host = bed.balancers[survivor]
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
        assert await bed.convergence.wait(names=[survivor, "n3"]) is not None
        _, body = await bed.calls.call("n3", "show")
        assert body["version"] > 1000
        assert list(body["out"]) == ["s-0"]
        assert (await bed.calls.command("n3", "out", server="s-1")).ok

    with_cluster(tmp_path, test, balancers=4, max_contradiction_s=2)


def wrong_frames() -> list[bytes]:
    """What nobody of the fleet would send."""
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


def test_strangers_at_the_fleets_port_are_counted_and_change_nothing(tmp_path):
    """Neither the term nor what is agreed."""

    async def test(bed):
        socks = []
        for data in wrong_frames() * 5:
            sock = socket.create_connection(bed.balancers["n0"].fleet, timeout=ANSWER_TIMEOUT_S)
            sock.sendall(data)
            socks.append(sock)

        async def are_counted() -> bool:
            counts = (await bed.calls.call("n0", "local")).body["counts"]
            return (
                counts.get("frames_odd", 0) >= 15
                and counts.get("hellos_refused", 0) >= 10
                and counts.get("words_of_other_groups", 0) >= 5
            )

        assert await wait_until(are_counted, timeout_s=8), await bed.calls.call("n0", "local")
        assert (await bed.calls.call("n0", "local")).body["term"] < 1000
        assert (await bed.calls.command("n0", "out", server="s-0")).ok
        for sock in socks:
            sock.close()

    with_cluster(tmp_path, test, balancers=1, voters=1, flows_per_s=0)


def test_a_wrong_fleet_table_ends_the_start_with_a_line_for_each_field(tmp_path):
    """Of the operator file."""
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
    """The plain program needs the standard library alone."""
    program = (
        "import sys; from cypresswalk.service import program;"
        "print([m for m in sys.modules if 'fleet' in m or 'agreement' in m or 'msgspec' in m])"
    )
    run = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=20
    )
    assert run.stdout == "[]\n"


def test_machines_plan_breaks_no_rule_and_a_member_restarts_after_a_disk_error(tmp_path):
    """Five processes: full and failing disks, clocks that drift, servers that restart.

    The plan that the operators' page names.
    """
    report = run_to_report(read_plan(PLANS / "machines.toml"), tmp_path)
    assert not report["broken"], report
    assert report["answers"]["UP"] > 500, report
    assert report["calls"]["taken_out"] >= 1, report
    log = (tmp_path / "rig/n1/log").read_text()
    assert "input/output error" in log
    assert "event=fleet_member_restarted" in log


def observed_flow(number: int, at: int, balancer: str) -> list[Observation]:
    """What is observed of a flow that a server accepted."""
    flow = f"f{number}"
    attempt = {"balancer": balancer, "number": number, "load": 1.0}
    reply = {"number": number, "kind": "up", "receipt": "UP r"}
    return [
        Observation(at, "sent", flow, balancer, {"type": "view", "wait_ms": 1500}),
        Observation(at, "attempt", flow, "s-0", attempt),
        Observation(at, "reply", flow, "s-0", reply),
        Observation(at, "answer", flow, balancer, {"kind": "up", "line": "UP r"}),
    ]


def test_the_checker_sees_what_all_balancers_did_to_a_cold_server_and_what_they_were_told():
    """Each of four balancers sends ten flows: few for one, too many for a server that starts."""
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
