"""Paths of folders that tests read from or run commands in."""

from pathlib import Path

TESTS = Path(__file__).parent
ROOT = TESTS.parent
