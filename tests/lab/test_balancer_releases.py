"""Tests of simulated releases and drains of a fleet of balancers, and of the balancer's agent."""

import contextlib
import json
import logging
import os
import subprocess
import sys
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest
from helpers import present
from paths import ROOT

from cypresswalk.fleet.records import FleetState
from cypresswalk.fleet.unavailability import UnavailabilityTracker
from cypresswalk.lab.cluster.simulation import explorer
from cypresswalk.lab.cluster.simulation.balancer_releases import BalancerReleases, run_seed
from cypresswalk.lab.cluster.simulation.release_simulation import NEW_VERSION, OLD_VERSION
from cypresswalk.lab.units import SECOND
from cypresswalk.refusal import CommandError
from cypresswalk.rollout import actions
from cypresswalk.rollout.agent_host import StateFile
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.balancer_agent import BalancerAgent
from cypresswalk.rollout.release import Phase

HISTORY_LINES = 60  # shown for a run that broke a rule


def run_until_over(simulation: BalancerReleases, max_seconds: int = 200) -> FleetState:
    """Begin a release and run it until it is done, rolled back or halted."""
    simulation.start()
    simulation.run(8 * SECOND)
    simulation.begin_release(Random(1))
    for _ in range(max_seconds):
        simulation.run(SECOND)
        agreed = simulation.agreed_state()
        if agreed is not None and is_over(agreed):
            return agreed
    raise AssertionError(simulation.history[-30:])


def is_over(agreed: FleetState) -> bool:
    """Return whether the release has ended or is halted."""
    if agreed.halted:
        return True
    release = agreed.release
    return release is not None and release.phase not in (Phase.RUNNING, Phase.ROLLING_BACK)


@pytest.mark.parametrize("first", range(0, 12, 6))
def test_under_random_faults_bounds_and_halts_hold_and_the_release_can_always_end(first):
    """Rules B1, B2, H and E hold for each seed."""
    for seed in range(first, first + 6):
        outcome = run_seed(seed)
        history = "\n".join(outcome.history[-HISTORY_LINES:])
        assert not outcome.violation, f"{outcome.violation}\n{history}"


@pytest.mark.parametrize(
    "build, why",
    [
        ("aborts", "failed or rejected"),
        ("slow", "ms for a set-up"),
        ("falls", "restarted by itself"),
        ("never_ready", "ERR starting"),
    ],
)
def test_a_bad_build_is_halted_in_the_first_wave(build, why):
    """The halt gives the reason, and at most one member was changed."""
    for seed in range(3):
        agreed = run_until_over(BalancerReleases(seed, 3, 3, 2, build))
        assert agreed.halted, seed
        assert why in agreed.halted[2], (seed, agreed.halted)
        changed = [s for s in present(agreed.release).members.values() if s in ("new", "failed")]
        assert len(changed) <= 1
        assert present(agreed.release).wave == 0


def test_good_builds_are_never_halted():
    """The release completes, whatever the bound."""
    for seed in range(6):
        agreed = run_until_over(BalancerReleases(seed, 3, 3, 1 + seed % 3))
        assert present(agreed.release).phase == Phase.DONE, (seed, agreed.release)
        assert agreed.halted is None, (seed, agreed.halted)


def test_a_fleet_of_one_is_changed_if_the_bound_allows_one_to_be_out():
    """A bound of zero stops the release."""
    simulation = BalancerReleases(1, 1, 0, {"share": 0.5, "least": 1})
    assert present(run_until_over(simulation).release).phase == Phase.DONE
    assert simulation.hosts["n0"].agent.saved.version == NEW_VERSION
    simulation = BalancerReleases(1, 1, 0, {"share": 0.5})  # half of one is none
    with pytest.raises(AssertionError):
        run_until_over(simulation, 30)
    assert simulation.hosts["n0"].agent.saved.version == OLD_VERSION
    assert "1 are out" not in present(simulation.agreed_state()).history[-1].what


def members_without_a_report_count_as_ready(patch):
    """Break a rule: a new leader counts members without a report as ready."""

    def unavailable(self, now, members, departed, unreachable, lapsed):
        return {
            member.name: "not ready"
            for member in members
            if self.readiness.get(member.id, (True, 0))[0] is False
        }

    patch.setattr(UnavailabilityTracker, "unavailable", unavailable)


def grants_are_ended_by_any_report(patch):
    """Break a rule: a delayed report ends the grant of a member that has gone out since."""

    def on_readiness(self, now, member, ready, last_lease):
        self.readiness[member] = ready, now
        leave = self.leaves.get(member.partition("#")[0])
        if leave is not None:
            leave.ready_since = bool(ready)

    patch.setattr(UnavailabilityTracker, "on_readiness", on_readiness)


