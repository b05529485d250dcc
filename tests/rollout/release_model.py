"""A plain model of a fleet under a release, and deliberately broken rules for its tests."""

from dataclasses import replace
from random import Random

from cypresswalk.fleet import commands, disruption_bounds
from cypresswalk.fleet.commands import encode
from cypresswalk.fleet.release_control import (
    ReleaseAction,
    ReleaseControl,
    ReleaseSituation,
    ReleaseStep,
)
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.rollout import release
from cypresswalk.rollout.bounds import violation_reason
from cypresswalk.rollout.evidence import ServedCounts
from cypresswalk.rollout.release import Plan

PLAN = Plan(
    "r1", "v1", "v2", [["n0"], ["n1", "n2"], ["n3", "n4", "n5"]], 10.0, 50, 3.0, 0.01, 1.5, 30.0
)


ZONES = {f"n{i}": f"z{i % 3}" for i in range(6)}


class Fleet:
    """Agents, a leader that may change, and what balancers serve, round the agreed state machine."""

    def __init__(self, seed: int, most: int = 2):
        self.chance, self.machine, self.now, self.number = Random(seed), StateMachine(), 0, 0
        self.machine.state.settings = {"bounds": {"balancers": {"all": most}}}
        self.leader, self.most = ReleaseControl(), most
        self.runs = dict.fromkeys(ZONES, "v1")
        self.served = {name: [0, 0, 0, 0] for name in ZONES}
        self.doing: dict[str, str] = {}
        self.bad = ""  # a version that fails a tenth of its flows
        self.slow = ""
        self.dead: set[str] = set()
        self.unheard: set[str] = set()  # by a new leader
        self.most_out = 0
        self.rate = 20
        assert self.say(commands.BeginRelease, PLAN, sorted(ZONES))[0]

    def say(self, kind, *words):
        self.number += 1
        return self.machine.apply(encode(kind(f"c{self.number}", "test", 0, *words)))[1]

    @property
    def release(self):
        return self.machine.state.release

    def other_leads(self) -> None:
        self.leader, self.unheard = ReleaseControl(), set(ZONES)

    def step(self, seconds: float = 0.2) -> None:
        self.now += int(seconds * 10**9)
        for name, runs in self.runs.items():
            if name in self.dead:
                continue
            for _ in range(self.rate):
                failed = (
                    runs == self.bad and self.chance.random() < 0.1 or self.chance.random() < 0.005
                )
                self.served[name][2 if failed else 0] += 1
                self.served[name][3] += (
                    0 if failed else 9_000_000 if runs == self.slow else 3_000_000
                )
        self.unheard = {name for name in sorted(self.unheard) if self.chance.random() < 0.7}
        seen = dict.fromkeys(self.unheard, "has not said that it is ready") | dict.fromkeys(
            self.dead, "not heard"
        )
        situation = ReleaseSituation(
            self.release,
            self.machine.state.halted is not None,
            {name: ServedCounts(*s) for name, s in self.served.items() if name not in self.dead},
            set(seen),
            set(self.machine.state.leave_grants),
            {},
        )
        action = self.leader.next_action(self.now, situation)
        if action is not None:
            kind, words = {
                ReleaseStep.GRANT_TURN: (commands.GrantTurn, (action.name, ZONES, seen, 0)),
                ReleaseStep.PASS_WAVE: (commands.WaveObserved, (action.wave,)),
                ReleaseStep.HALT: (commands.Halt, (action.reason,)),
            }[action.step]
            self.say(kind, *words)
        for name, status in list(self.release.members.items()):
            if name in self.dead:
                continue
            to = "v1" if self.release.phase == "back" else "v2"
            if (
                status == "out"
                and self.chance.random() < 0.5
                and self.say(commands.ChangeStarted, name, to, ZONES, seen)[0]
            ):
                self.doing[name] = to
            elif status == "changing" and self.chance.random() < 0.3:
                self.runs[name] = self.doing.get(name, self.runs[name])
                self.served[name] = [0, 0, 0, 0]
                self.say(commands.ChangeFinished, name, self.runs[name], "")
            elif (
                status != "changing" and name in self.machine.state.leave_grants and status != "out"
            ):
                self.say(commands.BalancerReturned, name, self.machine.state.leave_grants[name])
        changing = {
            name for name, status in self.release.members.items() if status in ("out", "changing")
        }
        self.most_out = max(self.most_out, len(changing))
        assert len(changing) <= self.most or self.dead

    def until(self, phases: tuple, seconds: float = 600) -> None:
        end = self.now + int(seconds * 10**9)
        while self.release.phase not in phases and self.now < end:
            self.step()
        assert self.release.phase in phases, (
            self.release,
            self.machine.state.halted,
            self.leader.waits_for,
        )


