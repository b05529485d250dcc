"""What operators do with releases, of balancers or of servers, until each has come to its end."""

import asyncio
import time
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import msgspec

from cypresswalk.lab.cluster.checkers.halts import Halt
from cypresswalk.lab.cluster.checkers.linearizability import CallOutcome
from cypresswalk.lab.cluster.checkers.unavailability import Departure
from cypresswalk.lab.cluster.plan import Build, Step
from cypresswalk.lab.cluster.testbed.builds import FIRST_VERSION
from cypresswalk.lab.cluster.testbed.fleet_calls import FleetAnswer, FleetCalls
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.rollout.agent_state import AgentState
from cypresswalk.rollout.release import Phase
from cypresswalk.rollout.release import Plan as ReleasePlan

STATUS_TIMEOUT_S = 2.0
STATUS_INTERVAL_S = 0.5
MAX_HOLD_PERIODS = 10.0
MAX_EXCESS_FAILURE_SHARE = 0.05
CHANGE_TIMEOUT_S = 60.0
FINISH_TIMEOUT_S = 90.0  # once all faults have ended, and more for each member
MAX_SHOWN = 1500  # characters of a body


class ReleaseMembers(Protocol):
    """The balancers or servers that are released, and their agents.

    Attributes:
        names: of all.
        first_balancer: where calls are made.
        bound: how many may be out at once.
        finish_timeout_per_member_s: for a release to come to its end.
    """

    names: list[str]
    first_balancer: str
    bound: int
    finish_timeout_per_member_s: float

    def make_build(self, version: str, build: Build) -> None:
        """Make a version for agents to start."""

    def release_plan(
        self, name: str, from_version: str, to_version: str, names: list[str], step: Step
    ) -> ReleasePlan:
        """Return the plan of a release that changes members in an order."""

    def agent_states(self) -> list[AgentState]:
        """Return what each agent has saved."""

    def nobody_is_out(self, body: dict[str, Any]) -> bool:
        """Return whether the fleet's answer to the call `release` says so."""

    async def return_drained(self) -> None:
        """End drains by operators."""

    def departures(self) -> list[Departure]:
        """Return who was told to go out when, in order of time."""


@dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """The fleet's answer to the call `release`.

    Attributes:
        body: the whole.
        halted: whether the fleet is halted.
        name: of the release; empty if there was none.
        from_version: before it.
        to_version: after it.
        phase: a Phase, or empty.
    """

    body: dict[str, Any]
    halted: bool
    name: str = ""
    from_version: str = ""
    to_version: str = ""
    phase: str = ""

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "ReleaseStatus":
        """Read the answer's body."""
        halted = bool(body["halted"])
        release = body["release"]
        if not release:
            return cls(body, halted)
        name, from_version, to_version = release[0][:3]
        return cls(body, halted, name, from_version, to_version, release[3])

    @property
    def is_over(self) -> bool:
        """Whether no release is under way."""
        return self.phase in ("", Phase.DONE, Phase.ROLLED_BACK)

    @property
    def version(self) -> str:
        """The version that runs once it is over."""
        return self.to_version if self.phase == Phase.DONE else self.from_version


