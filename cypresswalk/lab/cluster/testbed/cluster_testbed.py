"""The testbed, which creates, starts and stops all parts of one cluster."""

import asyncio
import shutil
import time
from pathlib import Path
from random import Random
from typing import Any

from cypresswalk.lab.balancers import ROOT
from cypresswalk.lab.cluster.plan import DISK_ACTIONS, Action, Plan, Step
from cypresswalk.lab.cluster.testbed import steps
from cypresswalk.lab.cluster.testbed.addresses import Addresses, ServerAddresses
from cypresswalk.lab.cluster.testbed.balancer_config import write_config, write_operator_file
from cypresswalk.lab.cluster.testbed.balancer_host import (
    FAULTY_PROGRAM,
    PROGRAM,
    BalancerHost,
    HostAddresses,
    Launch,
)
from cypresswalk.lab.cluster.testbed.balancer_members import BalancerMembers
from cypresswalk.lab.cluster.testbed.clients import Clients
from cypresswalk.lab.cluster.testbed.convergence import Convergence
from cypresswalk.lab.cluster.testbed.endpoint_lists import EndpointLists
from cypresswalk.lab.cluster.testbed.fleet_calls import FleetCalls
from cypresswalk.lab.cluster.testbed.links import Links
from cypresswalk.lab.cluster.testbed.operator_calls import OperatorCalls
from cypresswalk.lab.cluster.testbed.outages import OutageLog
from cypresswalk.lab.cluster.testbed.player import Player
from cypresswalk.lab.cluster.testbed.recording import Recording
from cypresswalk.lab.cluster.testbed.releases import Releases
from cypresswalk.lab.cluster.testbed.server_events import ServerEvents
from cypresswalk.lab.cluster.testbed.server_members import ServerMembers
from cypresswalk.lab.cluster.testbed.server_stand_ins import ServerStandIns
from cypresswalk.lab.cluster.testbed.tasks import BackgroundTasks, LatenessMonitor
from cypresswalk.lab.units import SECOND

SERVERS_ANSWER_TIMEOUT_S = 30.0
MAX_FLOW_DURATION_S = 3.0  # longest time that a client keeps its flow open at a server process
POLL_INTERVAL_S = 0.1
SLACK = SECOND // 4  # tolerance of each limit, added to the measured lateness of the event loop
RECORDING_FILE = "history.jsonl"
OUTAGES_FILE = "out.jsonl"


