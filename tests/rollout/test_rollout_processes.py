"""Drains and releases of real processes, started by agents from builds in folders."""

import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cluster_helpers import Operator, history_contains, poll, with_cluster
from paths import ROOT

from cypresswalk.lab.cluster.checkers.linearizability import CallOutcome
from cypresswalk.lab.cluster.plan import Action, Build, Step
from cypresswalk.lab.cluster.plan import Plan as ClusterPlan
from cypresswalk.lab.cluster.testbed.cluster_testbed import ClusterTestBed
from cypresswalk.lab.cluster.testbed.result import conclude

BALANCERS = 5
ONE_OUT = {"balancers": {"all": 1}, "servers": {"all": 1}}
# Time after which a killed balancer's lease has expired and the leader counts it as lost.
LOST_AFTER_S = 2.5
CALL_TIMEOUT_S = 10
SERVER_READY_TIMEOUT_S = 15
TIMED_OUT = "did not answer in time"
NOT_SEEN_READY = "s-0 (not seen ready again)"

Check = Callable[[Operator, ClusterTestBed], Any]


def with_bounded_cluster(tmp_path: Path, check: Check) -> None:
    """Run a check on five balancers and five servers, with one of each kind allowed to be out."""

    async def test(testbed: ClusterTestBed) -> None:
        operator = Operator(testbed)
        await operator.set_bounds(ONE_OUT)
        await operator.wait_until_no_member_is_out()
        await check(operator, testbed)

    with_cluster(tmp_path, test, balancers=BALANCERS, flows_per_s=0)


async def set_down_with_retries(operator: Operator, name: str, server: str) -> str:
    """Take a server out; retry while a new leader lacks server reports of most balancers."""
    return await poll(
        lambda: operator.call(name, f"set-down {server}"),
        lambda answer: TIMED_OUT not in answer,
        CALL_TIMEOUT_S,
    )


def test_one_of_two_concurrent_drains_is_granted_and_survives_a_restart(tmp_path):
    async def check(operator: Operator, testbed: ClusterTestBed) -> None:
        answers = await asyncio.gather(
            operator.call("n3", "drain-on"), operator.call("n4", "drain-on")
        )
        assert sorted(answer[:3] for answer in answers) == ["ERR", "OK"], answers
        rejection = next(answer for answer in answers if answer != "OK")
        assert "1 of 5 are out and 1 may be" in rejection
        assert "drained" in rejection
        drained = "n3" if answers[0] == "OK" else "n4"
        assert await operator.ping(drained) == "ERR"
        assert (await operator.call("n1", "drain-on")).startswith("ERR not granted")
        assert await operator.call(drained, "drain-on") == "OK"  # already out
        testbed.balancers[drained].kill()
        testbed.balancers[drained].start()
        assert await testbed.convergence.wait() is not None
        assert await operator.ping(drained) == "ERR"
        assert (await operator.call("n1", "drain-on")).startswith("ERR not granted")
        assert await operator.call(drained, "drain-off") == "OK"
        await operator.wait_until_no_member_is_out()

    with_bounded_cluster(tmp_path, check)


def test_lost_balancer_counts_against_the_bound_and_a_forced_drain_exceeds_it(tmp_path):
    async def check(operator: Operator, testbed: ClusterTestBed) -> None:
        testbed.balancers["n4"].kill()
        await asyncio.sleep(LOST_AFTER_S)
        rejection = await operator.call("n3", "drain-on")
        assert rejection.startswith("ERR not granted")
        assert "n4 (not heard)" in rejection
        assert await operator.call("n3", "drain-on-here") == "OK"
        assert await operator.ping("n3") == "ERR"

        # The balancer answers before the fleet has recorded the drain, which it may do later.
        async def is_recorded() -> bool:
            return await history_contains(testbed, "n0", "by force", "n3")

        assert await poll(is_recorded, bool, CALL_TIMEOUT_S)
        assert await operator.call("n3", "drain-off") == "OK"

    with_bounded_cluster(tmp_path, check)


def test_server_that_returns_counts_as_out_until_it_is_seen_ready(tmp_path):
    async def check(operator: Operator, testbed: ClusterTestBed) -> None:
        assert await set_down_with_retries(operator, "n1", "s-0") == "OK"
        assert "1 of 4 are out and 1 may be: s-0" in await operator.call("n2", "set-down s-1")
        assert await operator.call("n2", "set-up s-0") == "OK"
        assert NOT_SEEN_READY in await operator.call("n2", "set-down s-1")
        end = time.monotonic() + SERVER_READY_TIMEOUT_S
        while (answer := await operator.call("n2", "set-down s-1")) != "OK":
            assert NOT_SEEN_READY in answer or TIMED_OUT in answer, answer
            assert time.monotonic() < end, answer
        assert await operator.call("n2", "set-up s-1") == "OK"

    with_bounded_cluster(tmp_path, check)


