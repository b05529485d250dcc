"""Versions of a program for releases, each good or with one defect."""

import shutil
from pathlib import Path

from cypresswalk.lab.cluster.plan import Build
from cypresswalk.lab.cluster.testbed.server_process import BUILD_FILE

FIRST_VERSION = "v0"

PATCH_HEAD = """

from cypresswalk.net.core import Core
from cypresswalk.net.ports import Extensions
from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY
"""
# Code that is appended to the balancer's own to make a defective build.
PATCHES = {
    Build.REJECTS: """
Core.place = lambda self, now, session: self.end_session(now, session, BUSY_REPLY)
""",
    Build.ABORTS: """
place = Core.place
Core.place = lambda self, now, session: (
    self.end_session(now, session, ERROR_REPLY)
    if session.flow.id % 10 == 0
    else place(self, now, session)
)
""",
    Build.SLOW: """
place = Core.place
Core.place = lambda self, now, session: self.timers.schedule(
    now + 30_000_000, lambda at, s: s.finished or place(self, at, s), session
)
""",
    Build.CRASHES: """
import os, threading
threading.Timer(10, os._exit, (1,)).start()
""",
    Build.NEVER_READY: """
Extensions.may_place_flows = lambda self: False
""",
    Build.CANNOT_READ_SETTINGS: """
from cypresswalk.fleet import shared_settings
shared_settings.objection = lambda own, settings: 'this build can not read them'
""",
}


def make_balancer_build(root: Path, tree: Path, version: str, build: Build) -> None:
    """Make a version of the balancer.

    Args:
        root: folder of all versions.
        tree: root folder of the program's source files.
        version: name of the new folder in `root`.
        build: good, or the defect of the version.
    """
    folder = root / version
    if build == Build.GOOD:
        folder.symlink_to(tree)
        return
    shutil.copytree(
        tree / "cypresswalk",
        folder / "cypresswalk",
        ignore=shutil.ignore_patterns("__pycache__"),
    )
    with open(folder / "cypresswalk/service/program.py", "a", encoding="utf-8") as file:
        file.write(PATCH_HEAD + PATCHES[build])


def make_server_build(root: Path, version: str, build: Build) -> None:
    """Make a version of the server process, which reads its defect from a file."""
    (root / version).mkdir()
    (root / version / BUILD_FILE).write_text(build)
