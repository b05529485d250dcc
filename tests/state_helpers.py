"""Test snapshots, and a snapshot writer with a balancer of its own."""

import math
import os
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from helpers import START, entries, settings
from paths import ROOT

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import SECOND, EndpointUpdate
from cypresswalk.net.counters import Counters
from cypresswalk.state.snapshot import Header, ServerRecord, Snapshot, SumsRecord
from cypresswalk.state.snapshot_writer import SnapshotWriter

# Environment of scripts that tests start, in which they can import the program and the helpers.
SCRIPT_ENVIRONMENT = os.environ | {"PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'tests'}"}


def snapshot(number: int = 3, servers: int = 3, **header: Any) -> Snapshot:
    """Return a snapshot with its number in many fields, so that a mix of two is detected."""
    sums = SumsRecord(*[(float(number), number)] * 5)
    values: dict[str, Any] = dict(
        balancer="n0",
        taken=START,
        started=START - 60 * SECOND,
        list_version=number,
        list_address="a:1",
        again=0.25,
        sums=sums,
    )
    return Snapshot(
        Header(**values | header),
        [server_record(7 + 13 * i, number) for i in range(servers)],
        [(100 + i, START) for i in range(number)],
    )


def server_record(server_id: int, number: int) -> ServerRecord:
    """Return a server's record in the snapshot of that number."""
    return ServerRecord(
        id=server_id,
        since=0,
        state="ready",
        learned=START,
        health=2,
        known=True,
        fresh=False,
        misses=number,
        errors=0,
        failed=0,
        answers=number,
        next_trial_at=START,
        ejected_until=0,
        strain=0.5,
        strain_at=START,
        limit=math.inf,
        limit_cut_at=0,
        delay=5,
        slow_start_spent=(1.5, START),
        recent_drops=(0.0, START),
    )


class WriterHarness:
    """A snapshot writer, with stand-ins that have just what it uses of the core and the inbox."""

    def __init__(
        self,
        folder: Path | str,
        servers: int = 3,
        name: str = "n0",
        now: int = START,
        version: int = 5,
        address: str = "a:1",
    ):
        """Create the writer and its balancer; `version` and `address` are the endpoint list's."""
        self.now = now
        self.balancer = Balancer(settings(), 1, self.now)
        self.balancer.on_endpoints(self.now, EndpointUpdate.CACHED, entries(servers))
        self.counters = Counters()
        self.seen_ids: dict[int, None] = {}
        self.limits = SimpleNamespace(max_remembered_flows=8192)
        self.decoder = SimpleNamespace(version=version)
        stand_in: Any = self
        decoder: Any = self.decoder
        self.writer = SnapshotWriter(str(folder), 1, stand_in, stand_in, decoder, name, address)

    def post(self, call: Callable[..., object], *args: Any) -> None:
        """Call at once, in place of an inbox that passes the call to the deciding thread."""
        call(self.now, *args)

    def end(self) -> None:
        """Write the last generation and unlock the folder, as at a planned stop."""
        self.writer.finish(self.now)
        self.writer.disk.unlock()


def recovered_harness(folder: Path | str, **options: Any) -> WriterHarness:
    """Return a harness whose writer has recovered the folder's state."""
    harness = WriterHarness(folder, **options)
    harness.writer.recover(harness.now)
    return harness


def events(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the logged events, in order."""
    return [record.getMessage().split(" ")[0] for record in caplog.records]
