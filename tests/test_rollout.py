"""Never too many balancers or servers out at once by the fleet's own doing."""

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import replace
from random import Random

import pytest
from helpers import PARAMS
from test_together import ROOT, ask, with_cluster

from cypresswalk.agreement.messages import Member as One
from cypresswalk.fleet import commands, disruption_bounds
from cypresswalk.fleet.commands import encode
from cypresswalk.fleet.release_control import (
    ReleaseAction,
    ReleaseControl,
    ReleaseSituation,
    ReleaseStep,
)
from cypresswalk.fleet.shared_settings import objection
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.fleet.unavailability import UnavailabilityTracker
from cypresswalk.lab.cluster.checkers.halts import check_halts
from cypresswalk.lab.cluster.checkers.unavailability import Outage, check_unavailability
from cypresswalk.lab.cluster.plan import Plan as Plan_
from cypresswalk.lab.cluster.plan import Step, read_plan
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.refusal import CommandError
from cypresswalk.rollout import bounds, release
from cypresswalk.rollout import plan as plans
from cypresswalk.rollout.bounds import max_unavailable, violation_reason
from cypresswalk.rollout.evidence import Evidence, ServedCounts, assess
from cypresswalk.rollout.release import Plan


@pytest.mark.parametrize(
    "bound, of, may",
    [
        (2, 10, 2),
        ({"share": 0.34}, 10, 3),
        ({"share": 0.25}, 3, 0),
        ({"share": 0.25, "least": 1}, 3, 1),
        ({"share": 0.1}, 10, 1),
        ({"share": 1.0}, 1, 1),
        ({"share": 0.3}, 10, 3),
    ],
)
def test_a_bound_is_a_number_or_a_share_rounded_down(bound, of, may):
    assert max_unavailable(bound, of) == may


def test_every_wrong_bound_is_named_and_none_comes_into_force():
    wrong = {
        "balancers": {"all": 0, "zone": {"share": 2}, "odd": 1},
        "servers": {"all": {"share": 0.5, "least": -1}},
        "clients": {},
    }
    said = objection(
        PARAMS,
        {
            "serviceTypes": PARAMS["serviceTypes"],
            "limits": PARAMS["limits"],
            "rules": PARAMS["rules"],
            "deductions": {},
            "extra": PARAMS["extra"],
            "tenants": PARAMS["tenants"],
            "instances": 1,
            "bounds": wrong,
        },
    )
    for place in (
        "balancers.all",
        "balancers.zone",
        "balancers.odd",
        "servers.all",
        "bounds.clients",
    ):
        assert place in said
    assert not bounds.objection(
        {"balancers": {"all": 1}, "servers": {"zone": {"share": 0.5, "least": 1}}}
    )


def test_each_zone_and_all_members_have_a_bound_and_lost_members_count():
    zones = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "b3": "b"}
    scopes = {"all": 3, "zone": 1}
    assert not violation_reason(scopes, zones, {"a1": "drained"}, {}, "b1")
    assert "of zone a" in violation_reason(scopes, zones, {}, {"a1": "not heard"}, "a2")
    assert not violation_reason(
        scopes, zones, {}, {"a1": "not heard"}, "a1"
    )  # out already: no further place
    assert violation_reason(
        {"all": 1}, zones, {}, {"b1": "not ready", "b2": "not heard"}, "a1"
    ).startswith("2 of 5 are out and 1 may be: b1 (not ready)")
    assert violation_reason(
        {"all": 1}, zones, {}, {"b1": "not ready", "b2": "not heard"}, "b1"
    )  # it may come back just before it goes
    assert not violation_reason(
        {"all": 1}, zones, {}, {"b1": "not ready", "b2": "not heard"}, "b1", heals=True
    )
    assert violation_reason(
        {"all": 1}, zones, {"a1": "drained"}, {"b1": "not ready"}, "b1", heals=True
    )
    assert violation_reason(
        {"zone": {"share": 0.5}}, {"only": "z"}, {}, {}, "only"
    )  # a zone of one: half of it is none
    assert not violation_reason({"zone": {"share": 0.5, "least": 1}}, {"only": "z"}, {}, {}, "only")


