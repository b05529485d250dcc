"""Releases of a fleet in virtual time: the fleet's own code (virtual.py) and the agents' own (rollout/duty.py), with modelled machines
under them: processes that start, stand side by side, serve, fall over. Faults and operators' calls by a seed; held after every step:

- B1 no more are out by the program's own doing than the bound allows, whatever else is lost;
- B2 nobody goes out while those that are lost, for as long as anybody could know, take the last place;
- H  nobody goes out for a release later than 2 s after a yes to a halt, nor by call;
- E  all faults lifted, a person's word given: the release comes to its end, or back, and nobody is out."""

import copy
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.fleet.applied_view import CALLED_BACK, DRAINED
from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.fleet.unavailability import LEAVE_WINDOW
from cypresswalk.lab.cluster.virtual import (
    MILLISECOND,
    SECOND,
    Broken,
    Process,
    VirtualFleet,
    World,
)
from cypresswalk.rollout.actions import (
    CallFleet,
    CheckReady,
    DrawToken,
    EndProcess,
    FindStartedProcess,
    IsRunning,
    ReadClock,
    SaveState,
    Sleep,
    StartProcess,
)
from cypresswalk.rollout.agent_state import AgentState
from cypresswalk.rollout.balancer_agent import BalancerAgent
from cypresswalk.rollout.bounds import max_unavailable
from cypresswalk.rollout.change_agent import MAX_GRANT_AGE

KNOWN = (
    8 * SECOND
)  # so long after one was lost that whoever leads must know: heard last, a link's delay, a read's age
HALTED = int((MAX_GRANT_AGE + 0.1) * SECOND)
OLD, NEW = "v1", "v2"
# Builds: what part of its flows one fails, how many milliseconds a set-up takes it, when it falls over, whether it is ever ready.
BUILDS = {
    "good": (0.0, 3, None, True),
    "aborts": (0.1, 3, None, True),
    "slow": (0.0, 9, None, True),
    "falls": (0.0, 3, 10.0, True),
    "never_ready": (0.0, 3, None, False),
}


@dataclass
class Running:
    """A process of a balancer."""

    pid: int
    version: str
    admin: str
    ready_at: int
    leaving: bool = False
    served: list[int] = field(default_factory=lambda: [0, 0, 0, 0])
    counted: int = 0


