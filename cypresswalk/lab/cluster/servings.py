"""Releases of servers in virtual time: the fleet's own code and the agents' own (rollout/serving.py), with modelled servers, and balancers
that send flows, probe and move what stands. Faults and operators' calls by a seed; held after every step, beside H and E of releases.py:

- B1 no more servers are out by the program's own doing than the bound allows;
- B2 none goes out while those that are lost, for as long as anybody could know, take the last place;
- S  none is told to leave while a balancer may send it flows, or has flows there, and none that is being changed is sent one."""

import copy
import hashlib
import logging
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import Any

from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.events import LeadershipReleased, ListReceived
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.lab.cluster.releases import (
    HALTED,
    KNOWN,
    NEW,
    OLD,
    Machine,
    Outcome,
    Releases,
    Running,
)
from cypresswalk.lab.cluster.virtual import MILLISECOND, SECOND, Broken, Process, VirtualFleet
from cypresswalk.model import ServerState
from cypresswalk.rollout.agent_state import AgentState
from cypresswalk.rollout.bounds import max_unavailable
from cypresswalk.rollout.server_agent import ServerAgent

TICK = SECOND // 5
CHANGING = ("emptying", "starting", "undoing")
# Builds: what part of its flows one fails, when it falls over, whether it ever answers.
BUILDS = {
    "good": (0.0, None, True),
    "aborts": (0.2, None, True),
    "falls": (0.0, 6.0, True),
    "never_ready": (0.0, None, False),
}


class Serving(Machine):
    """A server, its agent and its process."""

    def __init__(self, world: "Servings", name: str):
        self.world, self.name = world, name
        self.chance = Random(f"{world.seed}/server/{name}")
        base, rate = self.chance.randrange(10**15), self.chance.uniform(0.99, 1.01)
        self.process = SimpleNamespace(
            name=name, frozen_until=0, fleet=None, clock=lambda: base + int(world.now * rate)
        )
        self.running: dict[int, Running] = {}
        self.last, self.life = 0, 0
        self.saved = AgentState()
        self.duty: Any = None
        self.work: Any = None
        self.die_in: int | None = None
        self.lost_at: int | None = None
        self.hand = False  # out by hand, told so
        self.back_asked = -1

    def agent_starts(self) -> None:
        if self.work is None:
            self.duty = ServerAgent(self.name, OLD, ("a", "a"), copy.copy(self.saved))
            self.work = self.duty.run()
            self.go_on(self.life, None)

    def build(self, version: str) -> tuple:
        return BUILDS[self.world.build if version == NEW else "good"]

    def start(self, version: str, admin: str) -> int:
        self.world.pids += 1
        one = Running(
            self.world.pids,
            version,
            admin,
            self.world.now + int(self.chance.uniform(0.1, 1.0) * SECOND),
        )
        self.running[one.pid] = one
        self.last = one.pid
        if len(self.running) > 1:
            raise Broken(f"{self.name} runs twice")
        if (falls := self.build(version)[1]) is not None:
            self.world.later(int(falls * SECOND), lambda: self.gone(one.pid, False))
        return one.pid

    def gone(self, pid: int, planned: bool) -> None:
        if self.running.pop(pid, None) is not None:
            for balancer in self.world.balancers.values():
                balancer.standing[self.name] = 0

    def told_to_leave(self, pid: int) -> None:
        one = self.running.get(pid)
        if one is not None and not one.leaving:
            self.world.stops(self)
            one.leaving = True
            self.world.later(
                int(self.chance.uniform(0.1, 3) * SECOND), lambda: self.gone(pid, True)
            )

    def check(self, admin: str) -> str:
        return "" if self.answers() else "check: refused"

    def answers(self) -> bool:
        return any(
            one.ready_at <= self.world.now and not one.leaving and self.build(one.version)[2]
            for one in self.running.values()
        )

    def version(self) -> str:
        return next((one.version for one in self.running.values()), "")

    def lose(self) -> None:
        self.agent_dies()
        for pid in list(self.running):
            self.gone(pid, False)

    @property
    def being_changed(self) -> bool:
        return self.saved.step in CHANGING


