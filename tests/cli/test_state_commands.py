"""`cypresswalk state`: shows, checks and compares snapshots."""

import subprocess

import pytest
from paths import ROOT
from program_helpers import PROGRAM
from state_helpers import snapshot

from cypresswalk.state import file_format


def run_state_command(*args: object) -> subprocess.CompletedProcess[str]:
    """Run `cypresswalk state` and return the finished process."""
    command = [*PROGRAM, "state", *map(str, args)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True)


@pytest.fixture
def folder(tmp_path):
    """Return a folder with two snapshots, the second with a draining server, and a damaged file."""
    before, after = snapshot(1), snapshot(2)
    after.servers[0].state = "draining"
    (tmp_path / "state.1").write_bytes(file_format.encode(before))
    (tmp_path / "state.2").write_bytes(file_format.encode(after))
    (tmp_path / "bad").write_bytes(file_format.encode(before)[:-3])
    return tmp_path


def test_show_prints_the_latest_generation(folder):
    run = run_state_command("show", folder)
    assert run.returncode == 0
    assert "balancer n0" in run.stdout
    assert "draining" in run.stdout
    assert run.stdout.count("\n") >= 5


def test_check_prints_what_a_file_holds(folder):
    file = folder / "state.1"
    run = run_state_command("check", file)
    assert run.returncode == 0
    assert run.stdout == f"{file}: version 1, 3 servers, 1 ids\n"


def test_check_of_a_damaged_file_fails_with_one_line(folder):
    file = folder / "bad"
    run = run_state_command("check", file)
    assert run.returncode == 2
    assert run.stderr.startswith(f"{file}: ")
    assert run.stderr.count("\n") == 1


def test_diff_prints_what_differs(folder):
    run = run_state_command("diff", folder / "state.1", folder / "state.2")
    assert run.returncode == 0
    assert "server 7: state ready -> draining" in run.stdout
    assert "misses 1 -> 2" in run.stdout


def test_diff_of_equal_files_prints_nothing(folder):
    assert run_state_command("diff", folder / "state.1", folder / "state.1").stdout == ""
