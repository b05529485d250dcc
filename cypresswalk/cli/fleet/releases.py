"""`fleet release`: rolling releases; `fleet halt` and `fleet resume`."""

from typing import Any

import click

from cypresswalk.cli.fleet.caller import FleetCaller, json_option, pass_caller, print_json
from cypresswalk.refusal import CommandError


@click.group()
def release() -> None:
    """Changes balancers, or servers, to another version in waves, within the bounds."""


def read_plan(caller: FleetCaller, path: str) -> list[Any]:
    """A release's plan in the form in which the fleet takes it. Raises CommandError."""
    from cypresswalk.rollout import plan

    status = caller.call("status")
    zones = {m["name"]: m["zone"] for m in status["members"] if m["name"] not in status["left"]}
    servers = caller.call("show")["servers"]
    return plan.read_plan(path, zones, {name: str(zone) for name, zone, *_ in servers})


@release.command("plan")
@click.argument("file")
@pass_caller
def show_plan(caller: FleetCaller, file: str) -> None:
    """Shows which members would be changed in which waves; starts nothing."""
    name, from_version, to_version, waves, hold_s, *_ = read_plan(caller, file)
    click.echo(f"release {name}: {from_version} -> {to_version}, each wave holds {hold_s:g} s")
    for number, wave in enumerate(waves):
        click.echo(f"  wave {number}: {', '.join(wave)}")


@release.command()
@click.argument("file")
@pass_caller
def start(caller: FleetCaller, file: str) -> None:
    """Starts a release, unless another is under way."""
    caller.command_and_print("release_begin", plan=read_plan(caller, file))


@release.command("status")
@json_option
@pass_caller
def show_status(caller: FleetCaller, as_json: bool) -> None:
    """Shows how far the release is, what it waits for, and what each member runs."""
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
    """The name of the release there is. Raises CommandError if there is none."""
    current = caller.call("release")["release"]
    if not current:
        raise CommandError("there is no release")
    return current[0][0]


@release.command()
@pass_caller
def pause(caller: FleetCaller) -> None:
    """Starts no further change until `resume`; a change under way is finished."""
    caller.command_and_print("release_pause", release=current_name(caller), on=True)


@release.command("resume")
@pass_caller
def resume_release(caller: FleetCaller) -> None:
    """Goes on after a pause. After a halt `fleet resume` comes first."""
    caller.command_and_print("release_pause", release=current_name(caller), on=False)


@release.command()
@pass_caller
def back(caller: FleetCaller) -> None:
    """Rolls every changed member back, within the bounds, the worst first; also while halted."""
    caller.command_and_print("release_back", release=current_name(caller))


@click.command()
@click.argument("why")
@pass_caller
def halt(caller: FleetCaller, why: str) -> None:
    """Lets nothing more go out, by any call, at any balancer, until `resume`."""
    caller.command_and_print("halt", why=why)


@click.command()
@pass_caller
def resume(caller: FleetCaller) -> None:
    """Ends a halt."""
    caller.command_and_print("resume", halts=caller.call("status")["halts"])
