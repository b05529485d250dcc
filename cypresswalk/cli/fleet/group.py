"""The group of fleet commands, and its options that select the fleet."""

import click

from cypresswalk.cli.fleet import agent, members, releases, replicas, servers, settings, status
from cypresswalk.cli.fleet.caller import FleetOptions


@click.group()
@click.option(
    "--operator",
    envvar="PROXY_OPERATOR",
    help="An operator file with [fleet]: the fleet's name and addresses.",
)
@click.option(
    "--at",
    metavar="HOST:PORT[,HOST:PORT...]",
    help="Addresses of balancers, used instead of those in the operator file.",
)
@click.option("--fleet", "name", help="The fleet's name; required with --at.")
@click.option(
    "--seconds", default=5.0, show_default=True, help="Timeout for the answer, in seconds."
)
@click.pass_context
def fleet(
    context: click.Context, operator: str | None, at: str | None, name: str | None, seconds: float
) -> None:
    """Send queries and commands to the balancers of a fleet (docs/operators/fleet.md).

    Exit codes: 0 done; 2 refused, or no balancer could be reached; 4 no answer, so the command may
    or may not take effect.
    """
    context.obj = FleetOptions(operator, at, name, seconds)


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
