"""Forks processes that write generations, kills each at a random moment and checks the files left.

Prints the number of killed processes and the number of the last generation; exits with 1 at the
first file that is accepted although it is wrong.
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

MAX_SAVES = 3  # begun by a writer before the random delay
LONGEST_DELAY = 0.003  # seconds from the last of these saves to the kill


class WrongFileError(Exception):
    """A file was accepted that no writer has written completely."""


def server_count(generation: int) -> int:
    """Return how many servers a generation holds."""
    return 20 + generation % 30


def write_until_killed(folder: str, progress: int) -> None:
    """Write one generation after another, each with its number in many fields.

    A byte is written to the descriptor `progress` before each save.
    """
    disk = DiskFolder(folder)
    disk.lock()
    number = max(store.list_generations(disk), default=0)
    while True:
        number += 1
        content = snapshot(number, servers=server_count(number))
        os.write(progress, b".")
        store.save(disk, file_format.encode(content), number)


def run_and_kill_writer(folder: str, saves: int, delay: float) -> None:
    """Start a writer process, and kill it `delay` seconds after it has begun `saves` saves."""
    progress, progress_writer = os.pipe()
    child = os.fork()
    if not child:
        write_until_killed(folder, progress_writer)
    os.close(progress_writer)
    for _ in range(saves):
        if not os.read(progress, 1):
            raise RuntimeError("the writer ended by itself")
    time.sleep(delay)
    os.kill(child, signal.SIGKILL)
    os.waitpid(child, 0)
    os.close(progress)


def check(found: Snapshot, generation: int, previous_generation: int) -> None:
    """Raise WrongFileError if the snapshot is of another generation or older than the previous."""
    numbers = {server.misses for server in found.servers}
    numbers |= {server.answers for server in found.servers}
    numbers.add(found.head.list_version)
    if numbers != {generation} or len(found.servers) != server_count(generation):
        raise WrongFileError(f"generation {generation} holds {numbers}")
    if generation < previous_generation:
        raise WrongFileError(
            f"generation {generation} is older than {previous_generation}, the previous one"
        )


def recover(folder: str, previous_generation: int) -> int:
    """Check the latest generation in the folder; return its number, or the previous if none."""
    invalid: list[tuple[str, object]] = []

    def on_invalid_file(name: str, error: object) -> None:
        invalid.append((name, error))

    found, generation = store.load(DiskFolder(folder), "n0", on_invalid_file)
    if invalid or (found is None and generation):
        raise WrongFileError(f"generation {generation}: {invalid}")
    if found is None:
        return previous_generation
    check(found, generation, previous_generation)
    return generation


def main(kills: int, seed: int) -> int:
    """Kill `kills` writers, one after another; return the exit code."""
    chance = random.Random(seed)
    generation = 0
    with tempfile.TemporaryDirectory() as folder:
        for turn in range(kills):
            saves = chance.randint(1, MAX_SAVES)
            run_and_kill_writer(folder, saves, chance.uniform(0, LONGEST_DELAY))
            try:
                generation = recover(folder, generation)
            except WrongFileError as error:
                print(f"turn {turn}: {error}")
                return 1
    print(f"kills={kills} generations={generation}")
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
