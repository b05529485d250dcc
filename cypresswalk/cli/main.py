"""The command group. Commands import what they run when they are run, so that `--help` costs nothing."""

import sys

import click

from cypresswalk.refusal import CommandError


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """A balancer for long-lived connections, and the tools to try it.

    Without arguments the balancer itself starts, told by PROXY_CONFIG what to do."""


def main() -> int:
    """Exit codes: 0 done, 1 a rule was broken, 2 input that can't be used, 3 a day that says nothing."""
    from cypresswalk.cli import faults, fleet, lab, state

    commands.add_command(faults.faults)
    commands.add_command(fleet.fleet)
    commands.add_command(lab.lab)
    commands.add_command(state.state)
    try:
        return commands.main(prog_name="cypresswalk", standalone_mode=False) or 0
    except CommandError as refusal:
        click.echo(str(refusal), err=True)
        return 2
    except click.ClickException as error:
        error.show()
        return 2
    except click.Abort:
        return 130
    except BrokenPipeError:
        sys.stderr.close()
        return 1
