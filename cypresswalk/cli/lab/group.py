"""The group of commands."""

import click

from cypresswalk.cli.lab import experiments, fleets, soak


@click.group()
def lab() -> None:
    """Runs scenarios with real balancers among simulated peers, and checks the rules.

    Exit codes: 0 the rules held, 1 a rule was broken, 2 the file can't be used, 3 the run says
    nothing since the machine was late.
    """


COMMANDS: tuple[click.Command, ...] = (
    experiments.capacity,
    experiments.check,
    experiments.compare,
    experiments.play,
    experiments.verdict,
    fleets.explore,
    fleets.releases,
    fleets.together,
    soak.soak,
)
for command in COMMANDS:
    lab.add_command(command)
