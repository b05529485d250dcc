"""What a run of several balancers is to go through: read from a file, or drawn from a seed."""

from random import Random
from typing import Literal

from pydantic import Field, model_validator

from cypresswalk import toml

Do = Literal[
    "cut",
    "cut_one_way",
    "slow",
    "garble",
    "isolate",
    "heal",
    "kill",
    "start",
    "stop",
    "freeze",
    "thaw",
    "wipe",
    "put_back",
    "copy",
    "out",
    "back",
    "offer",
    "show",
    "server_down",
    "lag",
    "lie",
    "list_drain",
    "half_close",
    "disk_full",
    "disk_fails",
    "disk_slow",
    "server_restart",
    "release",
    "release_back",
    "halt",
    "resume",
    "pause",
    "unpause",
    "kill_agent",
    "start_agent",
    "kill_balancer",
    "drain",
    "undrain",
    "kill_server_agent",
    "start_server_agent",
    "kill_server",
]
Build = Literal["good", "rejects", "aborts", "slow", "falls", "never_ready", "unreadable"]
OF_SERVERS = {"good", "aborts", "slow", "falls", "never_ready"}
PAIRS = {"cut", "cut_one_way", "slow", "garble", "half_close"}
DISKS = {"disk_full", "disk_fails", "disk_slow"}  # until all is healed
BY_SERVER_AGENTS = {"kill_server_agent", "start_server_agent", "kill_server"}
NOBODY = {"heal", "list_drain", "server_restart", "release"} | BY_SERVER_AGENTS
BY_EITHER = {"release", "release_back", "halt", "resume", "pause", "unpause"}
BY_AGENTS = {"kill_agent", "start_agent", "kill_balancer", "drain", "undrain"}


class Step(toml.Table):
    at_s: float = Field(ge=0, le=3600)
    do: Do
    who: str = ""  # a balancer; "leader" for the one that leads then
    other: str = ""
    server: int = Field(0, ge=0)
    ms: int = Field(200, ge=1, le=60_000)
    build: Build = "good"  # of a release: what is made and given out
    hold_s: float = Field(2, ge=0.1, le=600)
    flows: int = Field(20, ge=0)
    mixed: bool = False  # in an order by chance

    @model_validator(mode="after")
    def fits(self) -> "Step":
        if self.do not in NOBODY and not self.who:
            raise ValueError(f"{self.do} needs who")
        if self.do in PAIRS and not self.other:
            raise ValueError(f"{self.do} needs other")
        return self


class Plan(toml.Table):
    balancers: int = Field(5, ge=1, le=100)
    voters: int = Field(3, ge=1, le=7)
    servers: int = Field(4, ge=1, le=50)
    zones: int = Field(1, ge=1, le=8)
    lasts_s: float = Field(20, ge=1, le=3600)
    stated_s: float = Field(5, ge=1, le=60)
    flows_per_s: float = Field(30, ge=0, le=5000)
    copies: int = Field(0, ge=0, le=7)  # of each claimed id; 0: none are kept
    repeats: float = Field(
        0, ge=0, le=1
    )  # of once-only flows: said again under the same id, at once or later, elsewhere
    seed: int = 0
    agents: bool = False  # on each balancer's machine; without them there is no release
    bound: int = Field(0, ge=0)  # on balancers out at once; 0: none
    server_agents: bool = False  # on each server's machine: releases are of servers
    server_bound: int = Field(1, ge=1)  # with them: on servers out at once
    clocks: dict[
        str, float
    ] = {}  # balancers whose fleet's clock runs fast by that part, 0.01 for 1%
    step: list[Step] = []

    @model_validator(mode="after")
    def names(self) -> "Plan":
        if self.agents and self.server_agents:
            raise ValueError("agents, server_agents: one of them")
        if self.voters > self.balancers:
            raise ValueError("voters: more than balancers")
        for name, off in self.clocks.items():
            if name not in {f"n{i}" for i in range(self.balancers)} or not -0.02 <= off <= 0.02:
                raise ValueError(
                    f"clocks.{name}: none of n0 to n{self.balancers - 1}, or not within 0.02"
                )
        known = {f"n{i}" for i in range(self.balancers)} | {"leader", ""}
        for i, step in enumerate(self.step):
            for field in ("who", "other"):
                if getattr(step, field) not in known:
                    raise ValueError(
                        f"step[{i}].{field}: {getattr(step, field)!r} is none of n0 to n{self.balancers - 1}, leader"
                    )
            if (
                step.do in BY_AGENTS
                and not self.agents
                or step.do in BY_EITHER
                and not (self.agents or self.server_agents)
            ):
                raise ValueError(f"step[{i}].do: {step.do} needs agents = true")
            if step.do in BY_SERVER_AGENTS and not self.server_agents:
                raise ValueError(f"step[{i}].do: {step.do} needs server_agents = true")
            if self.server_agents and step.build not in OF_SERVERS:
                raise ValueError(
                    f"step[{i}].build: {step.build}: of servers there are {', '.join(sorted(OF_SERVERS))}"
                )
            if step.server >= self.servers:
                raise ValueError(f"step[{i}].server: there are {self.servers}")
        return self


def read(path: str) -> Plan:
    """Raises Refusal with a line for each wrong field."""
    return toml.read(path, Plan)


