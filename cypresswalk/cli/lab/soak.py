"""`cypresswalk lab soak`: runs random plans with real processes, and gives a verdict per seed."""

from __future__ import annotations

import os
import re
import sys
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from pathlib import Path
from typing import TYPE_CHECKING

import click

from cypresswalk.cli.lab.exit_codes import BROKEN, VOID
from cypresswalk.cli.lab.workers import end_workers
from cypresswalk.refusal import CommandError

if TYPE_CHECKING:  # imported when a command runs, so that `--help` is fast
    from cypresswalk.lab.soak import SeedVerdict

MAX_SEEDS = 10_000


def parse_seeds(text: str) -> list[int]:
    """Return the seeds of a range `A-B`, or the one seed `A`.

    Raises:
        CommandError: the text is neither, or the range is empty or too large.
    """
    match = re.fullmatch(r"(\d{1,9})(?:-(\d{1,9}))?", text)
    if match is None:
        raise CommandError(f"--seeds: {text!r} is not a range such as 1-50")
    first = int(match[1])
    last = int(match[2] or first)
    if not first <= last < first + MAX_SEEDS:
        raise CommandError(
            f"--seeds: {text!r}: a range has 1 to {MAX_SEEDS} seeds, the lowest first"
        )
    return list(range(first, last + 1))


def prepare_folder(folder: Path) -> None:
    """Create the folder if it is missing; raise CommandError if it can't be written to."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise CommandError(f"--out: {folder}: {error.strerror}") from error
    if not os.access(folder, os.W_OK):
        raise CommandError(f"--out: {folder}: the folder is not writable")


def run_seeds(seeds: list[int], folder: Path, jobs: int) -> list[SeedVerdict]:
    """Run the seeds, `jobs` at a time, and repeat void ones once; return the verdicts in order."""
    from cypresswalk.lab.soak import play_seed

    verdicts: dict[int, SeedVerdict] = {}
    repeated: set[int] = set()
    with (
        ProcessPoolExecutor(jobs) as pool,
        click.progressbar(length=len(seeds), label="seeds", file=sys.stderr) as bar,
    ):
        running = {pool.submit(play_seed, seed, folder / f"seed-{seed}"): seed for seed in seeds}
        try:
            while running:
                done, _ = wait(running, return_when=FIRST_COMPLETED)
                for future in done:
                    seed, verdict = running.pop(future), future.result()
                    if verdict.void and seed not in repeated:
                        repeated.add(seed)
                        running[pool.submit(play_seed, seed, folder / f"seed-{seed}")] = seed
                        continue
                    verdicts[seed] = verdict
                    bar.update(1)
        except BaseException:
            end_workers(pool)
            click.echo(verdict_table(list(verdicts.values())))
            raise
    return [verdicts[seed] for seed in seeds]


def verdict_table(verdicts: list[SeedVerdict]) -> str:
    """Return a Markdown table with a row for each seed."""
    rows = ["| seed | flows | verdict |", "| --- | --- | --- |"]
    for verdict in verdicts:
        outcome = verdict.void or (
            f"{len(verdict.findings)} findings" if verdict.findings else "held"
        )
        rows.append(f"| {verdict.seed} | {verdict.flows} | {outcome} |")
    return "\n".join(rows)


@click.command()
@click.option("--seeds", required=True, help="A range such as 1-50, or one seed.")
@click.option(
    "--jobs",
    type=click.IntRange(1, 64),
    default=1,
    show_default=True,
    help="Seeds in parallel; each needs two or three cores.",
)
@click.option(
    "--out", type=click.Path(path_type=Path), default=Path("lab-out/soak"), show_default=True
)
def soak(seeds: str, jobs: int, out: Path) -> int:
    """Run random plans with real processes and check the rules."""
    seed_list = parse_seeds(seeds)
    prepare_folder(out)
    verdicts = run_seeds(seed_list, out, jobs)
    click.echo(verdict_table(verdicts))
    failed = [verdict for verdict in verdicts if verdict.findings and not verdict.void]
    for verdict in failed:
        for finding in verdict.findings:
            click.echo(f"seed {verdict.seed}: {finding}")
        click.echo(f"    cypresswalk lab soak --seeds {verdict.seed} --out {out}")
        click.echo(f"    plan, logs and observations: {out / f'seed-{verdict.seed}'}")
    if failed:
        return BROKEN
    return VOID if all(verdict.void for verdict in verdicts) else 0
