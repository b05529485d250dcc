"""Tests that play short scenarios with the real balancer."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest
from helpers import play_with_retries
from lab_helpers import run_lab, small_experiment
from paths import ROOT
from scenario_assertions import assert_all_rules_held

from cypresswalk.lab.experiment import Experiment
from cypresswalk.lab.metrics import ScenarioMetrics
from cypresswalk.lab.play import play_scenario
from cypresswalk.lab.result import ScenarioResult
from cypresswalk.refusal import CommandError

START_TIMEOUT_S = 20
END_TIMEOUT_S = 20

# Faults of all kinds, in the order in which they begin.
ALL_FAULTS = [
    {"kind": "drain", "at_s": 1, "for_s": 2, "servers": ["s-0"]},
    {"kind": "release", "at_s": 1, "servers": ["t-0"]},
    {"kind": "vanish", "at_s": 1, "for_s": 3, "servers": ["t-1"]},
    {"kind": "reload", "at_s": 1.2, "balancers": ["all"]},
    {"kind": "neighbour", "at_s": 1, "for_s": 2, "amount": 0.5, "servers": ["t-2"]},
    {"kind": "errors", "at_s": 2, "for_s": 2, "amount": 0.3, "servers": ["s-1"]},
    {"kind": "slow", "at_s": 2, "for_s": 2, "amount": 3, "servers": ["s-2"]},
    {"kind": "list_outage", "at_s": 2.5, "for_s": 1},
    {"kind": "balancer_kill", "at_s": 4, "for_s": 0.5, "balancers": ["b0"]},
    {"kind": "cut_clients", "at_s": 5, "amount": 0.5},
    {"kind": "burst", "at_s": 5.5, "amount": 40},
    {"kind": "balancer_stop", "at_s": 6, "for_s": 0.3, "balancers": ["b1"]},
]
OBSERVED_KINDS = {
    "told",
    "server_down",
    "server_up",
    "server_mute",
    "balancer_down",
    "bad",
    "left",
}

# Cuts at random bytes of the request, the answer and the first lines.
CUTS = {"kinds": ["cut", "half_close", "truncate", "black_hole"], "within": 110}
CUT_CONNECTIONS = {
    "clients": {"random": [CUTS | {"chance": 0.15}]},
    "servers": {
        "random": [
            CUTS | {"chance": 0.2},
            CUTS | {"chance": 0.3, "direction": "down", "within": 8},
        ]
    },
}
ALL_EFFECTS = [
    {"name": "view", "share": 1, "life_s": [1, 2]},
    {"name": "book", "share": 1, "life_s": [1, 2], "effect": "once-only"},
    {"name": "note", "share": 1, "life_s": [1, 2], "effect": "referenced"},
]


def play(experiment: Experiment, seed: int, folder: Path) -> ScenarioResult:
    """Play the experiment's first variant; repeat it if the machine was late."""
    return play_with_retries(experiment, experiment.variants[0], seed, folder)


def count_of(result: ScenarioResult, kind: str) -> int:
    """Return the number of observations of a kind."""
    return sum(event.kind == kind for event in result.events)


def short_hang_experiment(folder: Path) -> Path:
    """Return the shipped experiment with a hanging server, shortened to five seconds."""
    text = (ROOT / "experiments/hang.toml").read_text()
    for shipped, short in (
        ("seconds = 20", "seconds = 5"),
        ("at_s = 5", "at_s = 1"),
        ("for_s = 9", "for_s = 3"),
    ):
        assert shipped in text
        text = text.replace(shipped, short)
    file = folder / "hang.toml"
    file.write_text(text)
    return file


def test_a_scenario_with_a_hanging_server_is_played_and_reported(tmp_path):
    file = short_hang_experiment(tmp_path)
    run = run_lab("play", str(file), "--out", str(tmp_path))
    folder = tmp_path / "hang-product-1"
    summary = json.loads((folder / "report.json").read_text())[0]
    assert run.returncode == 0, run.stdout + run.stderr
    assert "the rules held" in run.stdout
    assert summary["clients"] > 20
    assert summary["service"] > 0.8
    assert summary["memory_mb"] > 10
    assert (folder / "service.png").stat().st_size > 1000
    assert "| service |" in (folder / "report.md").read_text()
    verdict = run_lab("verdict", str(file), str(folder))
    assert verdict.returncode == 0
    assert verdict.stdout.endswith(" 0 breaches\n")


