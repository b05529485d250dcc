"""What an agent is doing, as it stands in `agent.json`, and what the fleet says of its turn."""

from dataclasses import dataclass, fields
from enum import StrEnum
from typing import Any

from cypresswalk.rollout.release import ChangeStatus, Phase

# Keys of `agent.json` that differ from the attributes of AgentState.
FILE_KEYS = {
    "target_version": "to",
    "new_pid": "young",
    "reason": "why",
    "change_id": "change",
}


class AgentStep(StrEnum):
    """The step an agent is at; the values stand in `agent.json`."""

    IDLE = ""
    REPORTING = "told"  # the change is over, the fleet is told
    # Of a balancer's agent.
    STARTING_NEW = "beside"  # beside the old process
    STOPPING_OLD = "leaving"
    # Of a server's agent.
    DRAINING = "emptying"
    REPLACING = "starting"
    RESTORING = "undoing"

    @classmethod
    def _missing_(cls, value: object) -> "AgentStep":
        """A step of another version of the agent counts as IDLE: what runs is kept running."""
        return cls.IDLE


@dataclass(slots=True)
class AgentState:
    """What an agent runs and is doing; saved before it is done, so that a new agent goes on.

    Attributes:
        version: that runs as process `pid`, is called at `admin`.
        pid: 0 where none runs.
        admin: HOST:PORT.
        target_version: what it is being changed to; empty while it is not changed.
        new_pid: the process of that version, 0 where there is none yet.
        step: where the change is.
        reason: why the change failed, empty while nothing has.
        change_id: identifies the change to the fleet.
        failed: neither version of a server answers.
    """

    version: str = ""
    pid: int = 0
    admin: str = ""
    target_version: str = ""
    new_pid: int = 0
    step: AgentStep = AgentStep.IDLE
    reason: str = ""
    change_id: str = ""
    failed: bool = False

    def to_json(self) -> dict[str, Any]:
        """The object that stands in `agent.json`."""
        names = (field.name for field in fields(self))
        return {FILE_KEYS.get(name, name): getattr(self, name) for name in names}

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "AgentState":
        """Reads the object of `agent.json`; what it lacks has its default. Raises TypeError."""
        names = {key: name for name, key in FILE_KEYS.items()}
        state = cls(**{names.get(key, key): value for key, value in data.items()})
        state.step = AgentStep(state.step)
        return state


@dataclass(frozen=True, slots=True)
class Turn:
    """What the fleet answers an agent that asks whether its member is to be changed.

    Attributes:
        status: a ChangeStatus, or empty where no release names the member.
        phase: of the release.
        from_version: the version before the release.
        to_version: the version of the release.
        halted: a person, or the release itself, has halted the fleet.
        bound_objection: why the member may not go out now, since others were lost meanwhile, or
            empty.
        settled: of a server, whether every balancer acts on its being out.
        open_flows: of a server, flows that are there still; None if not all balancers have said.
        drain_timeout_s: of a server, within which they must have left it, seconds.
    """

    status: str
    phase: str = ""
    from_version: str = ""
    to_version: str = ""
    halted: bool = False
    bound_objection: str = ""
    settled: bool = False
    open_flows: int | None = None
    drain_timeout_s: float = 0.0

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "Turn":
        """Reads the body of the answer to the fleet's call `turn`."""
        return cls(
            status=body["status"],
            phase=body.get("phase", ""),
            from_version=body.get("since", ""),
            to_version=body.get("to", ""),
            halted=body.get("halted", False),
            bound_objection=body.get("crowded", ""),
            settled=body.get("settled", False),
            open_flows=body.get("standing"),
            drain_timeout_s=body.get("empty_s", 0.0),
        )

    @property
    def target(self) -> str:
        """The version that the agent is to run."""
        return self.from_version if self.rolling_back else self.to_version

    @property
    def rolling_back(self) -> bool:
        """Whether the release is on its way back."""
        return self.phase == Phase.ROLLING_BACK

    @property
    def changing(self) -> bool:
        """Whether the fleet has agreed that the agent's change is under way."""
        return self.status == ChangeStatus.CHANGING
