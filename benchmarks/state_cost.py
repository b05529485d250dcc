"""Measures how persisting state delays the deciding thread.

    python benchmarks/state_cost.py [REPEATS]

A deciding thread takes one event each millisecond from the real inbox, while the real snapshot
writer copies, encodes and writes snapshots (generations) of up to 10,000 servers and 100,000 ids.
One case runs without a writer, for comparison. Prints a Markdown table with the median (minimum to
maximum) over the repeats of: the longest slice of copying and the delay of events (median, 99th
percentile, maximum), in milliseconds; and the seconds of one generation. Then the bytes of a
generation.
Results: docs/measurements/state.md.
"""

import argparse
import statistics
import sys
import tempfile
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import NamedTuple, cast

from harness import MILLISECOND, SECOND, percentile, report, table_head, table_row

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Effect, EndpointUpdate, Scope, Server, ServiceType, Settings
from cypresswalk.net.clock import Clock
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.service.program import SWITCH_INTERVAL
from cypresswalk.state.snapshot_writer import SnapshotWriter

GENERATIONS = 5  # written in each run
DEFAULT_REPEATS = 5
EVENT_INTERVAL = 0.001  # seconds between two events
MIN_EVENTS = 500  # minimum number of events in a run
START_PAUSE = 0.2  # seconds until both threads run
GENERATIONS_PER_MINUTE = 12  # the default, one every five seconds
MIB = 2**20

SETTINGS = Settings(
    instances=1,
    zone=0,
    service_types=[
        ServiceType(
            Effect.IDEMPOTENT,
            Scope.ALL,
            idempotency_window=SECOND,
            setup_latency_objective=SECOND // 2,
            message_latency_objective=SECOND // 10,
        )
    ],
    max_attempts=3,
    retry_after_allowed=False,
    max_retry_after=0,
    health_checks=True,
    can_migrate=True,
    list_polled=False,
    max_list_retry_interval=10 * SECOND,
    warm_up_time=20 * SECOND,
    warm_up_initial_fraction=0.2,
    slow_start_window=2 * SECOND,
    overload_factor=3.0,
    zone_crossing_price=0.0,
    migration_price=0.0,
    health_check_price=0.0,
    gossip=False,
    gossip_price=0.0,
    quotas=[],
    overage_weight=1.0,
    load_index=-1,
)


class Case(NamedTuple):
    """A case to measure: the content of the snapshots, and whether they are written."""

    servers: int
    ids: int
    writes: bool  # whether a snapshot writer runs


CASES = (
    Case(100, 0, False),
    Case(100, 1000, True),
    Case(1000, 10_000, True),
    Case(10_000, 100_000, True),
)


@dataclass(frozen=True)
class Result:
    """The measurements of one run."""

    longest_slice_ms: float
    median_delay_ms: float
    p99_delay_ms: float
    longest_delay_ms: float
    generation_bytes: int
    generation_s: float


def make_core(now: int, servers: int) -> Core:
    """Return a core with the parts that a snapshot writer reads: balancer, counters, ids."""
    balancer = Balancer(SETTINGS, 1, now)
    entries = [Server(id=7 + 13 * i, zone=i % 2, cell=i % 3) for i in range(servers)]
    balancer.on_endpoints(now, EndpointUpdate.CACHED, entries)
    core = SimpleNamespace(
        balancer=balancer,
        counters=Counters(),
        seen_ids=OrderedDict(),
        limits=SimpleNamespace(max_remembered_flows=8192),
    )
    return cast(Core, core)


@contextmanager
def event_delays(clock: Clock, inbox: Inbox) -> Iterator[list[int]]:
    """Post an event each millisecond to a deciding thread; yield their delays in nanoseconds."""
    delays: list[int] = []
    ended = threading.Event()

    def decide() -> None:
        """Run the deciding thread."""
        while not ended.is_set():
            at, call, args = inbox.queue.get()
            call(max(at, 0), *args)

    def post_events() -> None:
        """Run the thread that posts events."""
        while not ended.is_set():
            inbox.post(lambda at: delays.append(clock() - at))
            time.sleep(EVENT_INTERVAL)

    loops: tuple[Callable[[], None], ...] = (decide, post_events)
    for loop in loops:
        threading.Thread(target=loop, daemon=True).start()
    time.sleep(START_PAUSE)
    try:
        yield delays
    finally:
        ended.set()


def run_case(case: Case) -> Result:
    """Run a case: write the generations, and measure at least MIN_EVENTS events."""
    clock = Clock()
    inbox = Inbox(clock)
    core = make_core(clock(), case.servers)
    endpoint_list = cast(EndpointListDecoder, SimpleNamespace(version=1))
    with tempfile.TemporaryDirectory() as folder:
        writer = SnapshotWriter(folder, 1, core, inbox, endpoint_list, "n0", "a:1")
        now = clock()
        writer.recover(now)
        writer.ids.extend((ident, now) for ident in range(case.ids))
        with event_delays(clock, inbox) as delays:
            if case.writes:
                writer.write_generation()  # the first also fills the table of observed servers
                writer.longest_slice = 0
            delays.clear()
            began = time.monotonic()
            for _ in range(GENERATIONS if case.writes else 0):
                writer.write_generation()
            duration = time.monotonic() - began
            while len(delays) < MIN_EVENTS:
                time.sleep(0.01)
        size = max((file.stat().st_size for file in Path(folder).glob("state.*")), default=0)
    delays_ms = sorted(delay / MILLISECOND for delay in delays)
    return Result(
        writer.longest_slice / MILLISECOND,
        percentile(delays_ms, 0.5),
        percentile(delays_ms, 0.99),
        delays_ms[-1],
        size,
        duration / GENERATIONS,
    )


def format_spread(values: list[float], digits: int) -> str:
    """Return the median, minimum and maximum of the repeats as a table cell."""
    minimum, maximum = min(values), max(values)
    return f"{statistics.median(values):.{digits}f} ({minimum:.{digits}f} to {maximum:.{digits}f})"


def case_row(case: Case, results: list[Result]) -> str:
    """Return the table row of a case."""
    size = results[0].generation_bytes
    return table_row(
        f"{case.servers}{'' if case.writes else ', no writer'}",
        case.ids,
        format_spread([result.longest_slice_ms for result in results], 3),
        format_spread([result.median_delay_ms for result in results], 3),
        format_spread([result.p99_delay_ms for result in results], 3),
        format_spread([result.longest_delay_ms for result in results], 2),
        format_spread([result.generation_s for result in results], 2),
        size,
        f"{size * GENERATIONS_PER_MINUTE / MIB:.2f}",
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("repeats", nargs="?", type=int, default=DEFAULT_REPEATS)
    repeats = parser.parse_args().repeats
    sys.setswitchinterval(SWITCH_INTERVAL)
    head = table_head(
        "servers",
        "ids",
        "longest slice, ms",
        "event delay p50",
        "p99",
        "most, ms",
        "generation, s",
        "bytes",
        "MiB a minute at 5 s",
    )
    report(head)
    for case in CASES:
        report(case_row(case, [run_case(case) for _ in range(repeats)]))


if __name__ == "__main__":
    main()
