"""Queued flows and their deadlines."""

from helpers import SimulatedHost, present

from cypresswalk.net.limits import MILLISECOND


def test_queued_flow_is_answered_by_its_deadline_when_that_is_shortened():
    # Its original due time may be after the end of a shutdown.
    host = SimulatedHost(1)
    flows = [host.arrive() for _ in range(5)]
    queued = [flow for flow in flows if flow.server is None]
    assert len(queued) == 1  # it waits for the four attempts in progress
    (flow,) = queued
    assert flow.id in host.open
    flow.deadline = host.now + 50 * MILLISECOND
    host.carry_out_decisions()
    wakeup_at = present(host.wakeup_at)
    assert wakeup_at <= flow.deadline
    host.now = wakeup_at
    host.balancer.on_wakeup(host.now)
    host.carry_out_decisions()
    assert host.answers[flow.id] == "reject"
