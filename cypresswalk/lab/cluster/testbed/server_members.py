"""Servers that run as processes, which agents start and change, and their releases."""

import os
import signal
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from cypresswalk.lab.balancers import address_text
from cypresswalk.lab.cluster.checkers.unavailability import Departure
from cypresswalk.lab.cluster.plan import Build, Plan, Step
from cypresswalk.lab.cluster.testbed.addresses import Address, Addresses, ServerAddresses
from cypresswalk.lab.cluster.testbed.balancer_host import PROGRAM, PYTHON
from cypresswalk.lab.cluster.testbed.builds import FIRST_VERSION, make_server_build
from cypresswalk.lab.cluster.testbed.fleet_calls import FLEET_NAME
from cypresswalk.lab.cluster.testbed.host import Host
from cypresswalk.lab.cluster.testbed.outages import OutageLog, watch_agents, watch_health
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.cluster.testbed.releases import (
    CHANGE_TIMEOUT_S,
    MAX_EXCESS_FAILURE_SHARE,
    MAX_HOLD_PERIODS,
)
from cypresswalk.lab.cluster.testbed.tasks import BackgroundTasks
from cypresswalk.rollout.agent_state import AgentState, AgentStep
from cypresswalk.rollout.release import MemberKind
from cypresswalk.rollout.release import Plan as ReleasePlan

SERVER_MODULE = "cypresswalk.lab.cluster.testbed.server_process"
HEALTH_CHECK_INTERVAL_S = 0.2
MAX_SETUP_RATIO = 6.0
DRAIN_TIMEOUT_S = 10.0
STEPS_WHILE_OUT = (AgentStep.DRAINING, AgentStep.REPLACING, AgentStep.RESTORING)


class ServerHost(Host):
    """A server's host, on which the agent is started."""

    @property
    def events_file(self) -> Path:
        """The file to which the server process writes its events."""
        return self.folder / "said.jsonl"


class ServerMembers:
    """All servers as members of a release; implements `releases.ReleaseMembers`.

    Attributes:
        hosts: host by server.
    """

    finish_timeout_per_member_s = 10.0

    def __init__(
        self,
        plan: Plan,
        addresses: ServerAddresses,
        folder: Path,
        tree: Path,
        outages: OutageLog,
        recording: Recording,
    ):
        """Store the parameters; `prepare` makes the folders and `start` starts the agents.

        Args:
            plan: plan of the cluster.
            addresses: addresses of servers, to which `prepare` adds the ports.
            folder: folder of the run.
            tree: root folder of the program's source files.
            outages: log that receives the outages of servers.
            recording: recording that receives kills and changes of agents and servers.
        """
        self.names = plan.server_names()
        self.balancers = plan.balancer_names()
        self.first_balancer = self.balancers[0]
        self.bound = plan.max_unavailable_servers
        self.hosts = {name: ServerHost(name, folder / "servers" / name) for name in self.names}
        self._addresses = addresses
        self._root = folder / "versions"
        self._tree = tree
        self._outages = outages
        self._recording = recording
        self._fleet: Mapping[str, Address] = {}

    def prepare(self, addresses: Addresses) -> None:
        """Make folders and the first version; choose each server's port for each balancer."""
        for host in self.hosts.values():
            host.folder.mkdir(parents=True)
        self._root.mkdir()
        self.make_build(FIRST_VERSION, Build.GOOD)
        for name in self.names:
            for balancer in self.balancers:
                _, port = addresses.free(self._addresses.host)
                self._addresses.ports[name, balancer] = port

    def start(self, fleet: Mapping[str, Address], tasks: BackgroundTasks) -> None:
        """Start all agents, which start the servers, and record which servers are unavailable.

        Args:
            fleet: fleet address of each balancer, for the agents.
            tasks: runner of the tasks that check servers and agents.
        """
        self._fleet = fleet
        for name in self.names:
            self.start_agent(name)
        tasks.spawn(watch_agents(self.hosts, STEPS_WHILE_OUT, self._outages, self._recording))
        for name in self.names:
            address = self._addresses.address(name, self.first_balancer)
            tasks.spawn(
                watch_health(
                    name,
                    address,
                    HEALTH_CHECK_INTERVAL_S,
                    "server",
                    self._outages,
                    self._recording,
                )
            )

    def stop(self) -> None:
        """Kill all agents, then all server processes."""
        for host in self.hosts.values():
            host.kill_process()
        for host in self.hosts.values():
            host.signal_children(signal.SIGKILL)

    def start_agent(self, name: str) -> None:
        """Start a server's agent."""
        environment = os.environ | {"PYTHONPATH": str(self._tree)}
        self.hosts[name].launch(self._agent_command(name), self._tree, dict(environment))

    def start_missing_agents(self) -> None:
        """Start agents that were killed."""
        for name, host in self.hosts.items():
            if host.process is None:
                self.start_agent(name)

    def kill_server(self, name: str) -> None:
        """Kill a server process, which its agent then restarts."""
        self._recording.observe("server_down", "", name)
        self.hosts[name].signal_children(signal.SIGKILL)

    def make_build(self, version: str, build: Build) -> None:
        """Make a version that agents can start."""
        make_server_build(self._root, version, build)

    def release_plan(
        self, name: str, from_version: str, to_version: str, names: list[str], step: Step
    ) -> ReleasePlan:
        """Return the plan of a release: a canary wave, then the others."""
        return ReleasePlan(
            name=name,
            from_version=from_version,
            to_version=to_version,
            waves=[wave for wave in (names[:1], names[1:]) if wave],
            hold_s=step.hold_s,
            min_flows=step.min_flows,
            max_hold_periods=MAX_HOLD_PERIODS,
            max_excess_failure_share=MAX_EXCESS_FAILURE_SHARE,
            max_setup_ratio=MAX_SETUP_RATIO,
            change_timeout_s=CHANGE_TIMEOUT_S,
            kind=MemberKind.SERVERS.value,
            drain_timeout_s=DRAIN_TIMEOUT_S,
        )

    def agent_states(self) -> list[AgentState]:
        """Return the saved state of each agent."""
        return [host.agent_state() for host in self.hosts.values()]

    def no_member_is_out(self, body: dict[str, Any]) -> bool:
        """Return whether the fleet's answer to the call `release` counts no server as out."""
        return not body["coming"] and not body["servers_bad"]

    async def end_drains(self) -> None:
        """Do nothing: operators drain only balancers."""

    def departures(self) -> list[Departure]:
        """Return when each server was ordered to leave, in order of time."""
        return sorted(
            Departure(event.at, name, "release")
            for name, host in self.hosts.items()
            for event in host.logged_events("told_to_leave")
        )

    def _agent_command(self, name: str) -> list[str]:
        host = self.hosts[name]
        ports = [str(self._addresses.ports[name, balancer]) for balancer in self.balancers]
        return [
            *PROGRAM,
            *("fleet", "--at", ",".join(address_text(address) for address in self._fleet.values())),
            *("--fleet", FLEET_NAME),
            *("agent", "--server", name),
            *("--answers", self._addresses.text(name, self.first_balancer)),
            *("--root", str(self._root)),
            *("--folder", str(host.agent_folder)),
            *("--first", FIRST_VERSION),
            "--",
            *(*PYTHON, SERVER_MODULE, name, self._addresses.host),
            *(",".join(ports), str(host.events_file)),
        ]
