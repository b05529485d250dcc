"""Drains and releases of real processes: agents that start them, builds in folders."""

import asyncio
import json
import subprocess
import sys
import time

from cluster_helpers import asked, with_rig
from paths import ROOT

from cypresswalk.lab.cluster.machines import Machines
from cypresswalk.lab.cluster.plan import Plan as Plan_
from cypresswalk.lab.cluster.plan import Step


def test_of_two_concurrent_drains_one_is_granted_and_a_lost_balancer_counts(tmp_path):
    async def test(rig):
        _, body = await rig.ask("n0", "show")
        settings = body["settings"] | {"bounds": {"balancers": {"all": 1}, "servers": {"all": 1}}}
        assert (await rig.command("n0", "offer", base=body["settings_version"], settings=settings))[
            0
        ] == "yes"
        assert await rig.whole() is not None
        admin = {name: p.admin for name, p in rig.processes.items()}
        await ready(rig)
        answers = await asyncio.gather(
            asked(admin["n3"], "drain-on"), asked(admin["n4"], "drain-on")
        )
        assert sorted(a[:3] for a in answers) == ["ERR", "OK"], answers
        refused = next(a for a in answers if a != "OK")
        assert "1 of 5 are out and 1 may be" in refused and "drained" in refused
        out = "n3" if answers[0] == "OK" else "n4"
        assert await asked(rig.processes[out].listen, "PING") == "ERR"
        assert (await asked(admin["n1"], "drain-on")).startswith("ERR not granted")
        assert await asked(admin[out], "drain-on") == "OK"  # twice is once
        rig.kill(out)
        rig.start(out)  # a yes to a drain holds over a restart
        assert await rig.whole() is not None
        assert await asked(rig.processes[out].listen, "PING") == "ERR"
        assert (await asked(admin["n1"], "drain-on")).startswith("ERR not granted")
        assert await asked(admin[out], "drain-off") == "OK"
        await ready(rig)
        rig.kill("n4")  # by itself: a place that is not there any more
        await asyncio.sleep(2.5)
        refused = await asked(admin["n3"], "drain-on")
        assert refused.startswith("ERR not granted") and "n4 (not heard)" in refused
        # By force, at this one alone, recorded.
        assert await asked(admin["n3"], "drain-on-here") == "OK"
        assert await asked(rig.processes["n3"].listen, "PING") == "ERR"
        _, body = await rig.ask("n0", "history")
        assert any("by force" in record[3] and "n3" in record[3] for record in body["history"])
        assert await asked(admin["n3"], "drain-off") == "OK"
        # Servers: one may be out.
        # A leader that has just begun grants nothing until most balancers have told it of servers.
        until = time.monotonic() + 10
        while (
            "did not answer in time" in (said := await asked(admin["n1"], "set-down s-0"))
            and time.monotonic() < until
        ):
            pass
        assert said == "OK"
        assert "1 of 4 are out and 1 may be: s-0" in await asked(admin["n2"], "set-down s-1")
        assert await asked(admin["n2"], "set-up s-0") == "OK"
        # Back, and not seen ready yet: it has its place until most balancers have.
        assert "s-0 (not seen ready again)" in await asked(admin["n2"], "set-down s-1")
        until = time.monotonic() + 15
        while (said := await asked(admin["n2"], "set-down s-1")) != "OK":
            assert (
                "s-0 (not seen ready again)" in said or "did not answer in time" in said
            ) and time.monotonic() < until, said
        # A halt outranks what the bounds would allow, and leaves the way back open.
        assert await asked(admin["n2"], "set-up s-1") == "OK"
        await rig.do(Step(at_s=0, do="heal"))
        assert await rig.whole() is not None
        await ready(rig)
        told = await asyncio.gather(
            rig.command("n1", "halt", why="look at n4"), rig.command("n3", "halt", why="me too")
        )
        assert [result for result, _ in told] == ["yes", "yes"] and told[0][1]["why"] == told[1][1][
            "why"
        ]
        rig.kill(await rig.leader())  # whoever leads next knows of it
        other = next(name for name in ("n3", "n4") if rig.processes[name].popen is not None)
        until = time.monotonic() + 10
        while (
            "halted by" not in (said := await asked(admin[other], "drain-on"))
            and time.monotonic() < until
        ):
            assert said.startswith("ERR")
        assert "halted by rig: " in said and "halted by" in await asked(
            admin[other], "set-down s-2"
        )
        halts = (await rig.ask(other, "status"))[1]["halts"]
        assert (await rig.command(other, "resume", halts=halts - 1))[
            0
        ] == "no"  # said before the second halt, and late
        assert (await rig.command(other, "resume", halts=halts))[0] == "yes"
        await rig.do(Step(at_s=0, do="heal"))
        assert await rig.whole() is not None
        await ready(rig)
        # Where nothing can be agreed nothing is done.
        await rig.do(Step(at_s=0, do="isolate", who="n2"))
        assert (await asked(admin["n2"], "drain-on")).startswith(
            "ERR not granted: the fleet did not answer"
        )
        assert await asked(rig.processes["n2"].listen, "PING") == "PONG"

    with_rig(tmp_path, test, balancers=5, flows_per_s=0)


