"""`fleet status` and `fleet local`."""

from typing import Any

import click

from cypresswalk.cli.fleet.caller import (
    FleetCaller,
    in_brackets,
    json_option,
    pass_caller,
    print_json,
)

MAX_HEARD_S = 2  # seconds; a longer time since a member's last message is shown


@click.command()
@json_option
@pass_caller
def status(caller: FleetCaller, as_json: bool) -> None:
    """Show members, leader, versions, leases, replication lag, and what is out of rotation."""
    body = caller.call("status")
    if as_json:
        print_json(body)
        return
    click.echo(
        f"group {body['group']}  leader {body['leader'].partition('#')[0]}  term {body['term']}"
        f"  version {body['version']}"
        f"  settings of version {body['settings_version']}  list {body['list_generation']}"
    )
    if body["pending"]:
        click.echo(f"pending: settings proposed by {body['pending'][1]}")
    for line in (*server_lines(body), *balancer_lines(body)):
        click.echo(line)
    for member in sorted(body["members"], key=lambda m: (not m["voter"], m["name"])):
        click.echo(member_line(member))


def server_lines(body: dict[str, Any]) -> list[str]:
    """Return a line for each server that is out of rotation, returning to it, or unhealthy."""
    flows = {
        name: "" if count is None else f"; {count} flows are open there"
        for name, count in body["standing"].items()
    }
    return [
        *(
            f"server {name} is out of rotation, by {by}{flows.get(name, '')}"
            for name, (by, _) in sorted(body["out"].items())
        ),
        *(
            f"server {name} is out of rotation, by the release{flows.get(name, '')}"
            for name in body["held_out"]
        ),
        *(
            f"server {name} is back in rotation, not seen ready yet"
            for name in sorted(body["coming"])
        ),
        *(f"server {name} is {reason}" for name, reason in sorted(body["servers_bad"].items())),
    ]


def balancer_lines(body: dict[str, Any]) -> list[str]:
    """Return a line for a halt, each balancer that is or may be out, and unreachable replicas."""
    lines = []
    if body["halted"]:
        by, _, reason = body["halted"]
        lines.append(f"HALTED by {by}: {reason}; nothing more is taken out until `fleet resume`")
    lines += [
        f"balancer {name} is out: {reason}" for name, reason in sorted(body["seen_out"].items())
    ]
    lines += [
        f"balancer {name} may be out: {reason}, by {by}"
        for name, (by, _, reason) in sorted(body["away"].items())
    ]
    if body["parts_without_copies"]:
        lines.append(
            f"no copy is reachable of parts {body['parts_without_copies']}: `fleet copies`"
        )
    return lines


def member_line(member: dict[str, Any]) -> str:
    """Return a line with the state of one member."""
    acts = "acts on no version yet"
    if member["acts_on"] is not None:
        acts = f"acts on version {member['acts_on']} for {member['since_s']:.1f} s"
    marks = {
        "leads": member["leads"],
        "no lease": member["lapsed"],
        f"{member['behind']} entries behind": member["behind"] > 0,
        f"no message for {member['heard_s']:.1f} s": member["heard_s"] > MAX_HEARD_S,
        f"lost its data {member['wipes']} times": member["wipes"],
    }
    return (
        f"  {member['name']:<16} {'voter' if member['voter'] else 'follows':<8} "
        f"{member['zone'] or '-':<8} {member['address']:<22} {acts}"
        + in_brackets([mark for mark, applies in marks.items() if applies])
    )


@click.command()
@pass_caller
def local(caller: FleetCaller) -> None:
    """Show the state of the queried balancer itself, which needs no agreement of the fleet."""
    print_json(caller.call("local"))
