"""Random runs of a fleet in virtual time: faults and operators' calls by a seed, invariants after every step, and at the end, all
faults lifted, the fleet must be whole again. `run_seed` is one run; `plan` may be handed in to play one again, or a part of it."""

import logging
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from cypresswalk.fleet.events import LeadershipReleased
from cypresswalk.lab.cluster.virtual import MILLISECOND, SECOND, Broken, Process, World

QUIET = (
    40 * SECOND
)  # in which a fleet without faults must be whole: leases, a dead voter's replacement, a slow disk's pause

# How often each kind of thing is drawn.
KINDS = {
    "cut": 6,
    "cut_one_way": 6,
    "heal": 6,
    "isolate": 3,
    "slow_way": 4,
    "kill": 5,
    "kill_writing": 6,
    "start": 10,
    "freeze": 4,
    "wipe": 2,
    "put_back": 2,
    "copy": 3,
    "disk_fails": 2,
    "disk_full": 2,
    "disk_well": 6,
    "out": 8,
    "back": 4,
    "offer": 6,
    "show": 4,
    "refuses": 1,
    "settled": 3,
    "hand_over": 2,
}


@dataclass(frozen=True, slots=True)
class Act:
    kind: str
    who: str
    other: str
    number: int
    then: int  # nanoseconds until the next


@dataclass(slots=True)
class Outcome:
    seed: int
    steps: int = 0
    states: set[bytes] = field(default_factory=set)
    situations: Counter = field(default_factory=Counter)
    longest: int = 0
    broken: str = ""
    history: list[str] = field(default_factory=list)
    acked: int = 0


def plan_of(seed: int, names: list[str], acts: int) -> list[Act]:
    chance = Random(f"{seed}/plan")
    kinds, weights = list(KINDS), list(KINDS.values())
    plan = []
    for _ in range(acts):
        who, other = chance.sample(names, 2) if len(names) > 1 else (names[0], names[0])
        # A second thing within the reaction time to the first, as often as not.
        then = int(
            chance.choice((chance.uniform(0, 0.3), chance.uniform(0, 2), chance.uniform(0, 8)))
            * SECOND
        )
        plan.append(
            Act(chance.choices(kinds, weights)[0], who, other, chance.randrange(1 << 30), then)
        )
    return plan


