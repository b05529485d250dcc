"""Releases of servers: the fleet's own code and the agents' own in virtual time, with faults and calls by a seed."""

import asyncio
import time
from random import Random

import pytest

from cypresswalk.fleet import commands
from cypresswalk.fleet.leader import LeaderDuties
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.fleet.server_observations import ServerObservations
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.lab.cluster.checkers.linearizability import CallOutcome
from cypresswalk.lab.cluster.plan import Action, Build, Plan, Step
from cypresswalk.lab.cluster.releases import SECOND
from cypresswalk.lab.cluster.servings import Servings, plan_for, run_seed
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.rollout import release as releases
from cypresswalk.rollout.release import Phase
from cypresswalk.rollout.server_agent import ServerAgent


@pytest.mark.parametrize("first", range(0, 24, 8))
def test_under_random_faults_bounds_and_halts_hold_and_the_release_can_always_end(first):
    for seed in range(first, first + 8):
        outcome = run_seed(seed)
        assert not outcome.broken, outcome.broken + "\n" + "\n".join(outcome.history[-60:])


def views_are_taken_for_settled(patch):
    """Servers are stopped though a balancer acts on the version before."""
    patch.setattr(LeaderDuties, "all_act_on", lambda self, version, now: True)


def servers_are_not_drained(patch):
    patch.setattr(ServerAgent, "wait_until_drained", lambda self: iter(()))
    patch.setattr(ServerAgent, "stop_objection", lambda self, turn: "")


def bad_servers_are_not_counted(patch):
    patch.setattr(ServerObservations, "unhealthy", lambda self, now, members: {})


def the_fleet_is_not_asked_before_a_server_is_stopped(patch):
    def confirm_stop(self):
        return ""
        yield

    patch.setattr(ServerAgent, "confirm_stop", confirm_stop)


def a_turn_ends_while_its_agent_works(patch):
    returned = releases.returned

    def careless(now, name):
        returned(now, name)
        if now.members.get(name) == "changing":
            now.members[name] = "old"

    patch.setattr(releases, "returned", careless)


@pytest.mark.parametrize(
    "mistake, seed",
    [
        (views_are_taken_for_settled, 24),
        (servers_are_not_drained, 0),
        (bad_servers_are_not_counted, 1),
        (the_fleet_is_not_asked_before_a_server_is_stopped, 46),
        (a_turn_ends_while_its_agent_works, 13),
    ],
)
def test_a_deliberately_broken_rule_is_detected(mistake, seed, monkeypatch):
    mistake(monkeypatch)
    assert run_seed(seed).broken


@pytest.mark.parametrize(
    "build, why",
    [
        ("aborts", "failed or rejected"),
        ("falls", "came up and fell over"),
        ("never_ready", "v1 again: answers"),
    ],
)
def test_a_bad_build_of_a_server_is_halted_in_the_first_wave(build, why):
    w = Servings(1, 6, 2, build, voters=3, followers=1)
    w.stuck = 0.0
    w.start()
    w.run(8 * SECOND)
    w.tell("release_begin", {"plan": plan_for(sorted(w.servers), Random(1))}, span=20 * SECOND)
    for _ in range(90):
        w.run(SECOND)
        if w.release() is not None and w.release().halted:
            break
    agreed = w.release()
    assert agreed.halted and why in agreed.halted[2], agreed.halted
    assert agreed.release.wave == 0 and sum(s.version() == "v1" for s in w.servers.values()) >= 5


