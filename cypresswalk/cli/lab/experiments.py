"""Scenarios with real balancers among simulated servers and clients."""

from __future__ import annotations

import json
import os
import sys
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from cypresswalk.cli.lab.exit_codes import BROKEN, VOID
from cypresswalk.cli.lab.workers import end_workers
from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when a command runs, so that `--help` is fast
    from cypresswalk.lab.experiment import Experiment

CORES_PER_RUN = 3
PROGRESS_STEPS = 10  # per second of the scenario
CAPACITY_COLUMNS = (
    "clients a second",
    "flows a second",
    "open flows at most",
    "echoes a second",
    "p99 late, ms",
    "max late, ms",
    "set-up p50, ms",
    "verdict",
)

out_option = click.option(
    "--out", type=click.Path(path_type=Path), default=Path("lab-out"), show_default=True
)


def run_variant(file: str, variant: str, seed: int, folder: str) -> dict[str, Any]:
    """Run one variant with one seed; return the run's summary. Called in a worker process."""
    from cypresswalk.lab.experiment import read
    from cypresswalk.lab.metrics import ScenarioMetrics
    from cypresswalk.lab.play import play_scenario

    experiment = read(file)
    chosen = next(v for v in experiment.variants if v.name == variant)
    result = play_scenario(experiment, chosen, seed, Path(folder))
    summary = ScenarioMetrics(experiment, result).summary()
    (Path(folder) / "summary.json").write_text(json.dumps(summary, indent=1))
    return summary


def read_experiment(
    file: str, variants: tuple[str, ...] = (), seeds: tuple[int, ...] = (), repeats: int = 0
) -> tuple[Experiment, list[str], list[int]]:
    """Read an experiment and select variants and seeds.

    Args:
        file: path of the experiment.
        variants: names of the selected variants; all if empty.
        seeds: selected seeds; those of the file if empty.
        repeats: number of the file's seeds to use; all if 0.

    Returns:
        The experiment, the names of the variants, and the seeds.

    Raises:
        CommandError: the file is invalid, or it has no such variant.
    """
    from cypresswalk.lab.experiment import read

    experiment = read(file)
    names = [variant.name for variant in experiment.variants]
    for name in variants:
        if name not in names:
            raise CommandError(f"{file}: variant: {name!r} is not one of {', '.join(names)}")
    chosen_seeds = list(seeds) or experiment.seeds[: repeats or None]
    return experiment, list(variants) or names, chosen_seeds


def run_all(
    file: str, names: list[str], seeds: list[int], out: Path, jobs: int
) -> list[dict[str, Any]]:
    """Run each variant with each seed, and repeat void runs once.

    Returns:
        The summaries in the order of variants and seeds.
    """
    runs = [(name, seed) for seed in seeds for name in names]
    summaries: dict[tuple[str, int], dict[str, Any]] = {}
    repeated: set[tuple[str, int]] = set()
    with (
        ProcessPoolExecutor(jobs) as pool,
        click.progressbar(length=len(runs), label="runs", file=sys.stderr) as bar,
    ):

        def submit(run: tuple[str, int]) -> Future[dict[str, Any]]:
            """Start a run, given as variant name and seed; return the future of its summary."""
            name, seed = run
            return pool.submit(run_variant, file, name, seed, str(out / f"{name}-{seed}"))

        running = {submit(run): run for run in runs}
        try:
            while running:
                done, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in done:
                    run = running.pop(future)
                    summary = future.result()
                    if summary["void"] and run not in repeated:
                        repeated.add(run)
                        running[submit(run)] = run
                        continue
                    summaries[run] = summary
                    bar.update(1)
        except BaseException:
            end_workers(pool)
            raise
    return [summaries[name, seed] for name in names for seed in seeds]


@click.command()
@click.argument("file", type=click.Path())
def check(file: str) -> int:
    """Check an experiment file and print what it runs."""
    experiment, names, seeds = read_experiment(file)
    click.echo(
        f"{experiment.name}: {experiment.seconds:g} s, "
        f"{sum(m.count for m in experiment.servers)} servers, "
        f"{len(experiment.balancer_names())} balancers, {len(experiment.faults)} faults, "
        f"variants {', '.join(names)}, {len(seeds)} seeds"
    )
    return 0


@click.command()
@click.argument("file", type=click.Path())
@click.option("--variant", default="", help="The variant; default: the file's first.")
@click.option("--seed", type=int, help="The seed; default: the file's first.")
@out_option
def play(file: str, variant: str, seed: int | None, out: Path) -> int:
    """Run one variant with one seed, report on it and check the rules."""
    from cypresswalk.lab import report
    from cypresswalk.lab.metrics import ScenarioMetrics
    from cypresswalk.lab.play import play_scenario

    experiment, names, seeds = read_experiment(
        file, (variant,) if variant else (), () if seed is None else (seed,), 1
    )
    name = names[0]
    chosen = next(v for v in experiment.variants if v.name == name)
    click.echo(f"{experiment.name}: {experiment.about}", err=True)
    for fault in experiment.faults:
        where = ", ".join(fault.servers + fault.balancers)
        click.echo(f"  from {fault.at_s:g} s: {fault.kind} {where}", err=True)
    folder = out / f"{experiment.name}-{name}-{seeds[0]}"
    steps = int(experiment.seconds * PROGRESS_STEPS)
    with click.progressbar(length=steps, label=f"{name}, seed {seeds[0]}", file=sys.stderr) as bar:
        done = 0

        def show_progress(second: float) -> None:
            """Move the bar to a second of the scenario."""
            nonlocal done
            bar.update(int(second * PROGRESS_STEPS) - done)
            done = int(second * PROGRESS_STEPS)

        result = play_scenario(experiment, chosen, seeds[0], folder, show_progress)
    summary = ScenarioMetrics(experiment, result).summary()
    click.echo(report.scenario_report(summary))
    report.save([summary], folder)
    click.echo(f"events, logs, report and plots are in {folder}", err=True)
    if summary["void"]:
        return VOID
    return BROKEN if summary["broken"] else 0


