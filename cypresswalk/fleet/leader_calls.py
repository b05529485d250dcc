"""Calls that the leader carries out: queries, commands, and waits for all to act on a version.

No I/O, no clock.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from cypresswalk.agreement.errors import BusyError
from cypresswalk.fleet import queries
from cypresswalk.fleet.call_commands import command_of_call
from cypresswalk.fleet.commands import (
    ActivateSettings,
    AnyCommand,
    ProposeSettings,
    RejectSettings,
)
from cypresswalk.fleet.leader import LeaderDuties
from cypresswalk.fleet.results import CommandResult

MAX_PENDING_CALLS = 1000  # at a time

Reply = Callable[[bool, Any], None]


@dataclass(frozen=True, slots=True)
class QueryRead:
    """A read token for a query, which is answered once the read is confirmed."""

    name: str
    args: dict[str, Any]
    reply: Reply


@dataclass(frozen=True, slots=True)
class VersionWait:
    """A call that waits until all balancers act on `version`, at most until `deadline`."""

    version: int
    deadline: int
    reply: Reply


class LeaderCalls:
    """Calls that are carried out during one period with or without leadership.

    Recreated with `LeaderDuties`. A reply whose body has `again` set tells the caller to retry the
    call at the current leader.
    """

    def __init__(self, duties: LeaderDuties):
        """Begin without calls."""
        self.duties = duties
        self.context = duties.context
        # Callers that wait for a result: by the command's id for its result, by "end:" and the id
        # for the decision on proposed settings.
        self._result_waiters: dict[str, list[Reply]] = {}
        self._version_waits: list[VersionWait] = []

    def next_timeout(self) -> int | None:
        """Return the earliest deadline of a wait, or None without waits."""
        return min((wait.deadline for wait in self._version_waits), default=None)

    def retry_version_waits(self) -> None:
        """Make all callers that wait for a version retry, since leadership has changed."""
        waits, self._version_waits = self._version_waits, []
        for wait in waits:
            wait.reply(False, {"why": "the leader has changed; retry", "again": True})

    def handle(self, now: int, name: str, args: dict[str, Any], reply: Reply) -> None:
        """Carry out a call; `reply` is called at once or later, or never if leadership ends."""
        try:
            self._handle(now, name, args, reply)
        except BusyError as error:
            reply(False, {"why": str(error), "again": True})
        except (KeyError, TypeError, ValueError, msgspec.ValidationError) as error:
            why = f"{name}: {type(error).__name__} {error}"
            reply(False, {"why": why, "unsure": False})

    def _handle(self, now: int, name: str, args: dict[str, Any], reply: Reply) -> None:
        if name in queries.QUERIES or name == "turn":
            self.context.raft.read_index(now, QueryRead(name, args, reply))
        elif name == "copies_renew":
            self._recreate_partitions(now, args, reply)
        elif name == "settled":
            if len(self._version_waits) >= MAX_PENDING_CALLS:
                raise BusyError("too many pending calls")
            deadline = now + 2 * self.context.config.max_contradiction
            self._version_waits.append(VersionWait(int(args["version"]), deadline, reply))
        else:
            self._propose(now, command_of_call(self.duties, now, name, args), reply)

    def _recreate_partitions(self, now: int, args: dict[str, Any], reply: Reply) -> None:
        partitions, by = [int(part) for part in args["parts"]], str(args["by"])
        if self.duties.replicas is None:
            raise ValueError("this balancer keeps no copies")
        reply(True, {"why": self.duties.replicas.recreate_partitions(now, partitions, by)})

    def _propose(self, now: int, command: AnyCommand, reply: Reply) -> None:
        known = self.context.machine.results.get(command.ident)
        if known is not None:
            self._answer(command, known, reply)
            return
        waiting = self._result_waiters.setdefault(command.ident, [])
        waiting.append(reply)
        if len(waiting) > 1:
            return
        try:
            self.context.propose(now, command)
        except BusyError:
            del self._result_waiters[command.ident]
            raise

    def _answer(self, command: AnyCommand, result: CommandResult, reply: Reply) -> None:
        """Reply with the result; for proposed settings, wait until the proposal is decided."""
        if isinstance(command, ProposeSettings) and result == (True, "pending"):
            results = self.context.machine.results
            activated = results.get(f"activate:{command.ident}")
            rejected = results.get(f"refuse:{command.ident}")
            if activated is not None:
                result = activated
            elif rejected is not None:
                result = CommandResult(False, rejected.message)
            else:
                self._result_waiters.setdefault(f"end:{command.ident}", []).append(reply)
                return
        self._reply(reply, result)

    def _reply(self, reply: Reply, result: CommandResult) -> None:
        version = self.context.state.version
        reply(result.accepted, {"why": result.message, "version": version})

    def on_applied(self, command: AnyCommand, result: CommandResult) -> None:
        """Answer the callers that wait for the result of an applied command."""
        for reply in self._result_waiters.pop(command.ident, ()):
            self._answer(command, result, reply)

    def on_proposal_decided(
        self, command: ActivateSettings | RejectSettings, result: CommandResult
    ) -> None:
        """Answer the callers that wait for the decision on proposed settings."""
        accepted = result.accepted and isinstance(command, ActivateSettings)
        for reply in self._result_waiters.pop(f"end:{command.proposal_id}", ()):
            self._reply(reply, CommandResult(accepted, result.message))

    def on_read(self, now: int, read: QueryRead) -> None:
        """Answer a query from a state that includes all that was agreed before the query."""
        if read.name == "turn":
            member = str(read.args.get("member", ""))
            read.reply(True, queries.turn(self.duties, now, member))
        else:
            read.reply(True, queries.QUERIES[read.name](self.duties, now))

    def check_version_waits(self, now: int) -> None:
        """Answer each wait whose version all balancers act on, or whose deadline has passed."""
        waits, self._version_waits = self._version_waits, []
        for wait in waits:
            outdated = self.duties.outdated_members(wait.version, now)
            if self.duties.grants is not None and not outdated:
                wait.reply(True, {"version": wait.version})
            elif now >= wait.deadline:
                why = "may still act on an older version: " + ", ".join(outdated)
                wait.reply(False, {"why": why, "unsure": False})
            else:
                self._version_waits.append(wait)
