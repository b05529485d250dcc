"""A member's folder: its lock, its Raft log and the identity that stands there."""

import logging
import os
import time
from threading import Event as Flag

from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.state.disk import DiskFolder, FolderLockedError

log = logging.getLogger(__name__)
LOCK_RETRY_PAUSE = 0.05  # seconds: the process before this one ends soon


class MemberFolder:
    """Reads and writes one member's log; used by the fleet's thread alone."""

    def __init__(self, path: str, fleet: str, name: str):
        """Use the folder at `path` for the balancer `name` of that fleet."""
        self.path = path
        self.fleet = fleet
        self.name = name
        self.disk = DiskFolder(path)
        self.store = Store(self.disk)

    def lock(self, stopping: Flag) -> bool:
        """Wait for the folder's lock; False if stopped. Two processes never vote as one member."""
        if self.disk.held is not None:
            return True  # the fleet's thread begins anew: the lock is this process's still
        logged = ""
        while not stopping.is_set():
            try:
                os.makedirs(self.path, mode=0o700, exist_ok=True)
                self.disk.lock()
                return True
            except FolderLockedError:
                why = "another process of this balancer has the folder"
            except OSError as error:
                why = str(error)
            if why != logged:
                log.info("event=fleet_waits folder=%s reason=%s", self.path, why)
                logged = why
            time.sleep(LOCK_RETRY_PAUSE)
        return False

    def unlock(self) -> None:
        """Let another process have the folder."""
        self.disk.unlock()

    def load(self) -> tuple[LogIdentity, PersistentState] | None:
        """Read the log and begin it anew for the next start, or return None where there is none.

        All that can be read is written anew and flushed: a write that failed before may have left
        it on disk in part.

        Raises:
            OSError: the disk failed.
            DamagedLogError: what stands there is no log.
            ForeignFileError: another balancer, or a newer program, wrote there.
        """
        self.store = Store(self.disk)
        persisted = self.store.load(
            self.fleet,
            self.name,
            lambda text: log.warning("event=fleet_log_cut reason=%s", text),
        )
        if persisted is None:
            return None
        before = self.store.identity
        assert before is not None, "a log that was loaded has an identity"
        identity = LogIdentity(before.fleet, before.group, before.member, before.boot + 1)
        self.store.begin(identity, persisted)
        return identity, persisted

    def begin_log(self, group: str, member_id: str, boot: int, persisted: PersistentState) -> None:
        """Begin a log for a member that has found its group; raises OSError."""
        self.store.begin(LogIdentity(self.fleet, group, member_id, boot), persisted)

    def write(self, ready: Ready) -> None:
        """Write and flush the Raft node's work; raises OSError."""
        self.store.write(ready)

    def set_aside(self) -> None:
        """Put the log out of the way: its identity is given up; raises OSError."""
        self.store.set_aside()
