"""Several processes of the program that agree, with faults between them, on loopback."""

import asyncio
import json
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest

from cypresswalk import operator
from cypresswalk.agreement.messages import RequestVote
from cypresswalk.fleet.messages import PROTOCOL, Call, Hello, encode_frame
from cypresswalk.lab.balancers import free_port
from cypresswalk.lab.cluster import plan as plans
from cypresswalk.lab.cluster.checkers.answers import ClientFlow
from cypresswalk.lab.cluster.checkers.four_rules import rule_violations
from cypresswalk.lab.cluster.plan import Plan, Step
from cypresswalk.lab.cluster.stage import Rig, played
from cypresswalk.lab.observations import Observation
from cypresswalk.refusal import CommandError

ROOT = Path(__file__).parent.parent


def say(address, text: str) -> str:
    """One line in, the first line of the answer."""
    with socket.create_connection(address, timeout=4) as sock:
        sock.sendall(text.encode() + b"\r\n")
        return sock.makefile("rb").readline().decode().strip()


async def asked(address, text: str) -> str:
    return await asyncio.get_running_loop().run_in_executor(None, say, address, text)


def with_rig(tmp_path, test, **plan):
    async def run():
        rig = Rig(Plan(**plan), tmp_path / "rig")
        try:
            await rig.begin()
            assert await rig.whole() is not None
            await test(rig)
            assert not rig.faults
        finally:
            await rig.end()

    asyncio.run(run())


def test_five_processes_under_each_kind_of_fault(tmp_path):
    report = asyncio.run(
        played(plans.read(ROOT / "experiments/together/faults.toml"), tmp_path / "rig")
    )
    assert not report["broken"], report
    assert report["longest_contradiction_s"] <= 5.5 and report["answers"]["UP"] > 300
    assert report["calls"]["offers_yes"] >= 1 and report["calls"]["taken_out"] >= 2, report


def test_each_holder_loses_its_disk_in_turn_and_pairs_and_no_claim_is_lost(tmp_path):
    report = asyncio.run(
        played(plans.read(ROOT / "experiments/together/copies.toml"), tmp_path / "rig")
    )
    assert not report["broken"], report
    assert report["answers"]["UP"] > 700 and report["answers"]["ERR"] > 40, (
        report
    )  # ids said again were turned away


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_claims_under_a_plan_drawn_from_a_seed(seed, tmp_path):
    report = asyncio.run(
        played(plans.drawn(seed, lasts_s=12, faults=6, copies=3), tmp_path / "rig")
    )
    assert not report["broken"], (seed, report)
    assert report["answers"]["UP"] > 150 and report["answers"]["ERR"] > 10, report


def test_without_copies_the_same_loses_claims(tmp_path):
    """Else the runs above would show nothing."""
    plan = plans.read(ROOT / "experiments/together/copies.toml")
    plan = plan.model_copy(update={"copies": 0, "lasts_s": 6.0, "step": plan.step[:1]})
    report = asyncio.run(played(plan, tmp_path / "rig"))
    assert any("once-only flow" in line and "ran at" in line for line in report["broken"]), report


def test_a_balancer_that_is_cut_off_takes_nothing_once_its_lease_is_over_and_comes_back(tmp_path):
    async def test(rig):
        cut = rig.processes["n2"]
        assert await asked(cut.admin, "set-down s-0") == "OK"
        for other in rig.processes.values():  # the yes binds the fleet
            until = time.monotonic() + 5
            while (
                json.loads(await asked(other.admin, "vars"))["out_of_rotation"] < 1
                and time.monotonic() < until
            ):
                await asyncio.sleep(0.02)
            assert json.loads(await asked(other.admin, "vars"))["out_of_rotation"] >= 1
        assert (await asked(cut.admin, "set-down nobody")).startswith("ERR no list")
        await rig.do(Step(at_s=0, do="isolate", who="n2"))
        assert (await asked(cut.admin, "set-down s-1")).startswith("ERR not agreed")
        until = time.monotonic() + 8
        while await asked(cut.listen, "PING") == "PONG" and time.monotonic() < until:
            await asyncio.sleep(0.05)
        assert await asked(cut.listen, "PING") == "ERR"
        assert (await asked(cut.admin, "check")).endswith("no lease of the fleet's")
        # A reject that tells when to come back: nothing has run.
        assert await asked(cut.listen, "OPEN late1 77 c=book,d=900") == "BUSY 300"
        assert (
            await asked(rig.processes["n0"].listen, "OPEN sound1 77 c=book,d=900") == "UP rsound1"
        )
        # By force, at this one alone; said so and recorded once it can be.
        assert await asked(cut.admin, "set-down-here s-1") == "OK"
        await rig.do(Step(at_s=0, do="heal"))
        assert await rig.whole() is not None
        assert await asked(cut.listen, "PING") == "PONG"
        until, found = time.monotonic() + 5, False
        while not found and time.monotonic() < until:
            _, body = await rig.ask("n0", "history")
            found = any("set-down-here s-1 at n2 alone" in record[3] for record in body["history"])
        assert found
        _, body = await rig.ask("n0", "show")
        assert set(body["out"]) <= {"s-0", "s-1"} and "s-0" in body["out"]
        assert await asked(cut.admin, "set-up-here s-1") in (
            "OK",
            "ERR out by the fleet still: `set-up` ends that",
        )

    with_rig(tmp_path, test, balancers=3, stated_s=2)