class Machine:
    """One balancer's: its agent, and the processes that this starts."""

    def __init__(self, world: "Releases", process: Process):
        self.world, self.process, self.name = world, process, process.name
        self.chance = Random(f"{world.seed}/machine/{process.name}")
        self.running: dict[int, Running] = {}
        self.last = 0  # pid of the one started last
        self.owner = 0  # which of them has the part in the fleet
        self.saved = AgentState()
        self.duty: BalancerAgent | None = None
        self.work: Any = None
        self.life = 0  # of the agent: words to an earlier one are void
        self.die_in: int | None = None  # steps until the agent dies
        self.drained = False
        self.lost_at: int | None = None  # since when it serves nobody, by no call
        self.in_at: int | None = None  # since when it serves
        process.set_up = self.set_up

    def set_up(self, fleet: VirtualFleet) -> None:
        fleet.ready = self.ready
        fleet.served = self.served

    # Its processes.

    def build(self, version: str) -> tuple:
        return BUILDS[self.world.build if version == NEW else "good"]

    def ready(self) -> bool:
        p, one = self.process, self.running.get(self.owner)
        return (
            one is not None
            and not self.drained
            and not one.leaving
            and p.fleet is not None
            and p.fleet.may_act()
            and self.build(one.version)[3]
        )

    def serves(self) -> bool:
        return self.ready() and self.world.now >= self.process.frozen_until

    def served(self) -> tuple[int, int, int, int]:
        one = self.running.get(self.owner)
        if one is None:
            return 0, 0, 0, 0
        bad, took, _, _ = self.build(one.version)
        bad += self.world.lost_share
        for _ in range(
            int(self.world.rate * (self.world.now - one.counted) / SECOND) if self.ready() else 0
        ):
            failed = self.chance.random() < bad + 0.003
            one.served[2 if failed else 0] += 1
            one.served[3] += (
                0 if failed else int(took * MILLISECOND * self.chance.uniform(0.5, 1.5))
            )
        one.counted = self.world.now
        return tuple(one.served)

    def start(self, version: str, admin: str) -> int:
        self.world.pids += 1
        one = Running(
            self.world.pids,
            version,
            admin,
            self.world.now + int(self.chance.uniform(0.3, 1.5) * SECOND),
        )
        self.running[one.pid] = one
        self.last = one.pid
        self.world.later(one.ready_at - self.world.now, lambda: self.begun(one))
        falls = self.build(version)[2]
        if falls is not None:
            self.world.later(int(falls * SECOND), lambda: self.gone(one.pid, False))
        return one.pid

    def begun(self, one: Running) -> None:
        if one.pid in self.running and not self.owner:
            self.take(one)

    def take(self, one: Running) -> None:
        self.owner, one.counted = one.pid, self.world.now
        self.process.start()

    def gone(self, pid: int, planned: bool) -> None:
        one = self.running.pop(pid, None)
        if one is None:
            return
        if pid == self.owner:
            p, self.owner = self.process, 0
            until, version = (p.fleet.lease_until, p.acts_on) if p.fleet is not None else (0, 0)
            p.end() if planned else p.kill()
            heir = next((o for o in self.running.values() if o.ready_at <= self.world.now), None)
            if heir is not None:
                self.take(heir)
                if p.fleet is not None and planned:
                    p.acts_on = version
                    p.fleet.inherit_lease(until, version)
                    self.world.look_at(p)
        self.world.look(self)

    def told_to_leave(self, pid: int) -> None:
        one = self.running.get(pid)
        if one is not None and not one.leaving:
            self.world.goes_out(self, "release")
            one.leaving = True
            self.world.later(
                int(self.chance.uniform(0.1, 6) * SECOND), lambda: self.gone(pid, True)
            )

    def check(self, admin: str) -> str:
        one = next(
            (o for o in self.running.values() if o.admin == admin and o.ready_at <= self.world.now),
            None,
        )
        if one is None:
            return "check: refused"
        if one.leaving:
            return "ERR leaving, 4 servers to place flows on"
        if self.drained:
            return "ERR drained, 4 servers to place flows on"
        p = self.process
        return (
            ""
            if self.build(one.version)[3] and p.fleet is not None and p.fleet.may_act()
            else "ERR starting"
        )

    def lose(self) -> None:
        """Its processes end, and its agent."""
        self.agent_dies()
        for pid in list(self.running):
            self.gone(pid, False)

    # Its agent.

    def agent_starts(self) -> None:
        if self.work is None:
            self.duty = BalancerAgent(self.name, OLD, ("a", "b"), copy.copy(self.saved))
            self.work = self.duty.run()
            self.go_on(self.life, None)

    def agent_dies(self) -> None:
        self.life += 1
        self.work = self.duty = None
        self.die_in = None
        self.world.look(self)

    def go_on(self, life: int, answer: Any) -> None:
        while life == self.life and self.work is not None:
            if self.world.now < self.process.frozen_until:
                self.world.later(
                    self.process.frozen_until - self.world.now, lambda: self.go_on(life, answer)
                )
                return
            if self.die_in is not None:
                self.die_in -= 1
                if self.die_in < 0:
                    self.world.count("agent died at a step")
                    self.agent_dies()
                    return
            want = self.work.send(answer)
            answer = None
            match want:
                case SaveState():
                    self.world.note(f"{self.name} {self.duty.state}")
                    self.saved = copy.copy(self.duty.state)
                    self.world.look(self)
                case StartProcess(version=version, admin=admin):
                    answer = self.start(version, admin), ""
                case FindStartedProcess(known=known):
                    answer = self.last if self.last != known and self.last in self.running else 0
                case IsRunning(pid=pid):
                    answer = pid in self.running
                case EndProcess(pid=pid, hard=True):
                    self.gone(pid, False)
                case EndProcess(pid=pid):
                    self.told_to_leave(pid)
                case CheckReady(admin=admin):
                    answer = self.check(admin)
                case ReadClock():
                    answer = self.process.clock() / SECOND
                case Sleep(seconds=seconds):
                    self.world.later(int(seconds * SECOND), lambda: self.go_on(life, None))
                    return
                case DrawToken():
                    self.world.idents += 1
                    answer = f"d{self.world.idents}"
                case CallFleet(name=name, args=args, ident=ident):
                    self.ask(life, name, args, ident)
                    return

    def ask(self, life: int, name: str, args: dict[str, Any], ident: str) -> None:
        over: list[bool] = []

        def told(ok: bool, body: Any) -> None:
            if not over:
                over.append(True)
                # After a moment: so no answer comes in the middle of the asker's own turn.
                self.world.later(MILLISECOND, lambda: self.go_on(life, (ok, body)))

        self.world.later(5 * SECOND, lambda: told(False, {"why": "no answer"}))
        whom = [self.process, *(p for p in self.world.processes.values() if p is not self.process)]
        at = next(
            (
                p
                for p in whom
                if p.fleet is not None
                and p.fleet.member is not None
                and self.world.now >= p.frozen_until
                and (self.name, p.name) not in self.world.cuts
            ),
            None,
        )
        if at is None:
            told(False, {"why": "nobody answers"})
        else:
            if name == "release_began":
                self.world.count("began asked")
            if ident:
                args = self.world.command(f"agent of {self.name}", args) | {"ident": ident}
            self.world.call(at, name, args, 4 * SECOND, told)

    # By call.

    def drain(self) -> None:
        p = self.process
        if (
            p.fleet is None
            or p.fleet.member is None
            or self.world.now < p.frozen_until
            or self.drained
        ):
            return
        asked = p.clock()

        def told(ok: bool, body: Any) -> None:
            if ok and p.clock() - asked <= LEAVE_WINDOW and self.ready():
                self.world.goes_out(self, "drain")
                self.drained = True
                self.world.look(self)

        self.world.call(
            p,
            "go_out",
            self.world.command(
                f"{self.name} (call)", {"member": self.name, "why": DRAINED, "forced": False}
            ),
            SECOND * 7 // 10,
            told,
        )

    def call_back(self) -> None:
        p = self.process
        if (
            self.drained
            and p.fleet is not None
            and p.fleet.member is not None
            and self.world.now >= p.frozen_until
        ):
            self.drained = False
            self.world.call(
                p,
                "go_out",
                self.world.command(
                    f"{self.name} (call)", {"member": self.name, "why": CALLED_BACK, "forced": True}
                ),
                600 * SECOND,
                lambda ok, body: None,
            )

    @property
    def being_changed(self) -> bool:
        return self.saved.step in ("beside", "leaving")


