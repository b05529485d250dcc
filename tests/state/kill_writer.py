"""Forks writers of generations and kills each at a random moment; what is left must be complete.

Prints how many were killed, and the generations left; exits with 1 at the first file that is
accepted yet wrong.
"""

import os
import random
import signal
import sys
import tempfile
import time

from state_helpers import snapshot

from cypresswalk.state import file_format, store
from cypresswalk.state.disk import DiskFolder
from cypresswalk.state.snapshot import Snapshot

MAX_SAVES = 3  # that a writer begins before the moment of its end is drawn
LONGEST_REMAINDER = 0.003  # seconds from there to its end


class WrongFileError(Exception):
    """A file was accepted that no writer has written whole."""


def server_count(generation: int) -> int:
    """How many servers a generation holds."""
    return 20 + generation % 30


def write_without_end(folder: str, progress: int) -> None:
    """Writes one generation after the other; each says its number in every place.

    A byte to the descriptor `progress` says that the next save begins.
    """
    disk = DiskFolder(folder)
    disk.lock()
    number = max(store.generations(disk), default=0)
    while True:
        number += 1
        content = snapshot(number, servers=server_count(number))
        os.write(progress, b".")
        store.save(disk, file_format.encode(content), number)


def run_and_kill_writer(folder: str, saves: int, remainder: float) -> None:
    """Has a process begin so many saves, and go on for so many seconds."""
    progress, writers_end = os.pipe()
    child = os.fork()
    if not child:
        write_without_end(folder, writers_end)
    os.close(writers_end)
    for _ in range(saves):
        if not os.read(progress, 1):
            raise RuntimeError("the writer ended by itself")
    time.sleep(remainder)
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
    os.close(progress)


def check(found: Snapshot, generation: int, generation_before: int) -> None:
    """Raises if the snapshot is not that generation's, or older than one before."""
    numbers = {server.misses for server in found.servers}
    numbers |= {server.answers for server in found.servers}
    numbers.add(found.head.list_version)
    if numbers != {generation} or len(found.servers) != server_count(generation):
        raise WrongFileError(f"generation {generation} holds {numbers}")
    if generation < generation_before:
        raise WrongFileError(f"generation {generation}, and it was {generation_before} before")


def recover(folder: str, generation_before: int) -> int:
    """The generation that is left, which is checked."""
    invalid: list[tuple[str, object]] = []

    def on_invalid_file(name: str, error: object) -> None:
        invalid.append((name, error))

    found, generation = store.load(DiskFolder(folder), "n0", on_invalid_file)
    if invalid or (found is None and generation):
        raise WrongFileError(f"generation {generation}: {invalid}")
    if found is None:
        return generation_before
    check(found, generation, generation_before)
    return generation


def main(kills: int, seed: int) -> int:
    """Kills that many writers; the exit code."""
    chance = random.Random(seed)
    generation = 0
    with tempfile.TemporaryDirectory() as folder:
        for turn in range(kills):
            saves = chance.randint(1, MAX_SAVES)
            run_and_kill_writer(folder, saves, chance.uniform(0, LONGEST_REMAINDER))
            try:
                generation = recover(folder, generation)
            except WrongFileError as error:
                print(f"turn {turn}: {error}")
                return 1
    print(f"kills={kills} generations={generation}")
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
