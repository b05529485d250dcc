"""Outages of members, as recorded in agents' state files and found by health checks."""

import asyncio
import json
import time
from collections.abc import Collection, Mapping
from pathlib import Path

from cypresswalk.lab.cluster.checkers.unavailability import Outage
from cypresswalk.lab.cluster.testbed.addresses import Address
from cypresswalk.lab.cluster.testbed.host import Host
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.units import SECOND
from cypresswalk.rollout.agent_state import AgentStep

AGENT_POLL_INTERVAL = SECOND // 10
PING_TIMEOUT_S = 1.0
CHANGED = "changed"
DRAINED = "drained"
LOST = "lost"


class OutageLog:
    """The outages of members.

    An outage is planned if the program itself caused it, by a release or a drain. A member is lost
    while it answers no health checks, whatever the reason.
    """

    def __init__(self) -> None:
        """Create a log without outages."""
        self._planned: list[Outage] = []
        self._open_planned: dict[tuple[str, str], int] = {}
        self._lost: list[Outage] = []
        self._open_lost: dict[str, int] = {}

    def set_planned_outage(self, name: str, cause: str, out: bool, at: int) -> None:
        """Record whether a member is out for a cause; repeated calls have no effect."""
        if out:
            self._open_planned.setdefault((name, cause), at)
        elif (name, cause) in self._open_planned:
            begin = self._open_planned.pop((name, cause))
            self._planned.append(Outage(name, begin, at, cause))

    def set_lost(self, name: str, lost: bool, at: int) -> None:
        """Record whether a member fails to answer health checks."""
        if lost:
            self._open_lost[name] = at
        elif name in self._open_lost:
            self._lost.append(Outage(name, self._open_lost.pop(name), at, LOST))

    def any_lost(self) -> bool:
        """Return whether any member fails to answer health checks now."""
        return bool(self._open_lost)

    def planned(self) -> list[Outage]:
        """Return the outages that the program itself caused, including ongoing ones."""
        now = time.monotonic_ns()
        return self._planned + [
            Outage(name, begin, now, cause) for (name, cause), begin in self._open_planned.items()
        ]

    def lost(self) -> list[Outage]:
        """Return outages in which a member answered no health checks, including ongoing ones."""
        now = time.monotonic_ns()
        return self._lost + [
            Outage(name, begin, now, LOST) for name, begin in self._open_lost.items()
        ]

    def save(self, path: Path) -> None:
        """Write the outages that have ended to a file, one per line."""
        with open(path, "w", encoding="utf-8") as file:
            for outage in [*self._planned, *self._lost]:
                line = [outage.name, outage.begin, outage.end, outage.cause]
                file.write(json.dumps(line) + "\n")


async def watch_agents(
    hosts: Mapping[str, Host],
    steps_while_out: Collection[AgentStep],
    outages: OutageLog,
    recording: Recording,
) -> None:
    """Record which members are being changed by their agents, until cancelled.

    Args:
        hosts: host by member.
        steps_while_out: steps of an agent at which its member counts as out.
        outages: log that receives the outages.
        recording: recording that receives each agent's steps.
    """
    last_steps = dict.fromkeys(hosts, AgentStep.IDLE)
    while True:
        await asyncio.sleep(AGENT_POLL_INTERVAL / SECOND)
        now = time.monotonic_ns()
        for name, host in hosts.items():
            step = host.agent_state().step
            if step != last_steps[name]:
                last_steps[name] = step
                recording.record("agent", who=name, step=step)
                outages.set_planned_outage(name, CHANGED, step in steps_while_out, now)


async def watch_health(
    name: str,
    address: Address,
    interval_s: float,
    event_kind: str,
    outages: OutageLog,
    recording: Recording,
) -> None:
    """Record whether a member answers health checks, until cancelled.

    Args:
        name: name of the member.
        address: address that is checked.
        interval_s: seconds between two checks.
        event_kind: kind of the event that is recorded on each change.
        outages: log that receives the outages.
        recording: recording that receives the changes.
    """
    answered: bool | None = None
    while True:
        began = time.monotonic_ns()
        answers = await answers_ping(address)
        if answers != answered:
            recording.record(event_kind, who=name, answers=answers)
            outages.set_lost(name, not answers, time.monotonic_ns() if answers else began)
            answered = answers
        await asyncio.sleep(interval_s)


async def answers_ping(address: Address) -> bool:
    """Return whether a balancer or server answers a health check."""
    writer = None
    try:
        async with asyncio.timeout(PING_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"PING\r\n")
            return await reader.readline() == b"PONG\r\n"
    except OSError:  # includes TimeoutError
        return False
    finally:
        if writer is not None:
            writer.close()
