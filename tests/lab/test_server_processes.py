"""Tests of releases of server processes, which agents start and balancers drain."""

import asyncio
import time

from helpers import present

from cypresswalk.lab.cluster.checkers.linearizability import CallOutcome
from cypresswalk.lab.cluster.plan import Action, Build, Plan, Step
from cypresswalk.lab.cluster.testbed.cluster_testbed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.rollout.release import Phase


async def release_status(testbed: ClusterTestBed) -> dict:
    """Return the leader's status of the release; empty if there is no answer or no release."""
    leader = await testbed.calls.leader()
    answer = await testbed.calls.call(leader, "release", timeout_s=2.0)
    return answer.body if answer.ok and answer.body["release"] else {}


async def wait_for_release(testbed: ClusterTestBed, is_met, timeout_s: float = 60) -> dict:
    """Wait until the release's status meets a condition, and return that status."""
    until = time.monotonic() + timeout_s
    body = {}
    while time.monotonic() < until:
        body = await release_status(testbed)
        if body and is_met(body):
            return body
        await asyncio.sleep(0.1)
    raise AssertionError(body)


def is_done(body: dict) -> bool:
    """Return whether the release is done."""
    return body["release"][3] == Phase.DONE


def running_versions(testbed: ClusterTestBed) -> list[str]:
    """Return the version that each server runs according to its agent."""
    return [state.version for state in present(testbed.server_members).agent_states()]


async def release_while_an_agent_dies(testbed: ClusterTestBed) -> None:
    """Release a good build, and kill and restart the canary's agent during the change.

    The agent continues or rolls its server back. If that halts the release, resume it.
    """
    step = Step(at_s=0, action=Action.RELEASE, hold_s=1, min_flows=5)
    assert await present(testbed.releases).begin(step) == CallOutcome.YES
    await wait_for_release(testbed, lambda body: body["release"][5]["s-0"] == "changing")
    present(testbed.server_members).hosts["s-0"].kill_process()
    present(testbed.server_members).start_agent("s-0")
    body = await wait_for_release(testbed, lambda body: body["halted"] or is_done(body))
    if body["halted"]:
        await present(testbed.releases).resume("n1")
        await wait_for_release(testbed, is_done)
    assert running_versions(testbed) == ["v1"] * 3
    present(testbed.releases).current_version = "v1"


def test_release_changes_real_servers_and_a_bad_build_is_rolled_back(tmp_path):
    """Three servers, of which one may be out, receive load through three balancers."""

    async def run():
        plan = Plan(
            balancers=3,
            servers=3,
            flows_per_s=80,
            server_agents=True,
            max_unavailable_servers=1,
        )
        testbed = ClusterTestBed(plan, tmp_path / "rig")
        try:
            await testbed.start()
            await testbed.agree_on_bounds(present(await testbed.convergence.wait()))
            testbed.clients.start()
            await release_while_an_agent_dies(testbed)
            step = Step(at_s=0, action=Action.RELEASE, build=Build.ABORTS, hold_s=30, min_flows=5)
            assert await present(testbed.releases).begin(step) == CallOutcome.YES
            body = await wait_for_release(testbed, lambda body: body["halted"])
            assert "s-0 failed or rejected" in body["halted"][2], body["halted"]
            report = (await conclude(testbed)).to_json()  # also rolls the release back
            assert not report["broken"], report
            assert report["ended"] == Phase.ROLLED_BACK, report
            assert report["most_out"] == 1, report
            assert running_versions(testbed) == ["v1"] * 3
            assert report["answers"]["UP"] > 500, report
        finally:
            await testbed.stop()

    asyncio.run(run())
