"""Copies the events that server processes write to files into the testbed's recording."""

import asyncio
import json

from cypresswalk.lab.cluster.testbed.endpoint_lists import EndpointLists
from cypresswalk.lab.cluster.testbed.recording import FLOW_OPENED, Event, Recording
from cypresswalk.lab.cluster.testbed.server_members import ServerMembers
from cypresswalk.lab.observations import Observation

READ_INTERVAL_S = 0.05
LAST_EVENTS_S = 0.5


class ServerEvents:
    """A reader of the event files of all servers.

    Attributes:
        cut_off_flows: number of flows that were established at servers when these were stopped.
    """

    def __init__(self, members: ServerMembers, lists: EndpointLists, recording: Recording):
        """Store the parameters; restarts of servers will be published in the endpoint lists."""
        self.cut_off_flows = 0
        self._members = members
        self._lists = lists
        self._recording = recording
        self._offsets = dict.fromkeys(members.names, 0)
        self._started_once: set[str] = set()

    async def follow(self) -> None:
        """Read new events repeatedly, until cancelled."""
        while True:
            await asyncio.sleep(READ_INTERVAL_S)
            self.read()

    def read(self) -> None:
        """Read all complete lines that were added since the last call."""
        for name, host in self._members.hosts.items():
            try:
                with open(host.events_file, encoding="utf-8") as file:
                    file.seek(self._offsets[name])
                    while (line := file.readline()).endswith("\n"):
                        self._offsets[name] = file.tell()
                        self._on_event(Event.from_json(json.loads(line)))
            except FileNotFoundError:
                pass  # the server has not started yet

    async def read_last(self) -> None:
        """Read the last events, a short time after the load has stopped."""
        await asyncio.sleep(LAST_EVENTS_S)
        self.read()

    def _on_event(self, event: Event) -> None:
        match event.kind:
            case "open":
                self._on_open(event)
            case "reply":
                self._observe(event, "reply", kind=event.fields["kind"], receipt=_receipt(event))
            case "gone":
                self._observe(event, "let_go", how="end")
            case "started":
                self._on_started(event)
            case "stopped":
                self._recording.events.append(event)
                self._observe_server(event, "server_down")
                self.cut_off_flows += event.fields["standing"]

    def _on_open(self, event: Event) -> None:
        balancer = self._members.balancers[event.fields["balancer"]]
        fields = event.fields | {"balancer": balancer}
        self._recording.events.append(Event(event.at, FLOW_OPENED, fields))
        self._observe(event, "attempt", balancer=balancer, load=1.0)

    def _on_started(self, event: Event) -> None:
        """Record a start, and publish it unless it is the server's first.

        Until its first restart a server has start time 0 in the endpoint lists: it is warm.
        """
        server = event.fields["server"]
        self._recording.events.append(event)
        if server in self._started_once:
            self._observe_server(event, "server_up")
            self._lists.publish_restart(server, event.fields["wall_ms"])
        self._started_once.add(server)

    def _observe(self, event: Event, kind: str, /, **fields: object) -> None:
        """Record an observation about a flow."""
        flow, server = event.fields["flow"], event.fields["server"]
        observed = fields | {"number": event.fields["number"]}
        self._recording.observations.append(Observation(event.at, kind, flow, server, observed))

    def _observe_server(self, event: Event, kind: str) -> None:
        server = event.fields["server"]
        self._recording.observations.append(Observation(event.at, kind, "", server))


def _receipt(event: Event) -> str:
    return f"UP r{event.fields['flow']}"
