"""Admin commands for drains and rotation, which the fleet must agree on or record."""

import time
import uuid
from collections.abc import Callable
from typing import Any

from cypresswalk.fleet.applied_view import DRAIN_ENDED, DRAINED
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.rotation import Rotation
from cypresswalk.fleet.unavailability import LEAVE_WINDOW
from cypresswalk.net.core import Core
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import server_number

NANOSECONDS_PER_MS = 1_000_000
CALL_TIMEOUT = 0.7  # seconds; callers of the admin address wait 1 s
RECORD_TIMEOUT = 600.0  # seconds, for calls whose result no caller waits for
SERVER_COMMANDS = ("set-down", "set-up", "set-down-here", "set-up-here")


def ignore_result(ok: bool, body: Any) -> None:
    """Do nothing; the reply callback of calls whose result is not needed."""


def refusal_text(body: Any) -> Any:
    """Return why the fleet refused a call."""
    return body.get("why", body) if isinstance(body, dict) else body


class FleetCommands:
    """Sender of commands to the fleet that replies to a caller once the fleet has answered.

    All methods run in the deciding thread.
    """

    def __init__(
        self,
        core: Core,
        fleet: FleetThread,
        rotation: Rotation,
        name: str,
        post: Callable[..., None],
    ):
        """Store the objects that commands act on.

        Args:
            core: core of this balancer.
            fleet: driver of this balancer's fleet member.
            rotation: servers that are out of rotation at this balancer.
            name: name of this balancer in the fleet.
            post: makes the deciding thread call a function with the time and the given arguments.
        """
        self.core = core
        self.fleet = fleet
        self.rotation = rotation
        self.name = name
        self.post = post

    def handle_command(self, now: int, call: AdminCommand) -> bool:
        """Handle a command; return False if the core is to carry it out by itself."""
        if call.name == "drain-on" and not self.core.lifecycle.drained:
            self.request_drain(call)
        elif call.name == "drain-off" and self.core.lifecycle.drained:
            self.core.commands.run(now, call)
            # Its leave grant ends once the balancer is seen ready. Until then the new reason
            # prevents a restart from draining it again.
            self.record_leave(DRAIN_ENDED)
        elif call.name == "drain-on-here":
            self.core.commands.run(now, call)
            self.record_leave(f"{DRAINED} by force at this balancer alone")
        elif call.name in SERVER_COMMANDS:
            self.on_server_command(now, call)
        else:
            return False
        return True

    def on_server_command(self, now: int, call: AdminCommand) -> None:
        """Take a server out of rotation, or return it."""
        if not self.fleet.started.is_set():
            call.answers.put(
                b"ERR this process has no part in the fleet yet; call another balancer\r\n"
            )
        elif call.name.endswith("-here"):
            self.apply_locally(now, call)
        elif (
            call.name == "set-down" and server_number(call.server) not in self.core.balancer.servers
        ):
            self.core.commands.reply(call, "no list has named that server")
        else:
            self.request_server_change(call)

    def request_server_change(self, call: AdminCommand) -> None:
        """Ask the fleet to agree to take a server out of rotation or to return it."""

        def reply(ok: bool, body: Any) -> None:
            """Pass the fleet's answer to the deciding thread."""
            self.post(self.on_server_change_answered, call, ok, body)

        name = "out" if call.name == "set-down" else "back"
        args = self.command_args(f"{self.name} (call)") | {"server": call.server}
        self.fleet.call(name, args, reply, CALL_TIMEOUT)

    def on_server_change_answered(self, now: int, call: AdminCommand, ok: bool, body: Any) -> None:
        """Apply the change if the fleet has agreed, and only then reply to the caller."""
        if not ok:
            self.core.commands.reply(call, f"not agreed: {refusal_text(body)}")
            return
        if call.name == "set-down":
            self.rotation.remove(now, call.server)
        else:
            self.rotation.restore(now, call.server)
        self.core.commands.reply(call, None)

    def apply_locally(self, now: int, call: AdminCommand) -> None:
        """Change rotation at this balancer alone, and have the fleet record it once possible."""
        error, done = self.rotation.force(now, call)
        if done:
            what = f"{call.name} {call.server} at {self.name} alone"
            args = self.command_args(self.name) | {"what": what}
            self.fleet.call("note", args, ignore_result, RECORD_TIMEOUT)
        self.core.commands.reply(call, error)

    def request_drain(self, call: AdminCommand) -> None:
        """Request a leave grant for a drain; a grant must be used at once or not at all."""
        if not self.fleet.started.is_set():
            call.answers.put(
                b"ERR this process has no part in the fleet yet; call again in a moment\r\n"
            )
            return
        asked_at = self.fleet.now()

        def reply(ok: bool, body: Any) -> None:
            """Pass the fleet's answer to the deciding thread."""
            self.post(self.on_drain_answered, call, asked_at, ok, body)

        self.fleet.call("go_out", self.leave_args(DRAINED, False), reply, CALL_TIMEOUT)

    def on_drain_answered(
        self, now: int, call: AdminCommand, asked_at: int, ok: bool, body: Any
    ) -> None:
        """Drain if the leave was granted in time; later, another balancer may have the slot."""
        if not ok:
            self.core.commands.reply(call, f"not granted: {refusal_text(body)}")
        elif self.fleet.now() - asked_at > LEAVE_WINDOW:
            self.core.commands.reply(call, "the grant came too late to be used; ask again")
        else:
            self.core.commands.run(now, call)

    def record_leave(self, reason: str) -> None:
        """Have the fleet record that this balancer goes out or returns, whatever the bounds."""
        self.fleet.call("go_out", self.leave_args(reason, True), ignore_result, RECORD_TIMEOUT)

    def leave_args(self, reason: str, forced: bool) -> dict[str, Any]:
        """Return the arguments of the fleet call `go_out`."""
        return self.command_args(f"{self.name} (call)") | {
            "member": self.name,
            "why": reason,
            "forced": forced,
        }

    def command_args(self, by: str) -> dict[str, Any]:
        """Return the arguments common to all commands: a new id, the author and the time (ms)."""
        return {
            "ident": uuid.uuid4().hex,
            "by": by,
            "at": time.time_ns() // NANOSECONDS_PER_MS,
        }
