"""What keeping state costs the deciding thread: `python benchmarks/state_cost.py [REPEATS]`.

A deciding thread takes events from the real inbox, one each millisecond, while the real keeper copies, encodes and writes
generations of so many servers and a hundred thousand ids; beside it the same without a keeper. Prints, as Markdown, the
longest slice, the delay of events (median, 99th percentile, most), bytes of a generation."""

import statistics
import sys
import tempfile
import threading
import time
from collections import OrderedDict
from pathlib import Path
from types import SimpleNamespace

sys.path[:0] = [str(Path(__file__).parents[1]), str(Path(__file__).parents[1] / "tests")]

from helpers import entries, settings

from cypresswalk.choice import Balancer
from cypresswalk.model import EndpointUpdate
from cypresswalk.net.clock import Clock
from cypresswalk.net.counters import Counters
from cypresswalk.net.inbox import Inbox
from cypresswalk.service.program import SWITCH_INTERVAL
from cypresswalk.state.snapshot_writer import SnapshotWriter

GENERATIONS = 5


def play(servers: int, ids: int, keeps: bool) -> dict:
    clock = Clock()
    inbox, delays = Inbox(clock), []
    now = clock()
    balancer = Balancer(settings(), 1, now)
    balancer.on_endpoints(now, EndpointUpdate.CACHED, entries(servers))
    core = SimpleNamespace(
        balancer=balancer,
        counters=Counters(),
        seen_ids=OrderedDict(),
        limits=SimpleNamespace(ids=8192),
    )
    with tempfile.TemporaryDirectory() as folder:
        keeper = SnapshotWriter(folder, 1, core, inbox, SimpleNamespace(version=1), "n0", "a:1")
        keeper.recover(now)
        keeper.ids.extend((ident, now) for ident in range(ids))
        ended = threading.Event()

        def decide():
            while not ended.is_set():
                at, call, words = inbox.queue.get()
                call(max(at, 0), *words)

        def tick():
            while not ended.is_set():
                inbox.post(lambda at: delays.append(clock() - at))
                time.sleep(0.001)

        for run in (decide, tick):
            threading.Thread(target=run, daemon=True).start()
        time.sleep(0.2)
        if keeps:
            keeper.keep()  # the first also makes the table of what was learned when
            keeper.longest = 0
        delays.clear()
        began = time.monotonic()
        for _ in range(GENERATIONS if keeps else 0):
            keeper.keep()
        span = time.monotonic() - began
        while len(delays) < 500:
            time.sleep(0.01)
        ended.set()
        size = max((p.stat().st_size for p in Path(folder).glob("state.*")), default=0)
    delays.sort()
    return {
        "slice": keeper.longest / 1e6,
        "p50": delays[len(delays) // 2] / 1e6,
        "p99": delays[len(delays) * 99 // 100] / 1e6,
        "most": delays[-1] / 1e6,
        "bytes": size,
        "seconds": span / GENERATIONS,
    }


def main() -> None:
    repeats = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    sys.setswitchinterval(SWITCH_INTERVAL)
    print(
        "| servers | ids | longest slice, ms | event delay p50 | p99 | most, ms | generation, s | bytes | MB a minute at 5 s |"
    )
    print("|" + " --- |" * 9)
    for servers, ids, keeps in (
        (100, 0, False),
        (100, 1000, True),
        (1000, 10_000, True),
        (10_000, 100_000, True),
    ):
        runs = [play(servers, ids, keeps) for _ in range(repeats)]

        def cell(name: str, digits: int) -> str:
            values = [run[name] for run in runs]
            return f"{statistics.median(values):.{digits}f} ({min(values):.{digits}f} to {max(values):.{digits}f})"

        print(
            f"| {servers}{'' if keeps else ', not kept'} | {ids} | {cell('slice', 3)} | {cell('p50', 3)} | {cell('p99', 3)} | "
            f"{cell('most', 2)} | {cell('seconds', 2)} | {runs[0]['bytes']} | {runs[0]['bytes'] * 12 / 2**20:.2f} |"
        )


if __name__ == "__main__":
    main()
