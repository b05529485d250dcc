"""The program's source of a variant: this checkout or an earlier revision."""

import shutil
import subprocess
import tarfile
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from io import BytesIO
from pathlib import Path

from cypresswalk.lab.balancers import ROOT
from cypresswalk.lab.experiment import Variant
from cypresswalk.refusal import CommandError


@contextmanager
def source_tree(variant: Variant) -> Iterator[Path]:
    """Provide the folder of a variant's source; remove a temporary folder at the end.

    Raises:
        CommandError: git can't export the revision.
    """
    if not variant.revision:
        yield ROOT
        return
    archive = export_revision(variant)
    folder = Path(tempfile.mkdtemp(prefix="cypresswalk-revision-"))
    try:
        with tarfile.open(fileobj=BytesIO(archive)) as files:
            files.extractall(folder, filter="data")
        yield folder
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def export_revision(variant: Variant) -> bytes:
    """Return a variant's revision as a tar archive."""
    command = ["git", "archive", "--format=tar", variant.revision, "--", "cypresswalk"]
    try:
        return subprocess.run(command, cwd=ROOT, capture_output=True, check=True).stdout
    except (OSError, subprocess.CalledProcessError) as error:
        stderr = getattr(error, "stderr", b"").decode(errors="replace").strip().splitlines()
        reason = stderr[0] if stderr else error
        message = f"variant {variant.name}: revision {variant.revision!r}: {reason}"
        raise CommandError(message) from None