def a_release_among_faults(seed: int) -> None:
    fleet = Fleet(seed)
    halted_at = None
    for _ in range(2000):
        draw = fleet.chance.random()
        if draw < 0.05 and len(fleet.dead) < 2:
            fleet.dead.add(fleet.chance.choice(sorted(ZONES)))
            if fleet.chance.random() < 0.5:
                fleet.other_leads()  # it led
        elif draw < 0.09 and fleet.dead:
            fleet.dead.discard(fleet.chance.choice(sorted(fleet.dead)))
        elif draw < 0.1:
            fleet.other_leads()
        elif draw < 0.103:
            fleet.say(commands.Halt, "by hand")
        elif draw < 0.13:
            fleet.say(commands.Resume, fleet.machine.state.halt_count)
        before = {n for n, s in fleet.release.members.items() if s in ("out", "changing")}
        halted_at = fleet.machine.state.halted
        fleet.step()
        after = {n for n, s in fleet.release.members.items() if s in ("out", "changing")}
        if (
            halted_at is not None
            and fleet.machine.state.halted is not None
            and fleet.release.phase == "running"
        ):
            assert not after - before  # nothing goes out under a halt
        if after - before:
            assert len(after | fleet.dead) <= fleet.most + len(fleet.dead & after)
    fleet.dead.clear()
    fleet.say(commands.RollBack, "r1")
    fleet.until(("backed",), 900)
    assert set(fleet.runs.values()) == {"v1"}


def slots_are_freed_while_an_agent_works(patch):
    """As if a grant that nobody was seen to use were free while its agent works."""
    returned = release.returned

    def careless(now, name):
        returned(now, name)
        now.members[name] = "old" if now.members.get(name) == "changing" else now.members.get(name)

    patch.setattr(release, "returned", careless)
    step = Fleet.step

    def freeing(self, seconds=0.2):
        for name in sorted(self.machine.state.leave_grants):
            if self.chance.random() < 0.05:
                self.say(commands.BalancerReturned, name, self.machine.state.leave_grants[name])
        step(self, seconds)

    patch.setattr(Fleet, "step", freeing)


def lost_balancers_are_not_counted(patch):
    patch.setattr(
        disruption_bounds,
        "violation_reason",
        lambda scopes, zones, granted, seen, who, heals: violation_reason(
            scopes, zones, granted, {}, who
        ),
    )


def a_halt_is_forgotten(patch):
    may_go, next_action = release.may_go, ReleaseControl.next_action
    patch.setattr(release, "may_go", lambda now, name, halted: may_go(now, name, False))
    patch.setattr(
        "cypresswalk.fleet.release_control.may_go",
        lambda now, name, halted: may_go(now, name, False),
    )
    patch.setattr(
        ReleaseControl,
        "next_action",
        lambda self, now, situation: next_action(self, now, replace(situation, halted=False)),
    )


def waves_do_not_wait(patch):
    patch.setattr(
        release,
        "held",
        lambda now, wave: setattr(now, "wave", min(now.wave + 1, len(now.plan.waves) - 1)) or "",
    )
    observe = ReleaseControl._observe_wave
    patch.setattr(
        ReleaseControl,
        "_observe_wave",
        lambda self, now, what, wave: (
            observe(self, now, what, wave) or ReleaseAction(ReleaseStep.PASS_WAVE, wave=what.wave)
        ),
    )


def unknown_members_are_taken_for_out(patch):
    """As a new leader once did: who has not said anything yet is out already, and may go."""
    patch.setattr(
        disruption_bounds,
        "violation_reason",
        lambda scopes, zones, granted, seen, who, heals: violation_reason(
            scopes, zones, granted, seen, who, who in seen
        ),
    )
