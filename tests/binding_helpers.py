"""A core with a fleet binding whose fleet is replaced by the test."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from core_helpers import NO_CLIENT, RecordingDrivers
from helpers import START, config_data

from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.core_binding import CoreBinding
from cypresswalk.fleet.messages import ServerReport
from cypresswalk.model import EndpointUpdate, Outcome, Server, ServerState
from cypresswalk.net.config import build
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number
from cypresswalk.net.parsers.lines import parse_open_request
from cypresswalk.net.session import Attempt, Session
from cypresswalk.operator import FleetTable


class FleetCall(NamedTuple):
    """A call from the binding to the fleet."""

    name: str
    arguments: dict[str, Any]
    reply: Callable[[bool, dict[str, Any]], None]


class BindingHarness:
    """A core with servers from its own list, and its binding; the test plays the fleet."""

    def __init__(self, folder: Path, *entries: dict[str, Any], copies: dict | None = None):
        """Build the core from `entries` of its own list; `copies` is for the operator file."""
        file = folder / "config.json"
        file.write_text(json.dumps(config_data(entries)))
        config = build({"PROXY_CONFIG": str(file)}, config_data(entries))
        self.now = START
        self.drivers = RecordingDrivers()
        self.posted: list[tuple] = []  # functions posted to the deciding thread, with arguments
        self.reported_lists: list[tuple] = []  # own lists, as reported to the fleet
        self.fleet_calls: list[FleetCall] = []
        self.core = Core(config, self.drivers, Counters(), self.now)
        self.decoder = EndpointListDecoder(config.zones)
        _, known = self.decoder.decode(config.initial_list)
        self.core.on_endpoints(self.now, EndpointUpdate.CACHED, known)
        table = FleetTable.model_validate(
            {
                "fleet": "f",
                "name": "n0",
                "address": "127.0.0.1:9",
                "folder": str(folder / "kept"),
                "first": {"n0": "127.0.0.1:9"},
                "copies": copies,
            }
        )
        self.binding = CoreBinding(
            table, config, self.core, lambda *what: self.posted.append(what), lambda: self.decoder
        )
        fleet: Any = self.binding.fleet  # Any, since the test replaces some of its methods
        fleet.on_list_received = lambda *what: self.reported_lists.append(what)
        fleet.call = self.record_fleet_call
        fleet.started.set()
        self.holds_lease = True
        self.core.extensions.holds_lease = lambda: self.holds_lease

    def record_fleet_call(
        self, name: str, arguments: dict[str, Any], reply: Callable[..., None], timeout: float
    ) -> None:
        """Record a call to the fleet; replaces `FleetThread.call`."""
        self.fleet_calls.append(FleetCall(name, arguments, reply))

    def answer_fleet_call(self, agreed: bool, body: dict[str, Any]) -> None:
        """Answer the latest call to the fleet, and process the answer."""
        self.fleet_calls[-1].reply(agreed, body)
        self.process_posted()

    def process_posted(self) -> None:
        """Call the function that was posted last to the deciding thread."""
        function, *args = self.posted.pop()
        function(self.now, *args)

    def update_own_list(
        self, generation: int, *entries: dict[str, Any], reset: bool = False
    ) -> None:
        """Deliver an update of the balancer's own list."""
        message = {"generation": generation, "reset": reset, "instances": list(entries)}
        self.core.on_endpoints(self.now, *self.decoder.decode(message))

    def apply_view(self, version: int, **changes: Any) -> None:
        """Apply a new version of the agreed state; `changes` are fields of its view."""
        view: dict[str, Any] = dict(
            settings_version=0, settings={}, servers_out=(), list_version=0, servers=()
        )
        self.binding.apply_view(self.now, AppliedView(version, **view | changes))

    def server(self, name: str) -> Server:
        """Return the server named `name`."""
        return self.core.balancer.servers[server_number(name)]

    def state(self, name: str) -> ServerState:
        """Return the state of the server named `name`."""
        return self.server(name).state

    def server_report(self) -> ServerReport:
        """Return the report on servers that the fleet gets."""
        return self.binding.observations.server_report()

    def call(self, name: str, server: str = "") -> AdminCommand:
        """Send an operator's command to the core."""
        command = AdminCommand(name, server)
        self.core.commands.on_command(self.now, command)
        return command

    def open(self, flow_id: str, kind: str = "view") -> Session:
        """Open a flow for a client."""
        session = Session(NO_CLIENT)
        line = f"OPEN {flow_id} {flow_id.encode().hex()} c={kind},t=north,d=900"
        self.core.on_open(self.now, session, parse_open_request(line.encode()))
        self.core.carry_out_decisions(self.now)
        return session

    def end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """End an attempt; decisions that follow from it are not carried out yet."""
        self.drivers.close_attempt(attempt)
        self.core.on_attempt_ended(self.now, attempt, outcome)

    def pass_time(self, span: int) -> None:
        """Let time pass; due timers run once, at the end."""
        self.now += span
        self.core.timers.run_due(self.now)
        self.core.carry_out_decisions(self.now)


def agreed_entry(name: str, state: str = "ready", since: int = 0) -> tuple:
    """Return a server's entry in the agreed list."""
    return (name, 0, 1, state, 1.0, since)
