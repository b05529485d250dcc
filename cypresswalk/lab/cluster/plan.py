"""The plan of a cluster's run: its members, its load, and a timed list of faults and calls.

Pydantic decodes plans from TOML (see cypresswalk.toml). For a field with an alias, the file and
error messages use the alias, the code uses the field's own name. `random_plans.py` draws random
plans.
"""

from enum import StrEnum
from pathlib import Path

from pydantic import ConfigDict, Field, model_validator

from cypresswalk import toml

LEADER = "leader"  # in place of a balancer's name: the leader when the step begins
MAX_CLOCK_DRIFT = 0.02  # as a share of the clock's rate


class Action(StrEnum):
    """The action of a step; the values are those used in the plan file."""

    CUT = "cut"
    CUT_ONE_WAY = "cut_one_way"
    DELAY = "slow"  # a link
    GARBLE = "garble"
    ISOLATE = "isolate"
    HEAL = "heal"  # ends all faults, also of disks and endpoint lists, and starts what is down
    KILL = "kill"  # a balancer's host, including its agent if it has one
    START = "start"  # a balancer's host that is down: its agent if any, else the balancer
    STOP = "stop"
    FREEZE = "freeze"
    RESUME_PROCESS = "thaw"  # ends a freeze
    WIPE = "wipe"  # kills a host, wipes its disk and starts it again
    RESTORE_BACKUP = "put_back"
    BACK_UP = "copy"
    REMOVE_SERVER = "out"
    RETURN_SERVER = "back"
    OFFER_SETTINGS = "offer"
    SHOW_SETTINGS = "show"
    REMOVE_SERVER_SETTLED = "server_down"  # removes, and waits until no balancer sends there
    LIST_LAGS = "lag"  # a balancer's endpoint list gets no more changes, until HEAL
    LIST_LIES = "lie"  # it gives every changed server as in service, until HEAL
    LIST_DRAINS_SERVER = "list_drain"
    HALF_CLOSE = "half_close"
    DISK_FULL = "disk_full"
    DISK_FAILS = "disk_fails"
    DISK_SLOW = "disk_slow"
    RESTART_SERVER = "server_restart"
    RELEASE = "release"
    ROLL_BACK = "release_back"
    HALT = "halt"
    RESUME_RELEASES = "resume"  # ends a halt
    PAUSE = "pause"
    UNPAUSE = "unpause"
    KILL_AGENT = "kill_agent"
    START_AGENT = "start_agent"  # the same as START; plans with agents only
    KILL_BALANCER = "kill_balancer"  # the balancer only; its agent starts it again
    DRAIN = "drain"
    UNDRAIN = "undrain"
    KILL_SERVER_AGENT = "kill_server_agent"
    START_SERVER_AGENT = "start_server_agent"
    KILL_SERVER = "kill_server"


class Build(StrEnum):
    """A version of a program, good or bad in one way; the values are those of the plan file."""

    GOOD = "good"
    REJECTS = "rejects"
    ABORTS = "aborts"
    SLOW = "slow"
    CRASHES = "falls"
    NEVER_READY = "never_ready"
    CANNOT_READ_SETTINGS = "unreadable"


SERVER_BUILDS = {Build.GOOD, Build.ABORTS, Build.SLOW, Build.CRASHES, Build.NEVER_READY}
LINK_ACTIONS = {Action.CUT, Action.CUT_ONE_WAY, Action.DELAY, Action.GARBLE, Action.HALF_CLOSE}
DISK_ACTIONS = {Action.DISK_FULL, Action.DISK_FAILS, Action.DISK_SLOW}  # until HEAL
SERVER_AGENT_ACTIONS = {
    Action.KILL_SERVER_AGENT,
    Action.START_SERVER_AGENT,
    Action.KILL_SERVER,
}
ACTIONS_WITHOUT_BALANCER = SERVER_AGENT_ACTIONS | {
    Action.HEAL,
    Action.LIST_DRAINS_SERVER,
    Action.RESTART_SERVER,
    Action.RELEASE,
}
SERVER_ACTIONS = SERVER_AGENT_ACTIONS | {
    Action.REMOVE_SERVER,
    Action.REMOVE_SERVER_SETTLED,
    Action.RETURN_SERVER,
    Action.LIST_DRAINS_SERVER,
    Action.RESTART_SERVER,
}
RELEASE_ACTIONS = {
    Action.RELEASE,
    Action.ROLL_BACK,
    Action.HALT,
    Action.RESUME_RELEASES,
    Action.PAUSE,
    Action.UNPAUSE,
}
BALANCER_AGENT_ACTIONS = {
    Action.KILL_AGENT,
    Action.START_AGENT,
    Action.KILL_BALANCER,
    Action.DRAIN,
    Action.UNDRAIN,
}


class Step(toml.Table):
    """One fault or call.

    Attributes:
        at_s: time from the begin of the run, seconds.
        action: the fault or call.
        balancer: name of the target or called balancer; or LEADER.
        peer: name of the balancer at the other end of a link.
        server: number of a server.
        duration_ms: duration of a freeze, or delay of a slow link, milliseconds.
        build: for a release, the build to roll out.
        hold_s: for a release, how long each wave is observed, seconds.
        min_flows: for a release, number of flows that each changed member must have answered.
        shuffled: for a release, whether its members are changed in a random order.
        after_replicas: whether to wait until replication is idle; later steps shift by the wait.
    """

    model_config = ConfigDict(populate_by_name=True)

    at_s: float = Field(ge=0, le=3600)
    action: Action = Field(validation_alias="do")
    balancer: str = Field(default="", validation_alias="who")
    peer: str = Field(default="", validation_alias="other")
    server: int = Field(default=0, ge=0)
    duration_ms: int = Field(default=200, ge=1, le=60_000, validation_alias="ms")
    build: Build = Build.GOOD
    hold_s: float = Field(default=2, ge=0.1, le=600)
    min_flows: int = Field(default=20, ge=0, validation_alias="flows")
    shuffled: bool = Field(default=False, validation_alias="mixed")
    after_replicas: bool = Field(default=False, validation_alias="when_copies_whole")

    @model_validator(mode="after")
    def _check_required_fields(self) -> "Step":
        if self.action not in ACTIONS_WITHOUT_BALANCER and not self.balancer:
            raise ValueError(f"{self.action} needs who")
        if self.action in LINK_ACTIONS and not self.peer:
            raise ValueError(f"{self.action} needs other")
        return self


