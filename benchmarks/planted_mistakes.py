"""Finds out which mistakes, planted in copies of the balancer, the soak test detects.

    python benchmarks/planted_mistakes.py [--seeds A-B] [--jobs N] [--out DIR] [MISTAKE ...]

For each mistake, the source is copied and one or two of its lines are replaced. The copy's
`cypresswalk lab soak` then plays seeds, a batch of `--jobs` at a time, until one of them has a
finding. Prints a Markdown table with, for each mistake, the seeds that found it, how many were
played, and the first finding. The mistake `none` changes nothing.
Results: docs/results.md.
"""

import argparse
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[1]
COPIED = ("cypresswalk",)


@dataclass(frozen=True, slots=True)
class Replacement:
    """A text of a source file, which occurs there once, and the text that replaces it."""

    path: str
    before: str
    after: str


CORE = "cypresswalk/net/core.py"
MISTAKES: dict[str, list[Replacement]] = {
    "none": [],
    "answer lost at SIGTERM": [
        Replacement(
            CORE,
            "        self.drivers.send_reply(session, reply)\n",
            "        if self.lifecycle.phase is not Phase.LEAVING:\n"
            "            self.drivers.send_reply(session, reply)\n",
        )
    ],
    "SIGHUP lost beside SIGTERM": [
        Replacement(
            "cypresswalk/service/program.py",
            "        self.reloads += 1\n",
            "        if self.core.lifecycle.answer_deadline is not None:\n"
            "            return\n"
            "        self.reloads += 1\n",
        )
    ],
    "server used after its drain": [
        Replacement(
            "cypresswalk/decisions/endpoints.py",
            "        server.state = entry.state\n",
            "        if entry.state is not ServerState.DRAINING:\n"
            "            server.state = entry.state\n",
        )
    ],
    "list unheard for 7 s": [
        Replacement(
            "cypresswalk/net/limits.py",
            "    list_silence_timeout: int = 2 * LIST_HEARTBEAT_INTERVAL + 400 * MILLISECOND\n",
            "    list_silence_timeout: int = 7 * SECOND\n",
        )
    ],
    "attempt for a client that left": [
        Replacement(
            CORE,
            "        if session.finished:\n            return\n        session.finished = True\n"
            "        if session.attempt is not None and not",
            "        if session.finished or session.has_flow and not session.established:\n"
            "            return\n        session.finished = True\n"
            "        if session.attempt is not None and not",
        ),
        Replacement(
            "cypresswalk/net/servers.py",
            "        if self._dropped or self._client_has_ended():\n",
            "        if self._dropped:\n",
        ),
        Replacement(
            "cypresswalk/net/servers.py",
            "        if self._client_has_ended():\n            return False\n"
            "        with self._send_lock",
            "        with self._send_lock",
        ),
    ],
    "effect twice after a time-out": [
        Replacement(
            "cypresswalk/decisions/retries.py",
            "    if is_last or flow.service_type.effect is not Effect.IDEMPOTENT:\n",
            "    if is_last:\n",
        ),
        Replacement(
            "cypresswalk/decisions/retries.py",
            "    if flow.may_have_run_on is None or flow.service_type",
            "    if True or flow.service_type",
        ),
    ],
    "warm-up budget of each balancer's own": [
        Replacement(
            "cypresswalk/decisions/slow_start.py",
            "            completed.read(now)\n",
            "            self.settings.instances * completed.read(now)\n",
        )
    ],
    "descriptor leaked a flow": [
        Replacement(
            "cypresswalk/net/servers.py",
            "            link.reader_done.set()\n            link.close()\n",
            "            link.reader_done.set()\n            link.shutdown(socket.SHUT_RDWR)\n"
            "            LEAKED.append(link)\n",
        ),
        Replacement(
            "cypresswalk/net/servers.py",
            "import socket\n",
            "import socket\n\nLEAKED: list = []\n",
        ),
    ],
    "client cut off without MOVE": [
        Replacement(
            "cypresswalk/net/relay.py",
            '            self._send_to_client(b"MOVE\\r\\n")\n',
            "            pass\n",
        )
    ],
    "second answer": [
        Replacement(
            CORE,
            "        self.drivers.send_reply(session, reply)\n",
            "        self.drivers.send_reply(session, reply * 2)\n",
        )
    ],
}


def copy_with_mistake(folder: Path, replacements: list[Replacement]) -> None:
    """Copy the source into a folder and replace texts in it.

    Raises:
        ValueError: A text does not occur exactly once.
    """
    for name in COPIED:
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    for replacement in replacements:
        path = folder / replacement.path
        text = path.read_text()
        if text.count(replacement.before) != 1:
            raise ValueError(f"{replacement.path}: not exactly once: {replacement.before!r}")
        path.write_text(text.replace(replacement.before, replacement.after))


def play_batch(source: Path, seeds: range, out: Path) -> list[str]:
    """Play seeds in parallel with a copy of the program; return the lines of their findings."""
    command = [sys.executable, "-m", "cypresswalk", "lab", "soak", "--jobs", str(len(seeds))]
    options = ["--seeds", f"{seeds[0]}-{seeds[-1]}", "--out", str(out)]
    done = subprocess.run(
        [*command, *options], cwd=source, stdout=subprocess.PIPE, text=True, check=False
    )
    if done.returncode not in (0, 1, 3):
        raise RuntimeError(f"{' '.join(command)} ended with exit code {done.returncode}")
    return [line for line in done.stdout.splitlines() if line.startswith("seed ")]


def find(mistake: str, seeds: range, jobs: int, out: Path) -> str:
    """Play seeds until one finds the mistake; return a row of the table."""
    with tempfile.TemporaryDirectory() as folder:
        source = Path(folder)
        copy_with_mistake(source, MISTAKES[mistake])
        for first in range(seeds[0], seeds[-1] + 1, jobs):
            batch = range(first, min(first + jobs, seeds[-1] + 1))
            lines = play_batch(source, batch, out / mistake.replace(" ", "-"))
            if lines:
                found_by = ", ".join(dict.fromkeys(line.split()[1][:-1] for line in lines))
                played = f"{seeds[0]} to {batch[-1]}"
                return f"| {mistake} | {found_by} | {played} | {lines[0][:160]} |"
    return f"| {mistake} | none | {seeds[0]} to {seeds[-1]} | |"


def main() -> None:
    """Parse the arguments, play the mistakes and print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("mistakes", nargs="*", metavar="MISTAKE", default=[])
    parser.add_argument("--seeds", default="1-50", help="a range A-B")
    parser.add_argument("--jobs", type=int, default=3, help="seeds in parallel")
    parser.add_argument("--out", type=Path, default=Path("lab-out/planted"))
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    unknown = sorted(set(arguments.mistakes) - set(MISTAKES))
    if unknown:
        parser.error(f"unknown: {', '.join(unknown)}; known: {', '.join(MISTAKES)}")
    print("| planted | found by seeds | played | first finding |\n| --- | --- | --- | --- |")
    for mistake in arguments.mistakes or MISTAKES:
        seeds = range(int(first), int(last or first) + 1)
        print(find(mistake, seeds, arguments.jobs, arguments.out.absolute()), flush=True)


if __name__ == "__main__":
    main()
