"""Executes the commands that operators send to the admin address."""

import logging
from collections.abc import Callable

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import EndpointUpdate, Server, ServerState
from cypresswalk.net.counters import Counters
from cypresswalk.net.endpoints import EndpointTable
from cypresswalk.net.lifecycle import Lifecycle, Phase
from cypresswalk.net.logs import event
from cypresswalk.net.metrics import Metrics
from cypresswalk.net.parsers.admin_commands import AdminCommand, error_reply
from cypresswalk.net.parsers.endpoint_list import server_number
from cypresswalk.net.ports import Extensions

log = logging.getLogger(__name__)

OK_REPLY = b"OK\r\n"


class OperatorCommands:
    """Executes commands in the deciding thread. OK is sent once a command has taken effect."""

    def __init__(
        self,
        balancer: Balancer,
        endpoints: EndpointTable,
        lifecycle: Lifecycle,
        extensions: Extensions,
        metrics: Metrics,
        counters: Counters,
        cancel_unsent_attempts: Callable[[int, Callable[[Server], bool]], None],
    ):
        """Create the executor of commands.

        `cancel_unsent_attempts` moves attempts that have sent nothing yet to other servers.
        """
        self.balancer = balancer
        self.endpoints = endpoints
        self.lifecycle = lifecycle
        self.extensions = extensions
        self.metrics = metrics
        self.counters = counters
        self.cancel_unsent_attempts = cancel_unsent_attempts

    def on_command(self, now: int, command: AdminCommand) -> None:
        """Execute a command, unless its caller has given up waiting."""
        if not command.claim():
            return
        self.counters.add("calls_" + command.name.replace("-", "_"))
        if command.name == "vars":
            command.answers.put(self.metrics.render(now))
            return
        fleet = self.extensions.fleet
        if fleet is not None and fleet.handle_command(now, command):
            return
        self.run(now, command)

    def run(self, now: int, command: AdminCommand) -> None:
        """Apply a command here and in the other process of an upgrade, and reply."""
        reason = self.apply(now, command)
        handover = self.extensions.handover
        if (
            command.name == "check"
            or handover is None
            or not handover.forward(now, command, reason)
        ):
            self.reply(command, reason)

    def reply(self, command: AdminCommand, reason: str | None) -> None:
        """Send the reply: OK, or the reason why the command did not take effect."""
        if command.name != "check":
            log.info(
                event("call", call=command.name, server=command.server, refused=reason or "no")
            )
        command.answers.put(error_reply(reason) if reason else OK_REPLY)

    def apply(
        self, now: int, command: AdminCommand, forwarded: bool = False, known: bool = False
    ) -> str | None:
        """Apply a command in this process; return why it did not take effect, or None if it did.

        Args:
            now: the time, nanoseconds.
            command: the command's name and server.
            forwarded: whether the other process received the command and replies for both.
            known: whether the other process's endpoint list names the server.
        """
        match command.name:
            case "check":
                return self._check()
            case "set-down-here" | "set-up-here" | "drain-on-here" if self.extensions.fleet is None:
                return "not in a fleet: set-down and set-up affect this balancer only"
            case "drain-on" | "drain-on-here" | "drain-off":
                return self._set_drained(now, command.name != "drain-off", forwarded)
            case "set-down" | "set-down-here":
                return self._set_in_rotation(now, command.server, False, known)
            case "set-up" | "set-up-here":
                return self._set_in_rotation(now, command.server, True, known)
        return None

    def _check(self) -> str | None:
        """Return why a flow that arrives now would not be placed, or None if it would."""
        lifecycle, handover = self.lifecycle, self.extensions.handover
        ready_to_take_over = (
            lifecycle.phase is Phase.STARTING
            and handover is not None
            and handover.state_received
            and not lifecycle.drained
        )
        serves = ready_to_take_over or lifecycle.phase is Phase.SERVING
        placeable = self.endpoints.count_placeable()
        if serves and placeable and self.extensions.may_place_flows():
            return None
        reason = f"{lifecycle.phase.value}, {placeable} servers to place flows on"
        return reason if self.extensions.may_place_flows() else reason + ", no lease of the fleet's"

    def _set_drained(self, now: int, drained: bool, forwarded: bool) -> str | None:
        lifecycle = self.lifecycle
        if lifecycle.phase is Phase.LEAVING:
            applied = forwarded or self.extensions.has_other_process()
            return None if applied else "this process is leaving"
        if lifecycle.phase is Phase.STARTING:
            lifecycle.drained = drained
        elif drained:
            lifecycle.drain(now)
        else:
            lifecycle.return_to_service()
        return None

    def _set_in_rotation(self, now: int, name: str, in_rotation: bool, known: bool) -> str | None:
        number = server_number(name)
        if number not in self.balancer.servers:
            if not known:
                return "no list has named that server"
            # The other process knows the server. Until this one's list names it, it counts as gone.
            gone = Server(id=number, state=ServerState.GONE)
            self.balancer.on_endpoints(now, EndpointUpdate.DELTA, [gone])
        server = self.balancer.servers[number]
        if in_rotation:
            self.balancer.return_to_rotation(now, server)
            self.lifecycle.update_readiness()
        else:
            self.balancer.remove_from_rotation(now, server)
            self.lifecycle.update_readiness()
            self.cancel_unsent_attempts(now, lambda other: other is server)
        return None