def test_random_commands_never_take_more_out_than_the_bound_allows_unless_forced():
    """Against a plain count: balancers that were granted a place and not returned, servers out by hand or by the list."""
    for seed in range(30):
        chance, machine = Random(seed), StateMachine()
        names = {f"n{i}": f"z{i % 3}" for i in range(chance.choice((1, 2, 5, 9)))}
        servers = {f"s{i}": i % 2 for i in range(chance.choice((1, 4, 10)))}
        most = {
            "balancers": {"all": chance.choice((1, 2, {"share": 0.5})), "zone": 1},
            "servers": {"all": {"share": 0.5, "least": 1}},
        }
        machine.state.settings = {"bounds": most}
        away: set[str] = set()
        coming: set[str] = set()  # servers that are back, and not seen ready yet
        for number in range(200):
            head = (f"c{number}", "test", 0)
            who, server = chance.choice(sorted(names)), chance.choice(sorted(servers))
            kind = chance.choice(
                ("leave", "leave", "return", "out", "out", "back", "seen", "list", "force")
            )
            if kind in ("leave", "force"):
                seen = {name: "not heard" for name in names if chance.random() < 0.1}
                command = commands.GrantLeave(*head, who, "drained", kind == "force", names, seen)
                _, (ok, why) = machine.apply(encode(command))
                gone = (away | set(seen)) - {who}
                fits = (
                    len(gone) + 1 <= max_unavailable(most["balancers"]["all"], len(names))
                    and sum(names[n] == names[who] for n in gone) + 1 <= 1
                )
                assert ok is (fits or kind == "force"), (seed, number, why)
                assert machine.apply(encode(command))[1] == (
                    ok,
                    why,
                )  # asked again: the same answer, no second place
                away |= {who} if ok else set()
            elif kind == "return":
                held = machine.state.leave_grants.get(who, ("other", 0, ""))
                assert not machine.apply(
                    encode(commands.BalancerReturned(*head[:2], 1, who, ("other", 0, "")))
                )[1][0]
                machine.apply(encode(commands.BalancerReturned(f"r{number}", *head[1:], who, held)))
                away.discard(who)
            elif kind == "out":
                before, listed = (
                    set(machine.state.removed_servers),
                    {n: s for n, _, _, s, _, _ in machine.state.servers},
                )
                bad = {name: "held for bad" for name in servers if chance.random() < 0.1}
                seen = {n for n, s in listed.items() if s != "ready"} | set(bad)
                gone = (before | seen | coming) - {server}
                _, (ok, _) = machine.apply(
                    encode(commands.RemoveFromRotation(*head, server, False, bad))
                )
                coming -= {server} if ok else set()
                fits = server in before or len(gone & set(listed)) + 1 <= max_unavailable(
                    most["servers"]["all"], len(listed)
                )
                assert ok is fits, (seed, number)
            elif kind == "back":
                coming |= {server} & set(machine.state.removed_servers)
                machine.apply(encode(commands.ReturnToRotation(*head, server)))
            elif kind == "seen":
                version = machine.state.returning_servers.get(server, 7)
                machine.apply(
                    encode(
                        commands.ServersSeenReady(f"s{number}", *head[1:], {server: version - 1})
                    )
                )  # of an earlier return: no matter
                assert set(machine.state.returning_servers) == coming
                machine.apply(encode(commands.ServersSeenReady(*head, {server: version})))
                coming.discard(server)
            else:
                listing = [
                    (name, zone, 1, "draining" if chance.random() < 0.2 else "ready", 1.0, 0)
                    for name, zone in servers.items()
                ]
                machine.apply(encode(commands.UpdateEndpointList(*head, number, 0, listing)))
            assert set(machine.state.leave_grants) == away