def test_an_upgrade_beside_a_running_process_keeps_one_identity_and_serves_throughout(tmp_path):
    async def test(rig):
        p = rig.processes["n1"]
        before = (await rig.ask("n1", "local"))[1]
        old = p.popen
        # The second process beside the first, as docs/on-call.md has it; both have one $TMPDIR.
        young = rig.host, free_port(rig.host)
        rig.start("n1", PROXY_ADMIN_ADDR="%s:%d" % young)
        until = time.monotonic() + 10
        while time.monotonic() < until:
            await asyncio.sleep(0.05)
            try:
                if await asked(young, "check") == "OK":
                    break
            except OSError:
                pass  # it does not listen yet
        assert (await asked(young, "set-down s-0")).startswith(
            "ERR this process has no part in the fleet yet"
        )
        old.send_signal(signal.SIGTERM)
        answers, claimed = [], []
        until = time.monotonic() + 6
        while (old.poll() is None or len(answers) < 120) and time.monotonic() < until:
            answers.append(await asked(p.listen, f"OPEN up{len(answers)} 5 c=view,d=900"))
            claimed.append(await asked(p.listen, f"OPEN cl{len(answers)} 5 c=book,d=900"))
            await asyncio.sleep(0.02)
        assert old.poll() == 0
        assert await rig.whole() is not None
        after = (await rig.ask("n1", "local"))[1]
        assert after["id"] == before["id"] and after["boot"] == before["boot"] + 1
        assert all(answer.startswith("UP ") for answer in answers), answers
        # Claims rest while the holder's part goes from process to process; each flow has its answer.
        assert all(answer.startswith(("UP ", "BUSY ")) for answer in claimed), claimed
        assert sum(answer.startswith("UP ") for answer in claimed) > 0.8 * len(claimed)
        assert (await rig.copies_whole())[1]
        words = [
            sys.executable,
            "-m",
            "cypresswalk",
            "fleet",
            "--at",
            "%s:%d" % rig.processes["n0"].fleet,
            "--fleet",
            "rig",
            "copies",
        ]
        told = [
            await asyncio.to_thread(
                subprocess.run,
                [*words, *more],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=30,
            )
            for more in ([], ["check"], ["renew", "5", "--yes"])
        ]
        assert told[0].returncode == 0 and told[0].stdout.startswith(
            "64 parts, 3 copies asked for, 2 needed; 0 lack copies"
        ), told
        assert (
            "part 63" in told[0].stdout and told[1].returncode == 0 and "alike" in told[1].stdout
        ), told
        assert told[2].returncode == 2 and "parts [5] have copies" in told[2].stderr, (
            told
        )  # nothing is thrown away that is there

    with_rig(tmp_path, test, balancers=3, stated_s=8, copies=3)


def test_the_way_out_when_most_voters_are_lost_for_good(tmp_path):
    async def test(rig):
        assert (await rig.command("n3", "out", server="s-0"))[0] == "yes"
        survivor = await rig.leader()
        for name in ("n0", "n1", "n2"):
            if name != survivor:
                rig.kill(name)
        rig.processes[survivor].popen.kill()
        rig.processes[survivor].popen.wait()
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "cypresswalk",
                "fleet",
                "recover",
                str(rig.processes[survivor].folder / "kept"),
                "--fleet",
                "rig",
                "--name",
                survivor,
                "--yes",
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
        )
        assert done.returncode == 0 and json.loads(done.stdout)["out"] == ["s-0"], done
        rig.start(survivor)
        assert (
            await rig.whole(names=[survivor, "n3"]) is not None
        )  # n3 was of the old group, which is fenced off
        _, body = await rig.ask("n3", "show")
        assert body["version"] > 1000 and list(body["out"]) == ["s-0"]
        assert (await rig.command("n3", "out", server="s-1"))[0] == "yes"

    with_rig(tmp_path, test, balancers=4, stated_s=2)


