"""The group of lab commands."""

import click

from cypresswalk.cli.lab import experiments, fleets, soak


@click.group()
def lab() -> None:
    """Run scenarios with real balancers among simulated peers, and check the rules.

    Exit codes: 0 the rules held, 1 a rule was broken, 2 the input can't be used, 3 the result is
    invalid because the machine was too slow.
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