def test_of_two_concurrent_drains_one_is_granted_and_a_lost_balancer_counts(tmp_path):
    async def test(rig):
        _, body = await rig.calls.call("n0", "show")
        settings = body["settings"] | {"bounds": {"balancers": {"all": 1}, "servers": {"all": 1}}}
        assert (
            await rig.calls.command("n0", "offer", base=body["settings_version"], settings=settings)
        )[0] == "yes"
        assert await rig.convergence.wait() is not None
        admin = {name: p.admin for name, p in rig.balancers.items()}
        await ready(rig)
        answers = await asyncio.gather(ask(admin["n3"], "drain-on"), ask(admin["n4"], "drain-on"))
        assert sorted(a[:3] for a in answers) == ["ERR", "OK"], answers
        refused = next(a for a in answers if a != "OK")
        assert "1 of 5 are out and 1 may be" in refused and "drained" in refused
        out = "n3" if answers[0] == "OK" else "n4"
        assert await ask(rig.balancers[out].listen, "PING") == "ERR"
        assert (await ask(admin["n1"], "drain-on")).startswith("ERR not granted")
        assert await ask(admin[out], "drain-on") == "OK"  # twice is once
        rig.balancers[out].kill()
        rig.balancers[out].start()  # a yes to a drain holds over a restart
        assert await rig.convergence.wait() is not None
        assert await ask(rig.balancers[out].listen, "PING") == "ERR"
        assert (await ask(admin["n1"], "drain-on")).startswith("ERR not granted")
        assert await ask(admin[out], "drain-off") == "OK"
        await ready(rig)
        rig.balancers["n4"].kill()  # by itself: a place that is not there any more
        await asyncio.sleep(2.5)
        refused = await ask(admin["n3"], "drain-on")
        assert refused.startswith("ERR not granted") and "n4 (not heard)" in refused
        # By force, at this one alone, recorded.
        assert await ask(admin["n3"], "drain-on-here") == "OK"
        assert await ask(rig.balancers["n3"].listen, "PING") == "ERR"
        _, body = await rig.calls.call("n0", "history")
        assert any("by force" in record[3] and "n3" in record[3] for record in body["history"])
        assert await ask(admin["n3"], "drain-off") == "OK"
        # Servers: one may be out.
        # A leader that has just begun grants nothing until most balancers have told it of servers.
        until = time.monotonic() + 10
        while (
            "did not answer in time" in (said := await ask(admin["n1"], "set-down s-0"))
            and time.monotonic() < until
        ):
            pass
        assert said == "OK"
        assert "1 of 4 are out and 1 may be: s-0" in await ask(admin["n2"], "set-down s-1")
        assert await ask(admin["n2"], "set-up s-0") == "OK"
        # Back, and not seen ready yet: it has its place until most balancers have.
        assert "s-0 (not seen ready again)" in await ask(admin["n2"], "set-down s-1")
        until = time.monotonic() + 15
        while (said := await ask(admin["n2"], "set-down s-1")) != "OK":
            assert (
                "s-0 (not seen ready again)" in said or "did not answer in time" in said
            ) and time.monotonic() < until, said
        # A halt outranks what the bounds would allow, and leaves the way back open.
        assert await ask(admin["n2"], "set-up s-1") == "OK"
        await rig.player.do(Step(at_s=0, action="heal"))
        assert await rig.convergence.wait() is not None
        await ready(rig)
        told = await asyncio.gather(
            rig.calls.command("n1", "halt", why="look at n4"),
            rig.calls.command("n3", "halt", why="me too"),
        )
        assert [result for result, _ in told] == ["yes", "yes"] and told[0][1]["why"] == told[1][1][
            "why"
        ]
        rig.balancers[await rig.calls.leader()].kill()  # whoever leads next knows of it
        other = next(name for name in ("n3", "n4") if rig.balancers[name].process is not None)
        until = time.monotonic() + 10
        while (
            "halted by" not in (said := await ask(admin[other], "drain-on"))
            and time.monotonic() < until
        ):
            assert said.startswith("ERR")
        assert "halted by rig: " in said and "halted by" in await ask(admin[other], "set-down s-2")
        halts = (await rig.calls.call(other, "status"))[1]["halts"]
        assert (await rig.calls.command(other, "resume", halts=halts - 1))[
            0
        ] == "no"  # said before the second halt, and late
        assert (await rig.calls.command(other, "resume", halts=halts))[0] == "yes"
        await rig.player.do(Step(at_s=0, action="heal"))
        assert await rig.convergence.wait() is not None
        await ready(rig)
        # Where nothing can be agreed nothing is done.
        await rig.player.do(Step(at_s=0, action="isolate", balancer="n2"))
        assert (await ask(admin["n2"], "drain-on")).startswith(
            "ERR not granted: the fleet did not answer"
        )
        assert await ask(rig.balancers["n2"].listen, "PING") == "PONG"

    with_cluster(tmp_path, test, balancers=5, flows_per_s=0)


