"""Releases of servers in virtual time: the fleet's and the agents' own code, faults by a seed."""

from random import Random

import pytest

from cypresswalk.fleet.leader import LeaderDuties
from cypresswalk.fleet.server_observations import ServerObservations
from cypresswalk.lab.cluster.simulation.server_releases import ServerReleases, run_seed
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout import release as releases
from cypresswalk.rollout.server_agent import ServerAgent

HISTORY_LINES = 60  # shown of a run that broke a rule


@pytest.mark.parametrize("first", range(0, 24, 8))
def test_under_random_faults_bounds_and_halts_hold_and_the_release_can_always_end(first):
    for seed in range(first, first + 8):
        outcome = run_seed(seed)
        history = "\n".join(outcome.history[-HISTORY_LINES:])
        assert not outcome.violation, f"{outcome.violation}\n{history}"


def views_are_taken_for_settled(patch):
    """Servers are stopped though a balancer acts on the version before."""
    patch.setattr(LeaderDuties, "all_act_on", lambda self, version, now: True)


def servers_are_not_drained(patch):
    """An agent stops its server with flows there."""
    patch.setattr(ServerAgent, "wait_until_drained", lambda self: iter(()))
    patch.setattr(ServerAgent, "stop_objection", lambda self, turn: "")


def bad_servers_are_not_counted(patch):
    """Unhealthy servers take no place of those that may be out."""
    patch.setattr(ServerObservations, "unhealthy", lambda self, now, members: {})


def the_fleet_is_not_asked_before_a_server_is_stopped(patch):
    """An agent that has slept for long goes on with what was agreed before."""

    def confirm_stop(self):
        return ""
        yield

    patch.setattr(ServerAgent, "confirm_stop", confirm_stop)


def a_turn_ends_while_its_agent_works(patch):
    """A server that is seen ready counts as unchanged, though its agent is changing it."""
    returned = releases.end_unused_turn

    def careless(now, name):
        returned(now, name)
        if now.members.get(name) == "changing":
            now.members[name] = "old"

    patch.setattr(releases, "end_unused_turn", careless)


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
    world = ServerReleases(1, 6, 2, build, voters=3, followers=1)
    world.drains.slow_share = 0.0
    world.start()
    world.run(8 * SECOND)
    world.begin_release(Random(1))
    for _ in range(90):
        world.run(SECOND)
        agreed = world.agreed_state()
        if agreed is not None and agreed.halted:
            break
    agreed = world.agreed_state()
    assert agreed.halted
    assert why in agreed.halted[2], agreed.halted
    assert agreed.release.wave == 0
    unchanged = [host for host in world.hosts.values() if host.running_version() == "v1"]
    assert len(unchanged) >= 5


def test_while_most_balancers_have_not_reported_a_server_goes_out_by_force_only():
    world = ServerReleases(1, 4, 2, voters=3, followers=2)
    world.start()
    world.run(8 * SECOND)
    leader = world.leader()
    # As a leader that has just begun.
    leader.fleet.member.duties.servers.observations.reports.clear()
    answers: list[tuple[str, bool]] = []

    def take_out(label: str, timeout: int, **args) -> None:
        """Call for a server to be taken out; the answer is recorded under the label."""
        args = {"ident": label, "by": "test", "at": 0, "server": "s0"} | args
        world.call(leader, "out", args, timeout, lambda ok, body: answers.append((label, ok)))

    take_out("asked", 5 * SECOND, server="s1")
    take_out("forced", SECOND, forced=True)
    world.run(SECOND // 2)
    assert answers == [("forced", True)]
    assert "server s0 out" in world.agreed_state().history[-1].what
    world.run(4 * SECOND)  # balancers have reported meanwhile
    assert answers[1:] == [("asked", True)]
    assert set(world.agreed_state().removed_servers) == {"s0", "s1"}
