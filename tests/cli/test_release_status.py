"""The output of `fleet release status`."""

from typing import Any

import msgspec
from click.testing import CliRunner

from cypresswalk.cli.fleet.releases import show_status
from cypresswalk.rollout.release import Plan, Release


class FakeCaller:
    """A caller that answers like a fleet whose release has just begun."""

    def call(self, name: str) -> dict[str, Any]:
        """Return the state of the release, whatever the call."""
        plan = Plan("r1", "v1", "v2", [["n0"]], 1.0, 10, 3, 0.1, 2.0, 30.0)
        release = Release(plan, "op", 0, members={"n0": "old"})
        return {"release": msgspec.to_builtins(release), "halted": None, "waits": ""}


def test_release_status_prints_the_release_that_is_under_way():
    result = CliRunner().invoke(show_status, [], obj=FakeCaller())
    printed = result.output
    assert result.exit_code == 0, repr(result.exception)
    assert "release r1 by op: v1 -> v2, running" in printed and "n0 old" in printed