async def ready(rig):
    """Until the leader counts nobody as out."""
    until = time.monotonic() + 15
    while time.monotonic() < until:
        result, body = await rig.calls.call(await rig.calls.leader(), "status", timeout_s=1.0)
        if result == "yes" and not body["seen_out"] and not body["away"]:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(body)


def test_a_slot_is_free_only_after_a_report_sent_once_its_grant_has_expired():
    second, granted, names = 10**9, ("n1 (call)", 7, "drained"), {"n0", "n1"}
    places = UnavailabilityTracker(5 * second)

    def tend(now, away=granted, begun=(), waiting=()):
        out = places.unavailable(
            now, [One("n0#1", True, "", ""), One("n1#1", True, "", "")], [], [], []
        )
        return places.next_ended(
            now, {"n1": away} if away else {}, begun, waiting, set(out) - {"n0"}, names
        )

    assert set(places.unavailable(0, [One("n1#1", True, "", "")], [], [], [])) == {
        "n1"
    }  # a new leader knows nobody
    assert tend(0) is None
    places.on_lease_granted(second, "n1#1", 10)
    places.on_readiness(
        4 * second, "n1#1", True, 10
    )  # said before it went out, four seconds on the way
    assert tend(4 * second) is None
    places.on_lease_granted(4 * second, "n1#1", 11)
    places.on_readiness(5 * second, "n1#1", False, 11)  # it did go
    assert tend(5 * second) is None
    places.on_lease_granted(6 * second, "n1#1", 12)
    places.on_readiness(7 * second, "n1#1", True, 12)
    assert tend(7 * second) == ("n1", granted)
    again = (
        "n1 (call)",
        8,
        "drained",
    )  # it asked anew meanwhile: another grant, nothing known of it
    assert tend(8 * second, again) is None
    # A release: the old process is ready all the while, and its words say nothing of the new one.
    places = UnavailabilityTracker(5 * second)
    assert tend(0, waiting={"n1"}) is None and tend(9 * second, begun={"n1"}) is None
    places.on_lease_granted(9 * second, "n1#1", 20)
    places.on_readiness(9 * second, "n1#1", True, 20)
    assert tend(10 * second) is None
    places.on_readiness(10 * second, "n1#1", True, 20)
    assert tend(10 * second) is None
    places.on_lease_granted(10 * second, "n1#1", 21)
    places.on_readiness(10 * second, "n1#1", True, 21)
    assert tend(10 * second) == ("n1", granted)
    # Its machine is gone: another takes its name, or it leaves.
    places = UnavailabilityTracker(5 * second)
    names.discard("n1")
    assert tend(0) == ("n1", granted)


# Releases: the state machine and the leader's part against a plain model.

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