def test_halt_blocks_drains_under_a_new_leader_until_the_last_halt_is_resumed(tmp_path):
    async def check(operator: Operator, testbed: ClusterTestBed) -> None:
        halts = await asyncio.gather(
            testbed.calls.command("n1", "halt", why="look at n4"),
            testbed.calls.command("n3", "halt", why="me too"),
        )
        assert [answer.ok for answer in halts] == [True, True]
        assert halts[0].body["why"] == halts[1].body["why"]
        testbed.balancers[await testbed.calls.leader()].kill()
        other = next(name for name in ("n3", "n4") if testbed.balancers[name].process is not None)

        async def rejected_drain() -> str:
            answer = await operator.call(other, "drain-on")
            assert answer.startswith("ERR"), answer
            return answer

        rejection = await poll(rejected_drain, lambda text: "halted by" in text, CALL_TIMEOUT_S)
        assert "halted by rig: " in rejection
        assert "halted by" in await operator.call(other, "set-down s-2")
        count = (await testbed.calls.call(other, "status")).body["halts"]
        # A resume that only covers the first halt is rejected.
        early = await testbed.calls.command(other, "resume", halts=count - 1)
        assert early.outcome is CallOutcome.NO
        assert (await testbed.calls.command(other, "resume", halts=count)).ok
        await operator.heal()

    with_bounded_cluster(tmp_path, check)


def test_isolated_balancer_is_not_drained_and_keeps_serving(tmp_path):
    async def check(operator: Operator, testbed: ClusterTestBed) -> None:
        await testbed.player.do(Step(at_s=0, action=Action.ISOLATE, balancer="n2"))
        rejection = await operator.call("n2", "drain-on")
        assert rejection.startswith("ERR not granted: the fleet did not answer")
        assert await operator.ping("n2") == "PONG"

    with_bounded_cluster(tmp_path, check)


class ReleasedCluster:
    """Four balancers with agents, of which two may be out, during a release.

    The cluster reports a release as a list of fields; `PHASE`, `WAVE` and `MEMBERS` are indexes.
    """

    PHASE = 3
    WAVE = 4
    MEMBERS = 5
    MAX_OUT = 2
    PHASE_TIMEOUT_S = 70
    CHANGE_TIMEOUT_S = 40

    def __init__(self, folder: Path) -> None:
        """Prepare the cluster without starting it."""
        plan = ClusterPlan(
            balancers=4,
            zones=2,
            flows_per_s=120,
            balancer_agents=True,
            max_unavailable_balancers=ReleasedCluster.MAX_OUT,
        )
        self.testbed = ClusterTestBed(plan, folder)

    async def start(self) -> None:
        """Start all processes, agree on the bound, and start the clients."""
        await self.testbed.start()
        status = await self.testbed.convergence.wait()
        assert status is not None
        await self.testbed.agree_on_bounds(status)
        self.testbed.clients.start()

    async def status(self) -> dict[str, Any]:
        """Return the leader's status of the release, or an empty dict if it reports none."""
        calls = self.testbed.calls
        answer = await calls.call(await calls.leader(), "release", timeout_s=2.0)
        return answer.body if answer.ok and answer.body["release"] else {}

    async def checked_status(self) -> dict[str, Any]:
        """Return `status`, after asserting that no more members are out than the bound allows."""
        body = await self.status()
        if body:
            statuses = body["release"][self.MEMBERS].values()
            out = [status for status in statuses if status in ("out", "changing")]
            assert len(out) <= self.MAX_OUT, body
        return body

    async def wait_for_phase(self, phase: str, halted: bool = False) -> dict[str, Any]:
        """Wait for a phase, halted or not; return the leader's status then."""

        def is_met(body: dict[str, Any]) -> bool:
            if not body:
                return False
            return body["release"][self.PHASE] == phase and bool(body["halted"]) is halted

        body = await poll(self.checked_status, is_met, self.PHASE_TIMEOUT_S)
        agents = [host.agent_state() for host in self.testbed.balancers.values()]
        assert is_met(body), (phase, body, agents)
        return body

    async def wait_until(self, is_met: Callable[[list[Any]], bool]) -> None:
        """Wait until the release meets the condition."""

        def is_reported(body: dict[str, Any]) -> bool:
            return bool(body) and is_met(body["release"])

        body = await poll(self.status, is_reported, self.CHANGE_TIMEOUT_S)
        assert is_reported(body), body

    async def wait_until_saved(self, name: str) -> None:
        """Wait until an agent has saved its change; one that dies before that reports a failure."""
        end = time.monotonic() + self.CHANGE_TIMEOUT_S
        host = self.testbed.balancers[name]
        while not host.agent_state().target_version:
            assert time.monotonic() < end, host.agent_state()
            await asyncio.sleep(0.01)

    def versions(self) -> list[str]:
        """Return the version that each balancer runs, according to its agent."""
        hosts = self.testbed.balancers
        return [hosts[name].agent_state().version for name in self.testbed.names]

    async def boots(self) -> dict[str, int]:
        """Return how often each balancer has started."""
        calls = self.testbed.calls
        return {name: (await calls.call(name, "local")).body["boot"] for name in self.testbed.names}


