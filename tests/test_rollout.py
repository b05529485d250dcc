"""Never too many balancers or servers out at once by the fleet's own doing."""

import asyncio
import time
from random import Random

import pytest

from cypresswalk.fleet import agreed as state
from cypresswalk.fleet.agreed import Agreed, encode
from cypresswalk.fleet.binding import objection
from cypresswalk.lab.together.plan import Step
from cypresswalk.rollout import bounds
from cypresswalk.rollout.bounds import allowed, why_not
from helpers import PARAMS
from test_together import asked, with_rig


@pytest.mark.parametrize("bound, of, may", [
    (2, 10, 2), ({"share": 0.34}, 10, 3), ({"share": 0.25}, 3, 0), ({"share": 0.25, "least": 1}, 3, 1), ({"share": 0.1}, 10, 1),
    ({"share": 1.0}, 1, 1), ({"share": 0.3}, 10, 3)])
def test_a_bound_is_a_number_or_a_share_rounded_down(bound, of, may):
    assert allowed(bound, of) == may


def test_every_wrong_bound_is_named_and_none_comes_into_force():
    wrong = {"balancers": {"all": 0, "zone": {"share": 2}, "odd": 1}, "servers": {"all": {"share": 0.5, "least": -1}}, "clients": {}}
    said = objection(PARAMS, {"serviceTypes": PARAMS["serviceTypes"], "limits": PARAMS["limits"], "rules": PARAMS["rules"],
                              "deductions": {}, "extra": PARAMS["extra"], "tenants": PARAMS["tenants"], "instances": 1, "bounds": wrong})
    for place in ("balancers.all", "balancers.zone", "balancers.odd", "servers.all", "bounds.clients"):
        assert place in said
    assert not bounds.objection({"balancers": {"all": 1}, "servers": {"zone": {"share": 0.5, "least": 1}}})


def test_zones_and_the_whole_are_bounded_each_and_what_is_out_by_itself_counts():
    zones = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "b3": "b"}
    scopes = {"all": 3, "zone": 1}
    assert not why_not(scopes, zones, {"a1": "drained"}, "b1")
    assert "of zone a" in why_not(scopes, zones, {"a1": "not heard"}, "a2")
    assert not why_not(scopes, zones, {"a1": "not heard"}, "a1")        # out already: no further place
    assert why_not({"all": 1}, zones, {"b1": "not ready", "b2": "not heard"}, "a1").startswith("2 of 5 are out and 1 may be: b1 (not ready)")
    assert why_not({"zone": {"share": 0.5}}, {"only": "z"}, {}, "only")     # a zone of one: half of it is none
    assert not why_not({"zone": {"share": 0.5, "least": 1}}, {"only": "z"}, {}, "only")


def test_random_commands_never_take_more_out_than_the_bound_allows_unless_forced():
    """Against a plain count: balancers that were granted a place and not returned, servers out by hand or by the list."""
    for seed in range(30):
        chance, machine = Random(seed), Agreed()
        names = {f"n{i}": f"z{i % 3}" for i in range(chance.choice((1, 2, 5, 9)))}
        servers = {f"s{i}": i % 2 for i in range(chance.choice((1, 4, 10)))}
        most = {"balancers": {"all": chance.choice((1, 2, {"share": 0.5})), "zone": 1}, "servers": {"all": {"share": 0.5, "least": 1}}}
        machine.state.settings = {"bounds": most}
        away: set[str] = set()
        for number in range(200):
            head = (f"c{number}", "test", 0)
            who, server = chance.choice(sorted(names)), chance.choice(sorted(servers))
            kind = chance.choice(("leave", "leave", "return", "out", "out", "back", "list", "force"))
            if kind in ("leave", "force"):
                seen = {name: "not heard" for name in names if chance.random() < 0.1}
                command = state.Leave(*head, who, "drained", kind == "force", names, seen)
                _, (ok, why) = machine.apply(encode(command))
                gone = away | set(seen)
                fits = who in gone or (len(gone) + 1 <= allowed(most["balancers"]["all"], len(names))
                                       and sum(names[n] == names[who] for n in gone) + 1 <= 1)
                assert ok is (fits or kind == "force"), (seed, number, why)
                assert machine.apply(encode(command))[1] == (ok, why)       # asked again: the same answer, no second place
                away |= {who} if ok else set()
            elif kind == "return":
                machine.apply(encode(state.Return(*head, who)))
                away.discard(who)
            elif kind == "out":
                before, listed = set(machine.state.out), {n: s for n, _, _, s, _, _ in machine.state.servers}
                gone = before | {n for n, s in listed.items() if s != "ready"}
                _, (ok, _) = machine.apply(encode(state.Out(*head, server)))
                fits = server in gone or len(gone & set(listed)) + 1 <= allowed(most["servers"]["all"], len(listed))
                assert ok is fits, (seed, number)
            elif kind == "back":
                machine.apply(encode(state.Back(*head, server)))
            else:
                listing = [(name, zone, 1, "draining" if chance.random() < 0.2 else "ready", 1.0, 0) for name, zone in servers.items()]
                machine.apply(encode(state.Listing(*head, number, 0, listing)))
            assert set(machine.state.away) == away


