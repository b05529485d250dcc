"""The group of commands, and which fleet they are for."""

import click

from cypresswalk.cli.fleet import agent, members, releases, replicas, servers, settings, status
from cypresswalk.cli.fleet.caller import FleetCaller
from cypresswalk.refusal import CommandError


@click.group()
@click.option(
    "--operator",
    envvar="PROXY_OPERATOR",
    help="An operator file with [fleet]: the fleet's name and addresses.",
)
@click.option(
    "--at",
    metavar="HOST:PORT[,HOST:PORT...]",
    help="Addresses of balancers, in place of those in the operator file.",
)
@click.option("--fleet", "name", help="The fleet's name, with --at.")
@click.option("--seconds", default=5.0, show_default=True, help="Timeout for the answer.")
@click.pass_context
def fleet(
    context: click.Context, operator: str | None, at: str | None, name: str | None, seconds: float
) -> None:
    """Queries and commands the balancers of a fleet (docs/operators/fleet.md).

    Exit codes: 0 done, 2 refused or no balancer could be asked, 4 no answer: the command may or may
    not come into force.
    """
    if context.invoked_subcommand == "recover":
        return
    if at:
        if not name:
            raise CommandError("--fleet: the fleet's name is needed with --at")
        context.obj = FleetCaller([part.strip() for part in at.split(",")], name, seconds)
        return
    if not operator:
        raise CommandError("--operator or --at: whom to ask")
    context.obj = caller_from_file(operator, seconds)


def caller_from_file(path: str, timeout: float) -> FleetCaller:
    """The caller that an operator file names, its own balancer first. Raises CommandError."""
    from cypresswalk import operator as operators

    table = operators.read(path).fleet
    if table is None:
        raise CommandError(f"{path}: it has no [fleet]")
    others = [address for address in table.first.values() if address != table.address]
    return FleetCaller([table.address, *others], table.fleet, timeout)


COMMANDS: tuple[click.Command, ...] = (
    agent.agent,
    members.join,
    members.leave,
    members.recover,
    members.replace,
    releases.halt,
    releases.release,
    releases.resume,
    replicas.copies,
    servers.list_anew,
    servers.server,
    settings.settings,
    status.local,
    status.status,
)
for command in COMMANDS:
    fleet.add_command(command)
