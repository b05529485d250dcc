"""The balancer with injected disk and clock faults; the testbed starts it in the program's place.

The faults affect the balancer's fleet member: its disk fills up, fails or is slow, and its clock
runs fast or slow. The program's own code is unchanged. `FAULTY_BALANCER_DISK` names a file that
contains the disk's current fault; without the file there is none. `FAULTY_BALANCER_CLOCK_DRIFT` is
the fraction by which the clock runs fast.
"""

import errno
import os
import sys
import time
from pathlib import Path
from random import Random

from cypresswalk.fleet import driver
from cypresswalk.net.config import Config
from cypresswalk.operator import FleetTable
from cypresswalk.service.program import Program, main
from cypresswalk.state.disk import DiskFolder

DISK_FULL = "disk_full"
DISK_SLOW = "disk_slow"  # any other text means input/output errors
SLOW_WRITE_S = 2.0


class FaultyDisk(DiskFolder):
    """A disk that fails, is full or is slow while its fault file says so.

    A failed append leaves a random part of its data on disk, and later writes succeed without the
    rest.
    """

    def __init__(self, path: str, fault_file: Path):
        """Open a folder, with the file that contains its current fault."""
        super().__init__(path)
        self._fault_file = fault_file
        self._rng = Random(os.getpid())

    def write_with_flags(self, name: str, data: bytes, open_flags: int) -> None:
        """Write a file, or fail; a failed append may write a part of the data."""
        if error := self._fault():
            if open_flags & os.O_APPEND:
                super().write_with_flags(
                    name, data[: self._rng.randrange(len(data) + 1)], open_flags
                )
            raise error
        super().write_with_flags(name, data, open_flags)

    def rename(self, name: str, to: str) -> None:
        """Rename a file, or fail."""
        if error := self._fault():
            raise error
        super().rename(name, to)

    def flush(self) -> None:
        """Flush the folder's entries, or fail."""
        if error := self._fault():
            raise error
        super().flush()

    def _fault(self) -> OSError | None:
        """Return the error of the current operation, if any; on a slow disk, wait instead."""
        try:
            fault = self._fault_file.read_text()
        except OSError:
            return None
        if fault == DISK_SLOW:
            time.sleep(SLOW_WRITE_S)
            return None
        if fault == DISK_FULL:
            return OSError(errno.ENOSPC, "no space left on device")
        return OSError(errno.EIO, "input/output error")


class FaultyBalancer(Program):
    """The balancer with a faulty disk and clock."""

    def join_fleet(self, table: FleetTable, config: Config) -> None:
        """Bind the core to the fleet, then replace the disk and the clock of its fleet member."""
        super().join_fleet(table, config)
        assert self.binding is not None  # set by the call above
        fleet = self.binding.fleet
        drift = float(os.environ["FAULTY_BALANCER_CLOCK_DRIFT"])
        began = driver.boottime_ns()

        def drifting_clock() -> int:
            """Return the boot time in nanoseconds plus the drift accumulated since the start."""
            now = driver.boottime_ns()
            return now + int((now - began) * drift)

        disk = FaultyDisk(table.folder, Path(os.environ["FAULTY_BALANCER_DISK"]))
        fleet.folder.disk = disk
        fleet.now = drifting_clock
        if fleet.replication is not None:
            # Replication's wall time is derived from `fleet.now` and needs no change. It opens its
            # log in this folder once it has started.
            fleet.replication.folder = disk
            fleet.replication.now = drifting_clock


if __name__ == "__main__":
    sys.exit(main(program_class=FaultyBalancer))
