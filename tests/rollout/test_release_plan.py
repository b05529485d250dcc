"""Reading release plans from files."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from release_model import ZONES

from cypresswalk.refusal import CommandError
from cypresswalk.rollout.plan import read_plan

NAME_AND_VERSIONS = 'name = "x"\nsince = "v1"\nto = "v2"\n'
INVALID_PLAN = """
name = "x"
since = "v1"
to = "v1"
waves = [["n0", "n9"], [], ["n0"]]
hold_s = -1
worse = 2
"""
PLAN_BY_ZONES = NAME_AND_VERSIONS + 'zones = ["z2"]\ncanary = 1\n'
PLAN_OF_SERVERS = NAME_AND_VERSIONS + 'kind = "servers"\nempty_s = 9\nwaves = [["s1"], ["n0"]]\n'

# Reads a plan from its text and the zones of servers; the balancers are those of `ZONES`.
PlanReader = Callable[[str, dict[str, str]], list[Any]]


@pytest.fixture
def read_text(tmp_path: Path) -> PlanReader:
    """Return a function that reads a plan from its text."""

    def read(text: str, servers: dict[str, str]) -> list[Any]:
        file = tmp_path / "plan.toml"
        file.write_text(text)
        return read_plan(str(file), ZONES, servers)

    return read


def test_each_error_of_a_plan_has_a_line(read_text):
    with pytest.raises(CommandError) as refusal:
        read_text(INVALID_PLAN, {})
    assert len(str(refusal.value).splitlines()) == 6, refusal.value


def test_waves_grow_zone_by_zone(read_text):
    waves = read_text(PLAN_BY_ZONES, {})[3]
    assert waves == [["n2"], ["n5"], ["n0", "n3"], ["n1", "n4"]]


def test_release_of_servers_names_servers(read_text):
    kind_and_drain_timeout = read_text(PLAN_OF_SERVERS, {"s1": "0", "n0": "1"})[-2:]
    assert kind_and_drain_timeout == ["servers", 9.0]


def test_release_of_servers_that_names_a_balancer_is_rejected(read_text):
    with pytest.raises(CommandError) as refusal:
        read_text(PLAN_OF_SERVERS, {"s1": "0"})
    assert "n0 is not listed; there are s1" in str(refusal.value)