def the_fleet_is_not_asked_before_the_old_process_is_stopped(patch):
    """Break a rule: an agent that was suspended for long acts on an outdated grant."""
    patch.setattr(BalancerAgent, "confirm_stop", lambda self: iter(()))


def a_grant_is_ended_while_an_agent_works(patch):
    """Break a rule: a ready balancer counts as in service although its agent is changing it."""
    next_ended_grant = UnavailabilityTracker.next_ended_grant

    def with_none_changing(self, now, grants, changing, waiting, unavailable, present):
        return next_ended_grant(self, now, grants, (), waiting, unavailable, present)

    patch.setattr(UnavailabilityTracker, "next_ended_grant", with_none_changing)


@pytest.mark.parametrize(
    "break_rule, seed",
    [
        (members_without_a_report_count_as_ready, 3),
        (grants_are_ended_by_any_report, 21),
        (a_grant_is_ended_while_an_agent_works, 19),
        (the_fleet_is_not_asked_before_the_old_process_is_stopped, 0),
    ],
)
def test_a_deliberately_broken_rule_is_detected(break_rule, seed, monkeypatch):
    """Show that the checks can fail: each seed finds its broken rule."""
    break_rule(monkeypatch)
    assert run_seed(seed).violation


def test_the_same_seed_gives_the_same_run_whatever_the_hash_seed():
    """The order of sets must not influence a run."""
    code = (
        "from cypresswalk.lab.cluster.simulation.balancer_releases import run_seed;"
        "o = run_seed(6, action_count=30);"
        "print(o.violation, o.steps, o.departure_count, o.duration, o.end,"
        " sorted(o.situations.items()))"
    )

    def run_with(hash_seed: str) -> str:
        command = [sys.executable, "-c", code]
        environment = os.environ | {"PYTHONHASHSEED": hash_seed}
        run = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=60, env=environment
        )
        return run.stdout

    outputs = {run_with("1"), run_with("2")}
    assert len(outputs) == 1
    assert "goes out: release" in outputs.pop()


def running_agent() -> BalancerAgent:
    """Return a restarted agent whose process from before still runs."""
    return BalancerAgent("n0", OLD_VERSION, ("a", "b"), AgentState(OLD_VERSION, 7, "a"))


def drive(agent: BalancerAgent, results: dict[type, Any]) -> Iterator[actions.Action]:
    """Yield the agent's actions; each gets the current result for its type, or None."""
    work = agent.run()
    action = work.send(None)
    while True:
        yield action
        action = work.send(results.get(type(action)))


def test_runs_of_a_seed_leave_the_log_levels_as_they_were():
    """A later test in the same process saw no warning of an agent, and failed in CI."""
    loggers = [logging.getLogger(f"cypresswalk.{name}") for name in ("fleet", "rollout")]
    levels = [logger.level for logger in loggers]
    run_seed(1, action_count=0)
    explorer.run_seed(1, action_count=0)
    assert [logger.level for logger in loggers] == levels


def test_an_agent_changes_nothing_while_its_balancer_is_starting():
    """Otherwise two processes listen, and the one that is no fleet member rejects flows."""

    def fleet_calls(readiness_error: str, asked_at: float) -> list[str]:
        """Return the calls until the agent sleeps or begins a change.

        Its clock shows 0 until its first call, and `asked_at` seconds from then on.
        """
        calls = []
        turn = {"status": "out", "since": OLD_VERSION, "to": NEW_VERSION, "phase": "running"}
        results = {
            actions.IsRunning: True,
            actions.CheckReady: readiness_error,
            actions.GenerateToken: "d",
            actions.ReadClock: 0.0,
            actions.CallFleet: actions.CallResult(True, turn),
        }
        for _, action in zip(range(20), drive(running_agent(), results), strict=False):
            if isinstance(action, actions.CallFleet):
                calls.append(action.name)
                results[actions.ReadClock] = asked_at
            if isinstance(action, actions.Sleep) or "release_began" in calls:
                return calls
        raise AssertionError(calls)

    assert fleet_calls("ERR starting", 1.0) == ["turn"]
    assert fleet_calls("", 1.0) == ["turn", "release_began"]
    # A balancer that crashes at each start must still be able to change its version.
    assert fleet_calls("ERR starting", 30.0) == ["turn", "release_began"]


