"""`fleet settings`: the settings that all balancers of the fleet use."""

import difflib
import json
from typing import Any

import click

from cypresswalk.cli.fleet.caller import FleetCaller, pass_caller
from cypresswalk.refusal import CommandError

MILLISECONDS = 1000  # in a second


@click.group()
def settings() -> None:
    """Show, check and change the settings that all balancers use."""


def read_settings(path: str) -> dict[str, Any]:
    """Read the shared settings from a balancer's configuration, or from a file of them alone.

    Raises:
        CommandError: the file can't be read, or has settings that are not shared.
    """
    from cypresswalk.fleet.shared_settings import SHARED_KEYS, shared_part

    try:
        with open(path, "rb") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise CommandError(f"{path}: {error}") from error
    if not isinstance(data, dict):
        raise CommandError(f"{path}: not an object")
    if isinstance(data.get("settings"), dict):
        return shared_part(data["settings"])
    if unknown := sorted(set(data) - set(SHARED_KEYS)):
        raise CommandError(
            f"{path}: {', '.join(unknown)}: not among the settings that the fleet agrees on "
            f"({', '.join(SHARED_KEYS)})"
        )
    return data


def as_lines(value: Any) -> list[str]:
    """Return settings as lines of JSON."""
    return json.dumps(value, indent=1, sort_keys=True).splitlines()


def agreed_settings(caller: FleetCaller, number: int | None = None) -> tuple[int, dict[str, Any]]:
    """Return version and values of the settings in force, or of an older version.

    Raises:
        CommandError: no settings of that version are kept.
    """
    body = caller.call("show")
    if number is None:
        return body["settings_version"], body["settings"]
    for version, values in body["kept"]:
        if version == number:
            return version, values
    raise CommandError(
        f"version {number}: no settings of that version are kept; there are "
        + ", ".join(str(version) for version, _ in body["kept"])
    )


@settings.command()
@click.argument("file")
@click.option(
    "--config",
    envvar="PROXY_CONFIG",
    help="A balancer's configuration to check them with; without it, only the format is checked.",
)
def check(file: str, config: str | None) -> None:
    """Check whether a balancer with this configuration can use the file's settings."""
    values = read_settings(file)
    if config:
        from cypresswalk.fleet.shared_settings import objection
        from cypresswalk.net.config import read_file
        from cypresswalk.net.errors import ConfigError

        try:
            error = objection(read_file(config)["settings"], values)
        except (ConfigError, KeyError) as invalid:
            raise CommandError(f"{config}: {invalid}") from invalid
        if error:
            raise CommandError(f"{file}: {error}")
    click.echo("valid")


@settings.command()
@click.argument("file")
@click.option(
    "--on", "base", type=int, help="The version that the file is based on; default: the newest."
)
@pass_caller
def offer(caller: FleetCaller, file: str, base: int | None) -> None:
    """Propose settings.

    They come into force if their base version is still in force and every balancer can use them.
    """
    values = read_settings(file)
    if base is None:
        base, _ = agreed_settings(caller)
    caller.command_and_print("offer", base=base, settings=values)


@settings.command()
@click.option("--version", "number", type=int, help="An older version.")
@pass_caller
def show(caller: FleetCaller, number: int | None) -> None:
    """Print the settings in force, as JSON that `offer` accepts."""
    version, values = agreed_settings(caller, number)
    click.echo(f"version {version}", err=True)
    click.echo("\n".join(as_lines(values)))


@settings.command()
@click.argument("file")
@click.option("--version", "number", type=int, help="Compare with an older version.")
@pass_caller
def diff(caller: FleetCaller, file: str, number: int | None) -> None:
    """Show what a file would change."""
    version, values = agreed_settings(caller, number)
    before = as_lines(values)
    after = as_lines(read_settings(file))
    for line in difflib.unified_diff(before, after, f"version {version}", file, lineterm="", n=2):
        click.echo(line)


@settings.command()
@pass_caller
def history(caller: FleetCaller) -> None:
    """Show who made which change when, the newest last."""
    from datetime import datetime

    for version, by, at, what in caller.call("history")["history"]:
        when = "-"
        if at:
            when = datetime.fromtimestamp(at / MILLISECONDS).isoformat(" ", "seconds")
        click.echo(f"{version:>6}  {when:<19}  {by}: {what}")


@settings.command()
@click.argument("version", type=int)
@pass_caller
def back(caller: FleetCaller, version: int) -> None:
    """Propose the settings of an older version."""
    _, values = agreed_settings(caller, version)
    base, _ = agreed_settings(caller)
    caller.command_and_print("offer", base=base, settings=values)