def test_the_majority_of_reports_on_a_server_counts_and_silence_grants_nothing():
    observations, members = ServerObservations(5 * SECOND), {"n0#1", "n1#1", "n2#1", "n3#1"}
    observations.on_report(0, "n0#1", 4, ServerReport(["s0", "s1"]))
    observations.on_report(0, "n1#1", 4, ServerReport(["s0"]))
    assert (
        not observations.conclusive(0, members)
        and observations.open_flows(0, members, "s0") is None
    )
    observations.on_report(SECOND, "n2#1", 4, ServerReport([], {"s0": 3}))
    assert (
        observations.conclusive(SECOND, members)
        and observations.open_flows(SECOND, members, "s0") is None
    )  # n3 may have flows there (seed 357)
    observations.on_report(SECOND, "n3#1", 3, ServerReport([]))
    assert observations.conclusive(SECOND, members) and list(
        observations.unhealthy(SECOND, members)
    ) == ["s0"]  # two of four; s1 by one alone
    assert observations.open_flows(SECOND, members, "s0") == 3
    # Back in version 4: n3 does not act on it yet, so two of four have seen s1 ready.
    assert observations.seen_ready(SECOND, members, {"s1": 4}, ["s0", "s1"]) == {}
    observations.on_report(SECOND, "n3#1", 4, ServerReport([]))
    assert observations.seen_ready(SECOND, members, {"s1": 4, "s9": 2}, ["s0", "s1"]) == {
        "s1": 4,
        "s9": 2,
    }  # s9 is listed no more
    assert not observations.conclusive(6 * SECOND + 1, members)
    # What each answered is added up over balancers, a process that began anew counted from nothing.
    observations.on_report(7 * SECOND, "n0#1", 4, ServerReport(flow_counts={"s0": (10, 0, 1, 50)}))
    observations.on_report(8 * SECOND, "n0#1", 4, ServerReport(flow_counts={"s0": (14, 0, 1, 70)}))
    observations.on_report(9 * SECOND, "n0#1", 4, ServerReport(flow_counts={"s0": (3, 0, 0, 9)}))
    assert (observations.served["s0"].established, observations.served["s0"].failed) == (17, 1)


def test_a_server_out_for_two_causes_is_in_once_both_have_ended():
    machine, number = StateMachine(), iter(range(100))
    machine.state.servers = [(name, 0, 1, "ready", 1.0, 0) for name in ("s0", "s1")]
    machine.state.settings = {"bounds": {"servers": {"all": 1}}}

    def say(kind, *words):
        return machine.apply(commands.encode(kind(f"c{next(number)}", "test", 0, *words)))[1]

    plan = ["r", "v1", "v2", [["s0"], ["s1"]], 1.0, 1, 1.0, 0.1, 2.0, 9.0, "servers", 5.0]
    assert (
        "s7 is not listed"
        in say(
            commands.BeginRelease,
            releases.Plan("r", "v1", "v2", [["s7"]], 1.0, 1, 1.0, 0.1, 2.0, 9.0, "servers"),
            [],
        )[1]
    )
    assert (
        say(commands.BeginRelease, releases.Plan(*plan), [])[0]
        and say(commands.GrantTurn, "s0", {}, {}, 0)[0]
    )
    assert (
        machine.state.servers_out() == {"s0"}
        and machine.state.release.out_since_version["s0"] == machine.state.version
    )
    assert say(commands.RemoveFromRotation, "s0", False, {})[0] and "1 are out" in say(
        commands.RemoveFromRotation, "s1", False, {}
    )[1].replace("1 of 2", "1")
    assert say(commands.ReturnToRotation, "s0")[1].endswith(
        "release r has it out still"
    ) and machine.state.servers_out() == {"s0"}
    assert say(commands.ReturnToRotation, "s0") == (True, "release r has it out")
    assert (
        say(commands.ChangeStarted, "s0", "v2", {}, {})[0]
        and say(commands.ChangeFinished, "s0", "v2", "")[0]
    )
    assert not machine.state.servers_out() and list(machine.state.returning_servers) == ["s0"]
    assert not say(commands.RemoveFromRotation, "s1", False, {})[0]  # s0 is not seen ready yet
    assert (
        say(commands.ServersSeenReady, machine.state.returning_servers)[0]
        and say(commands.RemoveFromRotation, "s1", False, {})[0]
    )
    assert (
        say(commands.ReturnToRotation, "s1")[0]
        and say(commands.ServersSeenReady, machine.state.returning_servers)[0]
    )
    assert (
        not say(commands.RemoveFromRotation, "s1", False, {"s0": "held for bad"})[0]
        and say(commands.RemoveFromRotation, "s1", True, {"s0": "held for bad"})[0]
    )