@click.command()
@click.argument("file", type=click.Path())
@click.option(
    "--variant",
    "variants",
    multiple=True,
    help="Only this variant; may be repeated. The first one is the baseline.",
)
@click.option("--seed", "seeds", multiple=True, type=int, help="Only this seed; may be repeated.")
@click.option(
    "--repeats", type=int, default=0, help="Number of the file's seeds to use; default: all."
)
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=max((os.cpu_count() or 2) // CORES_PER_RUN, 1),
    show_default=True,
    help="Runs in parallel; each needs two or three cores.",
)
@out_option
def compare(
    file: str, variants: tuple[str, ...], seeds: tuple[int, ...], repeats: int, jobs: int, out: Path
) -> int:
    """Run all variants with all seeds and compare them.

    With the same seed all variants have the same clients. A difference counts only if there are at
    least five seeds and it has the same sign on all of them.
    """
    from cypresswalk.lab import report

    experiment, names, chosen = read_experiment(file, variants, seeds, repeats)
    folder = out / experiment.name
    summaries = run_all(file, names, chosen, folder, jobs)
    click.echo(report.compare(summaries))
    report.save(summaries, folder)
    for summary in summaries:
        if summary["broken"] or summary["void"]:
            click.echo(f"{summary['variant']}, seed {summary['seed']}: {report.verdict(summary)}")
    click.echo(f"report and plots are in {folder}", err=True)
    baseline = [s for s in summaries if s["variant"] == names[0]]
    if any(s["broken"] and not s["void"] for s in baseline):
        return BROKEN
    return VOID if all(s["void"] for s in baseline) else 0


@click.command()
@click.argument("file", type=click.Path())
@click.argument("folder", type=click.Path(path_type=Path))
def verdict(file: str, folder: Path) -> int:
    """Check the rules again on the events of an earlier run."""
    from cypresswalk.lab import observations
    from cypresswalk.lab.checker import check
    from cypresswalk.lab.rules import Rules

    experiment, _, _ = read_experiment(file)
    path = folder / "events.jsonl"
    try:
        events = observations.load(path)
    except (OSError, ValueError, KeyError) as error:
        raise CommandError(f"{path}: {error}") from error
    violations = check(events, Rules.from_experiment(experiment))
    for violation in violations:
        click.echo(str(violation))
    click.echo(f"{len(events)} events, {len(violations)} breaches")
    return BROKEN if violations else 0


@click.command()
@click.option(
    "--rates",
    default="20,50,100,200,400",
    show_default=True,
    help="New clients per second, in rising order.",
)
@click.option("--seconds", default=8, show_default=True, type=click.IntRange(4, 120))
@out_option
def capacity(rates: str, seconds: int, out: Path) -> int:
    """Measure how many clients and flows per second the lab itself can simulate."""
    try:
        rate_list = [float(rate) for rate in rates.split(",")]
    except ValueError as error:
        raise CommandError(f"--rates: {rates!r} is not a list of numbers") from error
    click.echo(f"| {' | '.join(CAPACITY_COLUMNS)} |\n|" + " --- |" * len(CAPACITY_COLUMNS))
    for rate in rate_list:
        line, void = measure_capacity(rate, seconds, out / f"capacity-{rate:g}")
        click.echo(line)
        if void:
            break
    return 0


def measure_capacity(rate: float, seconds: int, folder: Path) -> tuple[str, bool]:
    """Return the table row for a rate of clients per second, and whether the run was void."""
    from cypresswalk.lab.metrics import ScenarioMetrics
    from cypresswalk.lab.play import play_scenario

    experiment = capacity_experiment(rate, seconds)
    result = play_scenario(experiment, experiment.variants[0], 1, folder)
    summary = ScenarioMetrics(experiment, result).summary()
    echoes = sum(event.kind == "echo" for event in result.events) / seconds
    late = summary["lateness_ms"]
    outcome = "late" if summary["void"] else "broken" if summary["broken"] else "in time"
    line = (
        f"| {rate:g} | {summary['flows'] / seconds:.0f} | {max(summary['standing']):.0f} | "
        f"{echoes:.0f} | {late['p99']:.1f} | {late['most']:.0f} | "
        f"{summary['setup_ms']['p50']:.2f} | {outcome} |"
    )
    return line, bool(summary["void"])


def capacity_experiment(rate: float, seconds: int) -> Experiment:
    """Return an experiment whose servers and balancers are so large that the lab is the limit."""
    from cypresswalk import toml
    from cypresswalk.lab.experiment import Experiment

    data = {
        "name": "capacity",
        "seconds": seconds,
        "load": {"course": [[0, rate]]},
        "servers": [{"name": "big", "zone": "north", "count": 6, "cores": 16, "per_core": 200}],
        "balancers": [{"zone": "north", "count": 4, "sockets": 4096, "memory_mb": 512}],
        "types": [{"name": "view", "share": 1, "life_s": [2, 4]}],
        "clients": {"groups": 0},
    }
    return toml.decode(data, Experiment, "capacity")
