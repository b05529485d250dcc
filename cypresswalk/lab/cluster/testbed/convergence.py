"""Waits until a cluster has converged: balancers act on the newest version, replicas agree."""

import asyncio
import time
from typing import Any, NamedTuple

from cypresswalk.fleet.client import differing_replicas
from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.fleet_calls import SHORT_CALL_TIMEOUT_S, FleetCalls

CONVERGENCE_TIMEOUT_S = 30.0
CONVERGENCE_TIMEOUT_PER_BALANCER_S = 1.0  # up to fifty interpreters start on a few cores
STATUS_INTERVAL_S = 0.1
REPLICAS_TIMEOUT_S = 30.0
REPLICAS_INTERVAL_S = 0.2


class ReplicasStatus(NamedTuple):
    """The leader's report on replicas.

    Attributes:
        body: the leader's answer.
        complete: whether each partition is complete and equal at as many replicas as planned.
    """

    body: Any
    complete: bool


class Convergence:
    """Waits for one cluster to converge."""

    def __init__(self, plan: Plan, calls: FleetCalls):
        """Store the cluster's plan and the calls by which its state is read."""
        self._names = plan.balancer_names()
        self._replicas = min(plan.replicas, plan.balancers)
        self._calls = calls

    async def wait(self, names: list[str] | None = None) -> dict[str, Any] | None:
        """Wait until balancers are members that act on the newest version under a lease.

        Args:
            names: names of those balancers; all balancers if None.

        Returns:
            The fleet's status; None on timeout.
        """
        wanted = names or self._names
        timeout_s = CONVERGENCE_TIMEOUT_S + CONVERGENCE_TIMEOUT_PER_BALANCER_S * len(self._names)
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            status = await self._status(wanted)
            if status is not None and is_converged(status, wanted) and await self._may_act(wanted):
                return status
            await asyncio.sleep(STATUS_INTERVAL_S)
        return None

    async def wait_for_replicas(self) -> ReplicasStatus:
        """Wait until each partition is complete and equal at as many replicas as planned.

        Clients must have stopped, since replicas are read at different times.
        """
        until = time.monotonic() + REPLICAS_TIMEOUT_S
        body: Any = None
        while time.monotonic() < until:
            answer = await self._calls.call(
                await self._calls.leader(), "copies", timeout_s=SHORT_CALL_TIMEOUT_S
            )
            body = answer.body
            if answer.ok and _is_stable(body):
                differing = await self._differing_replicas(body["parts"])
                if not differing and all(
                    len(replicas) == self._replicas for _, _, replicas in body["parts"]
                ):
                    return ReplicasStatus(body, True)
                body = {"unlike": differing} | body
            await asyncio.sleep(REPLICAS_INTERVAL_S)
        return ReplicasStatus(body, False)

    async def wait_for_stable_replicas(self) -> bool:
        """Wait until no partition lacks replicas, is unreachable or is changing replicas.

        Clients may keep running.

        Returns:
            True on success, False on timeout.
        """
        until = time.monotonic() + REPLICAS_TIMEOUT_S
        while time.monotonic() < until:
            answer = await self._calls.call(
                await self._calls.leader(), "copies", timeout_s=SHORT_CALL_TIMEOUT_S
            )
            if answer.ok and _is_stable(answer.body):
                return True
            await asyncio.sleep(REPLICAS_INTERVAL_S)
        return False

    async def _status(self, names: list[str]) -> dict[str, Any] | None:
        """Return the fleet's status from the first balancer that answers."""
        for name in names:
            answer = await self._calls.call(name, "status", timeout_s=SHORT_CALL_TIMEOUT_S)
            if answer.ok:
                return answer.body
        return None

    async def _may_act(self, names: list[str]) -> bool:
        answers = await self._calls.local_status(names)
        return all(answer.ok and answer.body["may_act"] for answer in answers)

    async def _differing_replicas(self, parts: list[Any]) -> list[str]:
        leader = await self._calls.leader()
        status = await self._calls.call(leader, "status", timeout_s=SHORT_CALL_TIMEOUT_S)
        answers = {}
        for member in status.body.get("members", ()):
            answer = await self._calls.call(
                member["name"], "copies_local", timeout_s=SHORT_CALL_TIMEOUT_S
            )
            answers[member["id"]] = answer.body
        return differing_replicas(parts, answers)


def is_converged(status: dict[str, Any], names: list[str]) -> bool:
    """Return whether a fleet's status shows balancers as members that act on its version."""
    members = status["members"]
    acting = {
        member["name"]
        for member in members
        if member["acts_on"] == status["version"] and not member["lapsed"]
    }
    voters = {member["name"] for member in members if member["voter"]}
    return bool(
        set(names) <= acting
        and status["settings_version"]
        and sorted(voters) == status["voters"]
        and len(members) == len({member["name"] for member in members})
    )


def _is_stable(replicas: dict[str, Any]) -> bool:
    """Return whether no partition lacks replicas, is unreachable or is changing replicas."""
    return bool(
        replicas["parts"]
        and not replicas["lacking"]
        and not replicas["away"]
        and not replicas["changing"]
    )
