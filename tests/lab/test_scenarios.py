"""Short scenarios with the real balancer."""

import json
import os
import signal
import subprocess
import sys
import time

import psutil
import pytest
from helpers import played
from lab_helpers import small
from paths import ROOT

from cypresswalk.lab.metrics import ScenarioMetrics
from cypresswalk.lab.play import play_scenario
from cypresswalk.refusal import CommandError


def test_a_scenario_with_a_hanging_server_is_played_and_reported(tmp_path):
    file = tmp_path / "hang.toml"
    file.write_text(
        (ROOT / "experiments/hang.toml")
        .read_text()
        .replace("seconds = 20", "seconds = 5")
        .replace("at_s = 5", "at_s = 1")
        .replace("for_s = 9", "for_s = 3")
    )
    run = subprocess.run(
        [sys.executable, "-m", "cypresswalk", "lab", "play", str(file), "--out", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    folder = tmp_path / "hang-product-1"
    summary = json.loads((folder / "report.json").read_text())[0]
    assert run.returncode == 0 and "the rules held" in run.stdout, run.stdout + run.stderr
    assert summary["clients"] > 20 and summary["service"] > 0.8 and summary["memory_mb"] > 10
    assert (folder / "service.png").stat().st_size > 1000 and "| service |" in (
        folder / "report.md"
    ).read_text()
    again = subprocess.run(
        [sys.executable, "-m", "cypresswalk", "lab", "verdict", str(file), str(folder)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert again.returncode == 0 and again.stdout.endswith(" 0 breaches\n")


def test_faults_of_all_kinds_in_one_short_scenario_keep_the_rules(tmp_path):
    """A drain, a release, a killed, a stopped and a reloaded balancer, a zone's burst, bad clients, lost hints."""
    day = played(
        small(
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
            trouble=[
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
            ],
        ),
        small().variants[0],
        3,
        tmp_path,
    )
    assert day.broken == {} and not day.void, (day.void, day.breaches)
    kinds = {event.kind for event in day.events}
    assert {
        "told",
        "server_down",
        "server_up",
        "server_mute",
        "balancer_down",
        "bad",
        "left",
    } <= kinds
    assert (
        sum(event.kind == "balancer_up" for event in day.events) == 3
    )  # two starts and the one after the kill
    assert ScenarioMetrics(small(seconds=8), day).summary()["answers"]["up"] > 40


def test_cut_connections_on_both_sides_keep_the_rules(tmp_path):
    """Cuts at any byte of opening line, answer and first lines: what may have run is not sent again, nobody gets two answers."""
    kinds = {"kinds": ["cut", "half_close", "truncate", "black_hole"], "within": 110}
    day = played(
        small(
            seconds=6,
            load={"course": [[0, 20]]},
            types=[
                {"name": "view", "share": 1, "life_s": [1, 2]},
                {"name": "book", "share": 1, "life_s": [1, 2], "effect": "once-only"},
                {"name": "note", "share": 1, "life_s": [1, 2], "effect": "referenced"},
            ],
            between={
                "clients": {"random": [kinds | {"chance": 0.15}]},
                "servers": {
                    "random": [
                        kinds | {"chance": 0.2},
                        kinds | {"chance": 0.3, "direction": "down", "within": 8},
                    ]
                },
            },
        ),
        small().variants[0],
        5,
        tmp_path,
    )
    struck = [event for event in day.events if event.kind == "fault"]
    assert day.broken == {} and not day.void and len(struck) > 20, (day.void, day.breaches)
    assert {event.subject for event in struck} == {"client", "server"}


def test_an_earlier_revision_is_played_from_its_own_files(tmp_path):
    repository = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True
    )
    if repository.returncode:
        pytest.skip("not a git checkout")
    head = repository.stdout.strip()
    experiment = small(
        seconds=2,
        variant=[{"name": "before", "revision": head}, {"name": "odd", "revision": "no-such"}],
    )
    day = played(experiment, experiment.variants[0], 1, tmp_path)
    assert day.broken == {} and sum(event.kind == "answer" for event in day.events) > 5
    with pytest.raises(CommandError, match="variant odd: revision 'no-such': "):
        play_scenario(experiment, experiment.variants[1], 1, tmp_path)


def test_servers_that_grow_are_off_before_and_cold_after(tmp_path):
    experiment = small(
        seconds=7,
        load={"course": [[0, 20]]},
        servers=[{"name": "s", "zone": "north", "count": 3, "cold_share": 0.9, "cold_s": 5}],
        trouble=[{"kind": "grow", "at_s": 1, "servers": ["s"], "amount": 1}],
    )
    day = played(experiment, experiment.variants[0], 1, tmp_path)
    up = next(event for event in day.events if event.kind == "server_up")
    there = [event.at for event in day.events if event.kind == "attempt" and event.subject == "s-2"]
    assert (
        up.subject == "s-2" and there and min(there) > up.at and day.broken == {} and not day.void
    ), day.breaches


def test_a_lab_that_was_late_voids_its_scenario(tmp_path):
    """Guards the balancer against being blamed for a machine that stood still."""
    stalled = []

    def stall(second):
        if second > 1 and not stalled:
            stalled.append(True)
            time.sleep(0.6)

    day = play_scenario(small(seconds=2), small().variants[0], 1, tmp_path, on_progress=stall)
    assert stalled and day.void.startswith("the lab itself was late: ")


def test_a_balancer_that_ends_by_itself_is_a_violation(tmp_path):
    command = [sys.executable, "-c", "import time; time.sleep(0.1); raise SystemExit(7)"]
    with pytest.raises(CommandError, match="balancer b0 does not serve"):
        play_scenario(small(seconds=1), small().variants[0], 1, tmp_path, command=command)


def test_ctrl_c_ends_every_child_and_leaves_nothing(tmp_path):
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cypresswalk",
            "lab",
            "play",
            "experiments/calm.toml",
            "--out",
            str(tmp_path),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    lab, until = psutil.Process(process.pid), time.monotonic() + 20
    while len(children := lab.children()) < 2 or not list(tmp_path.glob("*/b1.log")):
        assert time.monotonic() < until
        time.sleep(0.05)
    time.sleep(0.5)
    os.kill(process.pid, signal.SIGINT)
    process.communicate(timeout=20)
    assert process.returncode not in (0, None) and not any(child.is_running() for child in children)