class Player:
    def __init__(self, world: World):
        self.world = world
        self.copies: dict[str, dict] = {}
        self.idents = 0
        self.promised: dict[str, tuple[str, int]] = {}  # ident: what, the version named
        self.lost: dict[str, str] = {}  # names whose disk was lost, and their ids before

    def play(self, act: Act) -> None:
        w = self.world
        p, other = w.processes[act.who], w.processes[act.other]
        w.note(f"{act.kind} {act.who} {act.other if act.kind.startswith('cut') else ''}")
        w.count(act.kind)
        match act.kind:
            case "cut":
                w.cuts |= {(p.name, other.name), (other.name, p.name)}
            case "cut_one_way":
                w.cuts.add((p.name, other.name))
            case "isolate":
                w.cuts |= {
                    pair for q in w.processes for pair in ((p.name, q), (q, p.name)) if q != p.name
                }
            case "slow_way":
                w.slow[p.name, other.name] = int((0.3, 1, 2, 4)[act.number % 4] * SECOND)
            case "heal":
                w.cuts.clear()
                w.slow.clear()
            case "kill":
                p.kill()
            case "kill_writing":
                p.disk.kill_in = act.number % 6
            case "start" if p.fleet is None:
                p.start()
            case "freeze" if p.fleet is not None:
                w.freeze(p, int((0.2, 2, 7, 30)[act.number % 4] * SECOND))
            case "copy" if p.fleet is None:
                self.copies[p.name] = p.disk.copy()
            case "wipe" if self.may_lose(p):
                p.kill()
                p.disk.wipe()
                p.start()
            case "put_back" if p.name in self.copies and self.may_lose(p):
                p.kill()
                p.disk.put_back(self.copies[p.name], whole_disk=False)
                p.start()
            case "disk_fails":
                p.disk.failing = True
            case "disk_full":
                p.disk.full = True
            case "disk_well":
                for q in w.processes.values():
                    q.disk.failing = q.disk.full = False
            case "refuses":
                p.refuses.add(act.number % 5)
            case "out" | "back":
                self.ask(p, act.kind, {"server": f"s{act.number % 4}"})
            case "offer":
                base = (
                    0
                    if p.fleet is None or p.fleet.member is None
                    else p.fleet.member.state.settings_version
                )
                self.ask(p, "offer", {"base": base, "settings": {"mark": act.number % 50}})
            case "show":
                self.show(p)
            case "settled":
                self.settled(p)
            case "hand_over" if p.fleet is not None:
                p.turn([LeadershipReleased()])

    def may_lose(self, p: Process) -> bool:
        """One disk at a time, and only while all the others have theirs and are whole members: what is promised is promised for
        that. (More lost at once stop the fleet; a test of its own shows that they do nothing worse.)"""
        leader = self.world.leader()
        if (
            leader is None
            or leader.fleet.member.node.log.term_at(leader.fleet.member.node.commit_index)
            != leader.fleet.member.node.term
        ):
            return False
        voters = {m.id for m in leader.fleet.member.members if m.voter}
        running = {
            q.fleet.member.id: q
            for q in self.world.processes.values()
            if q.fleet is not None and q.fleet.member is not None
        }
        # A loss is over once the new incarnation is a voter, or follows, and the old one is no member any more.
        for name, old in list(self.lost.items()):
            if not any(m.id == old for m in leader.fleet.member.members):
                del self.lost[name]
        fresh = all(q.disk.files for q in self.world.processes.values())
        if (
            self.lost
            or not fresh
            or leader is p
            or p.disk.failing
            or p.disk.full
            or not voters <= {*running, *self.down(running)}
        ):
            return False
        if p.fleet is None or p.fleet.member is None:
            return False
        self.lost[p.name] = p.fleet.member.id
        return True

    def down(self, running: dict) -> set[str]:
        """Ids of processes that do not run now; their disks are theirs."""
        return {
            q.disk_id
            for q in self.world.processes.values()
            if q.fleet is None or q.fleet.member is None
        }

    def ask(self, at: Process, name: str, args: dict[str, Any]) -> None:
        self.idents += 1
        ident = f"{name}:{self.idents}"

        def told(ok: bool, body: Any) -> None:
            self.world.count(f"{name}: {'yes' if ok else 'no'}")
            if ok:
                self.promised[ident] = name, body.get("version", 0)

        self.world.call(
            at,
            name,
            {"ident": ident, "by": "explorer", "at": self.world.now // MILLISECOND} | args,
            6 * SECOND,
            told,
        )

    def show(self, at: Process) -> None:
        floor = max((version for _, version in self.promised.values()), default=0)

        def told(ok: bool, body: Any) -> None:
            if ok and body["version"] < floor:
                raise Broken(
                    f"A7: version {body['version']} was shown, {floor} had been promised before it was asked for"
                )

        self.world.call(at, "show", {}, 6 * SECOND, told)

    def settled(self, at: Process) -> None:
        version = max(self.world.active_at)

        def told(ok: bool, body: Any) -> None:
            self.world.count(f"settled: {'yes' if ok else 'no'}")
            behind = [
                q.name for q in self.world.processes.values() if q.acts and q.acts_on < version
            ]
            if ok and behind:
                raise Broken(
                    f"L3: told that all act on {version} or not at all, {', '.join(behind)} act on less"
                )

        self.world.call(at, "settled", {"version": version, "span": 12}, 12 * SECOND, told)

    def finish(self) -> None:
        """All faults are lifted: within a while all must be well, and everything promised still there."""
        w = self.world
        w.cuts.clear()
        w.slow.clear()
        w.loss = w.double = 0.0
        for p in w.processes.values():
            p.disk.failing = p.disk.full = False
            p.disk.kill_in = None
            p.frozen_until = min(p.frozen_until, w.now)
            p.refuses.clear()
            if p.fleet is None:
                p.start()
            w.look_at(p)
        w.note("all faults lifted")
        w.run(QUIET)
        leader = w.leader()
        if leader is None:
            raise Broken("no leader though all faults were lifted: " + states(w))
        member = leader.fleet.member
        newest = member.state.version
        for p in w.processes.values():
            if not p.acts or p.acts_on != newest:
                raise Broken(
                    f"{p.name} does not act on version {newest} though all faults were lifted: "
                    + states(w)
                )
        voters = sorted(m.name for m in member.members if m.voter)
        if voters != sorted(member.state.voters) or len(member.members) != len(w.processes):
            raise Broken(f"members are not whole: {member.members}")
        for ident, (name, version) in self.promised.items():
            if ident not in member.machine.results:
                raise Broken(f"forgotten: {ident}, promised at version {version}")
        if len({p.fleet.group() for p in w.processes.values()}) != 1:
            raise Broken("two groups")


def states(w: World) -> str:
    return "; ".join(
        f"{p.name}: "
        + (
            "down"
            if p.fleet is None
            else "stopped"
            if p.fleet.member is None
            else f"{p.fleet.member.id[-4:]} {p.fleet.member.node and (p.fleet.member.node.role.value, p.fleet.member.node.term, p.fleet.member.node.commit_index, p.fleet.member.node.log.last_index)}"
            f" acts {p.acts} on {p.acts_on} members {[(m.id[:2] + m.id[-4:], m.voter) for m in p.fleet.member.members]}"
        )
        for p in w.processes.values()
    )


def run_seed(
    seed: int,
    acts: int = 100,
    voters: int = 3,
    followers: int = 1,
    plan: list[Act] | None = None,
    world: type[World] = World,
) -> Outcome:
    chance = Random(f"{seed}/shape")
    logging.getLogger("cypresswalk.fleet").setLevel(logging.CRITICAL)
    w = world(
        seed,
        voters,
        followers,
        loss=chance.choice((0.0, 0.02, 0.2)),
        double=chance.choice((0.0, 0.1)),
        delay=(MILLISECOND // 5, chance.choice((2, 20, 300)) * MILLISECOND),
    )
    for p in w.processes.values():
        p.rate = chance.uniform(0.99, 1.01)
    outcome, player = Outcome(seed), Player(w)
    try:
        w.start()
        w.run(6 * SECOND)
        for act in plan if plan is not None else plan_of(seed, list(w.processes), acts):
            player.play(act)
            w.run(act.then)
            outcome.states.add(w.fingerprint())
        player.finish()
    except Broken as error:
        outcome.broken = f"seed {seed}, at {w.now / SECOND:.3f} s: {error}"
    outcome.steps, outcome.situations, outcome.longest, outcome.history = (
        w.steps,
        w.situations,
        w.longest,
        w.history,
    )
    outcome.acked = len(player.promised)
    return outcome


def smaller(seed: int, plan: list[Act], world: type[World] = World) -> list[Act]:
    """The plan with everything taken out that it can fail without, in steps that halve."""
    size = max(len(plan) // 2, 1)
    while True:
        at = 0
        while at < len(plan):
            shorter = plan[:at] + plan[at + size :]
            if run_seed(seed, plan=shorter, world=world).broken:
                plan = shorter
            else:
                at += size
        if size == 1:
            return plan
        size = max(size // 2, 1)
