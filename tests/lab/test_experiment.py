"""Experiment files."""

import subprocess
import sys

import pytest
from lab_helpers import small
from paths import ROOT

from cypresswalk.lab.experiment import read
from cypresswalk.refusal import CommandError


@pytest.mark.parametrize(
    "change, said",
    [
        ({"seconds": -1}, "seconds: input should be greater than 0, not -1"),
        ({"sconds": 1}, "sconds: no such field"),
        ({"servers": []}, "servers: list should have at least 1 item"),
        (
            {"servers": [{"name": "s", "zone": "south", "count": 1}]},
            "servers[0].zone: 'south' is not one of north",
        ),
        (
            {"servers": [{"name": "s", "zone": "north", "count": 1, "cores": 0}]},
            "servers[0].cores: input should be greater",
        ),
        (
            {"types": [{"name": "v", "share": 1, "effect": "twice"}]},
            "types[0].effect: input should be 'repeatable'",
        ),
        (
            {"types": [{"name": "v", "share": 1, "life_s": [3, 1]}]},
            "types[0].life_s: a range is [least, most]",
        ),
        ({"types": [{"name": "v", "share": 1}] * 2}, "types: a name stands twice"),
        ({"load": {"course": [[3, 1], [2, 1]]}}, "load.course: points are [second, rate]"),
        ({"trouble": [{"kind": "hang", "at_s": 1}]}, "trouble[0]: hang needs servers"),
        (
            {"trouble": [{"kind": "hang", "at_s": 1, "servers": ["x"]}]},
            "trouble[0].servers: 'x' is not one of all",
        ),
        (
            {"trouble": [{"kind": "hang", "at_s": 9, "servers": ["s"]}]},
            "trouble[0].at_s: the day ends after 4 s",
        ),
        (
            {"trouble": [{"kind": "slow", "at_s": 1, "servers": ["s"]}]},
            "trouble[0]: slow needs an amount above 0",
        ),
        (
            {"trouble": [{"kind": "reload", "at_s": 1, "balancers": ["b7"]}]},
            "trouble[0].balancers: 'b7' is not one of all",
        ),
        ({"trouble": [{"kind": "explode", "at_s": 1}]}, "trouble[0].kind: input should be 'crash'"),
        (
            {"variant": [{"name": "v", "policy": "best"}]},
            "variant[0].policy: input should be 'product'",
        ),
        (
            {"variant": [{"name": "v", "policy": "random", "revision": "HEAD"}]},
            "variant[0]: a revision plays its own",
        ),
    ],
)
def test_an_invalid_experiment_is_rejected_with_one_line(change, said):
    with pytest.raises(CommandError) as refusal:
        small(**change)
    assert str(refusal.value).startswith(f"small: {said}") and "\n" not in str(refusal.value)


def test_every_wrong_field_is_named_and_the_command_starts_nothing(tmp_path):
    file = tmp_path / "odd.toml"
    file.write_text('name = "odd"\nseconds = 0\n[load]\ncourse = 3\n')
    run = subprocess.run(
        [
            sys.executable,
            "-m",
            "cypresswalk",
            "lab",
            "play",
            str(file),
            "--out",
            str(tmp_path / "out"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert run.returncode == 2 and not (tmp_path / "out").exists()
    assert {line.split(": ")[1] for line in run.stderr.splitlines()} == {
        "seconds",
        "servers",
        "balancers",
        "types",
        "load.course",
    }


def test_the_shipped_experiment_files_are_valid():
    files = sorted((ROOT / "experiments").glob("*.toml"))
    assert len(files) >= 6 and all(read(file).name == file.stem for file in files)
