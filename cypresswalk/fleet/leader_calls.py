"""Calls that the leader carries out: queries, commands, and waiting until all act on a version.

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

MAX_PENDING_CALLS = 1000  # that wait here at a time

Reply = Callable[[bool, Any], None]


@dataclass(frozen=True, slots=True)
class QueryRead:
    """A read token: a query that is answered once the read is certain."""

    name: str
    args: dict[str, Any]
    reply: Reply


@dataclass(frozen=True, slots=True)
class SettleWait:
    """A call that waits until all act on `version`, until the time `until`."""

    version: int
    until: int
    reply: Reply


class LeaderCalls:
    """Carries out calls for one time of leading, or of not leading; made anew with `LeaderDuties`.

    A reply whose body has `again` means that the caller is to ask whoever leads by then.
    """

    def __init__(self, duties: LeaderDuties):
        """Begin with no call."""
        self.duties = duties
        self.context = duties.context
        # Who waits for the result of a command, by its id; "end:" and its id for the end of a
        # proposal.
        self._waiting: dict[str, list[Reply]] = {}
        self._settling: list[SettleWait] = []

    def next_timeout(self) -> int | None:
        """Return when the next wait ends at the latest."""
        return min((wait.until for wait in self._settling), default=None)

    def abandon(self) -> None:
        """Another time of leading begins: who waits for all to act on a version must ask again."""
        settling, self._settling = self._settling, []
        for wait in settling:
            wait.reply(False, {"why": "another leads now; ask again", "again": True})

    def handle(self, now: int, name: str, args: dict[str, Any], reply: Reply) -> None:
        """Carry out a call; `reply` may be called at once or later, or never if leadership ends."""
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
            self._renew_partitions(now, args, reply)
        elif name == "settled":
            if len(self._settling) >= MAX_PENDING_CALLS:
                raise BusyError("too many calls wait")
            until = now + 2 * self.context.config.max_contradiction
            self._settling.append(SettleWait(int(args["version"]), until, reply))
        else:
            self._propose(now, command_of_call(self.duties, now, name, args), reply)

    def _renew_partitions(self, now: int, args: dict[str, Any], reply: Reply) -> None:
        partitions, by = [int(part) for part in args["parts"]], str(args["by"])
        if self.duties.replicas is None:
            raise ValueError("no copies are kept here")
        reply(True, {"why": self.duties.replicas.renew(now, partitions, by)})

    def _propose(self, now: int, command: AnyCommand, reply: Reply) -> None:
        known = self.context.machine.results.get(command.ident)
        if known is not None:
            self._answer(command, known, reply)
            return
        waiting = self._waiting.setdefault(command.ident, [])
        waiting.append(reply)
        if len(waiting) > 1:
            return
        try:
            self.context.propose(now, command)
        except BusyError:
            del self._waiting[command.ident]
            raise

    def _answer(self, command: AnyCommand, result: CommandResult, reply: Reply) -> None:
        """Answer with the result; a proposal of settings is answered once it is decided."""
        if isinstance(command, ProposeSettings) and result == (True, "pending"):
            results = self.context.machine.results
            activated = results.get(f"activate:{command.ident}")
            rejected = results.get(f"refuse:{command.ident}")
            if activated is not None:
                result = activated
            elif rejected is not None:
                result = CommandResult(False, rejected.message)
            else:
                self._waiting.setdefault(f"end:{command.ident}", []).append(reply)
                return
        self._reply(reply, result)

    def _reply(self, reply: Reply, result: CommandResult) -> None:
        version = self.context.state.version
        reply(result.accepted, {"why": result.message, "version": version})

    def on_applied(self, command: AnyCommand, result: CommandResult) -> None:
        """Answer those that wait for a command that was applied."""
        for reply in self._waiting.pop(command.ident, ()):
            self._answer(command, result, reply)

    def on_proposal_decided(
        self, command: ActivateSettings | RejectSettings, result: CommandResult
    ) -> None:
        """Answer those that wait for the end of a proposal."""
        accepted = result.accepted and isinstance(command, ActivateSettings)
        for reply in self._waiting.pop(f"end:{command.proposal_id}", ()):
            self._reply(reply, CommandResult(accepted, result.message))

    def on_read(self, now: int, read: QueryRead) -> None:
        """Answer a query: nothing agreed before it was asked is missing here."""
        if read.name == "turn":
            member = str(read.args.get("member", ""))
            read.reply(True, queries.turn(self.duties, now, member))
        else:
            read.reply(True, queries.QUERIES[read.name](self.duties, now))

    def check_settled(self, now: int) -> None:
        """Answer those that wait until all act on a version, where they do or time is up."""
        settling, self._settling = self._settling, []
        for wait in settling:
            below = self.duties.members_below(wait.version, now)
            if self.duties.grants is not None and not below:
                wait.reply(True, {"version": wait.version})
            elif now >= wait.until:
                why = "may act on an older version still: " + ", ".join(below)
                wait.reply(False, {"why": why, "unsure": False})
            else:
                self._settling.append(wait)
