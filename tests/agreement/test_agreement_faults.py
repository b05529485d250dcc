"""Consensus of a simulated fleet under random faults.

No seed violates an invariant, and deliberately broken versions of the program are detected.
"""

import os
import subprocess
import sys

import agreement_mutants
import pytest
from paths import ROOT

from cypresswalk.lab.cluster.simulation.explorer import reduce_seed, run_seed
from cypresswalk.lab.cluster.simulation.schedule import draw_schedule
from cypresswalk.model import SECOND

SEEDS = 24
SEEDS_PER_TEST = 6
# How long two members may act on contradicting versions.
MAX_CONTRADICTION = 5 * SECOND
# Number of history lines that a failure prints.
SHOWN_STEPS = 60

PRINT_RUN = """
from cypresswalk.lab.cluster.simulation.explorer import run_seed
run = run_seed(2, action_count=30)
print(run.steps, run.longest_contradiction, sorted(run.situations.items()), sorted(run.states))
"""


@pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
def test_random_faults_break_no_invariant_and_the_fleet_recovers(first):
    for seed in range(first, first + SEEDS_PER_TEST):
        outcome = run_seed(seed, followers=seed % 3)
        assert not outcome.violation, "\n".join(
            [outcome.violation, *outcome.history[-SHOWN_STEPS:]]
        )
        assert outcome.longest_contradiction <= MAX_CONTRADICTION
        assert len(outcome.states) > 20


@pytest.mark.parametrize(
    "mutate, seeds",
    [
        (agreement_mutants.votes_are_not_flushed, [8, 11]),
        (agreement_mutants.messages_are_sent_before_the_flush, [13]),
        (agreement_mutants.leases_expire_early, [18, 25]),
        (agreement_mutants.lost_voter_keeps_its_incarnation, [14, 48]),
        (agreement_mutants.votes_of_non_voters_are_counted, [0, 8]),
        (agreement_mutants.failed_flushes_are_ignored, [1, 8]),
        (agreement_mutants.logs_are_not_compared, [5, 8]),
    ],
)
def test_agreement_mutant_is_detected(mutate, seeds, monkeypatch):
    """The same seeds find no violation in the unmodified program."""
    assert not any(run_seed(seed).violation for seed in seeds)
    mutate(monkeypatch)
    assert any(run_seed(seed).violation for seed in seeds)


def test_failing_run_is_shrunk(monkeypatch):
    agreement_mutants.logs_are_not_compared(monkeypatch)
    schedule = draw_schedule(5, ["n0", "n1", "n2", "n3"], 100)
    assert run_seed(5, schedule=schedule).violation
    start = schedule[:40]
    shrunk = reduce_seed(5, start if run_seed(5, schedule=start).violation else schedule)
    assert run_seed(5, schedule=shrunk).violation
    assert len(shrunk) < 30


def test_seed_gives_the_same_run_in_every_process():
    runs = [
        subprocess.run(
            [sys.executable, "-c", PRINT_RUN],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]
    assert runs[0] == runs[1] != ""
