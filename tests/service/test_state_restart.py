"""The program with persisted state, restarted."""

import json
import os
import subprocess
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from helpers import config_data, endpoint_entry
from program_helpers import (
    PROGRAM,
    ROOT,
    DiscoveryServer,
    ProgramProcess,
    ServerDouble,
    endpoint_update,
    wait_until,
)

from cypresswalk.state import file_format


@pytest.fixture
def state_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """Write an operator file with a state folder; return the folder."""
    folder = tmp_path / "kept"
    folder.mkdir()
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text(f'[state]\nfolder = "{folder}"\nevery_s = 0.2\n')
    monkeypatch.setenv("PROXY_OPERATOR", str(operator_file))
    return folder


@pytest.fixture
def start_incarnation(
    tmp_path: Path, state_folder: Path
) -> Iterator[Callable[..., ProgramProcess]]:
    """Return a function that starts a program with persisted state, in a subfolder by its name."""
    running = []

    def start(name: str, *servers: ServerDouble, **options) -> ProgramProcess:
        folder = tmp_path / name
        folder.mkdir()
        running.append(ProgramProcess(folder, servers, **options))
        return running[-1]

    yield start
    for program in running:
        program.kill()


def test_drain_from_the_list_still_holds_after_a_kill_and_restart(start_incarnation, state_folder):
    """Rule three of rule_assertions.py over a restart.

    In the new process's configured list the server is still ready.
    """
    stays, drains = ServerDouble(), ServerDouble()
    drain = endpoint_update(endpoint_entry("s-1", drains.address, "terminating"))
    first = start_incarnation("one", stays, drains, discovery_server=DiscoveryServer(drain))

    def drain_is_persisted() -> bool:
        generations = [path.read_bytes() for path in state_folder.glob("state.*")]
        return any(file_format.decode(data).servers[1].state != "ready" for data in generations)

    wait_until(drain_is_persisted, 5)
    first.kill()
    second = start_incarnation("two", stays, drains)  # its discovery sends no update
    assert second.logged("event=state_recovered")
    assert second.logged("drains=1")
    for i in range(12):
        assert second.open(f"z{i}", f"c=view,t=north,d=800,g=g{i}").read_line() == f"UP rz{i}"
    assert drains.open_lines == []
    assert len(stays.open_lines) == 12


def test_flow_id_is_not_served_again_by_the_next_incarnation(start_incarnation):
    server = ServerDouble()
    first = start_incarnation("one", server)
    assert first.open("y1").read_line() == "UP ry1"
    first.process.terminate()  # a graceful stop writes a last generation
    first.process.wait()
    second = start_incarnation("two", server)
    assert second.open("y1").read_line() == "ERR"
    assert second.open("y2").read_line() == "UP ry2"
    assert [line.split(" ")[1] for line in server.open_lines] == ["y1", "y2"]


@pytest.mark.parametrize(
    "text, message",
    [
        ('[state]\nfolder = "kept"\n', "state.folder: an absolute path"),
        ("[stat]\n", "stat: no such field"),
        ('[state]\nfolder = "/x"\nevery_s = 0\n', "state.every_s: input should be greater"),
    ],
    ids=["relative folder", "unknown table", "no interval"],
)
def test_invalid_operator_file_stops_the_start_with_a_clear_message(tmp_path, text, message):
    operator_file = tmp_path / "operator.toml"
    operator_file.write_text(text)
    config = tmp_path / "config.json"
    config.write_text(json.dumps(config_data()))
    files = {"PROXY_CONFIG": str(config), "PROXY_OPERATOR": str(operator_file)}
    run = subprocess.run(
        PROGRAM, cwd=ROOT, capture_output=True, text=True, env=os.environ | files, timeout=20
    )
    assert run.returncode == 1
    assert f"operator.toml: {message}" in run.stderr
    assert "Traceback" not in run.stderr