class Sender:
    """A balancer's deciding thread: probes, sends flows to whom it may, moves what stands at those that are out."""

    def __init__(self, world: "Servings", process: Process):
        self.world, self.process = world, process
        self.chance = Random(f"{world.seed}/sender/{process.name}")
        self.out: set[str] = set()
        self.watch = False
        self.ready: dict[
            str, bool
        ] = {}  # as its own probes have it; not there: not probed since it came back
        self.standing: dict[str, int] = {}
        self.served: dict[str, list[int]] = {}
        self.moved_at: dict[str, int] = {}
        self.idle_at = 0  # when it last had no lease
        process.set_up = self.set_up

    def set_up(self, fleet: VirtualFleet) -> None:
        self.out, self.watch, self.standing, self.served, self.ready = (
            set(),
            False,
            {},
            {},
            dict.fromkeys(self.world.servers, True),
        )
        fleet.on_view = self.act_on
        fleet.servers = self.of_servers
        fleet.ready = lambda: fleet.may_act()
        servers = [
            (name, i % 2, 1, ServerState.READY.value, 1.0, 0)
            for i, name in enumerate(sorted(self.world.servers))
        ]
        digest = hashlib.blake2b(repr(servers).encode(), digest_size=16).digest()
        fleet.queue.put(ListReceived(1, digest, servers))

    def act_on(self, view: AppliedView) -> None:
        out = set(view.out)
        for name in out - self.out:
            # Also long: one that nobody can take over from stays.
            long = self.chance.random() < self.world.stuck
            self.moved_at[name] = self.world.now + int(
                self.chance.uniform(*((2, 20) if long else (0.1, 2))) * SECOND
            )
        for name in self.out - out:
            self.ready.pop(name, None)
        self.out, self.watch = out, view.watch
        self.process.act_on(view)

    def of_servers(self) -> ServerReport:
        return ServerReport(
            [name for name in sorted(self.world.servers) if not self.ready.get(name, False)],
            {
                name: count
                for name, count in sorted(self.standing.items())
                if count and name in self.out
            },
            {name: tuple(counts) for name, counts in sorted(self.served.items())}
            if self.watch
            else {},
        )

    def tick(self) -> None:
        p, w = self.process, self.world
        if not p.acts:
            self.idle_at = w.now
        if p.fleet is None or w.now < p.frozen_until:
            return
        for name, server in w.servers.items():
            if self.chance.random() < 0.2:
                self.ready[name] = server.answers()
            if name in self.out:
                if w.now >= self.moved_at.get(name, 0):
                    self.standing[name] = 0
            elif p.acts and self.ready.get(name, False):
                if server.being_changed:
                    raise Broken(
                        f"S: {p.name} sends to {name}, which is being changed ({server.saved.step})"
                    )
                up = server.answers()
                bad = server.build(server.version())[0] if up else 1.0
                counts = self.served.setdefault(name, [0, 0, 0, 0])
                for _ in range(2):
                    failed = self.chance.random() < bad + 0.003
                    counts[2 if failed else 0] += 1
                    counts[3] += 0 if failed else 3 * MILLISECOND
                self.standing[name] = min(self.standing.get(name, 0) + 1, 20) if up else 0
                if not up:
                    self.ready[name] = False


