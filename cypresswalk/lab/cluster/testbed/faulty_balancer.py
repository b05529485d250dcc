"""The balancer on a host that is at fault; the test bed starts it in the program's place.

Its part in the fleet has a disk that fills up or fails and a clock that runs fast or slow; the
program itself knows nothing of it. `FAULTY_BALANCER_DISK` names a file that says which fault the
disk has now, none if there is no file; `FAULTY_BALANCER_CLOCK_DRIFT` is the part by which the clock
runs fast.
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
DISK_SLOW = "disk_slow"  # any other text: it fails
SLOW_WRITE_S = 2.0


class FaultyDisk(DiskFolder):
    """A disk that fails for a while.

    A flush that fails leaves on disk a random part of what it covered, and the next one succeeds
    without the rest.
    """

    def __init__(self, path: str, fault_file: Path):
        """Open a folder; the file says which fault it has."""
        super().__init__(path)
        self._fault_file = fault_file
        self._chance = Random(os.getpid())

    def write_with_flags(self, name: str, data: bytes, open_flags: int) -> None:
        """Write a file, or fail; what is appended may be written in part."""
        if error := self._fault():
            if open_flags & os.O_APPEND:
                super().write_with_flags(
                    name, data[: self._chance.randrange(len(data) + 1)], open_flags
                )
            raise error
        super().write_with_flags(name, data, open_flags)

    def rename(self, name: str, to: str) -> None:
        """Rename a file, or fail."""
        if error := self._fault():
            raise error
        super().rename(name, to)

    def flush(self) -> None:
        """Flush all that was written, or fail."""
        if error := self._fault():
            raise error
        super().flush()

    def _fault(self) -> OSError | None:
        """Return the error that the next operation has; on a slow disk wait first."""
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
    """The balancer with such a disk and clock."""

    def join_fleet(self, table: FleetTable, config: Config) -> None:
        """Bind the core to the fleet, then replace the disk and the clock of its part in it."""
        super().join_fleet(table, config)
        assert self.binding is not None  # it was made just now
        fleet = self.binding.fleet
        drift = float(os.environ["FAULTY_BALANCER_CLOCK_DRIFT"])
        began = driver.boottime_ns()

        def drifting_clock() -> int:
            """Return the boot time in nanoseconds, with the drift accumulated since the start."""
            now = driver.boottime_ns()
            return now + int((now - began) * drift)

        disk = FaultyDisk(table.folder, Path(os.environ["FAULTY_BALANCER_DISK"]))
        fleet.folder.disk = disk
        fleet.now = drifting_clock
        if fleet.replication is not None:
            # Its wall time follows the fleet's clock by itself.
            fleet.replication.files = disk
            fleet.replication.now = drifting_clock


if __name__ == "__main__":
    sys.exit(main(program_class=FaultyBalancer))
