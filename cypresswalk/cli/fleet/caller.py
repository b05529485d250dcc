"""What the commands of `cypresswalk fleet` share: calls to the fleet, and their answers' output."""

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
    """Calls the balancers of one fleet.

    Attributes:
        addresses: HOST:PORT of balancers; the first that answers passes the call on to the leader.
        fleet: the fleet's name.
        timeout: for an answer, seconds.
    """

    addresses: list[str]
    fleet: str
    timeout: float

    def call(self, name: str, args: dict[str, Any] | None = None) -> Any:
        """Sends a query, or a command with its id among `args`; the answer's body.

        Raises:
            CommandError: the fleet refused it, or no balancer could be asked.
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
        """Sends a command in the user's name; the answer's body. Raises as `call` does."""
        from cypresswalk.fleet import client

        return self.call(name, client.command_args(client.operator_name(), **args))

    def command_and_print(self, name: str, **args: Any) -> None:
        """Sends a command and prints what the fleet says of it. Raises as `call` does."""
        click.echo(self.command(name, **args)["why"])


@dataclass(frozen=True)
class FleetOptions:
    """Which fleet the options of the group name; looked at only once a command runs.

    Attributes:
        operator: path of an operator file, if one was named.
        at: addresses of balancers, in place of those in the file.
        fleet: the fleet's name, with `at`.
        seconds: for an answer.
    """

    operator: str | None
    at: str | None
    fleet: str | None
    seconds: float

    def caller(self) -> FleetCaller:
        """The caller for that fleet; raises CommandError where the options name none."""
        if self.at:
            if not self.fleet:
                raise CommandError("--fleet: the fleet's name is needed with --at")
            addresses = [part.strip() for part in self.at.split(",")]
            return FleetCaller(addresses, self.fleet, self.seconds)
        if not self.operator:
            raise CommandError("--operator or --at: whom to ask")
        return caller_from_file(self.operator, self.seconds)


def caller_from_file(path: str, timeout: float) -> FleetCaller:
    """The caller that an operator file names, its own balancer first. Raises CommandError."""
    from cypresswalk import operator as operators

    table = operators.read(path).fleet
    if table is None:
        raise CommandError(f"{path}: it has no [fleet]")
    others = [address for address in table.first.values() if address != table.address]
    return FleetCaller([table.address, *others], table.fleet, timeout)


def caller_of(fleet: FleetOptions | FleetCaller) -> FleetCaller:
    """The caller that the group's options name, or the one that was made already."""
    return fleet.caller() if isinstance(fleet, FleetOptions) else fleet


def pass_caller(command: Callable[..., Any]) -> Callable[..., Any]:
    """Hands a command its caller as the first argument."""

    @click.pass_obj
    @wraps(command)
    def with_caller(fleet: FleetOptions | FleetCaller, *args: Any, **kwargs: Any) -> Any:
        """Runs the command."""
        return command(caller_of(fleet), *args, **kwargs)

    return with_caller


def uncertain_exit(error: Exception) -> click.exceptions.Exit:
    """Says that the outcome is uncertain; the exception that ends the command."""
    click.echo(
        f"unsure: {error}\nIt may or may not come into force. "
        "`cypresswalk fleet settings show` and `fleet status` tell.",
        err=True,
    )
    return click.exceptions.Exit(EXIT_UNCERTAIN)


def print_json(value: Any) -> None:
    """Prints an answer as JSON."""
    click.echo(json.dumps(value, indent=1))


def in_brackets(marks: list[str], separator: str = ", ") -> str:
    """What is to be added to a line: marks in brackets, or nothing."""
    return f"  ({separator.join(marks)})" if marks else ""
