"""Tests of `cypresswalk fleet recover`, which creates a new group from one member's disk."""

from pathlib import Path

import pytest

from cypresswalk.fleet.recovery import recover
from cypresswalk.refusal import CommandError
from cypresswalk.state.disk import DiskFolder


@pytest.mark.parametrize("content", [None, b"no log at all"])
def test_folder_without_a_readable_log_is_unlocked_after_the_error(
    tmp_path: Path, content: bytes | None
):
    # `recover` kept the lock of a folder whose log it could not read. Found by reading the code.
    folder = tmp_path / "kept"
    folder.mkdir()
    if content is not None:
        (folder / "log.1").write_bytes(content)
    with pytest.raises(CommandError):
        recover(str(folder), "fleet", "n0", "ops")
    other = DiskFolder(str(folder))
    other.lock()
    other.unlock()
