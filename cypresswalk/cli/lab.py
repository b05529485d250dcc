"""`cypresswalk lab`: days with real balancers among stand-ins."""

import os
import sys
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from pathlib import Path

import click

from cypresswalk.refusal import CommandError

BROKEN, VOID = 1, 3


@click.group()
def lab() -> None:
    """Plays days with real balancers among stand-ins on loopback, and says whether the rules held.

    Exit codes: 0 the rules held, 1 a rule was broken, 2 the file can't be used, 3 the day says nothing since the machine
    was late."""


def one_day(file: str, variant: str, seed: int, folder: str) -> dict:
    """In a process of its own; gives the day's summary."""
    import json

    from cypresswalk.lab.experiment import read
    from cypresswalk.lab.figures import Figures
    from cypresswalk.lab.play import play_day

    experiment = read(file)
    chosen = next(v for v in experiment.variant if v.name == variant)
    day = play_day(experiment, chosen, seed, Path(folder))
    summary = Figures(experiment, day).summary()
    (Path(folder) / "summary.json").write_text(json.dumps(summary, indent=1))
    return summary


def opened(file: str, variants: tuple[str, ...], seeds: tuple[int, ...], repeats: int):
    """The experiment, and the variants and seeds that are asked for. Raises Refusal for an unknown variant."""
    from cypresswalk.lab.experiment import read

    experiment = read(file)
    names = [v.name for v in experiment.variant]
    for name in variants:
        if name not in names:
            raise CommandError(f"{file}: variant: {name!r} is not one of {', '.join(names)}")
    return experiment, list(variants) or names, list(seeds) or experiment.seeds[: repeats or None]


def play_all(file: str, names: list[str], seeds: list[int], out: Path, jobs: int) -> list[dict]:
    """Each variant and seed once, void days once more; in the order of variants and seeds."""
    wanted = [(name, seed) for seed in seeds for name in names]
    found: dict[tuple[str, int], dict] = {}
    again: set[tuple[str, int]] = set()
    with (
        ProcessPoolExecutor(jobs) as pool,
        click.progressbar(length=len(wanted), label="days", file=sys.stderr) as bar,
    ):

        def begin(what: tuple[str, int]):
            return pool.submit(one_day, file, *what, str(out / f"{what[0]}-{what[1]}"))

        running = {begin(what): what for what in wanted}
        try:
            while running:
                done, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in done:
                    what = running.pop(future)
                    summary = future.result()
                    if summary["void"] and what not in again:
                        again.add(what)
                        running[begin(what)] = what
                        continue
                    found[what] = summary
                    bar.update(1)
        except BaseException:
            pool.shutdown(wait=False, cancel_futures=True)
            raise
    return [found[name, seed] for name in names for seed in seeds]


@lab.command()
@click.argument("file", type=click.Path())
def check(file: str) -> int:
    """Says what is wrong with an experiment file, or what it plays."""
    experiment, names, seeds = opened(file, (), (), 0)
    click.echo(
        f"{experiment.name}: {experiment.seconds:g} s, {sum(m.count for m in experiment.servers)} servers, "
        f"{len(experiment.balancer_names())} balancers, {len(experiment.trouble)} troubles, variants "
        f"{', '.join(names)}, {len(seeds)} seeds"
    )
    return 0


@lab.command()
@click.argument("file", type=click.Path())
@click.option("--variant", default="", help="Which variant; the first if none is named.")
@click.option("--seed", type=int, help="Which seed; the file's first if none is named.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out"), show_default=True)
def play(file: str, variant: str, seed: int | None, out: Path) -> int:
    """Plays one day, shows it, and says whether the rules held."""
    from cypresswalk.lab import report
    from cypresswalk.lab.figures import Figures
    from cypresswalk.lab.play import play_day

    experiment, names, seeds = opened(
        file, (variant,) if variant else (), () if seed is None else (seed,), 1
    )
    chosen = next(v for v in experiment.variant if v.name == names[0])
    click.echo(f"{experiment.name}: {experiment.about}", err=True)
    for trouble in experiment.trouble:
        where = ", ".join(trouble.servers + trouble.balancers)
        click.echo(f"  from {trouble.at_s:g} s: {trouble.kind} {where}", err=True)
    folder = out / f"{experiment.name}-{names[0]}-{seeds[0]}"
    with click.progressbar(
        length=int(experiment.seconds * 10), label=f"{names[0]}, seed {seeds[0]}", file=sys.stderr
    ) as bar:
        done = 0

        def told(second: float) -> None:
            nonlocal done
            bar.update(int(second * 10) - done)
            done = int(second * 10)

        day = play_day(experiment, chosen, seeds[0], folder, told)
    summary = Figures(experiment, day).summary()
    click.echo(report.day(summary))
    report.save([summary], folder)
    click.echo(f"events, logs, report and plots are in {folder}", err=True)
    return VOID if summary["void"] else BROKEN if summary["broken"] else 0


