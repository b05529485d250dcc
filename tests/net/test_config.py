"""The configuration, and the limits that are derived from it."""

import json

import pytest
from helpers import config_data

from cypresswalk.model import SECOND
from cypresswalk.net.config import build, load
from cypresswalk.net.errors import ConfigError
from cypresswalk.net.limits import LIST_RETRY_JITTER, MILLISECOND, Limits


def test_unusable_configuration_is_refused_with_the_reason(tmp_path):
    file = tmp_path / "config.json"
    for text, message in [
        ("{", "PROXY_CONFIG"),
        ("[]", "not an object"),
        ("{}", "'settings' is missing"),
        (json.dumps(config_data(listen="here")), "listen"),
        (json.dumps(config_data(azs=None)), "PROXY_CONFIG"),
        (json.dumps(config_data(rules={})), "is missing"),
    ]:
        file.write_text(text)
        with pytest.raises(ConfigError, match=message):
            load({"PROXY_CONFIG": str(file)})
    with pytest.raises(ConfigError, match="not set"):
        load({})


def limits_of(sockets: int, memory_mb: int) -> Limits:
    """Return the limits of a balancer with this number of descriptors and this much memory."""
    return Limits(
        max_sockets=sockets,
        max_memory=memory_mb << 20,
        dial_timeout=SECOND,
        longest_connect_timeout=SECOND,
        min_reported_delay=1,
    )


@pytest.mark.parametrize("sockets", [256, 588, 1024])
def test_limits_leave_descriptors_for_everything_that_may_be_open_at_once(sockets):
    limits = limits_of(sockets, memory_mb=192)
    # A third of the descriptors is for clients' connections, a third for connections to servers,
    # and the rest for everything else.
    assert limits.max_flows >= sockets // 3
    usual = 2 * limits.max_flows + limits.max_unopened_clients + limits.max_idle_health_checks
    assert usual + 10 <= sockets
    rare = limits.max_lingering_connections + limits.max_running_health_checks
    assert usual + rare + limits.fixed_sockets <= sockets


def test_flows_are_rejected_before_the_memory_is_used_up():
    # Otherwise the system would kill the process.
    limits = limits_of(1024, memory_mb=32)
    assert limits.max_flows * limits.flow_memory + limits.program_memory <= limits.max_memory
    assert limits.max_flows > 150


@pytest.mark.parametrize("grace_ms", [400, 750, 1500, 3000])
def test_pause_between_calls_for_a_pushed_list_fits_into_the_grace_of_a_drain(grace_ms):
    # With a grace of 0.75 s, flows went to draining servers for up to 1.1 s after discovery had
    # returned, since it returned during a pause of up to 1.3 s.
    rules = config_data()["settings"]["rules"] | {"drainGrace": float(grace_ms)}
    pushed = build({}, config_data(rules=rules, discovery="pushed")).limits
    held_up = 150 * MILLISECOND  # the longest time for which the grace has to cover the process
    pause = pushed.max_list_retry_pause * (1 + LIST_RETRY_JITTER)
    assert pause + held_up < grace_ms * MILLISECOND
    polled = build({}, config_data(rules=rules, discovery="on_request")).limits
    assert polled.max_list_retry_pause == SECOND
