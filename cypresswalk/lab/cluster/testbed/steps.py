"""What does each action of a plan, on one test bed."""

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
    """Faults of links between balancers."""
    return {
        Action.CUT: lambda step: links.cut(step.balancer, step.peer),
        Action.CUT_ONE_WAY: lambda step: links.cut_one_way(step.balancer, step.peer),
        Action.DELAY: lambda step: links.delay(step.balancer, step.peer, step.duration_ms),
        Action.GARBLE: lambda step: links.garble(step.balancer, step.peer),
        Action.HALF_CLOSE: lambda step: links.half_close(step.balancer, step.peer),
        Action.ISOLATE: lambda step: links.isolate(step.balancer),
    }


def process_steps(hosts: Hosts, tasks: BackgroundTasks, with_agents: bool) -> Handlers:
    """Faults of balancers' processes, with their agents if there are any."""

    def freeze(step: Step) -> None:
        """Freeze the balancer's process for the step's duration in ms, if it runs unfrozen."""
        host = hosts[step.balancer]
        if host.process is not None and not host.frozen:
            tasks.spawn(host.freeze_for(step.duration_ms))

    def stop(step: Step) -> None:
        """Stop the balancers under an agent, or a balancer without one unless it is frozen."""
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
    """Faults of balancers' disks, and what happens to their folders."""

    def fail(step: Step) -> None:
        """Set the step's disk fault on the balancer's host."""
        hosts[step.balancer].set_disk_fault(step.action)

    return {
        Action.DISK_FULL: fail,
        Action.DISK_FAILS: fail,
        Action.DISK_SLOW: fail,
        Action.WIPE: lambda step: hosts[step.balancer].wipe(),
        Action.BACK_UP: lambda step: hosts[step.balancer].back_up(),
        Action.RESTORE_BACKUP: lambda step: hosts[step.balancer].restore_backup(),
    }


def operator_steps(operators: OperatorCalls, tasks: BackgroundTasks) -> Handlers:
    """Calls on servers and settings."""

    def remove(step: Step) -> None:
        """Take the server out of rotation; wait until it is settled if the action says so."""
        settle = step.action == Action.REMOVE_SERVER_SETTLED
        server = server_name(step.server)
        tasks.spawn(operators.remove_server(step.balancer, server, settle))

    def return_server(step: Step) -> None:
        """Return the server to rotation by a call."""
        tasks.spawn(operators.return_server(step.balancer, server_name(step.server)))

    return {
        Action.REMOVE_SERVER: remove,
        Action.REMOVE_SERVER_SETTLED: remove,
        Action.RETURN_SERVER: return_server,
        Action.OFFER_SETTINGS: lambda step: _spawn(tasks, operators.offer_settings(step.balancer)),
        Action.SHOW_SETTINGS: lambda step: _spawn(tasks, operators.show_settings(step.balancer)),
    }


def list_steps(lists: EndpointLists) -> Handlers:
    """Faults of endpoint lists, and what they say of servers."""
    return {
        Action.LIST_LAGS: lambda step: lists.lag(step.balancer),
        Action.LIST_LIES: lambda step: lists.lie(step.balancer),
        Action.LIST_DRAINS_SERVER: lambda step: lists.drain(server_name(step.server)),
    }


def stand_in_steps(servers: ServerStandIns, tasks: BackgroundTasks) -> Handlers:
    """Faults of servers that are stand-ins."""
    return {
        Action.RESTART_SERVER: lambda step: _spawn(tasks, servers.restart(server_name(step.server)))
    }


def server_host_steps(members: ServerMembers) -> Handlers:
    """Faults of servers that are processes, and of their agents."""

    def start_agent(step: Step) -> None:
        """Start the server's agent, if it has no process."""
        name = server_name(step.server)
        if members.hosts[name].process is None:
            members.start_agent(name)

    def kill_server(step: Step) -> None:
        """Kill the server's process; its agent starts it again."""
        members.kill_server(server_name(step.server))

    return {
        Action.RESTART_SERVER: kill_server,  # its agent starts it again
        Action.KILL_SERVER: kill_server,
        Action.KILL_SERVER_AGENT: lambda step: members.hosts[
            server_name(step.server)
        ].kill_process(),
        Action.START_SERVER_AGENT: start_agent,
    }


def agent_steps(hosts: Hosts, members: BalancerMembers, tasks: BackgroundTasks) -> Handlers:
    """Faults of balancers' agents, and drains by operators."""

    def drain(step: Step) -> None:
        """Drain the balancer or end its drain, as the action says."""
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
    """Releases and halts by operators."""

    def set_paused(step: Step) -> None:
        """Pause the release or let it go on, as the action says."""
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
