"""`fleet server`: takes servers out of rotation and returns them; `fleet list-anew`."""

import time
from typing import Any

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller
from cypresswalk.refusal import CommandError

# Seconds: twice the longest configurable contradiction time, plus an election.
SETTLE_TIMEOUT = 130.0
POLL_INTERVAL = 0.5  # seconds


@click.group()
def server() -> None:
    """Take servers out of rotation, and return them, at all balancers."""


def change_rotation(caller: FleetCaller, name: str, ident: str, **args: Any) -> None:
    """Make the change; wait until each balancer acts on it, or has lost the right to act at all."""
    body = caller.command(name, server=ident, **args)
    caller.timeout = max(caller.timeout, SETTLE_TIMEOUT)
    caller.call("settled", {"version": body["version"]})
    click.echo(f"{ident} is {'out' if name == 'out' else 'back'} at every balancer ({body['why']})")


@server.command()
@click.argument("ident")
@click.option("--force", is_flag=True, help="Also if this exceeds the bounds; that is recorded.")
@click.option(
    "--empty",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="Wait that long for the server's last flow to end.",
)
@pass_caller
def down(caller: FleetCaller, ident: str, force: bool, empty: float) -> None:
    """Take a server out of rotation at every balancer; it may be stopped once it is drained."""
    change_rotation(caller, "out", ident, forced=force)
    deadline = time.monotonic() + empty
    while empty:
        flows = caller.call("status")["standing"].get(ident)
        if flows == 0:
            click.echo("no flow is open there")
            return
        if time.monotonic() > deadline:
            count = "an unknown number of" if flows is None else flows
            raise CommandError(f"{count} flows are open there after {empty:g} s")
        time.sleep(POLL_INTERVAL)


@server.command()
@click.argument("ident")
@pass_caller
def up(caller: FleetCaller, ident: str) -> None:
    """Return a server to rotation at every balancer."""
    change_rotation(caller, "back", ident)


@click.command("list-anew")
@pass_caller
def list_anew(caller: FleetCaller) -> None:
    """Accept the next endpoint list that most voters report, whatever its version."""
    caller.command("renew")
    click.echo("the next list that most voters report is accepted")