class ClusterTestBed:
    """One cluster during one run.

    Attributes:
        plan: plan of the cluster.
        folder: folder of the run; `start` deletes its content.
        in_fleet: whether balancers form a fleet.
        names: names of all balancers.
        balancers: hosts of balancers by name, filled by `start`.
        launch: parameters with which balancers are started.
        recording: events and observations of all parts.
        tasks: background tasks of the event loop.
        lateness: measurement of the event loop's lateness.
        addresses: allocator of loopback addresses.
        rng: source of all randomness.
        lists: stand-ins for discovery's endpoint lists.
        links: links between balancers.
        calls: calls to the fleet.
        convergence: waits for the fleet to converge.
        operators: operators' calls on servers and settings.
        clients: clients that generate the load.
        outages: unavailability of members that have agents.
        balancer_members: balancers that agents start, if the plan has such agents.
        server_members: servers that agents start, if the plan has such agents.
        server_events: reader of the events that server processes write.
        releases: releases of balancers or servers, if the plan has agents.
        player: executor of the plan's steps.
    """

    def __init__(self, plan: Plan, folder: Path, tree: Path | None = None, in_fleet: bool = True):
        """Create all parts; `start` makes the folder and starts them.

        Args:
            plan: plan of the cluster.
            folder: folder of the run.
            tree: root folder of the program's source files; this checkout if None.
            in_fleet: whether balancers form a fleet; else their operator files are empty.
        """
        self.plan = plan
        self.folder = folder
        self.in_fleet = in_fleet
        self.names = plan.balancer_names()
        self.balancers: dict[str, BalancerHost] = {}
        self.recording = Recording()
        self.tasks = BackgroundTasks(self.recording)
        self.lateness = LatenessMonitor()
        self.addresses = Addresses()
        self.rng = Random(f"{plan.seed}/rig")
        self.outages = OutageLog()
        self.launch = _launch(plan, folder, tree or ROOT)
        stand_in_host = self.addresses.stand_in_host
        server_host = self.addresses.server_host if plan.server_agents else stand_in_host
        self._server_addresses = ServerAddresses(server_host, plan.server_names())
        self.lists = EndpointLists(
            stand_in_host, self.names, self._server_addresses, self.recording
        )
        self.links = Links(stand_in_host, plan.seed, self.rng)
        self.calls = FleetCalls(self.balancers)
        self.convergence = Convergence(plan, self.calls)
        self.operators = OperatorCalls(plan, self.calls, self.recording, self.rng)
        max_flow_duration_s = MAX_FLOW_DURATION_S if plan.server_agents else 0.0
        self.clients = Clients(
            plan, self.balancers, self.recording, self.tasks, self.rng, max_flow_duration_s
        )
        self.balancer_members: BalancerMembers | None = None
        self.server_members: ServerMembers | None = None
        self.server_events: ServerEvents | None = None
        self.releases: Releases | None = None
        self._stand_ins: ServerStandIns | None = None
        self._add_members()
        self.player = Player(
            plan,
            self._step_handlers(),
            self.calls,
            self.recording,
            self.convergence.wait_for_stable_replicas,
        )

    async def start(self) -> None:
        """Start all parts, without waiting until the balancers are ready."""
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        if self.balancer_members is not None:
            self.balancer_members.prepare()
        if self.server_members is not None:
            self.server_members.prepare(self.addresses)
        if self._stand_ins is not None:
            await self._stand_ins.start()
        await self.lists.start()
        await self._start_balancers()
        self.tasks.spawn(self.lateness.run())
        if self.balancer_members is not None:
            self.balancer_members.watch(self.tasks, self.rng)
        if self.server_members is not None:
            fleet = {name: host.fleet for name, host in self.balancers.items()}
            self.server_members.start(fleet, self.tasks)
        if self.server_events is not None:
            self.tasks.spawn(self.server_events.follow())

    async def agree_on_bounds(self, status: dict[str, Any]) -> None:
        """Have the fleet agree on the plan's bounds.

        Args:
            status: status of the converged fleet.

        Raises:
            CommandError: the bounds were not agreed.
        """
        if self.server_members is not None:
            await self._wait_until_servers_answer()
        await self.operators.agree_on_bounds(status)

    async def stop(self) -> None:
        """Stop all tasks and processes, and save the recording."""
        self.tasks.cancel()
        if self.server_members is not None:
            self.server_members.stop()
        for host in self.balancers.values():
            host.kill_process()
        for host in self.balancers.values():
            host.kill_all()
        await self.links.stop()
        if self._stand_ins is not None:
            self._stand_ins.stop()
        self.lists.stop()
        self.calls.close()
        if self.balancer_members is not None:
            self.outages.save(self.folder / OUTAGES_FILE)
        self.recording.save(self.folder / RECORDING_FILE)

    def heal(self) -> None:
        """End all faults, and restart all balancers that the testbed has killed or stopped."""
        self.lists.heal()
        self.links.heal()
        for host in self.balancers.values():
            host.heal()

    def slack(self) -> int:
        """Return each limit's tolerance in nanoseconds, which allows for this machine's delays."""
        return SLACK + self.lateness.worst

    def disruptions(self) -> dict[str, list[tuple[int, int]]]:
        """Return begin and end of each disruption by the testbed, by balancer."""
        return {name: host.disruptions for name, host in self.balancers.items()}

    def _add_members(self) -> None:
        """Create the servers, and the members that the plan's agents start."""
        if self.plan.server_agents:
            self.server_members = ServerMembers(
                self.plan,
                self._server_addresses,
                self.folder,
                self.launch.tree,
                self.outages,
                self.recording,
            )
            self.server_events = ServerEvents(self.server_members, self.lists, self.recording)
        else:
            self._stand_ins = ServerStandIns(
                self._server_addresses, self.names, self.lists, self.recording
            )
        if self.launch.agent_root is not None:
            self.balancer_members = BalancerMembers(
                self.plan,
                self.balancers,
                self.launch.agent_root,
                self.launch.tree,
                self.outages,
                self.recording,
            )
        members = self.balancer_members or self.server_members
        if members is not None:
            self.releases = Releases(members, self.calls, self.recording, self.rng)

    def _step_handlers(self) -> steps.Handlers:
        with_agents = self.balancer_members is not None
        handlers: steps.Handlers = {
            Action.HEAL: self._heal_step,
            **steps.link_steps(self.links),
            **steps.process_steps(self.balancers, self.tasks, with_agents),
            **steps.disk_steps(self.balancers),
            **steps.operator_steps(self.operators, self.tasks),
            **steps.list_steps(self.lists),
        }
        if self._stand_ins is not None:
            handlers |= steps.stand_in_steps(self._stand_ins, self.tasks)
        if self.server_members is not None:
            handlers |= steps.server_host_steps(self.server_members)
        if self.balancer_members is not None:
            handlers |= steps.agent_steps(self.balancers, self.balancer_members, self.tasks)
        if self.releases is not None:
            handlers |= steps.release_steps(self.releases, self.tasks)
        return handlers

    def _heal_step(self, step: Step) -> None:
        self.heal()

    async def _start_balancers(self) -> None:
        for name in self.names:
            folder = self.folder / name
            folder.mkdir()
            free = self.addresses.free
            addresses = HostAddresses(free(), free(), free(), free())
            self.balancers[name] = BalancerHost(
                name, folder, addresses, self.launch, self.recording
            )
        await self.links.start(self.balancers, self.plan.voter_names())
        for number, host in enumerate(self.balancers.values()):
            self._write_files(number, host)
            host.start()

    def _write_files(self, number: int, host: BalancerHost) -> None:
        write_config(host, number, self.plan, self.lists.address(host.name))
        if not self.in_fleet:
            host.operator_file.write_text("")
            return
        seed_members = {name: self.balancers[name].fleet for name in self.plan.voter_names()}
        links = self.links.addresses_from(host.name)
        write_operator_file(host, number, self.plan, seed_members, links)

    async def _wait_until_servers_answer(self) -> None:
        until = time.monotonic() + SERVERS_ANSWER_TIMEOUT_S
        while self.outages.any_lost() and time.monotonic() < until:
            await asyncio.sleep(POLL_INTERVAL_S)


def _launch(plan: Plan, folder: Path, tree: Path) -> Launch:
    """Return the parameters with which a plan's balancers are started."""
    needs_faulty_program = bool(plan.clock_drift) or any(
        step.action in DISK_ACTIONS for step in plan.steps
    )
    return Launch(
        tree=tree,
        program=FAULTY_PROGRAM if needs_faulty_program else PROGRAM,
        agent_root=folder / "versions" if plan.balancer_agents else None,
        clock_drift=plan.clock_drift,
    )