class Servings(Releases):
    def __init__(
        self, seed: int, servers: int = 6, bound: Any = 2, build: str = "good", **more: Any
    ):
        super().__init__(seed, bound=1, build=build, **more)
        self.most = max_unavailable(bound, servers)
        self.stuck = 0.1  # of turns at a balancer, those whose flows leave late
        self.servers = {f"s{i}": Serving(self, f"s{i}") for i in range(servers)}
        self.balancers = {name: Sender(self, p) for name, p in self.processes.items()}
        self.own = {"mark": 0, "bounds": {"servers": {"all": bound}}}

    def start(self) -> None:
        for server in self.servers.values():
            server.agent_starts()
        for p in self.processes.values():
            p.start()
        self.later(TICK, self.watch)

    def watch(self) -> None:
        for server in self.servers.values():
            lost = not server.answers() and not server.being_changed and not server.hand
            server.lost_at = (
                (server.lost_at if server.lost_at is not None else self.now) if lost else None
            )
        for sender in self.balancers.values():
            sender.tick()
        self.later(TICK, self.watch)

    # Judged.

    def look(self, machine: Serving) -> None:
        own = [s.name for s in self.servers.values() if s.being_changed or s.hand]
        self.most_out = max(self.most_out, len(own))
        if len(own) > self.most:
            raise Broken(f"B1: {', '.join(own)} are out by the program's doing, {self.most} may be")

    def goes_out(self, server: Serving, how: str) -> None:
        self.look(server)
        self.went += 1
        self.count(f"goes out: {how}")
        self.note(f"{server.name} goes out: {how}")
        lost = {
            s.name
            for s in self.servers.values()
            if s.lost_at is not None and self.now - s.lost_at > KNOWN and not s.answers()
        }
        own = {s.name for s in self.servers.values() if s.being_changed or s.hand}
        if self.turned_at is None and len(own | lost | {server.name}) > self.most:
            raise Broken(
                f"B2: {server.name} goes out ({how}), {', '.join(sorted(own))} are out and {', '.join(sorted(lost))} lost; "
                f"{self.most} may be"
            )

    def stops(self, server: Serving) -> None:
        self.goes_out(server, "release")
        for name, sender in self.balancers.items():
            if sender.process.acts and server.name not in sender.out:
                raise Broken(f"S: {server.name} is told to leave, and {name} may send to it")
            # One that acts again for a moment only: it had no lease when its word was asked for.
            if (
                sender.process.acts
                and self.now - sender.idle_at > HALTED
                and sender.standing.get(server.name)
            ):
                raise Broken(
                    f"S: {server.name} is told to leave, and {name} has {sender.standing[server.name]} flows there"
                )
        if self.halts and self.now - self.halts[0] > HALTED and self.turned_at is None:
            raise Broken(
                f"H: {server.name} is told to leave {(self.now - self.halts[0]) / SECOND:.1f} s after a yes to a halt"
            )

    # What operators do.

    def out_by_hand(self, server: Serving) -> None:
        asked = self.now

        def told(ok: bool, body: Any) -> None:
            self.note(f"out {server.name}: {ok} {body}")
            # A way back asked for meanwhile may have brought it in: the yes is of its own moment.
            if ok and server.back_asked < asked:
                server.hand = True
                if not body["why"].startswith("out since"):  # an earlier call's, whose yes was lost
                    self.goes_out(server, "hand")

        if not server.hand:
            self.tell("out", {"server": server.name}, told)

    def back_by_hand(self, server: Serving) -> None:
        server.back_asked, server.hand = self.now, False
        self.tell("back", {"server": server.name})


KINDS = {
    "cut": 5,
    "cut_one_way": 4,
    "isolate": 3,
    "slow_way": 3,
    "heal": 8,
    "kill": 4,
    "start": 10,
    "freeze": 5,
    "lose_server": 3,
    "server_falls": 4,
    "kill_agent": 6,
    "agent_at_step": 8,
    "start_agent": 12,
    "halt": 2,
    "resume": 6,
    "pause": 1,
    "unpause": 3,
    "back": 0.6,
    "out": 5,
    "in": 6,
    "hand_over": 4,
}


def act(w: Servings, kind: str, chance: Random) -> None:
    p, other = chance.sample(list(w.processes.values()), 2)
    server = w.servers[chance.choice(sorted(w.servers))]
    w.note(
        f"{kind} {p.name if kind in ('cut', 'cut_one_way', 'isolate', 'kill', 'freeze') else server.name}"
    )
    w.count(kind)
    match kind:
        case "cut":
            w.cuts |= {(p.name, other.name), (other.name, p.name)}
        case "cut_one_way":
            w.cuts.add((p.name, other.name))
        case "isolate":
            w.cuts |= {
                pair for q in w.processes for pair in ((p.name, q), (q, p.name)) if q != p.name
            }
        case "slow_way":
            w.slow[p.name, other.name] = int(chance.choice((0.1, 0.5, 1.0)) * SECOND)
        case "heal":
            w.cuts.clear()
            w.slow.clear()
        case "kill" if sum(q.fleet is None for q in w.processes.values()) < len(w.processes) // 2:
            p.kill()
        case "start":
            for q in w.processes.values():
                if q.fleet is None:
                    q.start()
        case "freeze" if p.fleet is not None:
            w.freeze(p, int(chance.choice((0.2, 2, 7, 30)) * SECOND))
        case "lose_server":
            server.lose()
        case "server_falls" if server.running:
            server.gone(server.last, False)
        case "kill_agent":
            server.agent_dies()
        case "agent_at_step":
            server.die_in = chance.randrange(16)
        case "start_agent":
            for s in w.servers.values():
                s.agent_starts()
        case "halt":
            w.halt()
        case "resume":
            w.resume()
        case "pause" | "unpause":
            w.tell("release_pause", {"release": "r1", "on": kind == "pause"})
        case "back":
            w.turn_back()
        case "out":
            w.out_by_hand(server)
        case "in":
            for s in w.servers.values():
                if s.hand:
                    w.back_by_hand(s)
        case "hand_over" if p.fleet is not None:
            p.turn([LeadershipReleased()])


