"""`fleet copies`: the replicas of idempotency keys."""

import time
from typing import Any

import click

from cypresswalk.cli.fleet.caller import (
    FleetCaller,
    caller_of,
    in_brackets,
    json_option,
    pass_caller,
    print_json,
)
from cypresswalk.refusal import CommandError

COMPARISONS = 3  # a partition that differs in every comparison is inconsistent
COMPARISON_PAUSE = 2  # seconds; replicas differ briefly while a change is on its way to one


@click.group(invoke_without_command=True)
@json_option
@click.pass_context
def copies(context: click.Context, as_json: bool) -> None:
    """Show where idempotency keys are replicated, and which partitions lack replicas."""
    if context.invoked_subcommand is not None:
        return
    body = caller_of(context.obj).call("copies")
    if as_json:
        print_json(body)
        return
    if not body["copies"]:
        raise CommandError(
            "the leader keeps no copies: its operator file has no table [fleet.copies]"
        )
    click.echo(
        f"{len(body['parts'])} parts, {body['copies']} copies asked for, {body['least']} needed; "
        f"{len(body['lacking'])} lack copies, {len(body['changing'])} are changing replicas, "
        f"{len(body['lost'])} have none left"
    )
    for part, view, holders in body["parts"]:
        names = ", ".join(holder.partition("#")[0] for holder in holders)
        marks = in_brackets(partition_marks(body, part), "; ")
        click.echo(f"  part {part:<3} view {view:<4} {names}{marks}")


def partition_marks(body: dict[str, Any], part: int) -> list[str]:
    """Return the problems of a partition."""
    key = str(part)
    marks = []
    if key in body["lost"]:
        marks.append(f"LOST for {body['lost'][key]} s: claims refused")
    elif part in body["away"]:
        marks.append("no copy reachable")
    if key in body["lacking"]:
        marks.append(f"lacks copies for {body['lacking'][key]} s")
    if key in body["changing"]:
        marks.append("changing replicas")
    return marks


@copies.command("check")
@pass_caller
def check(caller: FleetCaller) -> None:
    """Compare all replicas. Exit code 1 if a partition is inconsistent three times in a row."""
    lines: list[str] = []
    inconsistent: set[str] = set()
    for attempt in range(COMPARISONS):
        lines = compare_replicas(caller)
        found = {line.partition(":")[0] for line in lines}
        inconsistent = found if attempt == 0 else inconsistent & found
        if not inconsistent:
            click.echo("every part is complete and alike at all its holders")
            return
        time.sleep(COMPARISON_PAUSE)
    for line in lines:
        if line.partition(":")[0] in inconsistent:
            click.echo(line)
    raise click.exceptions.Exit(1)


def compare_replicas(caller: FleetCaller) -> list[str]:
    """Return a line for each unreachable member and each inconsistent partition."""
    from cypresswalk.fleet import client

    status = caller.call("status")
    body = caller.call("copies")
    answers = {}
    unreachable = []
    for member in status["members"]:
        address = [member["address"]]
        try:
            ok, local = client.call(address, caller.fleet, "copies_local", None, caller.timeout)
        except (client.UncertainOutcomeError, CommandError) as error:
            unreachable.append(f"{member['name']}: {error}")
            continue
        answers[member["id"]] = local if ok else {}
    return unreachable + client.differing_replicas(body["parts"], answers)


@copies.command()
@click.argument("parts", nargs=-1, type=int, required=True)
@click.option("--yes", is_flag=True, help="Do not ask for confirmation.")
@pass_caller
def renew(caller: FleetCaller, parts: tuple[int, ...], yes: bool) -> None:
    """Let partitions without any replica start empty; requests of their keys may run again."""
    from cypresswalk.fleet import client

    if not yes:
        click.confirm(
            "Requests with ids claimed in these parts within the last minutes may run a second "
            "time. Start these parts empty?",
            abort=True,
        )
    click.echo(
        caller.call("copies_renew", {"parts": list(parts), "by": client.operator_name()})["why"]
    )
