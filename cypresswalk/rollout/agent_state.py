"""An agent's state, as saved in `agent.json`, and the fleet's answer about its member's turn."""

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
    """The step an agent is at; the values are written to `agent.json`."""

    IDLE = ""
    REPORTING = "told"  # the change is over and is being reported to the fleet
    # Steps of a balancer's agent.
    STARTING_NEW = "beside"  # while the old process still runs
    STOPPING_OLD = "leaving"
    # Steps of a server's agent.
    DRAINING = "emptying"
    REPLACING = "starting"
    RESTORING = "undoing"

    @classmethod
    def _missing_(cls, value: object) -> "AgentStep":
        """Treat an unknown step, written by another agent version, as IDLE.

        The agent then keeps the current version running.
        """
        return cls.IDLE


@dataclass(slots=True)
class AgentState:
    """What an agent runs and which step it is at.

    Saved before each step is taken, so that a restarted agent can continue.

    Attributes:
        version: the version that runs.
        pid: id of its process, 0 if none runs.
        admin: HOST:PORT of its process.
        target_version: the version that the member is being changed to; empty if there is no change
            under way.
        new_pid: id of the process of `target_version`, 0 if there is none yet.
        step: the current step of the change.
        reason: why the change failed; empty if it has not failed.
        change_id: id of the change, sent to the fleet.
        failed: whether neither version of a server answers.
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
        """Return the JSON object that is written to `agent.json`."""
        names = (field.name for field in fields(self))
        return {FILE_KEYS.get(name, name): getattr(self, name) for name in names}

    @classmethod
    def from_json(cls, data: dict[str, Any]) -> "AgentState":
        """Read the JSON object of `agent.json`; missing keys get their defaults.

        Raise TypeError for an unknown key.
        """
        names = {key: name for name, key in FILE_KEYS.items()}
        state = cls(**{names.get(key, key): value for key, value in data.items()})
        state.step = AgentStep(state.step)
        return state


@dataclass(frozen=True, slots=True)
class Turn:
    """The fleet's answer to an agent that asks whether its member is to be changed.

    Attributes:
        status: the member's ChangeStatus; empty if no release names the member.
        phase: phase of the release.
        from_version: the version before the release.
        to_version: the version of the release.
        halted: whether an operator, or the release itself, has halted the fleet.
        bound_objection: why the bounds do not allow the member to go out now, because others were
            lost meanwhile; empty if they allow it.
        removal_applied: for a server, whether every balancer has applied its removal from rotation.
        open_flows: for a server, its remaining flows; None until all balancers have reported.
        drain_timeout_s: for a server, seconds within which its flows must have ended.
    """

    status: str
    phase: str = ""
    from_version: str = ""
    to_version: str = ""
    halted: bool = False
    bound_objection: str = ""
    removal_applied: bool = False
    open_flows: int | None = None
    drain_timeout_s: float = 0.0

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "Turn":
        """Read the body of the answer to the fleet's call `turn`."""
        return cls(
            status=body["status"],
            phase=body.get("phase", ""),
            from_version=body.get("since", ""),
            to_version=body.get("to", ""),
            halted=body.get("halted", False),
            bound_objection=body.get("crowded", ""),
            removal_applied=body.get("settled", False),
            open_flows=body.get("standing"),
            drain_timeout_s=body.get("empty_s", 0.0),
        )

    @property
    def target_version(self) -> str:
        """The version that the agent should run."""
        return self.from_version if self.rolling_back else self.to_version

    @property
    def rolling_back(self) -> bool:
        """Whether the release is being rolled back."""
        return self.phase == Phase.ROLLING_BACK

    @property
    def changing(self) -> bool:
        """Whether the fleet has agreed that the agent's change is under way."""
        return self.status == ChangeStatus.CHANGING
