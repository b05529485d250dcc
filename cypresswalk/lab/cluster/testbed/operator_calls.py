"""Operators' calls on servers and settings, and the answers to them."""

import time
from dataclasses import dataclass, replace
from random import Random
from typing import Any

from cypresswalk.lab.cluster.checkers.contradiction import Removal
from cypresswalk.lab.cluster.checkers.linearizability import (
    NEVER,
    CallKind,
    CallOutcome,
    SettingsCall,
    SettingsState,
)
from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.fleet_calls import FleetAnswer, FleetCalls
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.cluster.testbed.settings import balancer_settings, register_value
from cypresswalk.refusal import CommandError

SHOW_TIMEOUT_S = 2.0
SETTLED_TIMEOUT_S = 15.0
MAX_REGISTER_VALUE = 1 << 20


@dataclass(frozen=True, slots=True)
class AgreedRemoval:
    """A removal of a server from rotation, and the version that it created."""

    removal: Removal
    version: int


@dataclass(frozen=True, slots=True)
class ReturnCall:
    """A call that returns a server to rotation.

    Attributes:
        server: name of the server.
        requested_at: nanoseconds of the monotonic clock.
        version: version that the call created, None if unknown.
        outcome: outcome of the call.
    """

    server: str
    requested_at: int
    version: int | None
    outcome: CallOutcome

    def may_end(self, agreed: AgreedRemoval) -> bool:
        """Return whether the call may have ended a removal.

        A call with an unknown outcome may have taken effect; from then on it is unknown whether
        the server is out of rotation.
        """
        if self.server != agreed.removal.server:
            return False
        if self.version is not None:
            return self.version > agreed.version
        return self.outcome != CallOutcome.YES and self.requested_at > agreed.removal.requested_at


class OperatorCalls:
    """The calls that operators make on servers and settings.

    Attributes:
        settings_calls: calls on settings, in the order in which they returned.
        initial_settings: settings before the first of these calls.
    """

    def __init__(self, plan: Plan, calls: FleetCalls, recording: Recording, rng: Random):
        """Store the parameters; no call has been made yet."""
        self.settings_calls: list[SettingsCall] = []
        self.initial_settings = SettingsState(0, 0)
        self._plan = plan
        self._calls = calls
        self._recording = recording
        self._rng = rng
        self._removals: list[AgreedRemoval] = []
        self._returns: list[ReturnCall] = []

    @property
    def agreed_removal_count(self) -> int:
        """The number of agreed removals of servers from rotation."""
        return len(self._removals)

    def removals(self) -> list[Removal]:
        """Return the agreed removals, each with the time at which its end was requested.

        A removal lasts until the next return of that server in the order of versions, not of
        answers: an answer can arrive long after the command was agreed.
        """
        return [
            replace(agreed.removal, returned_at=self._returned_at(agreed))
            for agreed in self._removals
        ]

    async def remove_server(self, balancer: str, server: str, settle: bool) -> None:
        """Take a server out of rotation; with `settle`, wait until no balancer sends to it."""
        requested_at = time.monotonic_ns()
        answer = await self._calls.command(balancer, "out", server=server)
        agreed_at = time.monotonic_ns()
        self._record(
            "server_down" if settle else "out", answer, at_balancer=balancer, server=server
        )
        version = answer.version()
        if version is None:
            return
        index = len(self._removals)
        self._removals.append(AgreedRemoval(Removal(server, requested_at, agreed_at), version))
        if not settle:
            return
        answer = await self._calls.call(
            balancer, "settled", {"version": version}, timeout_s=SETTLED_TIMEOUT_S
        )
        self._record("settled", answer, server=server)
        if answer.ok:
            settled = replace(self._removals[index].removal, settled_at=time.monotonic_ns())
            self._removals[index] = AgreedRemoval(settled, version)

    async def return_server(self, balancer: str, server: str) -> None:
        """Return a server to rotation."""
        requested_at = time.monotonic_ns()
        answer = await self._calls.command(balancer, "back", server=server)
        self._record("back", answer, at_balancer=balancer, server=server)
        self._returns.append(ReturnCall(server, requested_at, answer.version(), answer.outcome))

    async def offer_settings(self, balancer: str) -> None:
        """Offer settings with a new register value, based on the version that a balancer shows."""
        shown = await self._calls.call(balancer, "show", timeout_s=SHOW_TIMEOUT_S)
        if not shown.ok:
            return
        base = shown.body["settings_version"]
        value = self._rng.randrange(MAX_REGISTER_VALUE)
        offered = balancer_settings(0, self._plan.balancers, value)
        settings = {key: offered[key] for key in offered if key in shown.body["settings"]}
        called_at = time.monotonic_ns()
        answer = await self._calls.command(balancer, "offer", base=base, settings=settings)
        returned_at = time.monotonic_ns()
        self.settings_calls.append(
            SettingsCall(
                CallKind.OFFER,
                called_at,
                returned_at,
                answer.outcome,
                base,
                value,
                answer.version() or 0,
            )
        )
        self._record("offer", answer, at_balancer=balancer, base=base)

    async def show_settings(self, balancer: str) -> None:
        """Read the settings, and record the register's value."""
        called_at = time.monotonic_ns()
        answer = await self._calls.call(balancer, "show", timeout_s=SHOW_TIMEOUT_S)
        if answer.ok:
            self.settings_calls.append(
                SettingsCall(
                    CallKind.SHOW,
                    called_at,
                    time.monotonic_ns(),
                    answer.outcome,
                    value=register_value(answer.body["settings"]),
                    version=answer.body["settings_version"],
                )
            )

    async def agree_on_bounds(self, status: dict[str, Any]) -> None:
        """Have the fleet agree on the plan's bounds, before any other call.

        Args:
            status: status of the converged fleet.

        Raises:
            CommandError: the bounds were not agreed.
        """
        version = status["settings_version"]
        bounds = self._bounds()
        if bounds:
            balancer = self._plan.balancer_names()[0]
            shown = await self._calls.call(balancer, "show")
            answer = await self._calls.command(
                balancer,
                "offer",
                base=shown.body["settings_version"],
                settings=shown.body["settings"] | {"bounds": bounds},
            )
            agreed = answer.version()
            if agreed is None:
                raise CommandError(f"the fleet did not agree on the bounds: {answer.body}")
            version = agreed
        self.initial_settings = SettingsState(version, 0)

    def _bounds(self) -> dict[str, Any]:
        plan = self._plan
        if plan.server_agents:
            return {"servers": {"all": plan.max_unavailable_servers}}
        if plan.max_unavailable_balancers:
            return {"balancers": {"all": plan.max_unavailable_balancers}}
        return {}

    def _returned_at(self, agreed: AgreedRemoval) -> int:
        ends = (call.requested_at for call in self._returns if call.may_end(agreed))
        return min(ends, default=NEVER)

    def _record(self, call: str, answer: FleetAnswer, **fields: Any) -> None:
        result = {"result": answer.outcome, "body": answer.shown_body()}
        self._recording.record("told", call=call, **fields, **result)
