"""Tests of the validation of the cluster lab's plans."""

import pytest

from cypresswalk.lab.cluster.plan import read_plan
from cypresswalk.refusal import CommandError

UNKNOWN_BUILD = """
[[step]]
at_s = 1
do = "release"
[[step]]
at_s = 2
do = "release"
build = "odd"
"""
DRAIN_WITHOUT_AGENTS = """
[[step]]
at_s = 1
do = "drain"
who = "n1"
"""


@pytest.mark.parametrize(
    "text, message",
    [(UNKNOWN_BUILD, "build"), (DRAIN_WITHOUT_AGENTS, "drain needs agents = true")],
)
def test_invalid_steps_are_rejected(tmp_path, text, message):
    file = tmp_path / "plan.toml"
    file.write_text(text)
    with pytest.raises(CommandError) as raised:
        read_plan(str(file))
    assert message in str(raised.value)