async def ready(rig):
    """Until the leader counts nobody as out."""
    until = time.monotonic() + 15
    while time.monotonic() < until:
        result, body = await rig.ask(await rig.leader(), "status", span=1.0)
        if result == "yes" and not body["seen_out"] and not body["away"]:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(body)


def test_a_release_changes_real_processes_in_waves_and_a_bad_one_is_rolled_back(tmp_path):
    async def run():
        rig = Machines(
            Plan_(balancers=4, zones=2, flows_per_s=120, agents=True, bound=2), tmp_path / "rig"
        )

        async def phase(*wanted: str, halted: bool = False, span: float = 70) -> dict:
            until, body = time.monotonic() + span, {}
            while time.monotonic() < until:
                result, body = await rig.ask(await rig.leader(), "release", span=2.0)
                if result == "yes" and body["release"]:
                    changing = [
                        n for n, s in body["release"][5].items() if s in ("out", "changing")
                    ]
                    assert len(changing) <= 2, body
                    if body["release"][3] in wanted and bool(body["halted"]) is halted:
                        return body
                await asyncio.sleep(0.1)
            raise AssertionError((wanted, body, [rig.doing(n) for n in rig.names]))

        async def until(met) -> None:
            end, body = time.monotonic() + 40, {}
            while time.monotonic() < end:
                result, body = await rig.ask(await rig.leader(), "release", span=2.0)
                if result == "yes" and body["release"] and met(body["release"]):
                    return
                await asyncio.sleep(0.05)
            raise AssertionError(body)

        async def saved(name: str) -> None:
            """The agent has the change on its disk: one that dies before reports a failed change."""
            end = time.monotonic() + 40
            while not rig.doing(name).get("to"):
                assert time.monotonic() < end, rig.doing(name)
                await asyncio.sleep(0.01)

        try:
            await rig.begin()
            await rig.agree_on_bound(await rig.whole())
            rig.spawn(rig.load(rig.plan.flows_per_s))
            assert await rig.release(Step(at_s=0, do="release")) == "yes"
            # Its agent dies in the middle: the balancers do not, and the next one goes on.
            await until(lambda release: release[5]["n0"] == "changing")
            await saved("n0")
            rig.kill_agent("n0")
            rig.start("n0")
            refused = await rig.command(
                "n1",
                "release_begin",
                plan=["other", "v0", "v9", [["n1"]], 1.0, 1, 1.0, 0.1, 2.0, 9.0],
            )
            assert refused[0] == "no" and "r1 by rig is running" in refused[1]["why"]
            # Whoever leads dies in the second wave, and is started again by its agent.
            await until(lambda release: release[4] == 1)
            leader = await rig.leader()
            rig.kill_balancer(leader)
            await phase("done")
            assert [rig.doing(n)["version"] for n in rig.names] == ["v1"] * 4
            assert await rig.whole() is not None
            boots = [(await rig.ask(n, "local"))[1]["boot"] for n in rig.names]
            assert all(boot == 2 + (name == leader) for name, boot in zip(rig.names, boots)), (
                boots,
                leader,
            )
            # One that says that it is ready and rejects every flow: found in the first wave, by what it served.
            rig.runs = "v1"
            assert await rig.release(Step(at_s=0, do="release", build="rejects")) == "yes"
            body = await phase("running", halted=True)
            assert "n0 failed or rejected" in body["halted"][2] and body["release"][4] == 0, body
            assert [rig.doing(n)["version"] for n in rig.names] == ["v2", "v1", "v1", "v1"]
            assert (await rig.command("n2", "release_back", release="r0"))[0] == "no"
            report = await rig.verdict()  # a person takes it back
            assert not report["broken"] and report["ended"] == "backed", report
            assert [rig.doing(n)["version"] for n in rig.names] == ["v1"] * 4
            assert report["answers"].get("UP", 0) > 1000 and report["told_to_leave"] == 6
        finally:
            await rig.end()

    asyncio.run(run())


def test_releases_of_real_processes_under_plans_drawn_from_seeds(tmp_path):
    """Each in processes of its own, as by hand."""
    words = [
        sys.executable,
        "-m",
        "cypresswalk",
        "lab",
        "together",
        "--release",
        "--seconds",
        "16",
        "--seed",
    ]
    runs = [
        subprocess.Popen(
            [*words, str(seed), "--out", str(tmp_path / str(seed))],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            text=True,
        )
        for seed in (2, 5, 9)
    ]
    for run in runs:
        said, _ = run.communicate(timeout=240)
        assert run.returncode == 0, said[-3000:]
        report = json.loads(said[said.rindex("\n{") : said.rindex("}") + 1])
        assert report["ended"] in ("done", "backed") and report["most_out"] <= report["bound"], (
            report
        )