class Releases(World):
    def __init__(
        self,
        seed: int,
        voters: int = 3,
        followers: int = 3,
        bound: Any = 2,
        build: str = "good",
        zones: int = 2,
        rate: int = 20,
        **more: Any,
    ):
        super().__init__(seed, voters, followers, zones=zones, **more)
        self.bound, self.build, self.rate = bound, build, rate
        self.most = max_unavailable(bound, voters + followers)
        self.pids = self.idents = 0
        self.machines = {name: Machine(self, p) for name, p in self.processes.items()}
        self.own = {"mark": 0, "bounds": {"balancers": {"all": bound}}}
        self.halts: list[int] = []  # yeses to a halt that nobody has ended
        self.resumed_at = -1
        self.turned_at: int | None = None  # the way back was asked for
        self.lost_share = 0.0  # of all flows that fail, at whichever balancer
        self.most_out = 0
        self.went = 0

    def command(self, by: str, args: dict[str, Any]) -> dict[str, Any]:
        self.idents += 1
        return {"ident": f"c{self.idents}", "by": by, "at": self.now // MILLISECOND} | args

    def start(self) -> None:
        for machine in self.machines.values():
            machine.agent_starts()
        self.watch()

    def watch(self) -> None:
        for m in self.machines.values():
            lost = not m.serves() and not m.drained and not m.being_changed
            m.lost_at = (m.lost_at if m.lost_at is not None else self.now) if lost else None
            m.in_at = (m.in_at if m.in_at is not None else self.now) if m.serves() else None
        self.later(SECOND // 10, self.watch)

    # Judged at each step.

    def look(self, machine: Machine) -> None:
        own = [m.name for m in self.machines.values() if m.drained or m.being_changed]
        self.most_out = max(self.most_out, len(own))
        if len(own) > self.most:
            raise Broken(f"B1: {', '.join(own)} are out by the program's doing, {self.most} may be")

    def goes_out(self, machine: Machine, how: str) -> None:
        self.look(machine)
        self.went += 1
        self.count(f"goes out: {how}")
        self.note(f"{machine.name} goes out: {how}")
        lost = [
            m.name
            for m in self.machines.values()
            if m.lost_at is not None and self.now - m.lost_at > KNOWN and not m.serves()
        ]
        own = {
            m.name
            for m in self.machines.values()
            if m.drained
            or m.being_changed
            and m is not machine
            and any(one.leaving for one in m.running.values())
        }
        # On the way back one that was just seen out is healed by going out.
        healed = (
            self.turned_at is not None
            and how == "release"
            and (machine.in_at is None or self.now - machine.in_at < KNOWN)
        )
        if not healed and len(own | set(lost) | {machine.name}) > self.most:
            raise Broken(
                f"B2: {machine.name} goes out ({how}), {', '.join(sorted(own))} are out and {', '.join(lost)} lost; "
                f"{self.most} may be"
            )
        if (
            self.halts
            and self.now - self.halts[0] > HALTED
            and (how == "drain" or self.turned_at is None)
            and machine.serves()
        ):
            raise Broken(
                f"H: {machine.name} goes out ({how}) {(self.now - self.halts[0]) / SECOND:.1f} s after a yes to a halt"
            )

    # What operators do.

    def tell(
        self,
        name: str,
        args: dict[str, Any] | None = None,
        told: Callable[[bool, Any], None] = lambda ok, body: None,
        span: int = 6 * SECOND,
    ) -> None:
        live = [p for p in self.live() if self.now >= p.frozen_until]
        if live:
            self.call(
                self.chance.choice(live), name, self.command("explorer", args or {}), span, told
            )

    def halt(self) -> None:
        asked = self.now

        def told(ok: bool, body: Any) -> None:
            self.halts += [self.now] if ok and asked > self.resumed_at else []
            self.note(f"halt: {ok} {body}")

        self.tell("halt", {"why": "by hand"}, told)

    def resume(self) -> None:
        def read(ok: bool, body: Any) -> None:
            if ok:
                # From its asking on nobody knows whether it is in force, of halts that were asked for before.
                self.halts.clear()
                self.resumed_at = self.now
                self.tell("resume", {"halts": body["halts"]})

        self.tell("release", told=read)

    def turn_back(self) -> None:
        self.turned_at = self.now
        self.tell("release_back", {"release": "r1"})

    def release(self):
        leader = self.leader()
        return leader.fleet.member.state if leader is not None else None


KINDS = {
    "cut": 5,
    "cut_one_way": 5,
    "isolate": 3,
    "slow_way": 3,
    "heal": 8,
    "kill": 4,
    "kill_process": 5,
    "start": 10,
    "freeze": 5,
    "kill_agent": 6,
    "agent_at_step": 8,
    "start_agent": 10,
    "halt": 2,
    "resume": 5,
    "pause": 1,
    "unpause": 3,
    "back": 0.6,
    "drain": 5,
    "undrain": 6,
    "hand_over": 4,
    "kill_leader": 3,
}


@dataclass(slots=True)
class Outcome:
    seed: int
    broken: str = ""
    situations: Counter = field(default_factory=Counter)
    history: list[str] = field(default_factory=list)
    steps: int = 0
    took: int = 0
    went: int = 0
    most_out: int = 0
    end: str = ""


def act(w: Releases, kind: str, chance: Random) -> None:
    machine, other = (w.machines[name] for name in chance.sample(sorted(w.machines), 2))
    p = machine.process
    w.note(f"{kind} {machine.name} {other.name if kind.startswith('cut') else ''}")
    w.count(kind)
    match kind:
        case "cut":
            w.cuts |= {(machine.name, other.name), (other.name, machine.name)}
        case "cut_one_way":
            w.cuts.add((machine.name, other.name))
        case "isolate":
            w.cuts |= {
                pair for q in w.processes for pair in ((p.name, q), (q, p.name)) if q != p.name
            }
        case "slow_way":
            w.slow[machine.name, other.name] = int(chance.choice((0.1, 0.5, 1.0)) * SECOND)
        case "heal":
            w.cuts.clear()
            w.slow.clear()
        case "kill":
            machine.lose()
        case "kill_process" if machine.running:
            machine.gone(chance.choice(sorted(machine.running)), False)
        case "kill_leader" if (leader := w.leader()) is not None:
            m = w.machines[leader.name]
            m.gone(m.owner, False)
        case "start" | "start_agent":
            for m in w.machines.values():
                m.agent_starts()
        case "freeze" if p.fleet is not None:
            w.freeze(p, int(chance.choice((0.2, 2, 7, 30)) * SECOND))
        case "kill_agent":
            machine.agent_dies()
        case "agent_at_step":
            machine.die_in = chance.randrange(12)
        case "halt":
            w.halt()
        case "resume":
            w.resume()
        case "pause" | "unpause":
            w.tell("release_pause", {"release": "r1", "on": kind == "pause"})
        case "back":
            w.turn_back()
        case "drain":
            machine.drain()
        case "undrain":
            for m in w.machines.values():
                m.call_back()
        case "hand_over" if p.fleet is not None:
            p.turn([LeadershipReleased()])


def plan_for(names: list[str], chance: Random, hold_s: float = 4.0, canary: int = 1) -> list:
    names = chance.sample(names, len(names))
    waves = [
        names[:canary],
        names[canary : canary + len(names) // 2],
        names[canary + len(names) // 2 :],
    ]
    return ["r1", OLD, NEW, [wave for wave in waves if wave], hold_s, 150, 8.0, 0.02, 1.8, 60.0]


def run_seed(
    seed: int, acts: int = 60, build: str = "", world: type[Releases] = Releases
) -> Outcome:
    chance = Random(f"{seed}/release")
    for part in ("fleet", "rollout"):  # of these alone: guards what others log in this process
        logging.getLogger(f"cypresswalk.{part}").setLevel(logging.CRITICAL)
    build = build or chance.choice(
        ("good", "good", "good", "aborts", "slow", "falls", "never_ready")
    )
    w = world(
        seed,
        3,
        chance.choice((0, 2, 3, 4)),
        chance.choice((1, 1, 2, {"share": 0.4, "least": 1})),
        build,
        loss=chance.choice((0.0, 0.02)),
        delay=(MILLISECOND // 5, chance.choice((2, 20, 100)) * MILLISECOND),
    )
    for p in w.processes.values():
        p.rate = chance.uniform(0.99, 1.01)
    outcome = Outcome(seed)
    kinds, weights = list(KINDS), list(KINDS.values())
    try:
        w.start()
        w.run(8 * SECOND)
        began = w.now
        w.tell("release_begin", {"plan": plan_for(sorted(w.machines), chance)}, span=20 * SECOND)
        for _ in range(acts):
            act(w, chance.choices(kinds, weights)[0], chance)
            # A second thing within the reaction time to the first, as often as not.
            w.run(
                int(
                    chance.choice(
                        (chance.uniform(0, 0.3), chance.uniform(0, 2), chance.uniform(0, 8))
                    )
                    * SECOND
                )
            )
        outcome.end = finish(w)
        outcome.took = w.now - began
    except Broken as error:
        outcome.broken = f"seed {seed} ({build}, {len(w.machines)} balancers, {w.most} may be out), at {w.now / SECOND:.3f} s: {error}"
    outcome.situations, outcome.history, outcome.steps = w.situations, w.history, w.steps
    outcome.went, outcome.most_out = w.went, w.most_out
    return outcome


def finish(w: Releases, span: int = 600 * SECOND) -> str:
    """All faults are lifted and a person's word given, as often as it is asked for: the release must come to its end, or back."""
    w.cuts.clear()
    w.slow.clear()
    w.loss = 0.0
    for m in w.machines.values():
        m.process.frozen_until = min(m.process.frozen_until, w.now)
        m.die_in = None
        m.agent_starts()
        w.look_at(m.process)
    w.note("all faults lifted")
    end, state = w.now + span, None
    while w.now < end:
        w.run(2 * SECOND)
        for m in w.machines.values():
            m.call_back()
        state = w.release()
        if state is None:
            continue
        release = state.release
        if release is None:
            if (
                not state.halted
                and not state.leave_grants
                and all(m.serves() for m in w.machines.values())
            ):
                return "never begun"
        elif release.phase in ("done", "backed"):
            wanted = NEW if release.phase == "done" else OLD
            if not state.leave_grants and all(
                m.serves() and not m.being_changed for m in w.machines.values()
            ):
                runs = {m.name: m.running[m.owner].version for m in w.machines.values()}
                if set(runs.values()) != {wanted}:
                    raise Broken(f"E: the release is {release.phase}, and these run: {runs}")
                return release.phase
        elif release.phase == "paused":
            w.tell("release_pause", {"release": "r1", "on": False})
        elif (
            release.phase == "running"
            and w.build != "good"
            and (state.halted or w.now > end - span * 3 // 4)
        ):
            w.turn_back()
        if state.halted and (
            w.build == "good" or release is None or release.phase in ("done", "backed")
        ):
            w.resume()
    member = w.leader().fleet.member if w.leader() is not None else None
    raise Broken(
        "E: no end: "
        + (
            repr(
                (
                    state.release,
                    state.leave_grants,
                    state.halted,
                    member.duties.releases.control.waits_for,
                    member.duties.balancers.unavailable(member.duties.run_at),
                )
            )
            if state and member
            else "no leader"
        )
        + "; "
        + "; ".join(
            f"{m.name} {m.saved} {sorted(m.running)} {m.serves()} {m.drained}"
            for m in w.machines.values()
        )
    )
