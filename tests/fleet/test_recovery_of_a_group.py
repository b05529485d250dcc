"""`cypresswalk fleet recover`: a new group from what one member has on disk."""

from pathlib import Path

import pytest

from cypresswalk.fleet.recovery import recover
from cypresswalk.refusal import CommandError
from cypresswalk.state.disk import DiskFolder


@pytest.mark.parametrize("content", [None, b"no log at all"])
def test_folder_that_holds_nothing_readable_is_free_again_after_the_refusal(
    tmp_path: Path, content: bytes | None
):
    # Found by reading: `recover` kept the lock of a folder whose log it could not read.
    folder = tmp_path / "kept"
    folder.mkdir()
    if content is not None:
        (folder / "log.1").write_bytes(content)
    with pytest.raises(CommandError):
        recover(str(folder), "fleet", "n0", "ops")
    other = DiskFolder(str(folder))
    other.lock()
    other.unlock()