def test_of_two_drains_at_once_one_is_granted_and_a_dead_balancer_takes_a_place(tmp_path):
    async def test(rig):
        _, body = await rig.ask("n0", "show")
        settings = body["settings"] | {"bounds": {"balancers": {"all": 1}, "servers": {"all": 1}}}
        assert (await rig.command("n0", "offer", base=body["settings_version"], settings=settings))[0] == "yes"
        assert await rig.whole() is not None
        admin = {name: p.admin for name, p in rig.processes.items()}
        await ready(rig)
        answers = await asyncio.gather(asked(admin["n3"], "drain-on"), asked(admin["n4"], "drain-on"))
        assert sorted(a[:3] for a in answers) == ["ERR", "OK"], answers
        refused = next(a for a in answers if a != "OK")
        assert "1 of 5 are out and 1 may be" in refused and "drained" in refused
        out = "n3" if answers[0] == "OK" else "n4"
        assert await asked(rig.processes[out].listen, "PING") == "ERR"
        assert (await asked(admin["n1"], "drain-on")).startswith("ERR not granted")
        assert await asked(admin[out], "drain-on") == "OK"           # twice is once
        rig.kill(out)
        rig.start(out)              # a yes to a drain holds over a restart
        assert await rig.whole() is not None
        assert await asked(rig.processes[out].listen, "PING") == "ERR"
        assert (await asked(admin["n1"], "drain-on")).startswith("ERR not granted")
        assert await asked(admin[out], "drain-off") == "OK"
        await ready(rig)
        rig.kill("n4")              # by itself: a place that is not there any more
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
        assert await asked(admin["n1"], "set-down s-0") == "OK"
        assert "1 of 4 are out and 1 may be: s-0" in await asked(admin["n2"], "set-down s-1")
        assert await asked(admin["n2"], "set-up s-0") == "OK" and await asked(admin["n2"], "set-down s-1") == "OK"
        # A halt outranks what the bounds would allow, and leaves the way back open.
        assert await asked(admin["n2"], "set-up s-1") == "OK"
        await rig.do(Step(at_s=0, do="heal"))
        assert await rig.whole() is not None
        await ready(rig)
        told = await asyncio.gather(rig.command("n1", "halt", why="look at n4"), rig.command("n3", "halt", why="me too"))
        assert [result for result, _ in told] == ["yes", "yes"] and told[0][1]["why"] == told[1][1]["why"]
        rig.kill(await rig.leader())        # whoever leads next knows of it
        other = next(name for name in ("n3", "n4") if rig.processes[name].popen is not None)
        until = time.monotonic() + 10
        while "halted by" not in (said := await asked(admin[other], "drain-on")) and time.monotonic() < until:
            assert said.startswith("ERR")
        assert "halted by rig: " in said and "halted by" in await asked(admin[other], "set-down s-2")
        assert (await rig.command(other, "resume"))[0] == "yes"
        await rig.do(Step(at_s=0, do="heal"))
        assert await rig.whole() is not None
        await ready(rig)
        # Where nothing can be agreed nothing is done.
        await rig.do(Step(at_s=0, do="isolate", who="n2"))
        assert (await asked(admin["n2"], "drain-on")).startswith("ERR not granted: the fleet did not answer")
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
