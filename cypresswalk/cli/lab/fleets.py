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

SECONDS_PER_FAULT = 2.5  # of a drawn plan
HISTORY_LINES = 80  # shown of a run that broke a rule
MAX_CONTRADICTION_S = 5  # seconds, as the virtual fleet is configured
ACTIONS_PER_SEED = 100
DEFAULT_VOTERS, DEFAULT_FOLLOWERS = 3, 1

seeds_option = click.option("--seeds", default=100, show_default=True, help="Number of seeds.")
first_option = click.option("--first", default=0, show_default=True, help="The first seed.")
jobs_option = click.option(
    "--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes in parallel."
)


@click.command()
@click.argument("plan", required=False, type=click.Path())
@click.option("--seed", type=int, help="Draw a plan from this seed, in place of PLAN.")
@click.option("--balancers", default=5, show_default=True, help="With --seed.")
@click.option("--voters", default=3, show_default=True, help="With --seed.")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    help="With --seed: for how long faults and calls go on.",
)
@click.option(
    "--copies",
    default=0,
    show_default=True,
    help="With --seed: replicas of each reserved key; clients repeat their requests.",
)
@click.option(
    "--release", is_flag=True, help="With --seed: a release by agents, good or bad, among faults."
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
    """Starts a fleet of real balancers, injects faults by PLAN or a seed, and checks the rules."""
    from cypresswalk.lab.cluster.plan import read_plan
    from cypresswalk.lab.cluster.random_plans import random_plan, random_release_plan
    from cypresswalk.lab.cluster.testbed.run import run_plan, run_timeline

    if plan is not None and seed is not None:
        raise CommandError("PLAN or --seed: one of them")
    faults = max(int(seconds // SECONDS_PER_FAULT), 1)
    if plan is not None:
        wanted = read_plan(plan)
    elif seed is None:
        raise CommandError("PLAN or --seed: one of them")
    elif release:
        wanted = random_release_plan(seed, balancers, voters, seconds, faults)
    else:
        wanted = random_plan(seed, balancers, voters, seconds, faults, copies)
    folder = Path(out).absolute()
    report = asyncio.run(run_plan(wanted, folder))
    for line in run_timeline(folder):
        click.echo(line)
    click.echo(json.dumps(report, indent=1))
    click.echo(f"history, logs and report: {folder}")
    return BROKEN if report["broken"] else 0


def counts_line(counts: Counter[str]) -> str:
    """How often each situation was met."""
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))


@click.command()
@seeds_option
@first_option
@jobs_option
@click.option("--voters", default=DEFAULT_VOTERS, show_default=True)
@click.option("--followers", default=DEFAULT_FOLLOWERS, show_default=True)
def explore(seeds: int, first: int, jobs: int, voters: int, followers: int) -> int:
    """Injects random faults into the fleet's code in virtual time.

    A seed that breaks an invariant is reduced to the faults that it needs, and these are shown.
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
    """Shows the faults that a seed needs to break an invariant."""
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
@click.option("--servers", is_flag=True, help="Releases of servers, in place of balancers.")
def releases(seeds: int, first: int, jobs: int, acts: int, servers: bool) -> int:
    """Runs releases among random faults and calls in virtual time.

    The history of the first seed that breaks a rule is shown.
    """
    from cypresswalk.lab.cluster.simulation import balancer_releases, server_releases

    run_seed = server_releases.run_seed if servers else balancer_releases.run_seed
    situations: Counter[str] = Counter()
    ends: Counter[str] = Counter()
    went_out = 0
    failed = []
    with ProcessPoolExecutor(jobs) as pool:
        run = partial(run_seed, action_count=acts)
        for outcome in pool.map(run, range(first, first + seeds)):
            situations.update(outcome.situations)
            went_out += outcome.departure_count
            if outcome.violation:
                failed.append(outcome)
                click.echo(outcome.violation)
            else:
                ends[outcome.end] += 1
    click.echo(
        f"{seeds} seeds, {went_out} went out, {len(failed)} broken; "
        + ", ".join(f"{end} {count}" for end, count in sorted(ends.items()))
    )
    click.echo(counts_line(situations))
    if failed:
        for line in failed[0].history[-HISTORY_LINES:]:
            click.echo(line)
    return BROKEN if failed else 0
