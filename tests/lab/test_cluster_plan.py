"""Plans of the cluster lab."""

import pytest

from cypresswalk.lab.cluster.plan import read as read_plan
from cypresswalk.refusal import CommandError


def test_a_plan_with_releases_and_no_agents_is_refused(tmp_path):
    file = tmp_path / "plan.toml"
    file.write_text(
        '[[step]]\nat_s = 1\ndo = "release"\n[[step]]\nat_s = 2\ndo = "release"\nbuild = "odd"\n'
    )
    with pytest.raises(CommandError) as refusal:
        read_plan(str(file))
    assert "build" in str(refusal.value)
    file.write_text('[[step]]\nat_s = 1\ndo = "drain"\nwho = "n1"\n')
    with pytest.raises(CommandError) as refusal:
        read_plan(str(file))
    assert "drain needs agents = true" in str(refusal.value)
