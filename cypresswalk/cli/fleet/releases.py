"""`fleet release`: rolling releases; `fleet halt` and `fleet resume`."""

from typing import Any

import click

from cypresswalk.cli.fleet.caller import FleetCaller, json_option, pass_caller, print_json
from cypresswalk.refusal import CommandError


@click.group()
def release() -> None:
    """Change balancers or servers to another version in waves, within the bounds."""


def read_plan(caller: FleetCaller, path: str) -> list[Any]:
    """Read a release's plan; return it in the form that the fleet accepts.

    Raises:
        CommandError: the plan is invalid, or the fleet could not be queried.
    """
    from cypresswalk.rollout import plan

    status = caller.call("status")
    zones = {m["name"]: m["zone"] for m in status["members"] if m["name"] not in status["left"]}
    servers = caller.call("show")["servers"]
    return plan.read_plan(path, zones, {name: str(zone) for name, zone, *_ in servers})


@release.command("plan")
@click.argument("file")
@pass_caller
def show_plan(caller: FleetCaller, file: str) -> None:
    """Show which members would change in which wave, without starting the release."""
    name, from_version, to_version, waves, hold_s, *_ = read_plan(caller, file)
    click.echo(f"release {name}: {from_version} -> {to_version}, each wave holds {hold_s:g} s")
    for number, wave in enumerate(waves):
        click.echo(f"  wave {number}: {', '.join(wave)}")


@release.command()
@click.argument("file")
@pass_caller
def start(caller: FleetCaller, file: str) -> None:
    """Start a release, unless another is in progress."""
    caller.command_and_print("release_begin", plan=read_plan(caller, file))


@release.command("status")
@json_option
@pass_caller
def show_status(caller: FleetCaller, as_json: bool) -> None:
    """Show the release's progress, what it waits for, and the state of each member."""
    import msgspec

    from cypresswalk.rollout.release import Release

    body = caller.call("release")
    if as_json:
        print_json(body)
        return
    if not body["release"]:
        click.echo("there is no release")
        return
    current = msgspec.convert(body["release"], Release)
    plan = current.plan
    halted = ""
    if body["halted"]:
        halted = f"; HALTED by {body['halted'][0]}: {body['halted'][2]}"
    click.echo(
        f"release {plan.name} by {current.started_by}: {plan.from_version} -> {plan.to_version}, "
        f"{current.phase}, wave {current.wave} of {len(plan.waves)}{halted}"
    )
    if body["waits"]:
        click.echo(f"  {body['waits']}")
    for number, names in enumerate(plan.waves):
        statuses = (
            f"{name} {current.members[name]}"
            + (f" ({current.reports[name]})" if current.reports.get(name) else "")
            for name in names
        )
        click.echo(f"  wave {number}: {', '.join(statuses)}")


def current_name(caller: FleetCaller) -> str:
    """Return the name of the current release; raise CommandError if there is none."""
    current = caller.call("release")["release"]
    if not current:
        raise CommandError("there is no release")
    return current[0][0]


@release.command()
@pass_caller
def pause(caller: FleetCaller) -> None:
    """Start no further change until `resume`; changes in progress are finished."""
    caller.command_and_print("release_pause", release=current_name(caller), on=True)


@release.command("resume")
@pass_caller
def resume_release(caller: FleetCaller) -> None:
    """Continue after a pause. After a halt, run `fleet resume` first."""
    caller.command_and_print("release_pause", release=current_name(caller), on=False)


@release.command()
@pass_caller
def back(caller: FleetCaller) -> None:
    """Roll back every changed member, within the bounds; also while halted.

    Failed members come first, then those with the largest share of failed flows.
    """
    caller.command_and_print("release_back", release=current_name(caller))


@click.command()
@click.argument("why")
@pass_caller
def halt(caller: FleetCaller, why: str) -> None:
    """Take nothing more out of rotation, by any call at any balancer, until `fleet resume`."""
    caller.command_and_print("halt", why=why)


@click.command()
@pass_caller
def resume(caller: FleetCaller) -> None:
    """End a halt."""
    caller.command_and_print("resume", halts=caller.call("status")["halts"])
