"""The handlers of a plan's actions on one testbed."""

from collections.abc import Coroutine
from typing import Any

from cypresswalk.lab.cluster.plan import Action, Step, server_name
from cypresswalk.lab.cluster.testbed.balancer_host import BalancerHost
from cypresswalk.lab.cluster.testbed.balancer_members import BalancerMembers
from cypresswalk.lab.cluster.testbed.endpoint_lists import EndpointLists
from cypresswalk.lab.cluster.testbed.links import Links
from cypresswalk.lab.cluster.testbed.operator_calls import OperatorCalls
from cypresswalk.lab.cluster.testbed.player import StepHandler
from cypresswalk.lab.cluster.testbed.releases import Releases
from cypresswalk.lab.cluster.testbed.server_members import ServerMembers
from cypresswalk.lab.cluster.testbed.server_stand_ins import ServerStandIns
from cypresswalk.lab.cluster.testbed.tasks import BackgroundTasks

Handlers = dict[Action, StepHandler]
Hosts = dict[str, BalancerHost]


def link_steps(links: Links) -> Handlers:
    """Return the handlers of faults of links between balancers."""
    return {
        Action.CUT: lambda step: links.cut(step.balancer, step.peer),
        Action.CUT_ONE_WAY: lambda step: links.cut_one_way(step.balancer, step.peer),
        Action.DELAY: lambda step: links.delay(step.balancer, step.peer, step.duration_ms),
        Action.GARBLE: lambda step: links.garble(step.balancer, step.peer),
        Action.HALF_CLOSE: lambda step: links.half_close(step.balancer, step.peer),
        Action.ISOLATE: lambda step: links.isolate(step.balancer),
    }


def process_steps(hosts: Hosts, tasks: BackgroundTasks, with_agents: bool) -> Handlers:
    """Return the handlers of faults of balancer processes and their agents, if any."""

    def freeze(step: Step) -> None:
        """Freeze the balancer's host for the step's duration, unless it is down or frozen."""
        host = hosts[step.balancer]
        if host.process is not None and not host.frozen:
            tasks.spawn(host.freeze_for(step.duration_ms))

    def stop(step: Step) -> None:
        """Stop an agent's balancers, or a balancer without an agent unless it is frozen."""
        host = hosts[step.balancer]
        if with_agents:
            host.stop_balancers()
        elif not host.frozen:
            tasks.spawn(host.stop())

    return {
        Action.KILL: lambda step: hosts[step.balancer].kill(),
        Action.START: lambda step: _start_if_ended(hosts[step.balancer]),
        Action.STOP: stop,
        Action.FREEZE: freeze,
        Action.RESUME_PROCESS: lambda step: hosts[step.balancer].resume(),
    }


def disk_steps(hosts: Hosts) -> Handlers:
    """Return the handlers of disk faults, and of deleting, saving and restoring fleet state."""

    def set_fault(step: Step) -> None:
        """Set the disk fault that the action names on the balancer's host."""
        hosts[step.balancer].set_disk_fault(step.action)

    return {
        Action.DISK_FULL: set_fault,
        Action.DISK_FAILS: set_fault,
        Action.DISK_SLOW: set_fault,
        Action.WIPE: lambda step: hosts[step.balancer].wipe(),
        Action.BACK_UP: lambda step: hosts[step.balancer].back_up(),
        Action.RESTORE_BACKUP: lambda step: hosts[step.balancer].restore_backup(),
    }


def operator_steps(operators: OperatorCalls, tasks: BackgroundTasks) -> Handlers:
    """Return the handlers of operators' calls on servers and settings."""

    def remove(step: Step) -> None:
        """Take a server out of rotation; wait until it gets no attempts if the action says so."""
        settle = step.action == Action.REMOVE_SERVER_SETTLED
        server = server_name(step.server)
        tasks.spawn(operators.remove_server(step.balancer, server, settle))

    def return_server(step: Step) -> None:
        """Return a server to rotation."""
        tasks.spawn(operators.return_server(step.balancer, server_name(step.server)))

    return {
        Action.REMOVE_SERVER: remove,
        Action.REMOVE_SERVER_SETTLED: remove,
        Action.RETURN_SERVER: return_server,
        Action.OFFER_SETTINGS: lambda step: _spawn(tasks, operators.offer_settings(step.balancer)),
        Action.SHOW_SETTINGS: lambda step: _spawn(tasks, operators.show_settings(step.balancer)),
    }


def list_steps(lists: EndpointLists) -> Handlers:
    """Return the handlers of faults of endpoint lists, and of drains that lists publish."""
    return {
        Action.LIST_LAGS: lambda step: lists.lag(step.balancer),
        Action.LIST_LIES: lambda step: lists.lie(step.balancer),
        Action.LIST_DRAINS_SERVER: lambda step: lists.drain(server_name(step.server)),
    }


def stand_in_steps(servers: ServerStandIns, tasks: BackgroundTasks) -> Handlers:
    """Return the handlers of faults of server stand-ins."""
    return {
        Action.RESTART_SERVER: lambda step: _spawn(tasks, servers.restart(server_name(step.server)))
    }


def server_host_steps(members: ServerMembers) -> Handlers:
    """Return the handlers of faults of server processes and their agents."""

    def start_agent(step: Step) -> None:
        """Start a server's agent if it was killed."""
        name = server_name(step.server)
        if members.hosts[name].process is None:
            members.start_agent(name)

    def kill_server(step: Step) -> None:
        """Kill a server process, which its agent then restarts."""
        members.kill_server(server_name(step.server))

    return {
        Action.RESTART_SERVER: kill_server,  # the agent restarts it
        Action.KILL_SERVER: kill_server,
        Action.KILL_SERVER_AGENT: lambda step: members.hosts[
            server_name(step.server)
        ].kill_process(),
        Action.START_SERVER_AGENT: start_agent,
    }


def agent_steps(hosts: Hosts, members: BalancerMembers, tasks: BackgroundTasks) -> Handlers:
    """Return the handlers of faults of balancers' agents, and of drains by operators."""

    def drain(step: Step) -> None:
        """Start or end a balancer's drain, depending on the action."""
        drained = step.action == Action.DRAIN
        tasks.spawn(members.set_drained(step.balancer, drained))

    return {
        Action.KILL_AGENT: lambda step: hosts[step.balancer].kill_agent(),
        Action.START_AGENT: lambda step: _start_if_ended(hosts[step.balancer]),
        Action.KILL_BALANCER: lambda step: hosts[step.balancer].kill_balancer(),
        Action.DRAIN: drain,
        Action.UNDRAIN: drain,
    }


def release_steps(releases: Releases, tasks: BackgroundTasks) -> Handlers:
    """Return the handlers of operators' calls on releases and halts."""

    def set_paused(step: Step) -> None:
        """Pause or continue the last release, depending on the action."""
        tasks.spawn(releases.set_paused(step.balancer, step.action == Action.PAUSE))

    return {
        Action.RELEASE: lambda step: _spawn(tasks, releases.begin(step)),
        Action.ROLL_BACK: lambda step: _spawn(tasks, releases.roll_back(step.balancer)),
        Action.HALT: lambda step: _spawn(tasks, releases.halt(step.balancer)),
        Action.RESUME_RELEASES: lambda step: _spawn(tasks, releases.resume(step.balancer)),
        Action.PAUSE: set_paused,
        Action.UNPAUSE: set_paused,
    }


def _spawn(tasks: BackgroundTasks, work: Coroutine[Any, Any, Any]) -> None:
    tasks.spawn(work)


def _start_if_ended(host: BalancerHost) -> None:
    if not host.is_running():
        host.start()