async def release_status(bed: ClusterTestBed) -> dict:
    """What the leader says of the release; empty if there is no answer or no release."""
    leader = await bed.calls.leader()
    answer = await bed.calls.call(leader, "release", timeout_s=2.0)
    return answer.body if answer.ok and answer.body["release"] else {}


async def wait_for_release(bed: ClusterTestBed, is_met, timeout_s: float = 60) -> dict:
    """Wait until the release's status meets a condition; return that status."""
    until = time.monotonic() + timeout_s
    body = {}
    while time.monotonic() < until:
        body = await release_status(bed)
        if body and is_met(body):
            return body
        await asyncio.sleep(0.1)
    raise AssertionError(body)


def is_done(body: dict) -> bool:
    """Whether the release is done."""
    return body["release"][3] == Phase.DONE


def running_versions(bed: ClusterTestBed) -> list[str]:
    """The version that each server runs, by its agent's word."""
    return [state.version for state in bed.server_members.agent_states()]


async def release_while_an_agent_dies(bed: ClusterTestBed) -> None:
    """Release a good build; the canary's agent is killed in the middle and started again.

    It goes on or rolls its server back; an operator resumes the release where that halted it.
    """
    step = Step(at_s=0, action=Action.RELEASE, hold_s=1, min_flows=5)
    assert await bed.releases.begin(step) == CallOutcome.YES
    await wait_for_release(bed, lambda body: body["release"][5]["s-0"] == "changing")
    bed.server_members.hosts["s-0"].kill_process()
    bed.server_members.start_agent("s-0")
    body = await wait_for_release(bed, lambda body: body["halted"] or is_done(body))
    if body["halted"]:
        await bed.releases.resume("n1")
        await wait_for_release(bed, is_done)
    assert running_versions(bed) == ["v1"] * 3
    bed.releases.current_version = "v1"


def test_a_release_changes_real_servers_and_a_bad_build_is_rolled_back(tmp_path):
    """Three servers, of which one may be out, at three balancers under load."""

    async def run():
        plan = Plan(
            balancers=3,
            servers=3,
            flows_per_s=80,
            server_agents=True,
            max_unavailable_servers=1,
        )
        bed = ClusterTestBed(plan, tmp_path / "rig")
        try:
            await bed.start()
            await bed.agree_on_bounds(await bed.convergence.wait())
            bed.clients.start()
            await release_while_an_agent_dies(bed)
            step = Step(at_s=0, action=Action.RELEASE, build=Build.ABORTS, hold_s=30, min_flows=5)
            assert await bed.releases.begin(step) == CallOutcome.YES
            body = await wait_for_release(bed, lambda body: body["halted"])
            assert "s-0 failed or rejected" in body["halted"][2], body["halted"]
            report = (await conclude(bed)).to_json()  # which rolls it back
            assert not report["broken"], report
            assert report["ended"] == Phase.ROLLED_BACK, report
            assert report["most_out"] == 1, report
            assert running_versions(bed) == ["v1"] * 3
            assert report["answers"]["UP"] > 500, report
        finally:
            await bed.stop()

    asyncio.run(run())


def test_while_most_balancers_have_not_reported_a_server_goes_out_by_force_only():
    w = Servings(1, 4, 2, voters=3, followers=2)
    w.start()
    w.run(8 * SECOND)
    leader, said = w.leader(), []
    leader.fleet.member.duties.servers.observations.reports.clear()  # as a leader that has just begun
    ask = {"ident": "a", "by": "test", "at": 0, "server": "s0"}
    w.call(
        leader,
        "out",
        ask | {"server": "s1"},
        5 * SECOND,
        lambda ok, body: said.append(("asked", ok)),
    )
    w.call(
        leader,
        "out",
        ask | {"ident": "b", "forced": True},
        SECOND,
        lambda ok, body: said.append(("forced", ok)),
    )
    w.run(SECOND // 2)
    assert said == [("forced", True)] and "server s0 out" in w.release().history[-1].what
    w.run(4 * SECOND)  # they have told it meanwhile
    assert said[1:] == [("asked", True)] and set(w.release().removed_servers) == {"s0", "s1"}
