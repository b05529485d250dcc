"""`cypresswalk fleet ... --help`."""

from collections.abc import Iterator

import click
import pytest
from click.testing import CliRunner

from cypresswalk.cli.fleet.group import fleet


def command_paths(group: click.Group, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield the path of each command and group below a group, as a tuple of their names."""
    for name, command in group.commands.items():
        yield (*path, name)
        if isinstance(command, click.Group):
            yield from command_paths(command, (*path, name))


@pytest.mark.parametrize("path", command_paths(fleet), ids=" ".join)
def test_help_of_each_command_needs_no_fleet(path, monkeypatch):
    # Without --operator each command once exited with code 2 instead of showing its help.
    monkeypatch.delenv("PROXY_OPERATOR", raising=False)
    result = CliRunner().invoke(fleet, [*path, "--help"])
    assert result.exit_code == 0, result.output
    assert result.output.startswith("Usage:")


@pytest.mark.parametrize("command", ["status", "copies", "halt why", "settings show"])
def test_command_that_runs_without_a_fleet_is_refused(command, monkeypatch):
    monkeypatch.delenv("PROXY_OPERATOR", raising=False)
    result = CliRunner().invoke(fleet, command.split())
    assert str(result.exception) == "--operator or --at is needed to find the fleet's balancers"
    result = CliRunner().invoke(fleet, ["--at", "127.0.0.1:1", "status"])
    assert str(result.exception) == "--fleet: the fleet's name is needed with --at"