async def release_good_build(cluster: ReleasedCluster) -> None:
    """Release a good build while an agent and a leader die."""
    testbed = cluster.testbed
    assert testbed.releases is not None  # the plan has agents
    step = Step(at_s=0, action=Action.RELEASE)
    assert await testbed.releases.begin(step) is CallOutcome.YES
    # An agent dies in the middle of a change, and the next one continues it.
    await cluster.wait_until(lambda release: release[cluster.MEMBERS]["n0"] == "changing")
    await cluster.wait_until_saved("n0")
    testbed.balancers["n0"].kill_agent()
    testbed.balancers["n0"].start()
    plan = ["other", "v0", "v9", [["n1"]], 1.0, 1, 1.0, 0.1, 2.0, 9.0]
    answer = await testbed.calls.command("n1", "release_begin", plan=plan)
    assert answer.outcome is CallOutcome.NO
    assert "r1 by rig is running" in answer.body["why"]
    # The leader dies in the second wave, and its agent restarts it.
    await cluster.wait_until(lambda release: release[cluster.WAVE] == 1)
    leader = await testbed.calls.leader()
    testbed.balancers[leader].kill_balancer()
    await cluster.wait_for_phase("done")
    assert cluster.versions() == ["v1"] * 4
    assert await testbed.convergence.wait() is not None
    expected = {name: 3 if name == leader else 2 for name in testbed.names}
    assert await cluster.boots() == expected, leader


async def release_rejecting_build(cluster: ReleasedCluster) -> None:
    """Release a build that reports that it is ready and rejects every flow."""
    testbed = cluster.testbed
    assert testbed.releases is not None  # the plan has agents
    testbed.releases.current_version = "v1"
    step = Step(at_s=0, action=Action.RELEASE, build=Build.REJECTS)
    assert await testbed.releases.begin(step) is CallOutcome.YES
    body = await cluster.wait_for_phase("running", halted=True)
    assert "n0 failed or rejected" in body["halted"][2], body
    assert body["release"][cluster.WAVE] == 0, body
    assert cluster.versions() == ["v2", "v1", "v1", "v1"]
    answer = await testbed.calls.command("n2", "release_back", release="r0")
    assert answer.outcome is CallOutcome.NO


def test_good_release_of_processes_is_done_and_a_bad_one_is_rolled_back(tmp_path):
    async def run() -> None:
        cluster = ReleasedCluster(tmp_path / "rig")
        try:
            await cluster.start()
            await release_good_build(cluster)
            await release_rejecting_build(cluster)
            # `conclude` rolls the release back, as an operator would.
            report = (await conclude(cluster.testbed)).to_json()
            assert not report["broken"], report
            assert report["ended"] == "backed", report
            assert cluster.versions() == ["v1"] * 4
            assert report["answers"].get("UP", 0) > 1000
            assert report["told_to_leave"] == 6
        finally:
            await cluster.testbed.stop()

    asyncio.run(run())


def test_releases_of_processes_with_random_plans_keep_the_bound(tmp_path):
    command = [sys.executable, "-m", "cypresswalk", "lab", "together", "--release"]
    runs = [
        subprocess.Popen(
            [*command, "--seconds", "16", "--seed", str(seed), "--out", str(tmp_path / str(seed))],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in (2, 5, 9)
    ]
    for run in runs:
        printed, _ = run.communicate(timeout=240)
        assert run.returncode == 0, printed[-3000:]
        report = json.loads(printed[printed.rindex("\n{") : printed.rindex("}") + 1])
        assert report["ended"] in ("done", "backed"), report
        assert report["most_out"] <= report["bound"], report
