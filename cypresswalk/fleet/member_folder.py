"""A member's folder: its lock, its Raft log and the stored identity."""

import logging
import os
import time
from threading import Event as Flag

from cypresswalk.agreement.ready import PersistentState, Ready
from cypresswalk.agreement.store import LogIdentity, Store
from cypresswalk.state.disk import DiskFolder, FolderLockedError

log = logging.getLogger(__name__)
LOCK_RETRY_PAUSE = 0.05  # seconds; the predecessor process ends soon


class MemberFolder:
    """Lock and log of one member in its folder; used by the fleet's thread alone."""

    def __init__(self, path: str, fleet: str, name: str):
        """Use the folder at `path` for the balancer `name` of the fleet."""
        self.path = path
        self.fleet = fleet
        self.name = name
        self.disk = DiskFolder(path)
        self.store = Store(self.disk)

    def lock(self, stopping: Flag) -> bool:
        """Wait for the folder's lock; return False if stopped.

        The lock keeps two processes from voting as one member.
        """
        if self.disk.lock_descriptor is not None:
            return True  # the fleet's thread was restarted; this process still holds the lock
        logged = ""
        while not stopping.is_set():
            try:
                os.makedirs(self.path, mode=0o700, exist_ok=True)
                self.disk.lock()
                return True
            except FolderLockedError:
                why = "another process of this balancer holds the lock"
            except OSError as error:
                why = str(error)
            if why != logged:
                log.info("event=fleet_waits folder=%s reason=%s", self.path, why)
                logged = why
            time.sleep(LOCK_RETRY_PAUSE)
        return False

    def unlock(self) -> None:
        """Release the folder's lock."""
        self.disk.unlock()

    def load(self) -> tuple[LogIdentity, PersistentState] | None:
        """Read the log and rewrite it for this start, or return None if there is none.

        Everything that can be read is written again and flushed, because an earlier write that
        failed may have reached the disk only in part.

        Raises:
            OSError: the disk failed.
            DamagedLogError: the file is not a log.
            ForeignFileError: another balancer, or a newer program, wrote the file.
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
        self.store.begin_file(identity, persisted)
        return identity, persisted

    def begin_log(self, group: str, member_id: str, boot: int, persisted: PersistentState) -> None:
        """Create the log of a member that has found its group; raises OSError."""
        self.store.begin_file(LogIdentity(self.fleet, group, member_id, boot), persisted)

    def write(self, ready: Ready) -> None:
        """Write and flush the Raft node's output; raises OSError."""
        self.store.write(ready)

    def set_aside(self) -> None:
        """Move the log of an identity that is given up out of the way; raises OSError."""
        self.store.set_aside()
