"""The top-level command group. Each command imports what it needs when it runs."""

import sys

import click

from cypresswalk.refusal import CommandError

EXIT_BROKEN_PIPE = 1
EXIT_INVALID_INPUT = 2
EXIT_ABORTED = 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def commands() -> None:
    """A balancer for long-lived connections, and the tools to try it.

    Without arguments the balancer itself starts, with the configuration that PROXY_CONFIG names.
    """


def main() -> int:
    """Run the command that the arguments name.

    Returns:
        The exit code: 0 done, 1 a rule was broken or the output was closed early, 2 unusable input,
        3 a scenario run without a valid result, 4 no answer from a fleet, 130 aborted.
    """
    from cypresswalk.cli import faults, state
    from cypresswalk.cli.fleet import fleet
    from cypresswalk.cli.lab import lab

    commands.add_command(faults.faults)
    commands.add_command(fleet)
    commands.add_command(lab)
    commands.add_command(state.state)
    try:
        return commands.main(prog_name="cypresswalk", standalone_mode=False) or 0
    except CommandError as error:
        click.echo(str(error), err=True)
        return EXIT_INVALID_INPUT
    except click.ClickException as error:
        error.show()
        return EXIT_INVALID_INPUT
    except click.Abort:
        return EXIT_ABORTED
    except BrokenPipeError:
        sys.stderr.close()
        return EXIT_BROKEN_PIPE