@lab.command()
@click.argument("file", type=click.Path())
@click.option(
    "--variant",
    "variants",
    multiple=True,
    help="Only these, in this order; the first is the measure.",
)
@click.option("--seed", "seeds", multiple=True, type=int, help="Only these seeds.")
@click.option(
    "--repeats", type=int, default=0, help="So many of the file's seeds; all if none is named."
)
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=max((os.cpu_count() or 2) // 3, 1),
    show_default=True,
    help="Days side by side; each wants two or three cores.",
)
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out"), show_default=True)
def compare(
    file: str, variants: tuple[str, ...], seeds: tuple[int, ...], repeats: int, jobs: int, out: Path
) -> int:
    """Plays all variants with all seeds and holds them side by side.

    The same people come to every variant on a seed. A difference counts where it points the same way on all of five or
    more seeds."""
    from cypresswalk.lab import report

    experiment, names, chosen = opened(file, variants, seeds, repeats)
    folder = out / experiment.name
    summaries = play_all(file, names, chosen, folder, jobs)
    click.echo(report.compare(summaries))
    report.save(summaries, folder)
    for summary in summaries:
        if summary["broken"] or summary["void"]:
            click.echo(f"{summary['variant']}, seed {summary['seed']}: {report.verdict(summary)}")
    click.echo(f"report and plots are in {folder}", err=True)
    first = [s for s in summaries if s["variant"] == names[0]]
    if any(s["broken"] and not s["void"] for s in first):
        return BROKEN
    return VOID if all(s["void"] for s in first) else 0


@lab.command()
@click.argument("file", type=click.Path())
@click.argument("folder", type=click.Path(path_type=Path))
def verdict(file: str, folder: Path) -> int:
    """Judges a day that was played before anew, from its events."""
    from cypresswalk.lab import seen
    from cypresswalk.lab.oracle import Rules, judge

    experiment, _, _ = opened(file, (), (), 0)
    try:
        events = seen.load(folder / "events.jsonl")
    except (OSError, ValueError, KeyError) as error:
        raise CommandError(f"{folder / 'events.jsonl'}: {error}") from None
    breaches = judge(events, Rules.of(experiment))
    for breach in breaches:
        click.echo(str(breach))
    click.echo(f"{len(events)} events, {len(breaches)} breaches")
    return BROKEN if breaches else 0


@lab.command()
@click.option(
    "--rates", default="20,50,100,200,400", show_default=True, help="New clients a second, rising."
)
@click.option("--seconds", default=8, show_default=True, type=click.IntRange(4, 120))
@click.option("--out", type=click.Path(path_type=Path), default=Path("lab-out"), show_default=True)
def capacity(rates: str, seconds: int, out: Path) -> int:
    """How many clients and flows a second the lab itself can play before it is late."""
    from cypresswalk import toml
    from cypresswalk.lab.experiment import Experiment
    from cypresswalk.lab.figures import Figures
    from cypresswalk.lab.play import play_day

    try:
        wanted = [float(rate) for rate in rates.split(",")]
    except ValueError:
        raise CommandError(f"--rates: {rates!r} is no list of numbers") from None
    click.echo(
        "| clients a second | flows a second | standing at most | echoes a second | p99 late, ms | most late, ms | "
        "set-up p50, ms | verdict |\n|" + " --- |" * 8
    )
    for rate in wanted:
        data = {
            "name": "capacity",
            "seconds": seconds,
            "load": {"course": [[0, rate]]},
            "servers": [{"name": "big", "zone": "north", "count": 6, "cores": 16, "per_core": 200}],
            "balancers": [{"zone": "north", "count": 4, "sockets": 4096, "memory_mb": 512}],
            "types": [{"name": "view", "share": 1, "life_s": [2, 4]}],
            "clients": {"groups": 0},
        }
        experiment = toml.decode(data, Experiment, "capacity")
        day = play_day(experiment, experiment.variant[0], 1, out / f"capacity-{rate:g}")
        summary = Figures(experiment, day).summary()
        echoes = sum(event.what == "echo" for event in day.events) / seconds
        late = summary["lateness_ms"]
        said = "late" if summary["void"] else "broken" if summary["broken"] else "in time"
        click.echo(
            f"| {rate:g} | {summary['flows'] / seconds:.0f} | {max(summary['standing']):.0f} | {echoes:.0f} | "
            f"{late['p99']:.1f} | {late['most']:.0f} | {summary['setup_ms']['p50']:.2f} | {said} |"
        )
        if summary["void"]:
            break
    return 0