MADE_UP = 6.0  # seconds after a disk was lost until another may be: so long its copies and its place are made up


def drawn(
    seed: int,
    balancers: int = 5,
    voters: int = 3,
    lasts_s: float = 20,
    faults: int = 8,
    copies: int = 0,
) -> Plan:
    """Faults and calls by chance, and everything lifted five seconds before the end. One disk is lost at most; where copies of claims
    are kept, one after another."""
    chance = Random(f"{seed}/together")
    names = [f"n{i}" for i in range(balancers)]
    steps = []
    down: set[str] = set()
    lost = 0.0
    for at in sorted(chance.uniform(1, lasts_s - 6) for _ in range(faults)):
        do = chance.choice(
            [
                "cut",
                "cut_one_way",
                "slow",
                "garble",
                "isolate",
                "heal",
                "kill",
                "freeze",
                "wipe",
                "stop",
                "half_close",
                "disk_full",
                "disk_fails",
                "lag",
                "server_restart",
            ]
            + ["wipe", "wipe", "kill", "freeze"] * (copies > 0)
        )
        who, other = chance.sample(names, 2)
        if chance.random() < 0.4:
            who = "leader"
        again = copies > 0 and at > lost + MADE_UP  # what was lost or away is made up
        if (
            do in ("kill", "stop", "wipe")
            and not again
            and (len(down) >= (voters - 1) // 2 or do == "wipe" and lost > 0)
        ):
            do = "freeze"
        if do in ("kill", "stop"):
            down.add(who)
            steps.append(Step(at_s=round(at + chance.uniform(0.5, 3), 2), do="start", who=who))
        lost = at if do == "wipe" or copies and do in ("kill", "stop") else lost
        steps.append(
            Step(
                at_s=round(at, 2),
                do=do,
                who="" if do in NOBODY else who,
                other=other if do in PAIRS else "",
                ms=chance.choice((200, 900, 3000)),
                server=2 + chance.randrange(2) if do == "server_restart" else 0,
            )
        )
    for _ in range(faults):
        do = chance.choice(["out", "out", "back", "offer", "offer", "show"])
        steps.append(
            Step(
                at_s=round(chance.uniform(1, lasts_s - 6), 2),
                do=do,
                who=chance.choice(names),
                server=chance.randrange(2),
            )
        )
    steps.append(Step(at_s=lasts_s - 5, do="heal"))
    clocks = {chance.choice(names): chance.choice((0.01, -0.01))}
    return Plan(
        balancers=balancers,
        voters=voters,
        lasts_s=lasts_s,
        seed=seed,
        clocks=clocks,
        copies=copies,
        repeats=0.6 if copies else 0,
        flows_per_s=60 if copies else 30,
        step=sorted(steps, key=lambda s: s.at_s),
    )


def drawn_release(
    seed: int, balancers: int = 5, voters: int = 3, lasts_s: float = 30, faults: int = 10
) -> Plan:
    """A release of a good or a bad build among faults and calls by chance, some of which strike within moments of each other. One disk
    is lost at most, and no more machines are down at once than leave most voters."""
    chance = Random(f"{seed}/release")
    names = [f"n{i}" for i in range(balancers)]
    build = chance.choice(
        ["good", "good", "good", "rejects", "aborts", "falls", "never_ready", "unreadable"]
    )
    steps = [Step(at_s=0.5, do="release", build=build, mixed=True)]
    down, lost, at = 0, False, 1.0
    for _ in range(faults):
        at += chance.choice((chance.uniform(0.05, 0.6), chance.uniform(0.5, 2 * lasts_s / faults)))
        if at > lasts_s:
            break
        do = chance.choice(
            [
                "cut",
                "cut_one_way",
                "slow",
                "isolate",
                "heal",
                "kill",
                "freeze",
                "wipe",
                "kill_balancer",
                "kill_balancer",
                "kill_agent",
                "kill_agent",
                "halt",
                "resume",
                "pause",
                "unpause",
                "drain",
                "drain",
                "undrain",
                "release_back",
            ]
        )
        who, other = chance.sample(names, 2)
        if chance.random() < 0.3 and do not in ("wipe", "kill"):
            who = "leader"
        if do == "kill" and down or do == "wipe" and lost:
            do = "kill_balancer"
        if do == "kill":
            down += 1
            steps.append(Step(at_s=round(at + chance.uniform(1, 12), 2), do="start", who=who))
        if do == "kill_agent":
            steps.append(
                Step(at_s=round(at + chance.uniform(0.3, 6), 2), do="start_agent", who=who)
            )
        if do == "release_back" and build == "good" and chance.random() < 0.6:
            do = "resume"
        lost = lost or do == "wipe"
        steps.append(
            Step(
                at_s=round(at, 2),
                do=do,
                who="" if do in NOBODY else who,
                other=other if do in PAIRS else "",
                ms=chance.choice((200, 900, 3000, 7000)),
            )
        )
    return Plan(
        balancers=balancers,
        voters=voters,
        lasts_s=lasts_s,
        seed=seed,
        zones=2,
        agents=True,
        bound=chance.choice((1, 2)),
        flows_per_s=100,
        step=sorted(steps, key=lambda s: s.at_s),
    )