@dataclass(frozen=True, slots=True)
class ReleaseEnd:
    """How the last release ended.

    Attributes:
        took_s: seconds, after all faults had ended.
        phase: a Phase, or "none".
        stuck_body: what the fleet said last, if it did not come to its end.
        agent_states: in that case.
    """

    took_s: float
    phase: str = "none"
    stuck_body: str = ""
    agent_states: tuple[AgentState, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return its part of the report."""
        if self.stuck_body:
            states = [state.to_json() for state in self.agent_states]
            return {"not_home": self.stuck_body, "doing": states}
        return {"home_in_s": round(self.took_s, 1), "ended": self.phase}


class Releases:
    """Releases of one cluster.

    Attributes:
        current_version: that runs where no release is under way.
        halts: that were agreed.
        resumes: when each was asked for, nanoseconds.
        rollbacks: when each was asked for, nanoseconds.
    """

    def __init__(
        self, members: ReleaseMembers, calls: FleetCalls, recording: Recording, chance: Random
    ):
        """No release was begun yet."""
        self.current_version = FIRST_VERSION
        self.halts: list[Halt] = []
        self.resumes: list[int] = []
        self.rollbacks: list[int] = []
        self._members = members
        self._calls = calls
        self._recording = recording
        self._chance = chance
        self._builds = {FIRST_VERSION: Build.GOOD}
        self._count = 0

    @property
    def last_name(self) -> str:
        """The name of the last release."""
        return f"r{self._count}"

    async def begin(self, step: Step) -> CallOutcome:
        """Make a build and begin to release it."""
        members = self._members
        self._count += 1
        version = f"v{self._count}"
        members.make_build(version, step.build)
        self._builds[version] = step.build
        names = members.names
        if step.shuffled:
            names = self._chance.sample(names, len(names))
        plan = members.release_plan(self.last_name, self.current_version, version, names, step)
        answer = await self._calls.command(
            step.balancer or members.first_balancer,
            "release_begin",
            plan=msgspec.to_builtins(plan),
        )
        self._record("release", answer, name=self.last_name, to=version, build=step.build)
        return answer.outcome

    async def roll_back(self, balancer: str) -> None:
        """Roll the last release back."""
        self.rollbacks.append(time.monotonic_ns())
        answer = await self._calls.command(balancer, "release_back", release=self.last_name)
        self._record("release_back", answer)

    async def set_paused(self, balancer: str, paused: bool) -> None:
        """Pause the last release, or let it go on."""
        await self._calls.command(balancer, "release_pause", release=self.last_name, on=paused)

    async def halt(self, balancer: str) -> None:
        """Halt the fleet: nobody goes out any more."""
        requested_at = time.monotonic_ns()
        answer = await self._calls.command(balancer, "halt", why="by the rig")
        self._record("halt", answer)
        if answer.ok:
            self.halts.append(Halt(requested_at, time.monotonic_ns()))

    async def resume(self, balancer: str) -> None:
        """End the halts that the balancer knows of."""
        status = await self._calls.call(balancer, "status")
        if status.ok:
            self.resumes.append(time.monotonic_ns())
            answer = await self._calls.command(balancer, "resume", halts=status.body["halts"])
            self._record("resume", answer)

    async def finish(self) -> ReleaseEnd:
        """Bring the last release to its end, or back where its build is bad; nobody stays out.

        All faults must have ended.
        """
        members = self._members
        began = time.monotonic()
        timeout_s = FINISH_TIMEOUT_S + members.finish_timeout_per_member_s * len(members.names)
        body: Any = {}
        while time.monotonic() - began < timeout_s:
            await members.return_drained()
            answer = await self._calls.call(
                await self._calls.leader(), "release", timeout_s=STATUS_TIMEOUT_S
            )
            body = answer.body
            if answer.ok:
                status = ReleaseStatus.from_body(body)
                if await self._finish_step(status):
                    return ReleaseEnd(time.monotonic() - began, status.phase or "none")
            await asyncio.sleep(STATUS_INTERVAL_S)
        return ReleaseEnd(
            time.monotonic() - began,
            stuck_body=str(body)[:MAX_SHOWN],
            agent_states=tuple(members.agent_states()),
        )

    async def _finish_step(self, status: ReleaseStatus) -> bool:
        """Do what an operator would do next; return whether all has come to its end."""
        balancer = self._members.first_balancer
        if status.is_over:
            if status.phase:
                self.current_version = status.version
            if not status.halted:
                return self._is_finished(status)
            await self.resume(balancer)
        elif status.phase == Phase.PAUSED:
            await self._calls.command(balancer, "release_pause", release=status.name, on=False)
        elif status.phase == Phase.RUNNING and status.halted:
            if self._builds[status.to_version] == Build.GOOD and not self.rollbacks:
                await self.resume(balancer)
            else:
                await self.roll_back(balancer)
        return False

    def _is_finished(self, status: ReleaseStatus) -> bool:
        return self._members.nobody_is_out(status.body) and all(
            state.version == self.current_version and not state.step
            for state in self._members.agent_states()
        )

    def _record(self, call: str, answer: FleetAnswer, **fields: Any) -> None:
        result = {"result": answer.outcome, "body": answer.shown_body()}
        self._recording.record("told", call=call, **fields, **result)
