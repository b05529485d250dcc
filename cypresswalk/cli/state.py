"""`cypresswalk state`: what a balancer has kept."""

import time
from pathlib import Path

import click

from cypresswalk.refusal import CommandError

FIELDS = (
    "state",
    "health",
    "known",
    "fresh",
    "misses",
    "errors",
    "failed",
    "answers",
    "limit",
    "strain",
    "delay",
    "since",
)


@click.group()
def state() -> None:
    """Shows, checks and compares what balancers keep over their restarts."""


def opened(path: str):
    """A generation's file, or the latest of a folder. Raises Refusal with the file and the reason."""
    from cypresswalk.state import file_format, store

    file = Path(path)
    try:
        if file.is_dir():
            numbers = sorted(
                (
                    int(p.name[len(store.PREFIX) :])
                    for p in file.glob(f"{store.PREFIX}*")
                    if p.name[len(store.PREFIX) :].isdecimal()
                ),
                reverse=True,
            )
            if not numbers:
                raise CommandError(f"{path}: it holds no generation")
            file = file / f"{store.PREFIX}{numbers[0]}"
        return file, file_format.decode(file.read_bytes())
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror or error}") from None
    except file_format.FormatError as error:
        raise CommandError(f"{file}: {error}") from None


def ago(then: int, now: int) -> str:
    return "in the future" if then > now + 2 * 10**9 else f"{max(now - then, 0) / 1e9:.1f} s ago"


@state.command()
@click.argument("path", type=click.Path())
def show(path: str) -> int:
    """Prints what a folder or a file holds, and how old it is."""
    file, kept = opened(path)
    now, head = time.time_ns(), kept.head
    click.echo(
        f"{file}: balancer {head.balancer}, taken {ago(head.taken, now)}, list version {head.list_version} of "
        f"{head.list_address}, {len(kept.ids)} ids, {head.again:.0%} of its flows came again"
    )
    click.echo("server      state     health misses errors failed answers  limit strain  learned")
    for server in kept.servers:
        health = str(server.health) if server.known else "?"
        click.echo(
            f"{server.id:<11} {server.state:<9} {health:>6} {server.misses:>6} {server.errors:>6} {server.failed:>6} "
            f"{server.answers:>7} {server.limit:>6.1f} {server.strain:>6.2f}  {ago(server.learned, now)}"
        )
    return 0


@state.command()
@click.argument("path", type=click.Path())
def check(path: str) -> int:
    """Says whether a file can be believed; exit code 2 and the reason if not."""
    from cypresswalk.state import file_format

    file, kept = opened(path)
    version = file_format.FIXED.unpack_from(file.read_bytes())[1]
    click.echo(f"{file}: version {version}, {len(kept.servers)} servers, {len(kept.ids)} ids")
    return 0


@state.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def diff(before: str, after: str) -> int:
    """Says what changed from one generation to another."""
    _, old = opened(before)
    _, new = opened(after)
    for name in ("balancer", "list_version", "list_address"):
        a, b = getattr(old.head, name), getattr(new.head, name)
        if a != b:
            click.echo(f"{name} {a} -> {b}")
    were, are = {s.id: s for s in old.servers}, {s.id: s for s in new.servers}
    for ident in sorted(were.keys() | are.keys()):
        if ident not in are or ident not in were:
            click.echo(f"server {ident}: {'new' if ident in are else 'no longer kept'}")
            continue
        changed = [
            f"{name} {getattr(were[ident], name)} -> {getattr(are[ident], name)}"
            for name in FIELDS
            if getattr(were[ident], name) != getattr(are[ident], name)
        ]
        if changed:
            click.echo(f"server {ident}: {', '.join(changed)}")
    gone, come = (
        {i for i, _ in old.ids} - {i for i, _ in new.ids},
        {i for i, _ in new.ids} - {i for i, _ in old.ids},
    )
    if gone or come:
        click.echo(f"ids: {len(come)} new, {len(gone)} let go")
    return 0