def test_a_good_release_goes_wave_by_wave_within_the_bound_under_leader_changes():
    for seed in range(6):
        fleet = Fleet(seed)
        while fleet.release.phase == "running" and fleet.now < 900 * 10**9:
            before = dict(fleet.release.members)
            fleet.step()
            if fleet.chance.random() < 0.03:
                fleet.other_leads()
            begun = {
                n for n, s in fleet.release.members.items() if s != "old" and before[n] == "old"
            }
            assert all(name in PLAN.waves[fleet.release.wave] for name in begun)
        assert (
            fleet.release.phase == "done"
            and set(fleet.runs.values()) == {"v2"}
            and fleet.most_out <= 2
        )
        assert fleet.machine.state.halted is None, fleet.machine.state.halted  # no false halt


@pytest.mark.parametrize("how", ["bad", "slow"])
def test_a_bad_release_is_halted_in_its_first_wave_and_rolled_back(how):
    for seed in range(4):
        fleet = Fleet(seed)
        setattr(fleet, how, "v2")
        while fleet.machine.state.halted is None and fleet.now < 300 * 10**9:
            fleet.step()
        assert (
            fleet.release.wave == 0
            and list(fleet.runs.values()).count("v2") == 1
            and "n0" in fleet.machine.state.halted[2]
        )
        for _ in range(50):
            fleet.step()
        assert list(fleet.runs.values()).count("v2") == 1  # it holds
        assert fleet.say(commands.RollBack, "r1")[0]
        fleet.until(("backed",))
        assert set(fleet.runs.values()) == {"v1"}


def test_too_few_flows_give_no_verdict_and_halt_the_release_in_the_end():
    fleet = Fleet(1)
    fleet.rate = 0
    while fleet.machine.state.halted is None and fleet.now < 300 * 10**9:
        fleet.step()
    assert fleet.release.wave == 0 and "nothing is known of wave 0" in fleet.machine.state.halted[2]


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


def test_lost_members_count_a_dead_agent_halts_and_rolling_back_is_always_possible():
    for seed in range(12):
        a_release_among_faults(seed)


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


@pytest.mark.parametrize(
    "mistake",
    [
        slots_are_freed_while_an_agent_works,
        lost_balancers_are_not_counted,
        a_halt_is_forgotten,
        unknown_members_are_taken_for_out,
    ],
)
def test_a_deliberately_broken_rule_is_detected(mistake, monkeypatch):
    mistake(monkeypatch)
    with pytest.raises(AssertionError):
        for seed in range(60):
            a_release_among_faults(seed)


def test_a_wave_that_is_not_observed_is_detected(monkeypatch):
    waves_do_not_wait(monkeypatch)
    with pytest.raises(AssertionError):
        test_a_bad_release_is_halted_in_its_first_wave_and_rolled_back("bad")


def test_a_second_release_is_refused_and_all_errors_of_a_plan_are_named(tmp_path):
    fleet = Fleet(1)
    ok, why = fleet.say(commands.BeginRelease, PLAN, sorted(ZONES))
    assert not ok and "r1 by test is running" in why
    assert fleet.say(commands.RollBack, "r0") == (False, "release r1 by test has come since")
    assert fleet.say(commands.RollBack, "r1")[0] and fleet.release.phase == "backed"
    assert fleet.say(commands.BeginRelease, PLAN, sorted(ZONES)) == (
        False,
        "name: r1 was the last one's",
    )
    file = tmp_path / "r.toml"
    file.write_text(
        'name = "x"\nsince = "v1"\nto = "v1"\nwaves = [["n0", "n9"], [], ["n0"]]\nhold_s = -1\nworse = 2\n'
    )
    with pytest.raises(CommandError) as refusal:
        plans.read_plan(str(file), ZONES, {})
    assert len(str(refusal.value).splitlines()) == 6, refusal.value
    file.write_text('name = "x"\nsince = "v1"\nto = "v2"\nzones = ["z2"]\ncanary = 1\n')
    assert plans.read_plan(str(file), ZONES, {})[3] == [["n2"], ["n5"], ["n0", "n3"], ["n1", "n4"]]
    file.write_text(
        'name = "x"\nsince = "v1"\nto = "v2"\nkind = "servers"\nempty_s = 9\nwaves = [["s1"], ["n0"]]\n'
    )
    with pytest.raises(CommandError) as refusal:
        plans.read_plan(str(file), ZONES, {"s1": "0"})
    assert "n0 is not listed; there are s1" in str(refusal.value)
    assert plans.read_plan(str(file), ZONES, {"s1": "0", "n0": "1"})[-2:] == ["servers", 9.0]


