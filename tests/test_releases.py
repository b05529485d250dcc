"""Releases and drains of a whole fleet in virtual time: the fleet's own code and the agents' own, with faults and calls by a seed."""

import json
import os
import subprocess
import sys
from pathlib import Path
from random import Random

import pytest

from cypresswalk.fleet.records import FleetState
from cypresswalk.fleet.unavailability import UnavailabilityTracker
from cypresswalk.lab.cluster.releases import NEW, OLD, SECOND, Releases, plan_for, run_seed
from cypresswalk.refusal import CommandError
from cypresswalk.rollout import actions
from cypresswalk.rollout.agent_host import StateFile
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.balancer_agent import BalancerAgent

ROOT = Path(__file__).parent.parent


def until_over(w: Releases, span: int = 200) -> FleetState:
    """Until the release is done, back or halted."""
    w.start()
    w.run(8 * SECOND)
    w.tell("release_begin", {"plan": plan_for(sorted(w.machines), Random(1))}, span=20 * SECOND)
    for _ in range(span):
        w.run(SECOND)
        agreed = w.release()
        if agreed is not None and (
            agreed.halted
            or agreed.release is not None
            and agreed.release.phase not in ("running", "back")
        ):
            return agreed
    raise AssertionError(w.history[-30:])


@pytest.mark.parametrize("first", range(0, 12, 6))
def test_under_random_faults_bounds_and_halts_hold_and_the_release_can_always_end(first):
    for seed in range(first, first + 6):
        outcome = run_seed(seed)
        assert not outcome.broken, outcome.broken + "\n" + "\n".join(outcome.history[-60:])


@pytest.mark.parametrize(
    "build, why",
    [
        ("aborts", "failed or rejected"),
        ("slow", "ms for a set-up"),
        ("falls", "began anew by itself"),
        ("never_ready", "ERR starting"),
    ],
)
def test_a_bad_build_is_halted_in_the_first_wave(build, why):
    for seed in range(3):
        agreed = until_over(Releases(seed, 3, 3, 2, build))
        assert agreed.halted and why in agreed.halted[2], (seed, agreed.halted)
        assert (
            sum(status in ("new", "failed") for status in agreed.release.members.values()) <= 1
            and agreed.release.wave == 0
        )


def test_good_builds_are_never_halted():
    for seed in range(6):
        agreed = until_over(Releases(seed, 3, 3, 1 + seed % 3))
        assert agreed.release.phase == "done" and agreed.halted is None, (seed, agreed.halted)


def test_a_fleet_of_one_is_changed_if_the_bound_allows_one_to_be_out():
    w = Releases(1, 1, 0, {"share": 0.5, "least": 1})
    assert until_over(w).release.phase == "done" and w.machines["n0"].saved.version == NEW
    w = Releases(1, 1, 0, {"share": 0.5})  # half of one is none
    with pytest.raises(AssertionError):
        until_over(w, 30)
    assert w.machines["n0"].saved.version == OLD and "1 are out" not in w.release().history[-1].what


def unheard_members_count_as_ready(patch):
    """A new leader counts those it has not heard as ready."""
    patch.setattr(
        UnavailabilityTracker,
        "unavailable",
        lambda self, now, members, departed, unheard, lapsed: {
            m.name: "not ready" for m in members if self.readiness.get(m.id, (True, 0))[0] is False
        },
    )


def slots_are_freed_by_any_report(patch):
    """A word that was on its way for long frees the place of who has gone out since."""

    def on_readiness(self, now, member, ready, last_lease):
        self.readiness[member] = ready, now
        leave = self.leaves.get(member.partition("#")[0])
        if leave is not None:
            leave.ready_since = bool(ready)

    patch.setattr(UnavailabilityTracker, "on_readiness", on_readiness)


def the_fleet_is_not_asked_before_the_old_process_is_stopped(patch):
    patch.setattr(BalancerAgent, "confirm_stop", lambda self: iter(()))


def a_slot_is_freed_while_an_agent_works(patch):
    next_ended = UnavailabilityTracker.next_ended
    patch.setattr(
        UnavailabilityTracker,
        "next_ended",
        lambda self, now, grants, changing, waiting, unavailable, present: next_ended(
            self, now, grants, (), waiting, unavailable, present
        ),
    )


