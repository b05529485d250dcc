"""The fleet's agreement in virtual time under random faults: a seed breaks no invariant, and deliberately broken programs do."""

import os
import subprocess
import sys

import agreement_mutants
import pytest
from paths import ROOT

from cypresswalk.lab.cluster.explore import plan_of, run_seed, smaller
from cypresswalk.lab.cluster.virtual import SECOND


@pytest.mark.parametrize("first", range(0, 24, 6))
def test_faults_by_seed_break_no_invariant_and_leave_the_fleet_whole(first):
    for seed in range(first, first + 6):
        outcome = run_seed(seed, followers=seed % 3)
        assert not outcome.broken, outcome.broken + "\n" + "\n".join(outcome.history[-60:])
        assert outcome.longest <= 5 * SECOND and len(outcome.states) > 20


@pytest.mark.parametrize(
    "mistake, seeds",
    [
        (agreement_mutants.vote_not_flushed, [8, 11]),
        (agreement_mutants.answer_before_the_flush, [13]),
        (agreement_mutants.lapsed_without_waiting, [18, 25]),
        (agreement_mutants.wiped_voter_under_its_name, [14, 48]),
        (agreement_mutants.followers_and_removed_are_counted, [0, 8]),
        (agreement_mutants.failed_flush_is_forgotten, [1, 8]),
        (agreement_mutants.logs_not_compared, [5, 8]),
    ],
)
def test_a_planted_mistake_is_found(mistake, seeds, monkeypatch):
    """Else the runs above would show nothing. Seeds that find it; the same ones find nothing in the program as it is."""
    assert not any(run_seed(seed).broken for seed in seeds)
    mistake(monkeypatch)
    assert any(run_seed(seed).broken for seed in seeds)


def test_a_failing_run_is_made_small(monkeypatch):
    agreement_mutants.logs_not_compared(monkeypatch)
    plan = plan_of(5, [f"n{i}" for i in range(4)], 100)
    assert run_seed(5, plan=plan).broken
    short = smaller(5, plan[:40] if run_seed(5, plan=plan[:40]).broken else plan)
    assert run_seed(5, plan=short).broken and len(short) < 30


def test_a_seed_is_the_same_run_in_every_process():
    code = (
        "from cypresswalk.lab.cluster.explore import run_seed; o = run_seed(2, acts=30);"
        "print(o.steps, o.longest, sorted(o.situations.items()), sorted(o.states))"
    )
    runs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            env=os.environ | {"PYTHONHASHSEED": seed},
        ).stdout
        for seed in ("1", "2")
    ]
    assert runs[0] == runs[1] != ""
