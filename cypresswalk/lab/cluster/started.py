"""The program as `service/` makes it, on a machine that is not sound: its part in the fleet has a disk that fills up or fails and a
clock that runs fast or slow. Started by the rig in the program's place; the program itself knows nothing of it.

TOGETHER_DISK names a file that says what the disk does now (`disk_full`, `disk_fails`, `disk_slow`; none: it is sound), TOGETHER_CLOCK the part by
which the clock runs fast."""

import os
import sys
import time
from pathlib import Path
from random import Random

from cypresswalk.fleet import driver
from cypresswalk.net.config import Config
from cypresswalk.service.program import Program, main
from cypresswalk.state.disk import DiskFolder

SLOW = 2.0  # seconds that a write takes


class UnsoundDisk(DiskFolder):
    """A flush that fails leaves on disk what it likes of what it covered, and the next one succeeds without it."""

    def __init__(self, path: str, says: Path):
        super().__init__(path)
        self.says, self.chance = says, Random(os.getpid())

    def trouble(self) -> OSError | None:
        try:
            word = self.says.read_text()
        except OSError:
            return None
        if word == "disk_slow":
            time.sleep(SLOW)
            return None
        return (
            OSError(28, "no space left on device")
            if word == "disk_full"
            else OSError(5, "input/output error")
        )

    def put(self, name: str, data: bytes, how: int) -> None:
        if error := self.trouble():
            if how & os.O_APPEND:
                super().put(name, data[: self.chance.randrange(len(data) + 1)], how)
            raise error
        super().put(name, data, how)

    def rename(self, name: str, to: str) -> None:
        if error := self.trouble():
            raise error
        super().rename(name, to)

    def flush(self) -> None:
        if error := self.trouble():
            raise error
        super().flush()


class Unsound(Program):
    def join_fleet(self, table: object, config: Config) -> None:
        super().join_fleet(table, config)
        fleet, off = self.binding.fleet, float(os.environ["TOGETHER_CLOCK"])
        fleet.folder.disk = UnsoundDisk(table.folder, Path(os.environ["TOGETHER_DISK"]))
        began = driver.boottime_ns()
        fleet.now = clock = lambda: driver.boottime_ns() + int((driver.boottime_ns() - began) * off)
        if fleet.copies is not None:
            fleet.copies.files, fleet.copies.now = (
                fleet.folder.disk,
                clock,
            )  # its wall time follows fleet.now by itself


if __name__ == "__main__":
    sys.exit(main(made=Unsound))
