"""Persists a running balancer's state: recovers it at the start, then copies and writes it.

The state is written in generations, which are numbered snapshot files. The deciding thread, which
runs the core, only copies, in slices of well under a millisecond; the writer's thread encodes and
writes. An error of the folder or a file is logged once, until it changes, and the balancer goes
on without persisted state.
"""

import logging
import time
from collections import deque
from collections.abc import Callable
from itertools import islice
from threading import Event, Lock

from cypresswalk.model import SECOND, Server
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.threads import start_thread
from cypresswalk.state import file_format, store
from cypresswalk.state.disk import DiskFolder, FolderLockedError
from cypresswalk.state.recovery import MAX_ID_AGE, Recovery
from cypresswalk.state.snapshot import (
    IDS_PER_SLICE,
    SERVERS_PER_SLICE,
    Header,
    ServerRecord,
    copy_server,
    copy_sums,
    observations,
)

log = logging.getLogger(__name__)

MAX_IDS = 100_000  # in the file: three hundred flows per second for five minutes
IDS_INTERVAL = SECOND  # between two copies of new ids: at most one slice of them arrives meanwhile
SLICE_PAUSE = 0.001  # seconds between two slices, for the deciding thread's waiting events
# Stack of the writer's thread: the serializer and the file layer need more than the threads of the
# drivers in cypresswalk/net.
STACK_BYTES = 512 * 1024
SLICE_TIMEOUT = 10  # seconds for the deciding thread to run a slice; after that it counts as ended


