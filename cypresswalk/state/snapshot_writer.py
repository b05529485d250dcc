"""Persists a running balancer's state: recovers it at the start, copies it in slices, writes it.

The deciding thread does the copying alone, a slice of well under a millisecond at a time; the
writer's thread encodes and writes. Whatever goes wrong with folder or file is logged once, until it
changes, and the balancer runs on without.
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

MAX_IDS = 100_000  # in the file: five minutes of three hundred flows a second
IDS_INTERVAL = SECOND  # between two copies of new ids: no more than a slice comes in between
SLICE_PAUSE = 0.001  # seconds between two slices: the deciding thread takes what waits
# Bytes of the writer's thread: the serializer and the file layer need more than the drivers'.
STACK_BYTES = 512 * 1024
SLICE_TIMEOUT = 10  # seconds for the deciding thread to come to a slice; longer, it is ending


class SnapshotWriter:
    """Recovers the state before anything runs, then writes a generation at each interval."""

    def __init__(
        self,
        folder: str,
        every: float,
        core: Core,
        inbox: Inbox,
        registry: EndpointListDecoder,
        balancer: str,
        list_address: str,
    ):
        """Writes each `every` seconds, as the balancer of that name; its list is at the address."""
        self.core = core
        self.inbox = inbox
        self.registry = registry
        self.every = every
        self.balancer = balancer
        self.list_address = list_address
        self.disk = DiskFolder(folder)
        self.off = False  # the folder is another's, or holds what must be left alone
        self.number = 0
        # By server: what was observed of it last, and when that was learned.
        self.learned: dict[int, tuple[tuple[object, ...], int]] = {}
        self.ids: deque[tuple[int, int]] = deque(maxlen=MAX_IDS)
        self.logged_error = ""  # while it lasts
        self.writing = Lock()
        self.ended = Event()
        self.previous_list_version = 0  # in the incarnation before
        self.longest = 0  # nanoseconds that one slice took

    # At the start, before anything runs.

    def recover(self, now: int) -> None:
        """Takes over what the folder holds. Errors are logged, and the balancer starts without."""
        try:
            self.disk.lock()
            kept, self.number = store.load(self.disk, self.balancer, self.on_invalid_file)
        except FolderLockedError as error:
            self.turn_off("state_folder_taken", error)
            return
        except store.ForeignFileError as error:
            self.turn_off("state_file_foreign", error)
            return
        except OSError as error:
            self.on_error("read", error)
            return
        if kept is None:
            log.info(event("state_none", folder=self.disk.path))
            return
        self.previous_list_version = kept.head.list_version
        recovery = Recovery(kept, now, self.registry.version, self.list_address)
        done = recovery.apply(self.core.balancer)
        self.learned = recovery.learned
        found = list(recovery.recent_ids())
        believed = set(found)
        self.ids.extend((ident, at) for ident, at in kept.ids if ident in believed)
        for ident in found[-self.core.limits.max_remembered_flows :]:
            self.core.seen_ids[ident] = None
        log.info(
            event(
                "state_recovered",
                generation=self.number,
                age=f"{(now - kept.head.taken) / SECOND:.1f}",
                servers=len(kept.servers),
                ids=len(found),
                **done,
            )
        )

    def on_invalid_file(self, name: str, reason: str) -> None:
        """Logs a file that was passed over."""
        log.warning(event("state_file_invalid", file=name, reason=reason))

    def turn_off(self, log_event: str, reason: object) -> None:
        """Leaves the folder alone for good."""
        self.off = True
        self.disk.unlock()
        log.error(event(log_event, folder=self.disk.path, reason=reason, state="off"))

    def on_error(self, operation: str, error: Exception) -> None:
        """Logs an error once, until it is another or has gone."""
        reason = f"{operation}: {getattr(error, 'strerror', None) or error}"
        if reason != self.logged_error:
            log.error(event("state_not_kept", folder=self.disk.path, reason=reason))
        self.logged_error = reason

    # While it runs.

    def start(self) -> None:
        """Starts the writing thread, unless the folder must be left alone."""
        if not self.off:
            start_thread(self.run, SECOND, STACK_BYTES)

    def run(self) -> None:
        """The writing thread; ends with `finish`, or when the deciding thread no longer answers."""
        due = time.monotonic() + self.every
        while not self.ended.wait(min(max(due - time.monotonic(), 0.01), IDS_INTERVAL / SECOND)):
            if not self._run_slice(self.copy_ids):
                return
            if time.monotonic() >= due:
                due = time.monotonic() + self.every
                self.keep()

    def _run_slice(self, copy: Callable[..., object], *args: object) -> bool:
        """Has the deciding thread run it, and waits; False where that thread has ended."""
        done = Event()

        def run(now: int) -> None:
            """Runs the slice in the deciding thread and measures it."""
            began = time.perf_counter_ns()
            copy(now, *args)
            self.longest = max(self.longest, time.perf_counter_ns() - began)
            done.set()

        self.inbox.post(run)
        return done.wait(SLICE_TIMEOUT)

    def keep(self) -> None:
        """Copies and writes one generation."""
        heads: list[Header] = []
        servers: list[Server] = []

        def copy_head(now: int) -> None:
            """Copies the header and takes the list of servers."""
            heads.append(self.head(now))
            servers.extend(self.core.balancer.servers.values())

        if not self._run_slice(copy_head):
            return
        parts = [file_format.part(b"h", heads[0])]
        for at in range(0, len(servers), SERVERS_PER_SLICE):
            copies: list[ServerRecord] = []
            if not self._run_slice(self.copy_servers, servers[at : at + SERVERS_PER_SLICE], copies):
                return
            parts.append(file_format.part(b"s", copies))
            time.sleep(SLICE_PAUSE)
        self.write(parts)

    def write(self, parts: list[bytes]) -> None:
        """Adds the ids to head and servers, and writes the file."""
        ids = list(self.ids)
        for at in range(0, len(ids), IDS_PER_SLICE):
            parts.append(file_format.part(b"i", ids[at : at + IDS_PER_SLICE]))
            if not self.ended.is_set():
                time.sleep(SLICE_PAUSE)
        with self.writing:
            try:
                if self.disk.held is None:
                    # The folder was not there at the start. A file in it that is another's or of a
                    # newer version would be counted on from, and removed two generations later.
                    self.disk.lock()
                    _, self.number = store.load(self.disk, self.balancer, self.on_invalid_file)
                store.save(self.disk, file_format.whole(parts), self.number + 1)
                self.number += 1
                if self.logged_error:
                    log.info(event("state_kept_again", generation=self.number))
                self.logged_error = ""
                self.core.counters.add("state_written")
                self.core.counters.add("state_bytes", sum(map(len, parts)))
            except store.ForeignFileError as error:
                self.ended.set()
                self.turn_off("state_file_foreign", error)
            except (OSError, file_format.FormatError) as error:
                self.on_error("write", error)

    def finish(self, now: int) -> None:
        """The last generation, by the deciding thread, which has nothing else to do."""
        if self.off or self.ended.is_set():
            return
        self.ended.set()
        self.copy_ids(now)
        copies: list[ServerRecord] = []
        self.copy_servers(now, list(self.core.balancer.servers.values()), copies)
        self.write([file_format.part(b"h", self.head(now)), file_format.part(b"s", copies)])

    # By the deciding thread.

    def head(self, now: int) -> Header:
        """The header of a snapshot that is taken now."""
        counts = self.core.counters.counts
        taken = max(counts.get("flows_taken", 0), 1)
        return Header(
            self.balancer,
            now,
            self.core.balancer.traffic.started_at,
            self.registry.version,
            self.list_address,
            counts.get("flows_again", 0) / taken,
            copy_sums(self.core.balancer),
        )

    def copy_servers(self, now: int, servers: list[Server], into: list[ServerRecord]) -> None:
        """Appends their records; what is new of them is learned now."""
        for server in servers:
            seen = observations(server)
            known = self.learned.get(server.id)
            if known is None or known[0] != seen:
                known = self.learned[server.id] = seen, now
            into.append(copy_server(server, known[1]))

    def copy_ids(self, now: int) -> None:
        """Copies the flows' ids that came since the last time, and drops those that are too old."""
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
