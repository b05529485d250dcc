"""The balancer with injected disk faults: the faults reach its log and its replicas."""

from types import SimpleNamespace
from typing import Any, cast

import pytest
from binding_helpers import BindingHarness

from cypresswalk.agreement.log import Snapshot
from cypresswalk.agreement.ready import PersistentState
from cypresswalk.copies.events import IdentityAssigned
from cypresswalk.lab.cluster.testbed.faulty_balancer import DISK_FULL, FaultyBalancer
from cypresswalk.service.program import Program

EMPTY_GROUP = PersistentState(Snapshot(0, 0, (), b""))


@pytest.fixture
def faulty_balancer(tmp_path, monkeypatch) -> FaultyBalancer:
    """Return a balancer with replicas that has joined no fleet yet, and whose disk is full."""
    harness = BindingHarness(tmp_path, copies={})

    def join_fleet(self: Any, table: object, config: object) -> None:
        self.binding = harness.binding

    monkeypatch.setattr(Program, "join_fleet", join_fleet)
    fault_file = tmp_path / "disk"
    fault_file.write_text(DISK_FULL)
    monkeypatch.setenv("FAULTY_BALANCER_DISK", str(fault_file))
    monkeypatch.setenv("FAULTY_BALANCER_CLOCK_DRIFT", "0")
    (tmp_path / "kept").mkdir()
    balancer = FaultyBalancer.__new__(FaultyBalancer)  # without opening sockets
    balancer.join_fleet(harness.binding.fleet.table, cast(Any, SimpleNamespace()))
    return balancer


def test_a_full_disk_is_reported_by_the_replicas(faulty_balancer):
    replication = faulty_balancer.binding.fleet.replication
    replication.process_events([IdentityAssigned("n0#1", 1)])
    assert replication.status()["trouble"] == "no space left on device"
    assert not replication.healthy


def test_a_full_disk_fails_the_agreement_log(faulty_balancer):
    folder = faulty_balancer.binding.fleet.folder
    assert folder.load() is None
    with pytest.raises(OSError, match="no space left"):
        folder.begin_log("group", "n0#1", 1, EMPTY_GROUP)