class SnapshotWriter:
    """The recovery of the state before other threads start, and a thread that writes generations.

    Attributes:
        interval: seconds between two generations.
        disabled: whether the folder must be left alone, because another process holds it or it has
            a file that must not be replaced.
        generation: number of the latest generation.
        learned: by server, its last observations and the time at which they were learned.
        ids: ids of recent flows, each with the time at which it was copied.
        logged_error: the last logged error while it lasts, else empty.
        previous_list_version: version of the endpoint list of the previous process.
        longest_slice: duration of the longest slice, in nanoseconds.
    """

    def __init__(
        self,
        folder: str,
        interval: float,
        core: Core,
        inbox: Inbox,
        list_decoder: EndpointListDecoder,
        balancer: str,
        list_address: str,
    ):
        """Use `folder` for the balancer of that name, whose list comes from `list_address`."""
        self.core = core
        self.inbox = inbox
        self.list_decoder = list_decoder
        self.interval = interval
        self.balancer = balancer
        self.list_address = list_address
        self.disk = DiskFolder(folder)
        self.disabled = False
        self.generation = 0
        self.learned: dict[int, tuple[tuple[object, ...], int]] = {}
        self.ids: deque[tuple[int, int]] = deque(maxlen=MAX_IDS)
        self.logged_error = ""
        self.write_lock = Lock()
        self.stopped = Event()
        self.previous_list_version = 0
        self.longest_slice = 0

    # At the start, before other threads run.

    def recover(self, now: int) -> None:
        """Restore the latest generation. On an error log it, and leave the balancer as it is."""
        try:
            self.disk.lock()
            snapshot, self.generation = store.load(self.disk, self.balancer, self.on_invalid_file)
        except FolderLockedError as error:
            self.disable("state_folder_taken", error)
            return
        except store.ForeignFileError as error:
            self.disable("state_file_foreign", error)
            return
        except OSError as error:
            self.on_error("read", error)
            return
        if snapshot is None:
            log.info(event("state_none", folder=self.disk.path))
            return
        self.previous_list_version = snapshot.head.list_version
        recovery = Recovery(snapshot, now, self.list_decoder.version, self.list_address)
        counts = recovery.apply(self.core.balancer)
        self.learned = recovery.learned
        found = list(recovery.recent_ids())
        recent = set(found)
        self.ids.extend((ident, at) for ident, at in snapshot.ids if ident in recent)
        for ident in found[-self.core.limits.max_remembered_flows :]:
            self.core.seen_ids[ident] = None
        log.info(
            event(
                "state_recovered",
                generation=self.generation,
                age=f"{(now - snapshot.head.taken) / SECOND:.1f}",
                servers=len(snapshot.servers),
                ids=len(found),
                **counts,
            )
        )

    def on_invalid_file(self, name: str, reason: str) -> None:
        """Log an invalid file, which is skipped."""
        log.warning(event("state_file_invalid", file=name, reason=reason))

    def disable(self, log_event: str, reason: object) -> None:
        """Stop using the folder, and log why."""
        self.disabled = True
        self.disk.unlock()
        log.error(event(log_event, folder=self.disk.path, reason=reason, state="off"))

    def on_error(self, operation: str, error: Exception) -> None:
        """Log an error, unless it is the same as the last one and still lasts."""
        reason = f"{operation}: {getattr(error, 'strerror', None) or error}"
        if reason != self.logged_error:
            log.error(event("state_not_kept", folder=self.disk.path, reason=reason))
        self.logged_error = reason

    # In the writer's thread.

    def start(self) -> None:
        """Start the writer's thread, unless the writer is disabled."""
        if not self.disabled:
            start_thread(self.run, SECOND, STACK_BYTES)

    def run(self) -> None:
        """Write generations until `finish` is called or the deciding thread no longer answers."""
        due = time.monotonic() + self.interval
        while not self.stopped.wait(min(max(due - time.monotonic(), 0.01), IDS_INTERVAL / SECOND)):
            if not self._run_slice(self.copy_ids):
                return
            if time.monotonic() >= due:
                due = time.monotonic() + self.interval
                self.write_generation()

    def _run_slice(self, copy: Callable[..., object], *args: object) -> bool:
        """Run a slice in the deciding thread and wait; return False if that thread has ended."""
        done = Event()

        def run(now: int) -> None:
            """Run the slice and measure its duration."""
            began = time.perf_counter_ns()
            copy(now, *args)
            self.longest_slice = max(self.longest_slice, time.perf_counter_ns() - began)
            done.set()

        self.inbox.post(run)
        return done.wait(SLICE_TIMEOUT)

    def write_generation(self) -> None:
        """Copy and write one generation."""
        headers: list[Header] = []
        servers: list[Server] = []

        def copy_header(now: int) -> None:
            """Copy the header and the list of servers."""
            headers.append(self.build_header(now))
            servers.extend(self.core.balancer.servers.values())

        if not self._run_slice(copy_header):
            return
        chunks = [file_format.encode_chunk(b"h", headers[0])]
        for at in range(0, len(servers), SERVERS_PER_SLICE):
            copies: list[ServerRecord] = []
            if not self._run_slice(self.copy_servers, servers[at : at + SERVERS_PER_SLICE], copies):
                return
            chunks.append(file_format.encode_chunk(b"s", copies))
            time.sleep(SLICE_PAUSE)
        self.write(chunks)

    def write(self, chunks: list[bytes]) -> None:
        """Add the ids' chunks to those of header and servers, and write the file."""
        ids = list(self.ids)
        for at in range(0, len(ids), IDS_PER_SLICE):
            chunks.append(file_format.encode_chunk(b"i", ids[at : at + IDS_PER_SLICE]))
            if not self.stopped.is_set():
                time.sleep(SLICE_PAUSE)
        with self.write_lock:
            try:
                if self.disk.lock_descriptor is None:
                    # The folder did not exist at the start. Without this check, a file in it of
                    # another balancer or a newer version would be removed two generations later.
                    self.disk.lock()
                    _, self.generation = store.load(self.disk, self.balancer, self.on_invalid_file)
                store.save(self.disk, file_format.encode_file(chunks), self.generation + 1)
                self.generation += 1
                if self.logged_error:
                    log.info(event("state_kept_again", generation=self.generation))
                self.logged_error = ""
                self.core.counters.add("state_written")
                self.core.counters.add("state_bytes", sum(map(len, chunks)))
            except store.ForeignFileError as error:
                self.stopped.set()
                self.disable("state_file_foreign", error)
            except (OSError, file_format.FormatError) as error:
                self.on_error("write", error)

    def finish(self, now: int) -> None:
        """Write the last generation in the deciding thread, which has no other work any more."""
        if self.disabled or self.stopped.is_set():
            return
        self.stopped.set()
        self.copy_ids(now)
        copies: list[ServerRecord] = []
        self.copy_servers(now, list(self.core.balancer.servers.values()), copies)
        self.write(
            [
                file_format.encode_chunk(b"h", self.build_header(now)),
                file_format.encode_chunk(b"s", copies),
            ]
        )

    # In the deciding thread.

    def build_header(self, now: int) -> Header:
        """Return the header of a snapshot that is taken now."""
        counts = self.core.counters.counts
        taken = max(counts.get("flows_taken", 0), 1)
        return Header(
            self.balancer,
            now,
            self.core.balancer.traffic.started_at,
            self.list_decoder.version,
            self.list_address,
            counts.get("flows_again", 0) / taken,
            copy_sums(self.core.balancer),
        )

    def copy_servers(self, now: int, servers: list[Server], into: list[ServerRecord]) -> None:
        """Append the servers' records; new observations count as learned now."""
        for server in servers:
            seen = observations(server)
            known = self.learned.get(server.id)
            if known is None or known[0] != seen:
                known = self.learned[server.id] = seen, now
            into.append(copy_server(server, known[1]))

    def copy_ids(self, now: int) -> None:
        """Copy the flows' ids that arrived since the last call, and drop ids that are too old."""
        last = self.ids[-1][0] if self.ids else None
        new = []
        for ident in islice(reversed(self.core.seen_ids), IDS_PER_SLICE):
            if ident == last:
                break
            new.append(ident)
        self.ids.extend((ident, now) for ident in reversed(new))
        for _ in range(IDS_PER_SLICE):
            if not self.ids or now - self.ids[0][1] <= MAX_ID_AGE:
                break
            self.ids.popleft()
