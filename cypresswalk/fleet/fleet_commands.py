"""Admin commands that the fleet must agree on, or record: drains and servers in or out."""

import time
import uuid
from collections.abc import Callable
from typing import Any

from cypresswalk.fleet.applied_view import CALLED_BACK, DRAINED
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.rotation import Rotation
from cypresswalk.fleet.unavailability import LEAVE_WINDOW
from cypresswalk.net.core import Core
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import server_number

NANOSECONDS_PER_MS = 1_000_000
CALL_TIMEOUT = 0.7  # seconds: a caller of the admin address waits one
RECORD_TIMEOUT = 600.0  # seconds, of calls that nobody waits for
SERVER_COMMANDS = ("set-down", "set-up", "set-down-here", "set-up-here")


def ignore_result(ok: bool, body: Any) -> None:
    """For calls whose result changes nothing here."""


def refusal_text(body: Any) -> Any:
    """Why the fleet said no."""
    return body.get("why", body) if isinstance(body, dict) else body


class FleetCommands:
    """Asks the fleet, and replies to the caller once it has answered.

    Called by the deciding thread.
    """

    def __init__(
        self,
        core: Core,
        fleet: FleetThread,
        rotation: Rotation,
        name: str,
        post: Callable[..., None],
    ):
        """Takes what commands act on.

        Args:
            core: of this balancer.
            fleet: its part in the fleet.
            rotation: which servers are out of rotation here.
            name: this balancer's in the fleet.
            post: has the deciding thread call a function with the time and more arguments.
        """
        self.core = core
        self.fleet = fleet
        self.rotation = rotation
        self.name = name
        self.post = post

    def handle_command(self, now: int, call: AdminCommand) -> bool:
        """Whether the reply comes from here; if not, the core carries the command out by itself."""
        if call.name == "drain-on" and not self.core.lifecycle.drained:
            self.ask_to_drain(call)
        elif call.name == "drain-off" and self.core.lifecycle.drained:
            self.core.commands.run(now, call)
            # Its place is free once it is seen ready; until then a restart must not drain it again.
            self.record_leave(CALLED_BACK)
        elif call.name == "drain-on-here":
            self.core.commands.run(now, call)
            self.record_leave(f"{DRAINED} by force at it alone")
        elif call.name in SERVER_COMMANDS:
            self.on_server_command(now, call)
        else:
            return False
        return True

    def on_server_command(self, now: int, call: AdminCommand) -> None:
        """Takes a server out of rotation, or returns it."""
        if not self.fleet.started.is_set():
            call.answers.put(
                b"ERR this process has no part in the fleet yet; call another balancer\r\n"
            )
        elif call.name.endswith("-here"):
            self.force(now, call)
        elif (
            call.name == "set-down" and server_number(call.server) not in self.core.balancer.servers
        ):
            self.core.commands.reply(call, "no list has named that server")
        else:
            self.ask_about_server(call)

    def ask_about_server(self, call: AdminCommand) -> None:
        """Asks the fleet to agree on a server's being out, or in."""

        def reply(ok: bool, body: Any) -> None:
            """Passes the fleet's word on to the deciding thread."""
            self.post(self.on_server_agreed, call, ok, body)

        name = "out" if call.name == "set-down" else "back"
        args = self.command_args(f"{self.name} (call)") | {"server": call.server}
        self.fleet.call(name, args, reply, CALL_TIMEOUT)

    def on_server_agreed(self, now: int, call: AdminCommand, ok: bool, body: Any) -> None:
        """Acts on the fleet's word and then replies: a yes means that this balancer acts on it."""
        if not ok:
            self.core.commands.reply(call, f"not agreed: {refusal_text(body)}")
            return
        if call.name == "set-down":
            self.rotation.remove(now, call.server)
        else:
            self.rotation.restore(now, call.server)
        self.core.commands.reply(call, None)

    def force(self, now: int, call: AdminCommand) -> None:
        """Acts at this balancer alone, and has the fleet record it as soon as that can be had."""
        error, done = self.rotation.force(now, call)
        if done:
            what = f"{call.name} {call.server} at {self.name} alone"
            args = self.command_args(self.name) | {"what": what}
            self.fleet.call("note", args, ignore_result, RECORD_TIMEOUT)
        self.core.commands.reply(call, error)

    def ask_to_drain(self, call: AdminCommand) -> None:
        """Asks the fleet's leave: what it grants is used at once or not at all."""
        if not self.fleet.started.is_set():
            call.answers.put(
                b"ERR this process has no part in the fleet yet; call again in a moment\r\n"
            )
            return
        asked_at = self.fleet.now()

        def reply(ok: bool, body: Any) -> None:
            """Passes the fleet's word on to the deciding thread."""
            self.post(self.on_drain_granted, call, asked_at, ok, body)

        self.fleet.call("go_out", self.leave_args(DRAINED, False), reply, CALL_TIMEOUT)

    def on_drain_granted(
        self, now: int, call: AdminCommand, asked_at: int, ok: bool, body: Any
    ) -> None:
        """Drains if the fleet said yes in time; later the grant may be another's again."""
        if not ok:
            self.core.commands.reply(call, f"not granted: {refusal_text(body)}")
        elif self.fleet.now() - asked_at > LEAVE_WINDOW:
            self.core.commands.reply(call, "the grant came too late to be used; ask again")
        else:
            self.core.commands.run(now, call)

    def record_leave(self, reason: str) -> None:
        """Has the fleet record that this balancer goes out, or comes back, whatever the bounds."""
        self.fleet.call("go_out", self.leave_args(reason, True), ignore_result, RECORD_TIMEOUT)

    def leave_args(self, reason: str, forced: bool) -> dict[str, Any]:
        """Arguments of the fleet's call `go_out`."""
        return self.command_args(f"{self.name} (call)") | {
            "member": self.name,
            "why": reason,
            "forced": forced,
        }

    def command_args(self, by: str) -> dict[str, Any]:
        """What every command to the fleet names: its id, who asks, and when (ms, wall clock)."""
        return {
            "ident": uuid.uuid4().hex,
            "by": by,
            "at": time.time_ns() // NANOSECONDS_PER_MS,
        }