def plan_for(names: list[str], chance: Random) -> list:
    names = chance.sample(names, len(names))
    waves = [names[:1], names[1 : 1 + len(names) // 2], names[1 + len(names) // 2 :]]
    return [
        "r1",
        OLD,
        NEW,
        [wave for wave in waves if wave],
        4.0,
        60,
        8.0,
        0.02,
        1.8,
        90.0,
        "servers",
        15.0,
    ]


def run_seed(
    seed: int, acts: int = 60, build: str = "", world: type[Servings] = Servings
) -> Outcome:
    chance = Random(f"{seed}/servings")
    for part in ("fleet", "rollout"):  # of these alone: guards what others log in this process
        logging.getLogger(f"cypresswalk.{part}").setLevel(logging.CRITICAL)
    build = build or chance.choice(("good", "good", "good", "aborts", "falls", "never_ready"))
    w = world(
        seed,
        chance.choice((2, 4, 6)),
        chance.choice((1, 1, 2, {"share": 0.4, "least": 1})),
        build,
        voters=3,
        followers=chance.choice((0, 1, 2)),
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
        w.tell("release_begin", {"plan": plan_for(sorted(w.servers), chance)}, span=20 * SECOND)
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
        outcome.broken = f"seed {seed} ({build}, {len(w.servers)} servers, {w.most} may be out), at {w.now / SECOND:.3f} s: {error}"
    outcome.situations, outcome.history, outcome.steps = Counter(w.situations), w.history, w.steps
    outcome.went, outcome.most_out = w.went, w.most_out
    return outcome


def finish(w: Servings, span: int = 900 * SECOND) -> str:
    """All faults are lifted and a person's word given, as often as it is asked for: the release must come to its end, or back, and nobody
    stays out."""
    w.cuts.clear()
    w.slow.clear()
    w.loss = 0.0
    for p in w.processes.values():
        p.frozen_until = min(p.frozen_until, w.now)
        if p.fleet is None:
            p.start()
        w.look_at(p)
    for s in w.servers.values():
        s.die_in = None
        s.agent_starts()
    w.note("all faults lifted")
    end, state = w.now + span, None
    while w.now < end:
        w.run(2 * SECOND)
        for s in w.servers.values():
            if s.hand:
                w.back_by_hand(s)
        state = w.release()
        if state is None:
            continue
        for name in state.removed_servers:  # its yes was lost, or came late
            w.back_by_hand(w.servers[name])
        release = state.release
        well = (
            not state.halted
            and not state.removed_servers
            and not state.returning_servers
            and all(s.answers() and not s.being_changed for s in w.servers.values())
            and all(not b.out for b in w.balancers.values())
        )
        if release is None or release.phase in ("done", "backed"):
            if well:
                wanted = NEW if release is not None and release.phase == "done" else OLD
                runs = {s.name: s.version() for s in w.servers.values()}
                if set(runs.values()) != {wanted}:
                    raise Broken(
                        f"E: the release is {release and release.phase}, and these run: {runs}"
                    )
                return release.phase if release is not None else "never begun"
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
                    state.removed_servers,
                    state.returning_servers,
                    state.halted,
                    member.duties.releases.control.waits_for,
                    member.duties.servers.unhealthy(member.duties.run_at),
                )
            )
            if state and member
            else "no leader"
        )
        + "; "
        + "; ".join(
            f"{s.name} {s.saved} {sorted(s.running)} {s.answers()}" for s in w.servers.values()
        )
    )
