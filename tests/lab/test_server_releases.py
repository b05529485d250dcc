"""Tests of simulated releases of servers: the fleet's and agents' code under random faults."""

from random import Random

import pytest
from helpers import present

from cypresswalk.fleet.leader import LeaderDuties
from cypresswalk.fleet.server_observations import ServerObservations
from cypresswalk.lab.cluster.simulation.server_releases import ServerReleases, run_seed
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout import release as releases
from cypresswalk.rollout.server_agent import ServerAgent

HISTORY_LINES = 60  # shown for a run that broke a rule


@pytest.mark.parametrize("first", range(0, 24, 8))
def test_under_random_faults_bounds_and_halts_hold_and_the_release_can_always_end(first):
    for seed in range(first, first + 8):
        outcome = run_seed(seed)
        history = "\n".join(outcome.history[-HISTORY_LINES:])
        assert not outcome.violation, f"{outcome.violation}\n{history}"


def views_are_taken_for_settled(patch):
    """Break a rule: servers are stopped while a balancer acts on the previous version."""
    patch.setattr(LeaderDuties, "all_act_on", lambda self, version, now: True)


def servers_are_not_drained(patch):
    """Break a rule: an agent stops its server while flows are open."""
    patch.setattr(ServerAgent, "wait_until_drained", lambda self: iter(()))
    patch.setattr(ServerAgent, "stop_objection", lambda self, turn: "")


def unhealthy_servers_are_not_counted(patch):
    """Break a rule: unhealthy servers do not count against the bound."""
    patch.setattr(ServerObservations, "unhealthy", lambda self, now, members: {})


def the_fleet_is_not_asked_before_a_server_is_stopped(patch):
    """Break a rule: an agent that was suspended for long acts on an outdated grant."""

    def confirm_stop(self):
        return ""
        yield

    patch.setattr(ServerAgent, "confirm_stop", confirm_stop)


def a_turn_ends_while_its_agent_works(patch):
    """Break a rule: a ready server counts as unchanged although its agent is changing it."""
    end_unused_turn = releases.end_unused_turn

    def end_turn_of_changing_server(release, name):
        end_unused_turn(release, name)
        if release.members.get(name) == "changing":
            release.members[name] = "old"

    patch.setattr(releases, "end_unused_turn", end_turn_of_changing_server)


@pytest.mark.parametrize(
    "break_rule, seed",
    [
        (views_are_taken_for_settled, 24),
        (servers_are_not_drained, 0),
        (unhealthy_servers_are_not_counted, 1),
        (the_fleet_is_not_asked_before_a_server_is_stopped, 46),
        (a_turn_ends_while_its_agent_works, 13),
    ],
)
def test_a_deliberately_broken_rule_is_detected(break_rule, seed, monkeypatch):
    break_rule(monkeypatch)
    assert run_seed(seed).violation


@pytest.mark.parametrize(
    "build, why",
    [
        ("aborts", "failed or rejected"),
        ("falls", "became unhealthy again"),
        ("never_ready", "v1 again: answers"),
    ],
)
def test_bad_build_of_a_server_is_halted_in_the_first_wave(build, why):
    simulation = ServerReleases(1, 6, 2, build, voters=3, followers=1)
    simulation.drains.slow_share = 0.0
    simulation.start()
    simulation.run(8 * SECOND)
    simulation.begin_release(Random(1))
    for _ in range(90):
        simulation.run(SECOND)
        agreed = simulation.agreed_state()
        if agreed is not None and agreed.halted:
            break
    agreed = present(simulation.agreed_state())
    assert agreed.halted
    assert why in agreed.halted[2], agreed.halted
    assert present(agreed.release).wave == 0
    unchanged = [host for host in simulation.hosts.values() if host.running_version() == "v1"]
    assert len(unchanged) >= 5


def test_while_most_balancers_have_not_reported_a_server_goes_out_by_force_only():
    simulation = ServerReleases(1, 4, 2, voters=3, followers=2)
    simulation.start()
    simulation.run(8 * SECOND)
    leader = present(simulation.leader())
    # Simulate a leader that was elected just now and has no reports yet.
    present(present(leader.fleet).member).duties.servers.observations.reports.clear()
    answers: list[tuple[str, bool]] = []

    def take_out(label: str, timeout: int, **args) -> None:
        """Request that a server is taken out; record the answer under the label."""
        args = {"ident": label, "by": "test", "at": 0, "server": "s0"} | args
        simulation.call(leader, "out", args, timeout, lambda ok, body: answers.append((label, ok)))

    take_out("asked", 5 * SECOND, server="s1")
    take_out("forced", SECOND, forced=True)
    simulation.run(SECOND // 2)
    assert answers == [("forced", True)]
    assert "server s0 out" in present(simulation.agreed_state()).history[-1].what
    simulation.run(4 * SECOND)  # the balancers report meanwhile
    assert answers[1:] == [("asked", True)]
    assert set(present(simulation.agreed_state()).removed_servers) == {"s0", "s1"}