@pytest.mark.parametrize(
    "mistake, seed",
    [
        (unheard_members_count_as_ready, 3),
        (slots_are_freed_by_any_report, 21),
        (a_slot_is_freed_while_an_agent_works, 19),
        (the_fleet_is_not_asked_before_the_old_process_is_stopped, 0),
    ],
)
def test_a_deliberately_broken_rule_is_detected(mistake, seed, monkeypatch):
    mistake(monkeypatch)
    assert run_seed(seed).broken


def test_the_same_seed_gives_the_same_run_whatever_the_hash_seed():
    code = (
        "from cypresswalk.lab.cluster.releases import run_seed; o = run_seed(6, acts=30);"
        "print(o.broken, o.steps, o.went, o.took, o.end, sorted(o.situations.items()))"
    )
    told = {
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    }
    assert len(told) == 1 and "goes out: release" in told.pop()


def test_an_agent_changes_nothing_while_its_balancer_is_starting():
    """Else two processes listen at one port, and the one without a part in the fleet rejects what comes to it."""

    def asked(check: str, since: float) -> list[str]:
        work, said, answer = (
            BalancerAgent("n0", OLD, ("a", "b"), AgentState(OLD, 7, "a")).run(),
            [],
            None,
        )
        for _ in range(20):
            want = work.send(answer)
            said += [want.name] if isinstance(want, actions.CallFleet) else []
            answer = {
                actions.IsRunning: True,
                actions.CheckReady: check,
                actions.DrawToken: "d",
                actions.ReadClock: since if "turn" in said else 0.0,
            }.get(type(want))
            if isinstance(want, actions.CallFleet):
                answer = True, {"status": "out", "since": OLD, "to": NEW, "phase": "running"}
            if isinstance(want, actions.Sleep) or "release_began" in said:
                return said
        raise AssertionError(said)

    assert asked("ERR starting", 1.0) == ["turn"]
    assert asked("", 1.0) == ["turn", "release_began"]
    assert asked("ERR starting", 30.0) == [
        "turn",
        "release_began",
    ]  # a crash loop must find the way back


def test_an_agent_that_died_before_it_wrote_an_agreed_change_down_reports_it_as_failed():
    """Nothing was done, and what the fleet holds for begun has to end; the release halts by it."""
    work = BalancerAgent("n0", OLD, ("a", "b"), AgentState(OLD, 7, "a")).run()
    answers = {
        actions.IsRunning: True,
        actions.DrawToken: "d",
        actions.ReadClock: 0.0,
        actions.CallFleet: (
            True,
            {"status": "changing", "since": OLD, "to": NEW, "phase": "running"},
        ),
    }
    wanted, answer = [], None
    while not (wanted and isinstance(wanted[-1], actions.CallFleet) and wanted[-1].name != "turn"):
        wanted.append(work.send(answer))
        assert len(wanted) < 30, wanted
        answer = answers.get(type(wanted[-1]))
    assert wanted[-1].name == "release_came"
    assert wanted[-1].args["why"] == "its agent began anew"
    assert not any(isinstance(want, actions.StartProcess | actions.EndProcess) for want in wanted)


def test_an_idle_agent_polls_every_two_seconds_and_at_each_step_during_a_release():
    """Each call costs who leads a round of the voters: of 200 idle agents more words than of all else."""

    def asks(status: str) -> int:
        work, now, count, answer = (
            BalancerAgent("n0", OLD, ("a", "b"), AgentState(OLD, 7, "a")).run(),
            0.0,
            0,
            None,
        )
        while now < 10:
            want = work.send(answer)
            count += isinstance(want, actions.CallFleet)
            now += want.seconds if isinstance(want, actions.Sleep) else 0.0
            answer = {
                actions.IsRunning: True,
                actions.ReadClock: now,
                actions.CallFleet: (True, {"status": status}),
            }.get(type(want))
        return count

    assert asks("") == 5 and asks("old") == 20


def test_the_agents_state_file_is_read_and_written_byte_for_byte(tmp_path):
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