class Plan(toml.Table):
    """A cluster, its load, and its faults and calls.

    Attributes:
        balancers: number of balancers, named n0, n1 and so on.
        voters: number of balancers that vote, the first ones.
        servers: number of servers, named s-0, s-1 and so on.
        zones: number of zones that the balancers are spread over.
        duration_s: duration of load and steps, seconds.
        max_contradiction_s: longest time for which balancers may act on contradicting versions.
        flows_per_s: the load, new flows per second; 0 for none.
        replicas: number of replicas of each reserved key; 0 for no replication.
        repeat_probability: probability that a once-only flow is sent again under the same id, at
            once or later, at any balancer.
        seed: seed of all random draws.
        balancer_agents: whether balancers' hosts have agents; releases then change balancers.
        max_unavailable_balancers: bound on balancers out at once; 0 for no bound.
        server_agents: whether servers' hosts have agents; releases then change servers.
        max_unavailable_servers: bound on servers out at once, with server agents.
        clock_drift: share by which a balancer's clock runs fast, by name; 0.01 for 1%.
        steps: the steps, in the order of execution.
    """

    model_config = ConfigDict(populate_by_name=True)

    balancers: int = Field(default=5, ge=1, le=100)
    voters: int = Field(default=3, ge=1, le=7)
    servers: int = Field(default=4, ge=1, le=50)
    zones: int = Field(default=1, ge=1, le=8)
    duration_s: float = Field(default=20, ge=1, le=3600, validation_alias="lasts_s")
    max_contradiction_s: float = Field(default=5, ge=1, le=60, validation_alias="stated_s")
    flows_per_s: float = Field(default=30, ge=0, le=5000)
    replicas: int = Field(default=0, ge=0, le=7, validation_alias="copies")
    repeat_probability: float = Field(default=0, ge=0, le=1, validation_alias="repeats")
    seed: int = 0
    balancer_agents: bool = Field(default=False, validation_alias="agents")
    max_unavailable_balancers: int = Field(default=0, ge=0, validation_alias="bound")
    server_agents: bool = False
    max_unavailable_servers: int = Field(default=1, ge=1, validation_alias="server_bound")
    clock_drift: dict[str, float] = Field(default={}, validation_alias="clocks")
    steps: list[Step] = Field(default=[], validation_alias="step")

    @model_validator(mode="after")
    def _check_consistency(self) -> "Plan":
        if self.balancer_agents and self.server_agents:
            raise ValueError("agents, server_agents: only one of them can be true")
        if self.voters > self.balancers:
            raise ValueError("voters: more than balancers")
        self._check_clocks()
        for index, step in enumerate(self.steps):
            self._check_names(index, step)
            self._check_agents(index, step)
        return self

    def balancer_names(self) -> list[str]:
        """Return the names of all balancers."""
        return [f"n{number}" for number in range(self.balancers)]

    def voter_names(self) -> list[str]:
        """Return the names of the balancers that vote."""
        return self.balancer_names()[: self.voters]

    def server_names(self) -> list[str]:
        """Return the names of all servers."""
        return [server_name(number) for number in range(self.servers)]

    def _check_clocks(self) -> None:
        for name, drift in self.clock_drift.items():
            if name not in self.balancer_names() or abs(drift) > MAX_CLOCK_DRIFT:
                raise ValueError(
                    f"clocks.{name}: the name is none of n0 to n{self.balancers - 1}, "
                    f"or the drift exceeds {MAX_CLOCK_DRIFT}"
                )

    def _check_names(self, index: int, step: Step) -> None:
        known = {*self.balancer_names(), LEADER, ""}
        for key, name in (("who", step.balancer), ("other", step.peer)):
            if name not in known:
                raise ValueError(
                    f"step[{index}].{key}: {name!r} is none of n0 to n{self.balancers - 1}, leader"
                )
        if step.server >= self.servers:
            raise ValueError(f"step[{index}].server: the number of servers is {self.servers}")

    def _check_agents(self, index: int, step: Step) -> None:
        field = f"step[{index}].do: {step.action}"
        has_agents = self.balancer_agents or self.server_agents
        if step.action in BALANCER_AGENT_ACTIONS and not self.balancer_agents:
            raise ValueError(f"{field} needs agents = true")
        if step.action in RELEASE_ACTIONS and not has_agents:
            raise ValueError(f"{field} needs agents = true")
        if step.action in SERVER_AGENT_ACTIONS and not self.server_agents:
            raise ValueError(f"{field} needs server_agents = true")
        if self.server_agents and step.build not in SERVER_BUILDS:
            raise ValueError(
                f"step[{index}].build: {step.build}: with server agents it must be one of "
                f"{', '.join(sorted(SERVER_BUILDS))}"
            )


def server_name(number: int) -> str:
    """Return a server's name."""
    return f"s-{number}"


def read_plan(path: str | Path) -> Plan:
    """Read a plan from a file. Raise CommandError with a line for each invalid field."""
    return toml.read(path, Plan)
