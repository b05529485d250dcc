"""Operators' calls on releases of balancers or servers, until each release has ended."""

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
FINISH_TIMEOUT_S = 90.0  # after all faults have ended; extended for each member
MAX_SHOWN = 1500  # characters of an answer's body in the report


class ReleaseMembers(Protocol):
    """The balancers or servers that a release changes, and their agents.

    Attributes:
        names: names of all members.
        first_balancer: balancer that receives the calls.
        bound: maximum number of members that may be out at once.
        finish_timeout_per_member_s: seconds by which each member extends the time for a release to
            finish.
    """

    names: list[str]
    first_balancer: str
    bound: int
    finish_timeout_per_member_s: float

    def make_build(self, version: str, build: Build) -> None:
        """Make a version that agents can start."""

    def release_plan(
        self, name: str, from_version: str, to_version: str, names: list[str], step: Step
    ) -> ReleasePlan:
        """Return the plan of a release that changes members in the order of `names`."""

    def agent_states(self) -> list[AgentState]:
        """Return the saved state of each agent."""

    def no_member_is_out(self, body: dict[str, Any]) -> bool:
        """Return whether the fleet's answer to the call `release` counts no member as out."""

    async def end_drains(self) -> None:
        """End all drains by operators."""

    def departures(self) -> list[Departure]:
        """Return when each member was ordered to leave, in order of time."""


@dataclass(frozen=True, slots=True)
class ReleaseStatus:
    """The fleet's answer to the call `release`.

    Attributes:
        body: complete body of the answer.
        halted: whether the fleet is halted.
        name: name of the release; empty if there was none.
        from_version: version before the release.
        to_version: version that is released.
        phase: phase of the release, a Phase; empty if there was no release.
    """

    body: dict[str, Any]
    halted: bool
    name: str = ""
    from_version: str = ""
    to_version: str = ""
    phase: str = ""

    @classmethod
    def from_body(cls, body: dict[str, Any]) -> "ReleaseStatus":
        """Return the status that an answer's body contains."""
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
        """The version that runs after the release is over."""
        return self.to_version if self.phase == Phase.DONE else self.from_version


@dataclass(frozen=True, slots=True)
class ReleaseEnd:
    """The end of the last release.

    Attributes:
        took_s: seconds from the end of all faults to the end of the release.
        phase: last phase, a Phase, or "none".
        unfinished_body: fleet's last answer if the release did not finish in time, else empty.
        agent_states: agents' saved states if the release did not finish in time.
    """

    took_s: float
    phase: str = "none"
    unfinished_body: str = ""
    agent_states: tuple[AgentState, ...] = ()

    def to_json(self) -> dict[str, Any]:
        """Return this end's part of the report."""
        if self.unfinished_body:
            states = [state.to_json() for state in self.agent_states]
            return {"not_home": self.unfinished_body, "doing": states}
        return {"home_in_s": round(self.took_s, 1), "ended": self.phase}


class Releases:
    """The releases of one cluster, with all calls on them.

    Attributes:
        current_version: version that runs while no release is under way.
        halts: agreed halts.
        resumes: times at which resumes were requested, in nanoseconds of the monotonic clock.
        rollbacks: times at which rollbacks were requested, in nanoseconds of the monotonic clock.
    """

    def __init__(
        self, members: ReleaseMembers, calls: FleetCalls, recording: Recording, rng: Random
    ):
        """Store the parameters; no release has begun yet."""
        self.current_version = FIRST_VERSION
        self.halts: list[Halt] = []
        self.resumes: list[int] = []
        self.rollbacks: list[int] = []
        self._members = members
        self._calls = calls
        self._recording = recording
        self._rng = rng
        self._builds = {FIRST_VERSION: Build.GOOD}
        self._count = 0

    @property
    def last_name(self) -> str:
        """The name of the last release."""
        return f"r{self._count}"

    async def begin(self, step: Step) -> CallOutcome:
        """Make a build and begin its release."""
        members = self._members
        self._count += 1
        version = f"v{self._count}"
        members.make_build(version, step.build)
        self._builds[version] = step.build
        names = members.names
        if step.shuffled:
            names = self._rng.sample(names, len(names))
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
        """Pause or continue the last release."""
        await self._calls.command(balancer, "release_pause", release=self.last_name, on=paused)

    async def halt(self, balancer: str) -> None:
        """Halt the fleet, so that no more members leave."""
        requested_at = time.monotonic_ns()
        answer = await self._calls.command(balancer, "halt", why="by the rig")
        self._record("halt", answer)
        if answer.ok:
            self.halts.append(Halt(requested_at, time.monotonic_ns()))

    async def resume(self, balancer: str) -> None:
        """End the halts that a balancer reports."""
        status = await self._calls.call(balancer, "status")
        if status.ok:
            self.resumes.append(time.monotonic_ns())
            answer = await self._calls.command(balancer, "resume", halts=status.body["halts"])
            self._record("resume", answer)

    async def finish(self) -> ReleaseEnd:
        """Finish the last release, or roll it back if its build is bad, until no member is out.

        All faults must have ended.
        """
        members = self._members
        began = time.monotonic()
        timeout_s = FINISH_TIMEOUT_S + members.finish_timeout_per_member_s * len(members.names)
        body: Any = {}
        while time.monotonic() - began < timeout_s:
            await members.end_drains()
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
            unfinished_body=str(body)[:MAX_SHOWN],
            agent_states=tuple(members.agent_states()),
        )

    async def _finish_step(self, status: ReleaseStatus) -> bool:
        """Make the call that an operator would make next; return whether all is finished."""
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
        return self._members.no_member_is_out(status.body) and all(
            state.version == self.current_version and not state.step
            for state in self._members.agent_states()
        )

    def _record(self, call: str, answer: FleetAnswer, **fields: Any) -> None:
        result = {"result": answer.outcome, "body": answer.shown_body()}
        self._recording.record("told", call=call, **fields, **result)
