"""Membership: `fleet join`, `leave`, `replace` and, when most voters are lost, `recover`."""

import os

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller, print_json


@click.command()
@click.argument("member")
@click.option("--voter", is_flag=True, help="It becomes a voter.")
@pass_caller
def join(caller: FleetCaller, member: str, voter: bool) -> None:
    """Admits a balancer that had left, or makes one a voter."""
    caller.command("join", member=member, voter=voter)
    click.echo(f"{member} may join" + (", and votes once it has caught up" if voter else ""))


@click.command()
@click.argument("member")
@pass_caller
def leave(caller: FleetCaller, member: str) -> None:
    """Removes a balancer from the fleet for good."""
    caller.command("leave", member=member)
    click.echo(f"{member} leaves")


@click.command()
@click.argument("member")
@click.argument("other")
@pass_caller
def replace(caller: FleetCaller, member: str, other: str) -> None:
    """Makes another member a voter in place of one that is lost."""
    caller.command("replace", member=member, other=other)
    click.echo(f"{other} votes in the place of {member} once it has caught up")


@click.command()
@click.argument("folder")
@click.option("--fleet", "name", required=True, help="The fleet's name.")
@click.option(
    "--name", "member", required=True, help="The balancer whose folder it is; it must not run."
)
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
def recover(folder: str, name: str, member: str, yes: bool) -> None:
    """Starts a new group from one member's folder, and fences the old group off.

    For when most voters are lost for good. What only the lost members had is lost. Never use this
    while most voters of the old group may still run somewhere: both groups would act.
    """
    from cypresswalk.fleet import client, recovery

    if not yes:
        click.echo(
            "The members of the old group that still run will give up what they have and join this "
            "one. If most voters of the\nold group run on somewhere, two groups act side by side, "
            "and rules of both are in force at once."
        )
        click.confirm("Are most voters lost for good?", abort=True)
    print_json(recovery.recover(os.path.abspath(folder), name, member, client.operator_name()))
