"""Runs mypy over the package and `benchmarks`: finished parts are clean, others gain no error.

The finished parts are the `files` of `[tool.mypy]` in pyproject.toml. `MAX_ERRORS` is what the
unfinished parts have; it is lowered with each change that finishes a part, and never raised.
"""

import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
CHECKED = ("cypresswalk", "benchmarks")
MAX_ERRORS = 0


def errors() -> list[str]:
    """The lines in which mypy names an error."""
    command = [sys.executable, "-m", "mypy", "--follow-imports", "normal", *CHECKED]
    run = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    if run.returncode not in (0, 1):
        sys.exit(f"mypy: {run.stdout}{run.stderr}")
    return [line for line in run.stdout.splitlines() if ": error: " in line]


def main() -> int:
    """Print what is wrong; 1 if anything is."""
    finished = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["mypy"]["files"]
    found = errors()
    of_finished = [line for line in found if line.startswith(tuple(finished))]
    print(f"mypy: {len(found)} errors, at most {MAX_ERRORS}; {len(of_finished)} in finished parts")
    print(*of_finished, sep="\n")
    return 1 if of_finished or len(found) > MAX_ERRORS else 0


if __name__ == "__main__":
    sys.exit(main())