def test_a_failed_member_that_did_not_use_its_second_turn_stays_failed():
    """Else the release would be back with the new version running there."""
    fleet = Fleet(1)
    assert (
        fleet.say(commands.GrantTurn, "n0", ZONES, {}, 1)[0]
        and fleet.say(commands.ChangeStarted, "n0", "v2", ZONES, {})[0]
    )
    fleet.say(commands.ChangeFinished, "n0", "", "its process ended")
    assert fleet.release.members["n0"] == "failed" and fleet.machine.state.halted
    assert fleet.say(commands.Resume, 1)[0]
    fleet.say(commands.BalancerReturned, "n0", fleet.machine.state.leave_grants["n0"])
    assert fleet.say(commands.GrantTurn, "n0", ZONES, {}, 2)[0]
    assert (
        fleet.say(commands.BalancerReturned, "n0", fleet.machine.state.leave_grants["n0"])[0]
        and fleet.release.members["n0"] == "failed"
    )
    assert (
        fleet.say(commands.GrantTurn, "n0", ZONES, {}, 2)[0]
        and fleet.say(commands.RollBack, "r1")[0]
    )
    assert fleet.release.members["n0"] == "failed" and fleet.release.phase == "back"
    # Again and again, or late: one that names another count of halts, or another release, changes nothing.
    assert (
        not fleet.say(commands.ChangeStarted, "n1", "v2", ZONES, {})[0]
        and fleet.machine.state.halted is None
    )
    fleet.say(commands.Halt, "by hand")
    assert not fleet.say(commands.Resume, 1)[0] and fleet.machine.state.halted


def test_a_verdict_needs_enough_flows_and_one_failure_does_not_decide_it():
    others = ServedCounts(10_000, 0, 50, 10_000 * 3_000_000)

    def of(up, rejected, failed, ms=3, against=others):
        return assess(
            PLAN, "n0", ServedCounts(up, rejected, failed, up * ms * 1_000_000), against
        ).verdict

    assert of(9, 0, 1) == "unknown" and of(200, 0, 2) == "good" and of(180, 0, 20) == "bad"
    assert of(196, 0, 4) == "unknown"  # two in a hundred, not surely
    assert (
        of(200, 200, 0) == "bad" and of(200, 0, 0, 9) == "bad" and of(0, 0, 60) == "bad"
    )  # ready, and rejects
    assert (
        of(200, 0, 0, 9, ServedCounts()) == "good"
        and of(200, 200, 0, 3, ServedCounts()) == "unknown"
    )  # nobody to hold it against


def test_evidence_compares_the_same_time_and_with_passed_waves_once_all_are_changed():
    """Else a server lost for a moment, or the last wave, would halt every good release."""
    evidence, served, now = Evidence(), {name: [0, 0, 0, 0] for name in ("n0", "n1", "n2")}, 0

    def step(seconds, members, wave, share=0.0, **odd):
        nonlocal now
        for _ in range(seconds):
            now += 10**9
            for name, counts in served.items():
                failed = round(100 * odd.get(name, share))
                counts[0], counts[2], counts[3] = (
                    counts[0] + 100 - failed,
                    counts[2] + failed,
                    counts[3] + (100 - failed) * 3_000_000,
                )
            evidence.observe(
                now, members, wave, {name: ServedCounts(*counts) for name, counts in served.items()}
            )
        return evidence.first_failure(PLAN, now)

    old = {"n0": "old", "n1": "old", "n2": "old"}
    assert not step(60, old, ["n0"])
    served["n0"] = [0, 0, 0, 0]
    assert not step(
        6, old | {"n0": "new"}, ["n0"], share=0.4
    )  # a server is lost to all, as n0 comes: of its flows nearly half
    assert not step(30, old | {"n0": "new"}, ["n0"], share=0.01) and not evidence.missing(
        PLAN, ["n0"]
    )
    all_new = dict.fromkeys(old, "new")
    assert not step(30, all_new, ["n1", "n2"], share=0.02) and not evidence.missing(
        PLAN, ["n1", "n2"]
    )
    assert step(30, all_new, ["n1", "n2"], share=0.02, n2=0.3).startswith("n2 failed or rejected")


