"""Calls to a fleet, and the output of their answers, for all commands of `cypresswalk fleet`."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from functools import wraps
from typing import Any

import click

from cypresswalk.refusal import CommandError

EXIT_UNCERTAIN = 4

json_option = click.option("--json", "as_json", is_flag=True, help="Output as JSON.")


@dataclass
class FleetCaller:
    """A client of the balancers of one fleet.

    Attributes:
        addresses: HOST:PORT of balancers; the first that answers forwards the call to the leader.
        fleet: name of the fleet.
        timeout: time to wait for an answer, in seconds.
    """

    addresses: list[str]
    fleet: str
    timeout: float

    def call(self, name: str, args: dict[str, Any] | None = None) -> Any:
        """Send a query, or a command with its id among `args`; return the answer's body.

        Raises:
            CommandError: the fleet refused it, or no balancer could be reached.
            click.exceptions.Exit: no answer came, so the outcome is uncertain.
        """
        from cypresswalk.fleet import client

        try:
            ok, body = client.call(self.addresses, self.fleet, name, args, self.timeout)
        except client.UncertainOutcomeError as error:
            raise uncertain_exit(error) from error
        if not ok:
            raise CommandError(str(body.get("why", body) if isinstance(body, dict) else body))
        return body

    def command(self, name: str, **args: Any) -> Any:
        """Send a command in the user's name; return the answer's body. Raise as `call` does."""
        from cypresswalk.fleet import client

        return self.call(name, client.command_args(client.operator_name(), **args))

    def command_and_print(self, name: str, **args: Any) -> None:
        """Send a command and print the message in the answer. Raise as `call` does."""
        click.echo(self.command(name, **args)["why"])


@dataclass(frozen=True)
class FleetOptions:
    """The group's options that select the fleet. They are checked only when a command runs.

    Attributes:
        operator: path of an operator file, if given.
        at: comma-separated addresses of balancers, used instead of those in the file.
        fleet: name of the fleet, required with `at`.
        seconds: time to wait for an answer, in seconds.
    """

    operator: str | None
    at: str | None
    fleet: str | None
    seconds: float

    def caller(self) -> FleetCaller:
        """Return the caller for the fleet; raise CommandError if the options name none."""
        if self.at:
            if not self.fleet:
                raise CommandError("--fleet: the fleet's name is needed with --at")
            addresses = [part.strip() for part in self.at.split(",")]
            return FleetCaller(addresses, self.fleet, self.seconds)
        if not self.operator:
            raise CommandError("--operator or --at is needed to find the fleet's balancers")
        return caller_from_file(self.operator, self.seconds)


def caller_from_file(path: str, timeout: float) -> FleetCaller:
    """Return a caller for the fleet of an operator file, which tries the file's own balancer first.

    Raises:
        CommandError: the file is invalid or has no fleet.
    """
    from cypresswalk import operator as operators

    table = operators.read(path).fleet
    if table is None:
        raise CommandError(f"{path}: no table [fleet]")
    others = [address for address in table.first.values() if address != table.address]
    return FleetCaller([table.address, *others], table.fleet, timeout)


def caller_of(fleet: FleetOptions | FleetCaller) -> FleetCaller:
    """Return the caller for the group's options, or the caller itself if it was passed."""
    return fleet.caller() if isinstance(fleet, FleetOptions) else fleet


def pass_caller(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command to receive its caller as the first argument."""

    @click.pass_obj
    @wraps(command)
    def with_caller(fleet: FleetOptions | FleetCaller, *args: Any, **kwargs: Any) -> Any:
        """Run the command."""
        return command(caller_of(fleet), *args, **kwargs)

    return with_caller


def uncertain_exit(error: Exception) -> click.exceptions.Exit:
    """Print that the outcome is uncertain; return the exception that ends the command."""
    click.echo(
        f"unsure: {error}\nThe command may or may not take effect; "
        "check with `cypresswalk fleet settings show` and `fleet status`.",
        err=True,
    )
    return click.exceptions.Exit(EXIT_UNCERTAIN)


def print_json(value: Any) -> None:
    """Print an answer as JSON."""
    click.echo(json.dumps(value, indent=1))


def in_brackets(marks: list[str], separator: str = ", ") -> str:
    """Return the text to append to a line: the marks in brackets, or nothing if there are none."""
    return f"  ({separator.join(marks)})" if marks else ""
