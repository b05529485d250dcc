"""`cypresswalk state`: the state that a balancer persists across restarts."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when a command runs, so that `--help` is fast
    from cypresswalk.state.file_format import Snapshot

NANOSECONDS = 1e9  # in a second
MAX_CLOCK_DIFFERENCE = 2 * 10**9  # nanoseconds; a time further ahead is shown as in the future
COMPARED_FIELDS = (
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
    """Show, check and compare the state that balancers persist across restarts."""


def read_snapshot(path: str) -> tuple[Path, Snapshot]:
    """Read a snapshot file, or the latest one in a folder; return its path and content.

    Raises:
        CommandError: the file can't be read or is damaged.
    """
    from cypresswalk.state import file_format

    file = Path(path)
    try:
        if file.is_dir():
            file = latest_file(path)
        return file, file_format.decode(file.read_bytes())
    except OSError as error:
        raise CommandError(f"{file}: {error.strerror or error}") from error
    except file_format.FormatError as error:
        raise CommandError(f"{file}: {error}") from error


def latest_file(path: str) -> Path:
    """Return the path of the latest snapshot in a folder; raise CommandError if there is none."""
    from cypresswalk.state import store

    folder = Path(path)
    suffixes = [file.name[len(store.PREFIX) :] for file in folder.glob(f"{store.PREFIX}*")]
    generations = [int(suffix) for suffix in suffixes if suffix.isdecimal()]
    if not generations:
        raise CommandError(f"{path}: no snapshot in this folder")
    return folder / f"{store.PREFIX}{max(generations)}"


def format_age(then: int, now: int) -> str:
    """Return how long ago a time was, as text; both times in nanoseconds."""
    if then > now + MAX_CLOCK_DIFFERENCE:
        return "in the future"
    return f"{max(now - then, 0) / NANOSECONDS:.1f} s ago"


@state.command()
@click.argument("path", type=click.Path())
def show(path: str) -> int:
    """Print the content of a snapshot and its age."""
    file, snapshot = read_snapshot(path)
    now = time.time_ns()
    head = snapshot.head
    click.echo(
        f"{file}: balancer {head.balancer}, taken {format_age(head.taken, now)}, "
        f"list version {head.list_version} of "
        f"{head.list_address}, {len(snapshot.ids)} ids, {head.again:.0%} of its flows were repeats"
    )
    click.echo("server      state     health misses errors failed answers  limit strain  learned")
    for server in snapshot.servers:
        health = str(server.health) if server.known else "?"
        click.echo(
            f"{server.id:<11} {server.state:<9} {health:>6} {server.misses:>6} {server.errors:>6} "
            f"{server.failed:>6} {server.answers:>7} {server.limit:>6.1f} {server.strain:>6.2f}  "
            f"{format_age(server.learned, now)}"
        )
    return 0


@state.command()
@click.argument("path", type=click.Path())
def check(path: str) -> int:
    """Check whether a snapshot is intact; if not, print the reason and exit with code 2."""
    from cypresswalk.state import file_format

    file, snapshot = read_snapshot(path)
    version = file_format.FILE_HEADER_FIELDS.unpack_from(file.read_bytes())[1]
    click.echo(
        f"{file}: version {version}, {len(snapshot.servers)} servers, {len(snapshot.ids)} ids"
    )
    return 0


@state.command()
@click.argument("before", type=click.Path())
@click.argument("after", type=click.Path())
def diff(before: str, after: str) -> int:
    """Show what changed from one snapshot to another."""
    _, old = read_snapshot(before)
    _, new = read_snapshot(after)
    for line in (*head_changes(old, new), *server_changes(old, new), *id_changes(old, new)):
        click.echo(line)
    return 0


def head_changes(old: Snapshot, new: Snapshot) -> list[str]:
    """Return a line for each field of the header that differs."""
    names = ("balancer", "list_version", "list_address")
    pairs = ((name, getattr(old.head, name), getattr(new.head, name)) for name in names)
    return [f"{name} {was} -> {now}" for name, was, now in pairs if was != now]


def server_changes(old: Snapshot, new: Snapshot) -> list[str]:
    """Return a line for each server that differs."""
    lines = []
    old_servers = {server.id: server for server in old.servers}
    new_servers = {server.id: server for server in new.servers}
    for ident in sorted(old_servers.keys() | new_servers.keys()):
        if ident not in new_servers or ident not in old_servers:
            lines.append(f"server {ident}: {'new' if ident in new_servers else 'removed'}")
            continue
        was, now = old_servers[ident], new_servers[ident]
        changed = [
            f"{name} {getattr(was, name)} -> {getattr(now, name)}"
            for name in COMPARED_FIELDS
            if getattr(was, name) != getattr(now, name)
        ]
        if changed:
            lines.append(f"server {ident}: {', '.join(changed)}")
    return lines


def id_changes(old: Snapshot, new: Snapshot) -> list[str]:
    """Return a line with the numbers of flow ids added and removed, or none if there are none."""
    old_ids = {ident for ident, _ in old.ids}
    new_ids = {ident for ident, _ in new.ids}
    added, dropped = new_ids - old_ids, old_ids - new_ids
    if not added and not dropped:
        return []
    return [f"ids: {len(added)} new, {len(dropped)} removed"]