def test_an_agent_logs_that_the_old_process_ended_by_itself_while_the_new_one_starts(caplog):
    """Otherwise the lab takes the flows that were lost with it for flows without an answer."""
    state = AgentState(
        OLD_VERSION,
        7,
        "a",
        target_version=NEW_VERSION,
        new_pid=8,
        change_id="d1",
        step=AgentStep.STARTING_NEW,
    )
    work = BalancerAgent("n0", OLD_VERSION, ("a", "b"), state).start_new()
    results: dict[type, Any] = {actions.ReadClock: 0.0, actions.CheckReady: ""}
    action = next(work)
    with contextlib.suppress(StopIteration):
        while True:
            if isinstance(action, actions.IsRunning):
                results[actions.IsRunning] = action.pid == state.new_pid
            if isinstance(action, actions.Sleep):
                results[actions.ReadClock] += action.seconds
            action = work.send(results.get(type(action)))
    assert state.step is AgentStep.STOPPING_OLD
    assert f"event=ended_by_itself version={OLD_VERSION} pid=7" in caplog.text


@pytest.mark.parametrize("running", [(False,), (True, False)])
def test_an_agent_logs_that_the_old_process_ended_before_it_was_asked_to(running, caplog):
    # Found by reading: it may end after the agent has last seen it run.
    state = AgentState(OLD_VERSION, 7, "a", target_version=NEW_VERSION, new_pid=8)
    agent = BalancerAgent("n0", OLD_VERSION, ("a", "b"), state)
    agent.expects_old_to_run = True
    turn = {"status": "changing", "since": OLD_VERSION, "to": NEW_VERSION, "phase": "running"}
    answers = iter(running)
    actions_done = []
    work = agent.stop_old()
    action = next(work)
    for _ in range(20):
        actions_done.append(action)
        result: Any = None
        if isinstance(action, actions.IsRunning):
            result = action.pid == state.new_pid or next(answers, False)
        elif isinstance(action, actions.CheckReady):
            result = ""
        elif isinstance(action, actions.ReadClock):
            result = 0.0
        elif isinstance(action, actions.CallFleet):
            result = actions.CallResult(True, turn)
        if caplog.text:
            break
        action = work.send(result)
    assert f"event=ended_by_itself version={OLD_VERSION} pid=7" in caplog.text
    assert not any(isinstance(action, actions.StopProcess) for action in actions_done)


def test_an_agent_that_died_before_it_saved_an_agreed_change_reports_it_as_failed():
    """The fleet counts the change as begun; the report ends it and halts the release."""
    turn = {"status": "changing", "since": OLD_VERSION, "to": NEW_VERSION, "phase": "running"}
    results = {
        actions.IsRunning: True,
        actions.GenerateToken: "d",
        actions.ReadClock: 0.0,
        actions.CallFleet: actions.CallResult(True, turn),
    }
    done = []
    for action in drive(running_agent(), results):
        done.append(action)
        assert len(done) < 30, done
        if isinstance(action, actions.CallFleet) and action.name != "turn":
            break
    last = done[-1]
    assert isinstance(last, actions.CallFleet)
    assert last.name == "release_came"
    assert last.args["why"] == "its agent restarted"
    changes = actions.StartProcess | actions.StopProcess
    assert not any(isinstance(action, changes) for action in done)


def test_an_idle_agent_polls_every_two_seconds_and_at_each_step_during_a_release():
    """Each call costs the leader a round trip to the voters."""

    def count_calls(status: str) -> int:
        """Return how often the agent calls the fleet in ten seconds."""
        now = 0.0
        count = 0
        results = {
            actions.IsRunning: True,
            actions.ReadClock: now,
            actions.CallFleet: actions.CallResult(True, {"status": status}),
        }
        for action in drive(running_agent(), results):
            if isinstance(action, actions.CallFleet):
                count += 1
            if isinstance(action, actions.Sleep):
                now += action.seconds
                results[actions.ReadClock] = now
            if now >= 10:
                return count
        raise AssertionError("the agent ended")

    assert count_calls("") == 5
    assert count_calls("old") == 20


def test_the_agents_state_file_is_read_and_written_byte_for_byte(tmp_path):
    """The keys are those of earlier versions of the agent; a damaged file is rejected."""
    before = (
        '{"version": "v1", "pid": 7, "admin": "127.0.0.1:9", "to": "v2", "young": 8, '
        '"step": "beside", "why": "slow", "change": "d1", "failed": true}'
    )
    file = StateFile(tmp_path)
    assert file.load() == AgentState()
    file.path.write_text(before)
    state = file.load()
    assert (state.target_version, state.new_pid, state.reason) == ("v2", 8, "slow")
    assert (state.change_id, state.step) == ("d1", AgentStep.STARTING_NEW)
    file.save(state)
    assert file.path.read_text() == before
    file.save(AgentState())
    assert json.loads(file.path.read_text()) == {
        **{"version": "", "pid": 0, "admin": "", "to": "", "young": 0},
        **{"step": "", "why": "", "change": "", "failed": False},
    }
    for damaged in ("[1]", '{"odd": 1}', "{"):
        file.path.write_text(damaged)
        with pytest.raises(CommandError, match="agent.json"):
            file.load()
