"""`fleet agent`: runs a balancer, or a server, and changes its version when a release says so."""

from __future__ import annotations

import signal
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller
from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when the command runs, so that `--help` costs nothing
    from cypresswalk.rollout.actions import CallFleet, CallResult
    from cypresswalk.rollout.agent_host import ReadinessCheck
    from cypresswalk.rollout.change_agent import ChangeAgent

CALL_TIMEOUT = 4.0  # seconds that an agent's call to the fleet may take


@click.command(context_settings={"ignore_unknown_options": True})
@click.option("--member", help="The balancer's name in the fleet.")
@click.option("--server", help="In place of it, a server's id as the list names it.")
@click.option(
    "--root",
    required=True,
    type=click.Path(exists=True, file_okay=False),
    help="Where versions are, a folder each.",
)
@click.option(
    "--folder", required=True, type=click.Path(), help="The agent's own folder, for its state."
)
@click.option("--first", required=True, help="The version to run if it has run none yet.")
@click.option(
    "--admin",
    nargs=2,
    help="A balancer's two admin addresses, HOST:PORT, one for each of two processes side by side.",
)
@click.option("--answers", help="A server's address, HOST:PORT, where it answers PING.")
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
    """Runs COMMAND in the folder of the member's version, and changes it when a release says so."""
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
        """Has the agent end after the action that it carries out now."""
        host.stopped = True

    signal.signal(signal.SIGTERM, stop)
    host.run()


@dataclass(frozen=True)
class ChosenMember:
    """What the options say of the agent's member."""

    name: str
    admins: tuple[str, str]
    check: ReadinessCheck
    agent_type: type[ChangeAgent]


def choose_member(
    member: str | None, admin: tuple[str, str] | None, server: str | None, answers: str | None
) -> ChosenMember:
    """A balancer or a server. Raises CommandError where the options name both, or neither."""
    from cypresswalk.rollout.agent_host import BALANCER_CHECK, SERVER_CHECK
    from cypresswalk.rollout.balancer_agent import BalancerAgent
    from cypresswalk.rollout.server_agent import ServerAgent

    if member and admin and not server and not answers:
        return ChosenMember(member, admin, BALANCER_CHECK, BalancerAgent)
    if server and answers and not member and not admin:
        return ChosenMember(server, (answers, answers), SERVER_CHECK, ServerAgent)
    raise CommandError("--member with --admin, or --server with --answers")


def call_fleet(caller: FleetCaller, agent_name: str, call: CallFleet) -> CallResult:
    """Carries out an agent's call; a call that fails has the reason in its result."""
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
