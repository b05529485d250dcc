"""Fleets under faults: real balancers, or the fleet's own code in virtual time."""

import asyncio
import json
import os
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import click

from cypresswalk.cli.lab.exit_codes import BROKEN
from cypresswalk.refusal import CommandError

SECONDS_PER_FAULT = 2.5  # in a random plan
HISTORY_LINES = 80  # the last lines shown of a run that broke a rule
MAX_CONTRADICTION_S = 5  # seconds on contradicting versions that the virtual fleet allows
ACTIONS_PER_SEED = 100
DEFAULT_VOTERS, DEFAULT_FOLLOWERS = 3, 1

seeds_option = click.option("--seeds", default=100, show_default=True, help="Number of seeds.")
first_option = click.option("--first", default=0, show_default=True, help="The first seed.")
jobs_option = click.option(
    "--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes in parallel."
)


@click.command()
@click.argument("plan", required=False, type=click.Path())
@click.option(
    "--seed", type=int, help="Generate a random plan from this seed instead of reading PLAN."
)
@click.option("--balancers", default=5, show_default=True, help="With --seed: number of balancers.")
@click.option("--voters", default=3, show_default=True, help="With --seed: number of voters.")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    help="With --seed: duration of faults and calls.",
)
@click.option(
    "--copies",
    default=0,
    show_default=True,
    help="With --seed: replicas of each reserved key; clients repeat their requests.",
)
@click.option(
    "--release",
    is_flag=True,
    help="With --seed: a release of a good or bad build by agents, with faults.",
)
@click.option(
    "--out",
    default="lab-out/together",
    show_default=True,
    help="Folder for history, logs and report.",
)
def together(
    plan: str | None,
    seed: int | None,
    balancers: int,
    voters: int,
    seconds: float,
    copies: int,
    release: bool,
    out: str,
) -> int:
    """Start a fleet of real balancers, inject faults by PLAN or a seed, and check the rules."""
    from cypresswalk.lab.cluster.plan import read_plan
    from cypresswalk.lab.cluster.random_plans import random_plan, random_release_plan
    from cypresswalk.lab.cluster.testbed.run import run_plan, run_timeline

    if plan is not None and seed is not None:
        raise CommandError("give either PLAN or --seed")
    faults = max(int(seconds // SECONDS_PER_FAULT), 1)
    if plan is not None:
        chosen = read_plan(plan)
    elif seed is None:
        raise CommandError("give either PLAN or --seed")
    elif release:
        chosen = random_release_plan(seed, balancers, voters, seconds, faults)
    else:
        chosen = random_plan(seed, balancers, voters, seconds, faults, copies)
    folder = Path(out).absolute()
    report = asyncio.run(run_plan(chosen, folder))
    for line in run_timeline(folder):
        click.echo(line)
    click.echo(json.dumps(report, indent=1))
    click.echo(f"history, logs and report: {folder}")
    return BROKEN if report["broken"] else 0


def counts_line(counts: Counter[str]) -> str:
    """Return how often each situation occurred, as text."""
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


@click.command()
@seeds_option
@first_option
@jobs_option
@click.option("--voters", default=DEFAULT_VOTERS, show_default=True)
@click.option("--followers", default=DEFAULT_FOLLOWERS, show_default=True)
def explore(seeds: int, first: int, jobs: int, voters: int, followers: int) -> int:
    """Inject random faults into the fleet's code in virtual time.

    The first seed that breaks an invariant is reduced; the faults that it needs are shown.
    """
    from cypresswalk.lab.cluster.simulation.explorer import run_seed

    situations: Counter[str] = Counter()
    states: set[Any] = set()
    steps = 0
    longest = 0
    failed = []
    with ProcessPoolExecutor(jobs) as pool:
        run = partial(run_seed, voters=voters, followers=followers)
        for outcome in pool.map(run, range(first, first + seeds)):
            situations.update(outcome.situations)
            states |= outcome.states
            steps += outcome.steps
            longest = max(longest, outcome.longest_contradiction)
            if outcome.violation:
                failed.append(outcome.seed)
                click.echo(outcome.violation)
    click.echo(
        f"{seeds} seeds, {steps} steps, {len(states)} states, "
        f"longest on contradicting versions {longest / 1e9:.2f} s of {MAX_CONTRADICTION_S}"
    )
    click.echo(counts_line(situations))
    if failed and (voters, followers) == (DEFAULT_VOTERS, DEFAULT_FOLLOWERS):
        show_reduced(failed[0])
    return BROKEN if failed else 0


def show_reduced(seed: int) -> None:
    """Show a minimal list of the faults with which a seed breaks an invariant."""
    from cypresswalk.lab.cluster.simulation.explorer import reduce_seed
    from cypresswalk.lab.cluster.simulation.schedule import draw_schedule

    names = [f"n{i}" for i in range(DEFAULT_VOTERS + DEFAULT_FOLLOWERS)]
    for action in reduce_seed(seed, draw_schedule(seed, names, ACTIONS_PER_SEED)):
        click.echo(
            f"seed {seed} needs: {action.kind} {action.process} {action.other} {action.number}, "
            f"then {action.pause / 1e9:.2f} s"
        )


@click.command()
@seeds_option
@first_option
@jobs_option
@click.option("--acts", default=60, show_default=True, help="Faults and calls for each seed.")
@click.option("--servers", is_flag=True, help="Releases of servers instead of balancers.")
def releases(seeds: int, first: int, jobs: int, acts: int, servers: bool) -> int:
    """Run releases with random faults and calls in virtual time.

    The end of the history of the first seed that breaks a rule is shown.
    """
    from cypresswalk.lab.cluster.simulation import balancer_releases, server_releases

    run_seed = server_releases.run_seed if servers else balancer_releases.run_seed
    situations: Counter[str] = Counter()
    ends: Counter[str] = Counter()
    departure_count = 0
    failed = []
    with ProcessPoolExecutor(jobs) as pool:
        run = partial(run_seed, action_count=acts)
        for outcome in pool.map(run, range(first, first + seeds)):
            situations.update(outcome.situations)
            departure_count += outcome.departure_count
            if outcome.violation:
                failed.append(outcome)
                click.echo(outcome.violation)
            else:
                ends[outcome.end] += 1
    click.echo(
        f"{seeds} seeds, {departure_count} went out, {len(failed)} broken; "
        + ", ".join(f"{end} {count}" for end, count in sorted(ends.items()))
    )
    click.echo(counts_line(situations))
    if failed:
        for line in failed[0].history[-HISTORY_LINES:]:
            click.echo(line)
    return BROKEN if failed else 0
