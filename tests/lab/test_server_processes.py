"""Releases of server processes: agents that start them, balancers that drain them."""

import asyncio
import time

from cypresswalk.lab.cluster.checkers.linearizability import CallOutcome
from cypresswalk.lab.cluster.plan import Action, Build, Plan, Step
from cypresswalk.lab.cluster.testbed.bed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.result import conclude
from cypresswalk.rollout.release import Phase


async def release_status(bed: ClusterTestBed) -> dict:
    """What the leader says of the release; empty if there is no answer or no release."""
    leader = await bed.calls.leader()
    answer = await bed.calls.call(leader, "release", timeout_s=2.0)
    return answer.body if answer.ok and answer.body["release"] else {}


async def wait_for_release(bed: ClusterTestBed, is_met, timeout_s: float = 60) -> dict:
    """Wait until the release's status meets a condition; return that status."""
    until = time.monotonic() + timeout_s
    body = {}
    while time.monotonic() < until:
        body = await release_status(bed)
        if body and is_met(body):
            return body
        await asyncio.sleep(0.1)
    raise AssertionError(body)


def is_done(body: dict) -> bool:
    """Whether the release is done."""
    return body["release"][3] == Phase.DONE


def running_versions(bed: ClusterTestBed) -> list[str]:
    """The version that each server runs, by its agent's word."""
    return [state.version for state in bed.server_members.agent_states()]


async def release_while_an_agent_dies(bed: ClusterTestBed) -> None:
    """Release a good build; the canary's agent is killed in the middle and started again.

    It goes on or rolls its server back; an operator resumes the release where that halted it.
    """
    step = Step(at_s=0, action=Action.RELEASE, hold_s=1, min_flows=5)
    assert await bed.releases.begin(step) == CallOutcome.YES
    await wait_for_release(bed, lambda body: body["release"][5]["s-0"] == "changing")
    bed.server_members.hosts["s-0"].kill_process()
    bed.server_members.start_agent("s-0")
    body = await wait_for_release(bed, lambda body: body["halted"] or is_done(body))
    if body["halted"]:
        await bed.releases.resume("n1")
        await wait_for_release(bed, is_done)
    assert running_versions(bed) == ["v1"] * 3
    bed.releases.current_version = "v1"


def test_release_changes_real_servers_and_a_bad_build_is_rolled_back(tmp_path):
    """Three servers, of which one may be out, at three balancers under load."""

    async def run():
        plan = Plan(
            balancers=3,
            servers=3,
            flows_per_s=80,
            server_agents=True,
            max_unavailable_servers=1,
        )
        bed = ClusterTestBed(plan, tmp_path / "rig")
        try:
            await bed.start()
            await bed.agree_on_bounds(await bed.convergence.wait())
            bed.clients.start()
            await release_while_an_agent_dies(bed)
            step = Step(at_s=0, action=Action.RELEASE, build=Build.ABORTS, hold_s=30, min_flows=5)
            assert await bed.releases.begin(step) == CallOutcome.YES
            body = await wait_for_release(bed, lambda body: body["halted"])
            assert "s-0 failed or rejected" in body["halted"][2], body["halted"]
            report = (await conclude(bed)).to_json()  # which rolls it back
            assert not report["broken"], report
            assert report["ended"] == Phase.ROLLED_BACK, report
            assert report["most_out"] == 1, report
            assert running_versions(bed) == ["v1"] * 3
            assert report["answers"]["UP"] > 500, report
        finally:
            await bed.stop()

    asyncio.run(run())
