"""What persisting state costs the deciding thread: `python benchmarks/state_cost.py [REPEATS]`.

A deciding thread takes events from the real inbox, one each millisecond, while the real snapshot
writer copies, encodes and writes generations of so many servers and a hundred thousand ids; beside
it the same without a writer. Prints, as Markdown, the median (least to most) over the repeats of:
the longest slice of copying, the delay of events (median, 99th percentile, most), all in
milliseconds, and the seconds of one generation; then the bytes of a generation.
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
MIN_EVENTS = 500  # whose delays a run measures
START_PAUSE = 0.2  # seconds for both threads to run
GENERATIONS_PER_MINUTE = 12  # at the default of one each five seconds
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
    """What a run keeps."""

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
    """What one run measured."""

    longest_slice_ms: float
    median_delay_ms: float
    p99_delay_ms: float
    longest_delay_ms: float
    generation_bytes: int
    generation_s: float


def make_core(now: int, servers: int) -> Core:
    """What a snapshot writer reads of a core: a balancer with so many servers, counters, ids."""
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
    """Posts an event each millisecond to a thread that takes them; their delays in nanoseconds."""
    delays: list[int] = []
    ended = threading.Event()

    def decide() -> None:
        """The deciding thread."""
        while not ended.is_set():
            at, call, args = inbox.queue.get()
            call(max(at, 0), *args)

    def post_events() -> None:
        """The thread that posts events."""
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
    """One run: writes the generations, and measures at least so many events."""
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
                writer.keep()  # the first also makes the table of what was learned when
                writer.longest = 0
            delays.clear()
            began = time.monotonic()
            for _ in range(GENERATIONS if case.writes else 0):
                writer.keep()
            duration = time.monotonic() - began
            while len(delays) < MIN_EVENTS:
                time.sleep(0.01)
        size = max((file.stat().st_size for file in Path(folder).glob("state.*")), default=0)
    delays_ms = sorted(delay / MILLISECOND for delay in delays)
    return Result(
        writer.longest / MILLISECOND,
        percentile(delays_ms, 0.5),
        percentile(delays_ms, 0.99),
        delays_ms[-1],
        size,
        duration / GENERATIONS,
    )


def spread(values: list[float], digits: int) -> str:
    """Median, least and most of the repeats, as a cell."""
    least, most = min(values), max(values)
    return f"{statistics.median(values):.{digits}f} ({least:.{digits}f} to {most:.{digits}f})"


def case_row(case: Case, results: list[Result]) -> str:
    """The row of a case."""
    size = results[0].generation_bytes
    return table_row(
        f"{case.servers}{'' if case.writes else ', not kept'}",
        case.ids,
        spread([result.longest_slice_ms for result in results], 3),
        spread([result.median_delay_ms for result in results], 3),
        spread([result.p99_delay_ms for result in results], 3),
        spread([result.longest_delay_ms for result in results], 2),
        spread([result.generation_s for result in results], 2),
        size,
        f"{size * GENERATIONS_PER_MINUTE / MIB:.2f}",
    )


def main() -> None:
    """Prints the table."""
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
        "MB a minute at 5 s",
    )
    report(head)
    for case in CASES:
        report(case_row(case, [run_case(case) for _ in range(repeats)]))


if __name__ == "__main__":
    main()
