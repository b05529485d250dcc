"""Membership: `fleet join`, `leave`, `replace` and, when most voters are lost, `recover`."""

import os

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller, print_json


@click.command()
@click.argument("member")
@click.option("--voter", is_flag=True, help="Make it a voter.")
@pass_caller
def join(caller: FleetCaller, member: str, voter: bool) -> None:
    """Admit a balancer that had left, or make a member a voter."""
    caller.command("join", member=member, voter=voter)
    click.echo(f"{member} may join" + (", and votes once it has caught up" if voter else ""))


@click.command()
@click.argument("member")
@pass_caller
def leave(caller: FleetCaller, member: str) -> None:
    """Remove a balancer from the fleet permanently."""
    caller.command("leave", member=member)
    click.echo(f"{member} is removed from the fleet")


@click.command()
@click.argument("member")
@click.argument("other")
@pass_caller
def replace(caller: FleetCaller, member: str, other: str) -> None:
    """Make the member OTHER a voter in place of MEMBER, which is lost."""
    caller.command("replace", member=member, other=other)
    click.echo(f"{other} votes in place of {member} once it has caught up")


@click.command()
@click.argument("folder")
@click.option("--fleet", "name", required=True, help="The fleet's name.")
@click.option(
    "--name",
    "member",
    required=True,
    help="The balancer that owns the folder; it must not be running.",
)
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
def recover(folder: str, name: str, member: str, yes: bool) -> None:
    """Start a new group from one member's folder, and fence off the old group.

    Use this only if most voters are permanently lost; data that only they had is lost. Never use it
    while most voters of the old group may still run somewhere: both groups would act.
    """
    from cypresswalk.fleet import client, recovery

    if not yes:
        click.echo(
            "The members of the old group that still run will discard their state and join the new "
            "one. If most voters of the\nold group still run somewhere, both groups act at the "
            "same time, each by its own settings."
        )
        click.confirm("Are most voters permanently lost?", abort=True)
    print_json(recovery.recover(os.path.abspath(folder), name, member, client.operator_name()))