def test_faults_of_all_kinds_in_one_short_scenario_keep_the_rules(tmp_path):
    experiment = small_experiment(
        seconds=8,
        zones=["north", "south"],
        settings={"peers": True, "retry_after": True},
        net={"peers_lost": 0.3},
        servers=[
            {"name": "s", "zone": "north", "count": 3},
            {"name": "t", "zone": "south", "count": 3},
        ],
        balancers=[{"zone": "north"}, {"zone": "south"}],
        clients={"line_ms": 200, "bad_per_s": 8, "leaves": 0.05},
        trouble=ALL_FAULTS,
    )
    result = play(experiment, 3, tmp_path)
    assert_all_rules_held(result)
    assert {event.kind for event in result.events} >= OBSERVED_KINDS
    assert count_of(result, "balancer_up") == 3  # two starts and the one after the kill
    summary = ScenarioMetrics(small_experiment(seconds=8), result).summary()
    assert summary["answers"]["up"] > 40


def test_cut_connections_on_both_sides_keep_the_rules(tmp_path):
    """Check that flows that may have run are not sent again, and that none gets two answers."""
    experiment = small_experiment(
        seconds=6, load={"course": [[0, 20]]}, types=ALL_EFFECTS, between=CUT_CONNECTIONS
    )
    result = play(experiment, 5, tmp_path)
    assert_all_rules_held(result)
    assert count_of(result, "fault") > 20
    faults = [event for event in result.events if event.kind == "fault"]
    assert {event.subject for event in faults} == {"client", "server"}


@pytest.fixture
def head_revision() -> str:
    """Return the commit that is checked out."""
    command = ["git", "rev-parse", "HEAD"]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if run.returncode:
        pytest.skip("not a git checkout")
    return run.stdout.strip()


def test_an_earlier_revision_is_played_from_its_own_files(tmp_path, head_revision):
    experiment = small_experiment(
        seconds=2,
        variant=[
            {"name": "before", "revision": head_revision},
            {"name": "odd", "revision": "no-such"},
        ],
    )
    result = play(experiment, 1, tmp_path)
    assert result.broken == {}
    assert count_of(result, "answer") > 5
    with pytest.raises(CommandError, match="variant odd: revision 'no-such': "):
        play_scenario(experiment, experiment.variants[1], 1, tmp_path)


def test_a_server_that_a_grow_fault_adds_is_off_before_and_cold_after(tmp_path):
    experiment = small_experiment(
        seconds=7,
        load={"course": [[0, 20]]},
        servers=[{"name": "s", "zone": "north", "count": 3, "cold_share": 0.9, "cold_s": 5}],
        trouble=[{"kind": "grow", "at_s": 1, "servers": ["s"], "amount": 1}],
    )
    result = play(experiment, 1, tmp_path)
    assert_all_rules_held(result)
    started = next(event for event in result.events if event.kind == "server_up")
    assert started.subject == "s-2"
    attempts = [
        event.at for event in result.events if event.kind == "attempt" and event.subject == "s-2"
    ]
    assert attempts
    assert min(attempts) > started.at


def test_a_lab_that_was_late_voids_its_scenario(tmp_path):
    """Violations caused by a stalled machine must not be attributed to the balancer."""
    stalled_at: list[float] = []

    def stall_once(second: float) -> None:
        if second > 1 and not stalled_at:
            stalled_at.append(second)
            time.sleep(0.6)

    experiment = small_experiment(seconds=2)
    result = play_scenario(experiment, experiment.variants[0], 1, tmp_path, on_progress=stall_once)
    assert stalled_at
    assert result.void.startswith("the lab itself was late: ")


def test_a_balancer_that_exits_before_it_serves_is_reported(tmp_path):
    experiment = small_experiment(seconds=1)
    command = [sys.executable, "-c", "import time; time.sleep(0.1); raise SystemExit(7)"]
    with pytest.raises(CommandError, match="balancer b0 does not serve"):
        play_scenario(experiment, experiment.variants[0], 1, tmp_path, command=command)


def wait_until_balancers_run(lab: psutil.Process, folder: Path) -> list[psutil.Process]:
    """Return the lab's child processes, once both balancers have begun to log."""
    end = time.monotonic() + START_TIMEOUT_S
    while len(children := lab.children()) < 2 or not list(folder.glob("*/b1.log")):
        assert time.monotonic() < end
        time.sleep(0.05)
    return children


def test_an_interrupt_ends_every_child_of_the_lab(tmp_path):
    command = [sys.executable, "-m", "cypresswalk", "lab", "play", "experiments/calm.toml"]
    process = subprocess.Popen(
        [*command, "--out", str(tmp_path)],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    children = wait_until_balancers_run(psutil.Process(process.pid), tmp_path)
    time.sleep(0.5)
    os.kill(process.pid, signal.SIGINT)
    process.communicate(timeout=END_TIMEOUT_S)
    assert process.returncode not in (0, None)
    assert not any(child.is_running() for child in children)