def test_strangers_at_the_fleets_port_are_counted_and_change_nothing(tmp_path):
    async def test(rig):
        place = rig.processes["n0"].fleet
        chance = Random(3)
        hello = Hello(PROTOCOL, "rig", "member", "", "n9#1", 1, 1, "127.0.0.1:9", "")
        odd = [
            chance.randbytes(3000),
            b"\xff" * 8,
            encode_frame(hello)[:9],
            encode_frame(hello)[4:] * 50,
            encode_frame(Call(1, "status", {})),
            encode_frame(Hello(PROTOCOL, "other", "member", "", "n9#1", 1, 1, "", "")),
            encode_frame(Hello(PROTOCOL + 1, "rig", "member", "", "n9#1", 1, 1, "", "")),
            encode_frame(Hello(PROTOCOL, "rig", "member", "another", "n9#2", 1, 1, "", ""))
            + encode_frame(RequestVote(1 << 40, 9, 9, False, True)),
        ]
        socks = []
        for data in odd * 5:
            sock = socket.create_connection(place, timeout=4)
            sock.sendall(data)
            socks.append(sock)
        until = time.monotonic() + 8
        while time.monotonic() < until:
            counts = (await rig.ask("n0", "local"))[1]["counts"]
            if (
                counts.get("frames_odd", 0) >= 15
                and counts.get("hellos_refused", 0) >= 10
                and counts.get("words_of_other_groups", 0) >= 5
            ):
                break
            await asyncio.sleep(0.05)
        else:
            raise AssertionError(counts)
        assert (await rig.ask("n0", "local"))[1]["term"] < 1000
        assert (await rig.command("n0", "out", server="s-0"))[0] == "yes"
        for sock in socks:
            sock.close()

    with_rig(tmp_path, test, balancers=1, voters=1, flows_per_s=0)


def test_a_wrong_table_ends_the_start_with_a_line_for_each_field(tmp_path):
    file = tmp_path / "operator.toml"
    file.write_text(
        '[fleet]\nfleet = "a b"\nname = "n0"\naddress = "nowhere"\nfolder = "here"\nstated_s = 0\nodd = 1\n'
    )
    with pytest.raises(CommandError) as refusal:
        operator.read(str(file))
    lines = str(refusal.value).splitlines()
    assert len(lines) == 6 and all(
        any(f"fleet.{field}:" in line for line in lines)
        for field in ("fleet", "address", "folder", "stated_s", "odd", "first")
    )


def test_without_the_table_nothing_of_it_is_imported(tmp_path):
    file = tmp_path / "operator.toml"
    file.write_text("")
    probe = (
        "import sys; from cypresswalk.service import program;"
        "print([m for m in sys.modules if 'fleet' in m or 'agreement' in m or 'msgspec' in m])"
    )
    assert (
        subprocess.run(
            [sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, timeout=20
        ).stdout
        == "[]\n"
    )


def test_five_processes_with_full_and_failing_disks_clocks_that_drift_and_servers_that_restart(
    tmp_path,
):
    report = asyncio.run(
        played(plans.read(ROOT / "experiments/together/machines.toml"), tmp_path / "rig")
    )
    assert not report["broken"], report
    assert report["answers"]["UP"] > 500 and report["calls"]["taken_out"] >= 1, report
    said = (tmp_path / "rig/n1/log").read_text()
    assert "input/output error" in said and "event=fleet_member_restarted" in said


def test_the_checker_sees_what_all_balancers_together_did_to_a_cold_server_and_what_they_were_told():
    second, flows, seen = 10**9, [], [Observation(0, "server_up", subject="s-0")]
    for i in range(
        40
    ):  # each of four balancers sends ten: little for one, too much for a server that has just begun
        at, name = second + i * second // 100, f"n{i % 4}"
        seen += [
            Observation(at, "sent", f"f{i}", name, {"type": "view", "wait_ms": 1500}),
            Observation(
                at, "attempt", f"f{i}", "s-0", {"balancer": name, "number": i, "load": 1.0}
            ),
            Observation(
                at, "reply", f"f{i}", "s-0", {"number": i, "kind": "up", "receipt": "UP r"}
            ),
            Observation(at, "answer", f"f{i}", name, {"kind": "up", "line": "UP r"}),
        ]
        flows.append(ClientFlow(f"f{i}", "repeatable", at, at + 2 * second, "UP", at, name))
    rules = Rig(Plan(), Path("unused")).rules()
    assert [line.split(":")[0] for line in rule_violations(seen, rules, flows, {}, 0)] == ["cold"]
    assert (
        rule_violations([e for e in seen if e.flow in ("", "f1", "f2", "f3")], rules, flows, {}, 0)
        == []
    )
    drained = [
        Observation(
            0, "told", subject="n1", fields={"server": "s-0", "life": "terminating", "version": 1}
        ),
        *seen[1:],
    ]
    assert {line.split(":")[0] for line in rule_violations(drained, rules, flows, {}, 0)} == {
        "drains"
    }
    unanswered = [e for e in seen[1:] if (e.kind, e.flow) != ("answer", "f5")]
    assert [line.split(":")[0] for line in rule_violations(unanswered, rules, flows, {}, 0)] == [
        "one answer"
    ]
    assert (
        rule_violations(unanswered, rules, flows, {"n1": [(second, 2 * second)]}, 0) == []
    )  # n1 was killed then
