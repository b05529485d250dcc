"""Keeps a running balancer's knowledge: recovers it at the start, copies it in slices, writes it on a thread of its own.

The deciding thread does the copying alone, a slice of well under a millisecond at a time; the keeper's thread encodes and
writes. Whatever goes wrong with folder or file is logged once, until it changes, and the balancer runs on without."""

import logging
import time
from collections import deque
from itertools import islice
from threading import Event, Lock

from cypresswalk.model import SECOND
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox, start_thread
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
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
IDS_MOST = 100_000  # of the file: five minutes of three hundred flows a second
IDS_EVERY = SECOND  # how often new ids are copied: no more than a slice comes in between
PAUSE = 0.001  # seconds between two slices: the deciding thread takes what waits
STACK = (
    512 * 1024
)  # of the keeper's thread: the serializer and the file layer need more than the drivers'
SLICE_WAIT = 10  # seconds for the deciding thread to come to a slice; longer, it is ending


class SnapshotWriter:
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
        self.core, self.inbox, self.registry, self.every = core, inbox, registry, every
        self.balancer, self.list_address = balancer, list_address
        self.disk = DiskFolder(folder)
        self.off = False  # the folder is another's, or holds what must be left alone
        self.number = 0
        self.learned: dict[int, tuple[tuple, int]] = {}
        self.ids: deque[tuple[int, int]] = deque(maxlen=IDS_MOST)
        self.said = ""  # the trouble that was logged last
        self.writing, self.ended = Lock(), Event()
        self.floor = 0  # the list's version in the life before
        self.longest = 0  # nanoseconds that one slice took

    # At the start, before anything runs.

    def recover(self, now: int) -> None:
        """Takes over what the folder holds. Never fails: a balancer without its past is still a balancer."""
        try:
            self.disk.lock()
            kept, self.number = store.load(self.disk, self.balancer, self.unreadable)
        except FolderLockedError as error:
            self.turn_off("state_folder_taken", error)
            return
        except store.ForeignFileError as error:
            self.turn_off("state_file_foreign", error)
            return
        except OSError as error:
            self.trouble("read", error)
            return
        if kept is None:
            log.info(event("state_none", folder=self.disk.path))
            return
        self.floor = kept.head.list_version
        recovery = Recovery(kept, now, self.registry.version, self.list_address)
        done = recovery.apply(self.core.balancer)
        self.learned = recovery.learned
        found = list(recovery.recent_ids())
        believed = set(found)
        self.ids.extend((ident, at) for ident, at in kept.ids if ident in believed)
        for ident in found[-self.core.limits.ids :]:
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

    def unreadable(self, name: str, why: str) -> None:
        log.warning(event("state_file_odd", file=name, why=why))

    def turn_off(self, what: str, why: object) -> None:
        self.off = True
        self.disk.unlock()
        log.error(event(what, folder=self.disk.path, why=why, state="off"))

    def trouble(self, what: str, error: Exception) -> None:
        """Once, until it is another or has gone."""
        why = f"{what}: {getattr(error, 'strerror', None) or error}"
        if why != self.said:
            log.error(event("state_not_kept", folder=self.disk.path, why=why))
        self.said = why

    # While it runs.

    def start(self) -> None:
        if not self.off:
            start_thread(self.run, SECOND, STACK)

    def run(self) -> None:
        due = time.monotonic() + self.every
        while not self.ended.wait(min(max(due - time.monotonic(), 0.01), IDS_EVERY / SECOND)):
            if not self.sliced(self.copy_ids):
                return
            if time.monotonic() >= due:
                due = time.monotonic() + self.every
                self.keep()

    def sliced(self, copy, *words: object) -> bool:
        """Has the deciding thread run it, and waits; False where that thread has ended."""
        done = Event()

        def run(now: int) -> None:
            began = time.perf_counter_ns()
            copy(now, *words)
            self.longest = max(self.longest, time.perf_counter_ns() - began)
            done.set()

        self.inbox.post(run)
        return done.wait(SLICE_WAIT)

    def keep(self) -> None:
        """One generation."""
        heads: list[Header] = []
        servers: list = []
        if not self.sliced(
            lambda now: (
                heads.append(self.head(now)),
                servers.extend(self.core.balancer.servers.values()),
            )
        ):
            return
        parts = [file_format.part(b"h", heads[0])]
        for at in range(0, len(servers), SERVERS_PER_SLICE):
            copies: list[ServerRecord] = []
            if not self.sliced(self.copy_servers, servers[at : at + SERVERS_PER_SLICE], copies):
                return
            parts.append(file_format.part(b"s", copies))
            time.sleep(PAUSE)
        self.write(parts)

    def write(self, parts: list[bytes]) -> None:
        ids = list(self.ids)
        for at in range(0, len(ids), IDS_PER_SLICE):
            parts.append(file_format.part(b"i", ids[at : at + IDS_PER_SLICE]))
            if not self.ended.is_set():
                time.sleep(PAUSE)
        with self.writing:
            try:
                if self.disk.held is None:
                    # The folder was not there at the start. Guards a file in it that is another's or of a newer version: its
                    # number would be counted on from, and it be removed two generations later.
                    self.disk.lock()
                    _, self.number = store.load(self.disk, self.balancer, self.unreadable)
                store.save(self.disk, file_format.whole(parts), self.number + 1)
                self.number += 1
                if self.said:
                    log.info(event("state_kept_again", generation=self.number))
                self.said = ""
                self.core.counters.add("state_written")
                self.core.counters.add("state_bytes", sum(map(len, parts)))
            except store.ForeignFileError as error:
                self.ended.set()
                self.turn_off("state_file_foreign", error)
            except (OSError, file_format.FormatError) as error:
                self.trouble("write", error)

    def finish(self, now: int) -> None:
        """The last generation of a planned stop, by the deciding thread itself, which has nothing else left to do."""
        if self.off or self.ended.is_set():
            return
        self.ended.set()
        self.copy_ids(now)
        copies: list[ServerRecord] = []
        self.copy_servers(now, list(self.core.balancer.servers.values()), copies)
        self.write([file_format.part(b"h", self.head(now)), file_format.part(b"s", copies)])

    # By the deciding thread.

    def head(self, now: int) -> Header:
        counts = self.core.counters.counts
        taken = max(counts.get("flows_taken", 0), 1)
        return Header(
            self.balancer,
            now,
            self.core.balancer.started,
            self.registry.version,
            self.list_address,
            counts.get("flows_again", 0) / taken,
            copy_sums(self.core.balancer),
        )

    def copy_servers(self, now: int, servers: list, into: list[ServerRecord]) -> None:
        for server in servers:
            seen = observations(server)
            known = self.learned.get(server.id)
            if known is None or known[0] != seen:
                known = self.learned[server.id] = seen, now
            into.append(copy_server(server, known[1]))

    def copy_ids(self, now: int) -> None:
        """Those that came since the last time, the newest first in the core's table."""
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