# With real processes: agents that start them, builds in folders.


def test_a_release_changes_real_processes_in_waves_and_a_bad_one_is_rolled_back(tmp_path):
    async def run():
        plan = Plan_(
            balancers=4, zones=2, flows_per_s=120, balancer_agents=True, max_unavailable_balancers=2
        )
        rig = ClusterTestBed(plan, tmp_path / "rig")

        async def phase(*wanted: str, halted: bool = False, span: float = 70) -> dict:
            until, body = time.monotonic() + span, {}
            while time.monotonic() < until:
                result, body = await rig.calls.call(
                    await rig.calls.leader(), "release", timeout_s=2.0
                )
                if result == "yes" and body["release"]:
                    changing = [
                        n for n, s in body["release"][5].items() if s in ("out", "changing")
                    ]
                    assert len(changing) <= 2, body
                    if body["release"][3] in wanted and bool(body["halted"]) is halted:
                        return body
                await asyncio.sleep(0.1)
            raise AssertionError(
                (wanted, body, [rig.balancers[n].agent_state() for n in rig.names])
            )

        async def until(met) -> None:
            end, body = time.monotonic() + 40, {}
            while time.monotonic() < end:
                result, body = await rig.calls.call(
                    await rig.calls.leader(), "release", timeout_s=2.0
                )
                if result == "yes" and body["release"] and met(body["release"]):
                    return
                await asyncio.sleep(0.05)
            raise AssertionError(body)

        async def saved(name: str) -> None:
            """The agent has the change on its disk: one that dies before reports a failed change."""
            end = time.monotonic() + 40
            while not rig.balancers[name].agent_state().target_version:
                assert time.monotonic() < end, rig.balancers[name].agent_state()
                await asyncio.sleep(0.01)

        try:
            await rig.start()
            await rig.agree_on_bounds(await rig.convergence.wait())
            rig.clients.start()
            assert await rig.releases.begin(Step(at_s=0, action="release")) == "yes"
            # Its agent dies in the middle: the balancers do not, and the next one goes on.
            await until(lambda release: release[5]["n0"] == "changing")
            await saved("n0")
            rig.balancers["n0"].kill_agent()
            rig.balancers["n0"].start()
            refused = await rig.calls.command(
                "n1",
                "release_begin",
                plan=["other", "v0", "v9", [["n1"]], 1.0, 1, 1.0, 0.1, 2.0, 9.0],
            )
            assert refused[0] == "no" and "r1 by rig is running" in refused[1]["why"]
            # Whoever leads dies in the second wave, and is started again by its agent.
            await until(lambda release: release[4] == 1)
            leader = await rig.calls.leader()
            rig.balancers[leader].kill_balancer()
            await phase("done")
            assert [rig.balancers[n].agent_state().version for n in rig.names] == ["v1"] * 4
            assert await rig.convergence.wait() is not None
            boots = [(await rig.calls.call(n, "local"))[1]["boot"] for n in rig.names]
            assert all(boot == 2 + (name == leader) for name, boot in zip(rig.names, boots)), (
                boots,
                leader,
            )
            # One that says that it is ready and rejects every flow: found in the first wave, by what it served.
            rig.releases.current_version = "v1"
            assert (
                await rig.releases.begin(Step(at_s=0, action="release", build="rejects")) == "yes"
            )
            body = await phase("running", halted=True)
            assert "n0 failed or rejected" in body["halted"][2] and body["release"][4] == 0, body
            assert [rig.balancers[n].agent_state().version for n in rig.names] == [
                "v2",
                "v1",
                "v1",
                "v1",
            ]
            assert (await rig.calls.command("n2", "release_back", release="r0"))[0] == "no"
            report = (await conclude(rig)).to_json()  # a person takes it back
            assert not report["broken"] and report["ended"] == "backed", report
            assert [rig.balancers[n].agent_state().version for n in rig.names] == ["v1"] * 4
            assert report["answers"].get("UP", 0) > 1000 and report["told_to_leave"] == 6
        finally:
            await rig.stop()

    asyncio.run(run())


