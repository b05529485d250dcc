"""`fleet agent`: runs a balancer or a server, and changes its version as releases require."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller
from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when the command runs, so that `--help` is fast
    from cypresswalk.rollout.actions import CallFleet, CallResult
    from cypresswalk.rollout.agent_host import ReadinessCheck
    from cypresswalk.rollout.change_agent import ChangeAgent

CALL_TIMEOUT = 4.0  # seconds, of an agent's call to the fleet


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--member", help="The balancer's name in the fleet.")
@click.option("--server", help="Instead of --member, a server's id in the endpoint list.")
@click.option(
    "--root",
    required=True,
    type=click.Path(exists=True, file_okay=False),
    help="Folder that has a subfolder for each version.",
)
@click.option(
    "--folder", required=True, type=click.Path(), help="The agent's own folder, for its state."
)
@click.option("--first", required=True, help="The version to run if the agent has run none yet.")
@click.option(
    "--admin",
    nargs=2,
    help="A balancer's two admin addresses, HOST:PORT, for its old and new process in a change.",
)
@click.option("--answers", help="The address, HOST:PORT, at which a server answers PING.")
@click.argument("command", nargs=-1, required=True)
@pass_caller
def agent(
    caller: FleetCaller,
    member: str | None,
    server: str | None,
    root: str,
    folder: str,
    first: str,
    admin: tuple[str, str] | None,
    answers: str | None,
    command: tuple[str, ...],
) -> None:
    """Run COMMAND in the folder of the member's version; change it as releases require."""
    import logging

    from cypresswalk.rollout.agent_host import AgentHost, StateFile, VersionProcesses

    chosen = choose_member(member, admin, server, answers)
    logging.basicConfig(
        level=logging.INFO, format="ts=%(created).3f level=%(levelname)s %(message)s"
    )
    state_file = StateFile(Path(folder))
    host = AgentHost(
        chosen.agent_type(chosen.name, first, chosen.admins, state_file.load()),
        state_file,
        VersionProcesses(Path(root), Path(folder), list(command)),
        chosen.check,
        lambda call: call_fleet(caller, chosen.name, call),
    )

    def stop(*_: object) -> None:
        """Make the agent end after its current action."""
        host.stopped = True

    signal.signal(signal.SIGTERM, stop)
    host.run()


@dataclass(frozen=True)
class ChosenMember:
    """The agent's member, as given by the options.

    Attributes:
        name: name of the balancer, or id of the server.
        admins: two addresses to check; a server has one, given twice.
        check: readiness check of the member's process.
        agent_type: class of the agent for this kind of member.
    """

    name: str
    admins: tuple[str, str]
    check: ReadinessCheck
    agent_type: type[ChangeAgent]


def choose_member(
    member: str | None, admin: tuple[str, str] | None, server: str | None, answers: str | None
) -> ChosenMember:
    """Return the balancer or server named; raise CommandError if it is both or neither."""
    from cypresswalk.rollout.agent_host import BALANCER_CHECK, SERVER_CHECK
    from cypresswalk.rollout.balancer_agent import BalancerAgent
    from cypresswalk.rollout.server_agent import ServerAgent

    if member and admin and not server and not answers:
        return ChosenMember(member, admin, BALANCER_CHECK, BalancerAgent)
    if server and answers and not member and not admin:
        return ChosenMember(server, (answers, answers), SERVER_CHECK, ServerAgent)
    raise CommandError("give --member with --admin, or --server with --answers")


def call_fleet(caller: FleetCaller, agent_name: str, call: CallFleet) -> CallResult:
    """Send an agent's call to the fleet; if it fails, the result has the reason."""
    from cypresswalk.fleet import client
    from cypresswalk.rollout.actions import CallResult

    args = call.args
    if call.command_id:
        args = client.command_args(f"agent of {agent_name}", **args) | {"ident": call.command_id}
    try:
        answer = client.call(caller.addresses, caller.fleet, call.name, args, CALL_TIMEOUT)
    except (CommandError, client.UncertainOutcomeError) as error:
        return CallResult(False, {"why": str(error)})
    return CallResult(*answer)
