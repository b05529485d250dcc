"""Forks writers of generations and kills each at a random moment; what is left must be readable and whole. Prints how many
were killed, and the generations left; exits with 1 at the first file that is accepted yet wrong."""

import os
import random
import signal
import sys
import tempfile
import time

from test_state import make

from cypresswalk.state import file_format, store
from cypresswalk.state.disk import DiskFolder


def write_for_ever(folder: str, seed: int) -> None:
    disk = DiskFolder(folder)
    disk.lock()
    number = max(store.generations(disk), default=0)
    while True:
        number += 1
        # Each generation says its own number in every place: a mix of two would show.
        store.save(disk, file_format.encode(make(number, servers=20 + number % 30)), number)


def main(kills: int, seed: int) -> int:
    chance, left = random.Random(seed), 0
    with tempfile.TemporaryDirectory() as folder:
        for turn in range(kills):
            child = os.fork()
            if not child:
                write_for_ever(folder, turn)
            time.sleep(chance.uniform(0.0005, 0.006))
            os.kill(child, signal.SIGKILL)
            os.waitpid(child, 0)
            odd = []
            kept, latest = store.load(
                DiskFolder(folder), "n0", lambda name, why: odd.append((name, why))
            )
            if odd or kept is None and latest:
                print(f"turn {turn}: generation {latest}: {odd}")
                return 1
            if kept is not None:
                said = (
                    {s.misses for s in kept.servers}
                    | {s.answers for s in kept.servers}
                    | {kept.head.list_version}
                )
                if said != {latest} or len(kept.servers) != 20 + latest % 30 or latest < left:
                    print(f"turn {turn}: generation {latest} holds {said}, {left} stood before")
                    return 1
                left = latest
    print(f"kills={kills} generations={left}")
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