def test_releases_of_real_processes_under_plans_drawn_from_seeds(tmp_path):
    """Each in processes of its own, as by hand."""
    words = [
        sys.executable,
        "-m",
        "cypresswalk",
        "lab",
        "together",
        "--release",
        "--seconds",
        "16",
        "--seed",
    ]
    runs = [
        subprocess.Popen(
            [*words, str(seed), "--out", str(tmp_path / str(seed))],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in (2, 5, 9)
    ]
    for run in runs:
        said, _ = run.communicate(timeout=240)
        assert run.returncode == 0, said[-3000:]
        report = json.loads(said[said.rindex("\n{") : said.rindex("}") + 1])
        assert report["ended"] in ("done", "backed") and report["most_out"] <= report["bound"], (
            report
        )


def test_a_history_with_too_many_out_or_an_ignored_halt_is_detected():
    s = 10**9
    own = [Outage("n0", 10 * s, 20 * s, "changed"), Outage("n1", 15 * s, 25 * s, "changed")]
    assert check_unavailability(own, [], [], 2, [], 0) == (2, 2, [])
    assert check_unavailability(own, [], [], 1, [], 0)[2] == [
        "n0, n1 are out at once by the program's doing, 1 may be"
    ]
    lost, went = [Outage("n2", 2 * s, 40 * s, "lost")], [(18 * s, "n1", "release")]
    assert check_unavailability(own[1:], lost, went, 2, [], 0) == (1, 2, [])
    assert (
        "n1 went out (release) while n2 were out or lost"
        in check_unavailability(own[1:], lost, went, 1, [], 0)[2][0]
    )
    assert (
        check_unavailability(own[1:], [Outage("n2", 14 * s, 40 * s, "lost")], went, 1, [], 0)[2]
        == []
    )  # nobody could know yet
    # On the way back one that fell over is healed by it.
    assert (
        check_unavailability(
            own[1:], [*lost, Outage("n1", 3 * s, 40 * s, "lost")], went, 1, [5 * s], 0
        )[2]
        == []
    )
    assert check_halts(went, [(15 * s, 16 * s)], [], [], 2 * s) == (2 * s, [])
    assert check_halts(went, [(15 * s, 15 * s)], [], [], 2 * s)[1] == [
        "n1 went out (release) 3.00 s after a yes to a halt"
    ]
    assert check_halts(went, [(15 * s, 15 * s)], [16 * s], [], 2 * s)[1] == []  # resumed meanwhile
    assert check_halts(went, [(15 * s, 15 * s)], [], [16 * s], 2 * s)[1] == []  # the way back


def test_a_plan_with_releases_and_no_agents_is_refused(tmp_path):
    file = tmp_path / "plan.toml"
    file.write_text(
        '[[step]]\nat_s = 1\ndo = "release"\n[[step]]\nat_s = 2\ndo = "release"\nbuild = "odd"\n'
    )
    with pytest.raises(CommandError) as refusal:
        read_plan(str(file))
    assert "build" in str(refusal.value)
    file.write_text('[[step]]\nat_s = 1\ndo = "drain"\nwho = "n1"\n')
    with pytest.raises(CommandError) as refusal:
        read_plan(str(file))
    assert "drain needs agents = true" in str(refusal.value)
