"""`fleet server`: servers out of rotation at all balancers; `fleet list-anew`."""

import time
from typing import Any

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller
from cypresswalk.refusal import CommandError

# Seconds: twice the longest contradiction time that can be configured, and an election.
SETTLE_TIMEOUT = 130.0
POLL_INTERVAL = 0.5  # seconds


@click.group()
def server() -> None:
    """Takes servers out of rotation, and returns them, at all balancers."""


def change_rotation(caller: FleetCaller, name: str, ident: str, **args: Any) -> None:
    """Returns once every balancer acts on the change, or may not act any more."""
    body = caller.command(name, server=ident, **args)
    caller.timeout = max(caller.timeout, SETTLE_TIMEOUT)
    caller.call("settled", {"version": body["version"]})
    click.echo(f"{ident} is {'out' if name == 'out' else 'back'} at every balancer ({body['why']})")


@server.command()
@click.argument("ident")
@click.option("--force", is_flag=True, help="Also beyond the bounds; that is recorded.")
@click.option(
    "--empty",
    type=float,
    default=0.0,
    metavar="SECONDS",
    help="Wait that long for the last flow to leave the server.",
)
@pass_caller
def down(caller: FleetCaller, ident: str, force: bool, empty: float) -> None:
    """Takes a server out at every balancer; it may be stopped once it is drained."""
    change_rotation(caller, "out", ident, forced=force)
    deadline = time.monotonic() + empty
    while empty:
        flows = caller.call("status")["standing"].get(ident)
        if flows == 0:
            click.echo("no flow stands there")
            return
        if time.monotonic() > deadline:
            count = "an unknown number of" if flows is None else flows
            raise CommandError(f"{count} flows stand there after {empty:g} s")
        time.sleep(POLL_INTERVAL)


@server.command()
@click.argument("ident")
@pass_caller
def up(caller: FleetCaller, ident: str) -> None:
    """Returns a server to rotation at every balancer."""
    change_rotation(caller, "back", ident)


@click.command("list-anew")
@pass_caller
def list_anew(caller: FleetCaller) -> None:
    """Accepts the next list that most voters report, whatever its version."""
    caller.command("renew")
    click.echo("the next list counts")
