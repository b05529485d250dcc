"""Tests of experiment files: invalid ones and those that are shipped."""

import pytest
from lab_helpers import run_lab, small_experiment
from paths import ROOT

from cypresswalk.lab.experiment import read
from cypresswalk.refusal import CommandError


def server_group(**changes):
    """Return the table of one server group, as an experiment file has it."""
    return {"servers": [{"name": "s", "zone": "north", "count": 1} | changes]}


def flow_type(**changes):
    """Return the table of one type of flows, as an experiment file has it."""
    return {"types": [{"name": "v", "share": 1} | changes]}


def fault(kind, at_s=1, **changes):
    """Return the table of one scheduled fault, as an experiment file has it."""
    return {"trouble": [{"kind": kind, "at_s": at_s} | changes]}


def variant(**changes):
    """Return the table of one variant, as an experiment file has it."""
    return {"variant": [{"name": "v"} | changes]}


@pytest.mark.parametrize(
    "change, message",
    [
        ({"seconds": -1}, "seconds: input should be greater than 0, not -1"),
        ({"sconds": 1}, "sconds: no such field"),
        ({"servers": []}, "servers: list should have at least 1 item"),
        (server_group(zone="south"), "servers[0].zone: 'south' is not one of north"),
        (server_group(cores=0), "servers[0].cores: input should be greater"),
        (flow_type(effect="twice"), "types[0].effect: input should be 'repeatable'"),
        (flow_type(life_s=[3, 1]), "types[0].life_s: a range is [minimum, maximum]"),
        ({"types": [{"name": "v", "share": 1}] * 2}, "types: a name occurs twice"),
        ({"load": {"course": [[3, 1], [2, 1]]}}, "load.course: points are [second, rate]"),
        (fault("hang"), "trouble[0]: hang needs servers"),
        (fault("hang", servers=["x"]), "trouble[0].servers: 'x' is not one of all"),
        (fault("hang", at_s=9, servers=["s"]), "trouble[0].at_s: the scenario ends after 4 s"),
        (fault("slow", servers=["s"]), "trouble[0]: slow needs an amount above 0"),
        (fault("reload", balancers=["b7"]), "trouble[0].balancers: 'b7' is not one of all"),
        (fault("explode"), "trouble[0].kind: input should be 'crash'"),
        (variant(policy="best"), "variant[0].policy: input should be 'product'"),
        (variant(policy="random", revision="HEAD"), "variant[0]: a revision can be played"),
    ],
)
def test_an_invalid_experiment_is_rejected_with_one_line(change, message):
    with pytest.raises(CommandError) as refusal:
        small_experiment(**change)
    assert str(refusal.value).startswith(f"small: {message}")
    assert "\n" not in str(refusal.value)


def test_every_invalid_field_is_named_and_the_command_starts_nothing(tmp_path):
    file, out = tmp_path / "odd.toml", tmp_path / "out"
    file.write_text('name = "odd"\nseconds = 0\n[load]\ncourse = 3\n')
    run = run_lab("play", str(file), "--out", str(out))
    assert run.returncode == 2
    assert not out.exists()
    named = {line.split(": ")[1] for line in run.stderr.splitlines()}
    assert named == {"seconds", "servers", "balancers", "types", "load.course"}


def test_the_shipped_experiment_files_are_valid():
    files = sorted((ROOT / "experiments").glob("*.toml"))
    assert len(files) >= 6
    assert all(read(file).name == file.stem for file in files)