@lab.command()
@click.argument("plan", required=False, type=click.Path())
@click.option("--seed", type=int, help="In place of a plan: one drawn from this seed.")
@click.option("--balancers", default=5, show_default=True, help="With --seed.")
@click.option("--voters", default=3, show_default=True, help="With --seed.")
@click.option(
    "--seconds",
    default=20.0,
    show_default=True,
    help="With --seed: how long faults and calls go on.",
)
@click.option(
    "--copies",
    default=0,
    show_default=True,
    help="With --seed: holders of each claimed id; clients say ids twice.",
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
    """Starts balancers that agree, breaks what is between them by PLAN or a seed, and judges what they did."""
    import asyncio
    import json

    from cypresswalk.lab.together import plan as plans
    from cypresswalk.lab.together import stage

    if (plan is None) == (seed is None):
        raise CommandError("PLAN or --seed: one of them")
    wanted = (
        plans.read(plan)
        if plan
        else plans.drawn_release(seed, balancers, voters, seconds, max(int(seconds // 2.5), 1))
        if release
        else plans.drawn(seed, balancers, voters, seconds, max(int(seconds // 2.5), 1), copies)
    )
    folder = Path(out).absolute()
    report = asyncio.run(stage.played(wanted, folder))
    for line in stage.timeline(folder):
        click.echo(line)
    click.echo(json.dumps(report, indent=1))
    click.echo(f"history, logs and report: {folder}")
    return BROKEN if report["broken"] else 0


@lab.command()
@click.option("--seeds", default=100, show_default=True, help="How many.")
@click.option("--first", default=0, show_default=True, help="The first of them.")
@click.option(
    "--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes side by side."
)
@click.option("--voters", default=3, show_default=True)
@click.option("--followers", default=1, show_default=True)
def explore(seeds: int, first: int, jobs: int, voters: int, followers: int) -> int:
    """Plays random faults on the fleet's code in virtual time; a seed that breaks an invariant is made small and shown."""
    from collections import Counter
    from functools import partial

    from cypresswalk.lab.together.explore import plan_of, run_seed, smaller

    met, states, steps, longest, failed = Counter(), set(), 0, 0, []
    with ProcessPoolExecutor(jobs) as pool:
        run = partial(run_seed, voters=voters, followers=followers)
        for outcome in pool.map(run, range(first, first + seeds)):
            met.update(outcome.situations)
            states |= outcome.states
            steps, longest = steps + outcome.steps, max(longest, outcome.longest)
            if outcome.broken:
                failed.append(outcome.seed)
                click.echo(outcome.broken)
    click.echo(
        f"{seeds} seeds, {steps} steps, {len(states)} states, longest on contradicting versions {longest / 1e9:.2f} s of 5"
    )
    click.echo(", ".join(f"{what} {count}" for what, count in sorted(met.items())))
    for seed in failed[:1] if voters == 3 and followers == 1 else ():
        names = [f"n{i}" for i in range(4)]
        for act in smaller(seed, plan_of(seed, names, 100)):
            click.echo(
                f"seed {seed} needs: {act.kind} {act.who} {act.other} {act.number}, then {act.then / 1e9:.2f} s"
            )
    return BROKEN if failed else 0


@lab.command()
@click.option("--seeds", default=100, show_default=True, help="How many.")
@click.option("--first", default=0, show_default=True, help="The first of them.")
@click.option(
    "--jobs", default=os.cpu_count() or 1, show_default=True, help="Processes side by side."
)
@click.option("--acts", default=60, show_default=True, help="Faults and calls in each.")
@click.option("--servers", is_flag=True, help="Releases of servers, in place of balancers.")
def releases(seeds: int, first: int, jobs: int, acts: int, servers: bool) -> int:
    """Plays releases of a whole fleet among random faults and calls in virtual time; shows the course of the first that breaks a rule."""
    from collections import Counter
    from functools import partial

    from cypresswalk.lab.together import releases as of_balancers
    from cypresswalk.lab.together import servings as of_servers

    run_seed = (of_servers if servers else of_balancers).run_seed
    met, ends, went, failed = Counter(), Counter(), 0, []
    with ProcessPoolExecutor(jobs) as pool:
        for outcome in pool.map(partial(run_seed, acts=acts), range(first, first + seeds)):
            met.update(outcome.situations)
            went += outcome.went
            if outcome.broken:
                failed.append(outcome)
                click.echo(outcome.broken)
            else:
                ends[outcome.end] += 1
    click.echo(
        f"{seeds} seeds, {went} went out, {len(failed)} broken; "
        + ", ".join(f"{end} {count}" for end, count in sorted(ends.items()))
    )
    click.echo(", ".join(f"{what} {count}" for what, count in sorted(met.items())))
    for line in failed[0].history[-80:] if failed else ():
        click.echo(line)
    return BROKEN if failed else 0
