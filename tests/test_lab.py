"""The lab's models without sockets, its files, and short days with the real balancer."""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import Random
from types import SimpleNamespace

import psutil
import pytest
from helpers import played
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresswalk import toml
from cypresswalk.lab import report
from cypresswalk.lab.clients import ClientPopulation
from cypresswalk.lab.edge import EdgeLoadBalancer
from cypresswalk.lab.endpoint_list import EndpointList, ListAgent, initial_list
from cypresswalk.lab.experiment import Experiment, ServerGroup, read
from cypresswalk.lab.metrics import EstablishedConnection, ScenarioMetrics, add_span, served_spans
from cypresswalk.lab.play import play_scenario
from cypresswalk.lab.servers import Reply, ServerState, SimulatedServer, build_servers
from cypresswalk.lab.testbed.bed import Bed
from cypresswalk.lab.testbed.client_driver import ClientConnection, ClientDriver
from cypresswalk.lab.testbed.gossip_relay import GossipRelay
from cypresswalk.lab.testbed.server_driver import ServerDriver
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.refusal import CommandError

ROOT = Path(__file__).parent.parent
MACHINES = ServerGroup(
    name="m",
    zone="a",
    count=1,
    cores=2,
    per_core=10,
    setup_ms=4,
    cold_share=0.25,
    cold_s=10,
    most=50,
)


def server(**troubles):
    made = SimulatedServer(
        "m-0", MACHINES, Random(1), overload_factor=2, overload_window=2 * SECOND, turnover=0.1
    )
    for name, value in troubles.items():
        setattr(made, name, value)
    return made


# The server.


def test_lines_wait_behind_the_backlog_that_grows_beyond_capacity_and_shrinks_again():
    s = server()
    for number in range(40):  # twice what 2 cores of 10 carry
        s.open(0, number, 1.0, "")
    idle, late = s.echo_delay(0), s.echo_delay(2 * SECOND)
    assert late > idle + 1.9 * SECOND
    for number in range(40):
        s.close(2 * SECOND, number)
    assert s.echo_delay(6 * SECOND) < 2 * MILLISECOND


def test_a_group_adds_its_own_load_once_for_all_its_connections():
    s = server()
    s.open(0, 1, 1.0, "g")
    s.open(0, 2, 1.0, "g")
    assert s.demand() == 2 + MACHINES.group_work
    s.close(0, 1)
    s.close(0, 2)
    s.close(0, 2)
    assert s.demand() == 0


def test_a_cold_server_has_its_initial_fraction_of_capacity_and_warms_up():
    s = server()
    s.start(SECOND, SECOND)
    assert (
        s.capacity(SECOND) == 5 and s.capacity(6 * SECOND) == 12.5 and s.capacity(11 * SECOND) == 20
    )
    # 2 * 5 loads * 0.1 a second * 2 s = 2 loads: the third within the rule's time topples it.
    assert [s.open(SECOND + n, n, 1.0, "") and s.overloaded for n in range(3)] == [
        False,
        False,
        True,
    ]
    s = server()
    s.start(SECOND, SECOND)
    for n in range(5):
        s.open(SECOND + n * 2 * SECOND, n, 1.0, "")
    assert not s.overloaded


def test_each_injected_fault_shows_in_the_servers_replies():
    assert server(hanging=True).open(0, 1, 1.0, "")[0] is Reply.SILENT
    assert (
        server(hanging=True).health_check_delay(0) is not None
        and server(hanging=True).echo_delay(0) is None
    )
    assert (
        server(silent=True).health_check_delay(0) is None
        and server(silent=True).open(0, 1, 1.0, "")[0] is Reply.SILENT
    )
    assert server(error_share=1.0).open(0, 1, 1.0, "")[0] is Reply.ERROR
    assert server(reset_share=1.0).open(0, 1, 1.0, "")[0] is Reply.RESET
    assert server(state=ServerState.DRAINING).open(0, 1, 1.0, "")[0] is Reply.BUSY
    assert server(running=False).open(0, 1, 1.0, "")[0] is Reply.RESET
    assert server(slowness=4.0).capacity(0) == 5 and server(stolen_share=0.5).capacity(0) == 10
    full = server()
    assert [full.open(0, n, 0.01, "")[0] for n in range(51)][-2:] == [Reply.UP, Reply.BUSY]
    drops = server()
    for n in range(45):
        drops.open(n, n, 1.0, "")
    assert drops.connection_to_drop(10) is None and drops.connection_to_drop(5 * SECOND) == 44


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 5), st.integers(0, 10**9), st.integers(0, 9)), max_size=60)
)
def test_a_servers_load_and_groups_match_its_connections(steps):
    s, now = server(), 0
    for what, wait, number in steps:
        now += wait
        if what < 3 and number not in s.connections:
            s.open(now, number, 1 + number / 10, f"g{number % 3}" if number % 2 else "")
        elif what == 3:
            s.close(now, number)
        elif what == 4:
            s.health_check_delay(now)
        else:
            assert s.echo_delay(now) >= 0
        assert abs(s.connection_load - sum(c.load for c in s.connections.values())) < 1e-9
        assert (
            sum(s.groups.values()) == sum(bool(c.group) for c in s.connections.values())
            and s.backlog_s >= 0
        )


# The endpoint list, the edge load balancer, the clients.


def test_a_list_agent_answers_with_the_changes_that_arrived_and_an_older_agent_with_fewer():
    experiment = small()
    listing = EndpointList()
    listing.add("s-0", ServerState.IN_SERVICE, 0)
    listing.add("s-1", ServerState.IN_SERVICE, 0)
    agent = ListAgent(listing, experiment, Random(1), 2)
    drained = listing.add("s-0", ServerState.DRAINING, 0)
    gone = listing.add("s-0", ServerState.TERMINATED, 0)
    assert agent.answer(2) == (False, [], 2) and not agent.learn(2)
    assert agent.learn(gone) and not agent.learn(drained)  # late ones come in any order
    whole, entries, version = agent.answer(2)
    assert (whole, [e.state for e in entries], version) == (False, [ServerState.TERMINATED], 4)
    assert [e.server for e in agent.answer(0)[1]] == ["s-1"] and agent.answer(9)[0]
    older = ListAgent(listing, experiment, Random(1), 2)
    assert [e.server for e in older.answer(4)[1]] == ["s-0", "s-1"] and older.answer(4)[0]
    assert len(initial_list(list(build_servers(experiment, 1).values())).changes) == 3


def test_the_edge_load_balancer_sends_no_client_to_a_balancer_marked_down():
    front = EdgeLoadBalancer("a", ["b0", "b1"])
    assert front.pick() is None
    front.mark_up("b0")
    front.mark_up("b1")
    assert {front.pick() for _ in range(4)} == {"b0", "b1"}
    front.mark_down("b0")
    assert {front.pick() for _ in range(4)} == {"b1"}


def small(**changes) -> Experiment:
    data = {
        "name": "small",
        "seconds": 4,
        "load": {"course": [[0, 10]]},
        "balancers": [{"zone": "north"}],
        "servers": [{"name": "s", "zone": "north", "count": 3}],
        "clients": {"line_ms": 200},
        "list_service": {"late_ms": [50, 200]},
        "types": [{"name": "view", "share": 1, "life_s": [1, 3]}],
    }
    return toml.decode(data | changes, Experiment, "small")


def test_a_seed_draws_the_same_clients_whatever_else_is_in_the_file():
    plain, burst = (
        ClientPopulation(small(), 7),
        ClientPopulation(small(trouble=[{"kind": "burst", "at_s": 1, "amount": 300}]), 7),
    )
    alike = {(p.number, p.arrives_at, p.lifetime, p.group, p.type.name) for p in plain.all()}
    assert alike < {(p.number, p.arrives_at, p.lifetime, p.group, p.type.name) for p in burst.all()}
    assert (
        len(burst.all()) == len(alike) + 300
        and sum(p.arrives_at == SECOND for p in burst.all()) >= 300
    )
    assert [p.arrives_at for p in ClientPopulation(small(), 8).all()] != [
        p.arrives_at for p in plain.all()
    ]
    rates = [len(ClientPopulation(small(seconds=100), seed).all()) / 100 for seed in range(5)]
    assert 9 < sum(rates) / 5 < 11


def test_clients_heed_or_ignore_retry_after_and_stop_retrying():
    wait = {"habit": "wait", "retries": 2, "wait_ms": [10, 20]}
    person = ClientPopulation(small(clients=wait), 1).client(0, 0)
    habits = small(clients=wait).clients
    assert person.delay_after_rejection(habits, 5 * SECOND) == 5 * SECOND
    assert 10 * MILLISECOND <= person.delay_after_rejection(habits, None) <= 20 * MILLISECOND
    assert person.delay_after_rejection(habits, None) is None
    person.rejections, person.ignores_retry_after = 0, True
    assert person.delay_after_rejection(habits, 5 * SECOND) <= 20 * MILLISECOND
    assert person.delay_after_disconnect(habits) is not None and person.rejections == 0


# Metrics.


def test_service_counts_only_what_came_back_in_time():
    stand = EstablishedConnection(
        0, 5 * SECOND, [(SECOND, 5.0), (2 * SECOND, 900.0), (3 * SECOND, 5.0)]
    )
    assert served_spans(stand, 10 * SECOND, 100, 500) == [
        (0, SECOND),
        (2 * SECOND, 3 * SECOND),
        (3 * SECOND, 4_100_000_000),
    ]
    assert served_spans(EstablishedConnection(0, 9 * SECOND), 9 * SECOND, 100, 500) == [
        (0, 1_100_000_000)
    ]  # silent ever since
    into = [0.0] * 3
    add_span(into, SECOND // 2, int(2.25 * SECOND), 2.0)
    assert into == [1.0, 2.0, 0.5]


def test_a_difference_counts_only_if_all_of_five_seeds_agree():
    def days(values):
        return [{"seed": seed, "v": v} for seed, v in enumerate(values)]

    base, of = days([1, 2, 3, 4, 5]), lambda s: s["v"]
    assert report.difference(base, days([2, 3, 4, 5, 6]), of, 1) == "better"
    assert report.difference(base, days([2, 3, 4, 5, 6]), of, -1) == "worse"
    assert report.difference(base, days([2, 3, 4, 5, 4]), of, 1) == "within the spread"
    assert report.difference(base[:3], days([2, 3, 4]), of, 1) == "too few repeats"
    assert report.difference(base, base, of, 1) == "the same"


# Files.


@pytest.mark.parametrize(
    "change, said",
    [
        ({"seconds": -1}, "seconds: input should be greater than 0, not -1"),
        ({"sconds": 1}, "sconds: no such field"),
        ({"servers": []}, "servers: list should have at least 1 item"),
        (
            {"servers": [{"name": "s", "zone": "south", "count": 1}]},
            "servers[0].zone: 'south' is not one of north",
        ),
        (
            {"servers": [{"name": "s", "zone": "north", "count": 1, "cores": 0}]},
            "servers[0].cores: input should be greater",
        ),
        (
            {"types": [{"name": "v", "share": 1, "effect": "twice"}]},
            "types[0].effect: input should be 'repeatable'",
        ),
        (
            {"types": [{"name": "v", "share": 1, "life_s": [3, 1]}]},
            "types[0].life_s: a range is [least, most]",
        ),
        ({"types": [{"name": "v", "share": 1}] * 2}, "types: a name stands twice"),
        ({"load": {"course": [[3, 1], [2, 1]]}}, "load.course: points are [second, rate]"),
        ({"trouble": [{"kind": "hang", "at_s": 1}]}, "trouble[0]: hang needs servers"),
        (
            {"trouble": [{"kind": "hang", "at_s": 1, "servers": ["x"]}]},
            "trouble[0].servers: 'x' is not one of all",
        ),
        (
            {"trouble": [{"kind": "hang", "at_s": 9, "servers": ["s"]}]},
            "trouble[0].at_s: the day ends after 4 s",
        ),
        (
            {"trouble": [{"kind": "slow", "at_s": 1, "servers": ["s"]}]},
            "trouble[0]: slow needs an amount above 0",
        ),
        (
            {"trouble": [{"kind": "reload", "at_s": 1, "balancers": ["b7"]}]},
            "trouble[0].balancers: 'b7' is not one of all",
        ),
        ({"trouble": [{"kind": "explode", "at_s": 1}]}, "trouble[0].kind: input should be 'crash'"),
        (
            {"variant": [{"name": "v", "policy": "best"}]},
            "variant[0].policy: input should be 'product'",
        ),
        (
            {"variant": [{"name": "v", "policy": "random", "revision": "HEAD"}]},
            "variant[0]: a revision plays its own",
        ),
    ],
)
def test_an_invalid_experiment_is_rejected_with_one_line(change, said):
    with pytest.raises(CommandError) as refusal:
        small(**change)
    assert str(refusal.value).startswith(f"small: {said}") and "\n" not in str(refusal.value)


def test_every_wrong_field_is_named_and_the_command_starts_nothing(tmp_path):
    file = tmp_path / "odd.toml"
    file.write_text('name = "odd"\nseconds = 0\n[load]\ncourse = 3\n')
    run = subprocess.run(
        [
            sys.executable,
            "-m",
            "cypresswalk",
            "lab",
            "play",
            str(file),
            "--out",
            str(tmp_path / "out"),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert run.returncode == 2 and not (tmp_path / "out").exists()
    assert {line.split(": ")[1] for line in run.stderr.splitlines()} == {
        "seconds",
        "servers",
        "balancers",
        "types",
        "load.course",
    }


def test_the_shipped_experiment_files_are_valid():
    files = sorted((ROOT / "experiments").glob("*.toml"))
    assert len(files) >= 6 and all(read(file).name == file.stem for file in files)


# Short scenarios.


def test_a_scenario_with_a_hanging_server_is_played_and_reported(tmp_path):
    file = tmp_path / "hang.toml"
    file.write_text(
        (ROOT / "experiments/hang.toml")
        .read_text()
        .replace("seconds = 20", "seconds = 5")
        .replace("at_s = 5", "at_s = 1")
        .replace("for_s = 9", "for_s = 3")
    )
    run = subprocess.run(
        [sys.executable, "-m", "cypresswalk", "lab", "play", str(file), "--out", str(tmp_path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    folder = tmp_path / "hang-product-1"
    summary = json.loads((folder / "report.json").read_text())[0]
    assert run.returncode == 0 and "the rules held" in run.stdout, run.stdout + run.stderr
    assert summary["clients"] > 20 and summary["service"] > 0.8 and summary["memory_mb"] > 10
    assert (folder / "service.png").stat().st_size > 1000 and "| service |" in (
        folder / "report.md"
    ).read_text()
    again = subprocess.run(
        [sys.executable, "-m", "cypresswalk", "lab", "verdict", str(file), str(folder)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert again.returncode == 0 and again.stdout.endswith(" 0 breaches\n")


def test_a_move_that_crosses_a_clients_own_end_is_no_line_of_its_server():
    """A balancer that drains has not seen the client's end yet; what follows is compared still."""

    async def heard(*lines: bytes) -> tuple[str, list[str]]:
        seen = []
        bed = SimpleNamespace(
            now=lambda: SECOND,
            observe=lambda kind, *_, **fields: seen.append((kind, fields)),
            experiment=SimpleNamespace(clients=SimpleNamespace(line_ms=200)),
        )
        reader = asyncio.StreamReader()
        reader.feed_data(b"".join(line + b"\r\n" for line in lines))
        reader.feed_eof()
        writer = SimpleNamespace(write_eof=lambda: None)
        client = SimpleNamespace(number=0, random=Random(1), rejections=0)
        connection = ClientConnection(client, "p0.1", "b0", SECOND, reader, writer)
        how = await ClientDriver(bed)._talk(connection)
        return how, dict(seen)["lines"]["heard"]

    assert asyncio.run(heard(b"M 0", b"MOVE")) == ("own", ["M 0"])
    assert asyncio.run(heard(b"M 0", b"MOVE", b"M 2")) == ("own", ["M 0", "M 2"])
    assert asyncio.run(heard(b"M 0", b"BYE")) == ("own", ["M 0", "BYE"])


def test_faults_of_all_kinds_in_one_short_scenario_keep_the_rules(tmp_path):
    """A drain, a release, a killed, a stopped and a reloaded balancer, a zone's burst, bad clients, lost hints."""
    day = played(
        small(
            seconds=8,
            zones=["north", "south"],
            settings={"peers": True, "retry_after": True},
            net={"peers_lost": 0.3},
            servers=[
                {"name": "s", "zone": "north", "count": 3},
                {"name": "t", "zone": "south", "count": 3},
            ],
            balancers=[{"zone": "north"}, {"zone": "south"}],
            clients={"line_ms": 200, "bad_per_s": 8, "leaves": 0.05},
            trouble=[
                {"kind": "drain", "at_s": 1, "for_s": 2, "servers": ["s-0"]},
                {"kind": "release", "at_s": 1, "servers": ["t-0"]},
                {"kind": "vanish", "at_s": 1, "for_s": 3, "servers": ["t-1"]},
                {"kind": "reload", "at_s": 1.2, "balancers": ["all"]},
                {"kind": "neighbour", "at_s": 1, "for_s": 2, "amount": 0.5, "servers": ["t-2"]},
                {"kind": "errors", "at_s": 2, "for_s": 2, "amount": 0.3, "servers": ["s-1"]},
                {"kind": "slow", "at_s": 2, "for_s": 2, "amount": 3, "servers": ["s-2"]},
                {"kind": "list_outage", "at_s": 2.5, "for_s": 1},
                {"kind": "balancer_kill", "at_s": 4, "for_s": 0.5, "balancers": ["b0"]},
                {"kind": "cut_clients", "at_s": 5, "amount": 0.5},
                {"kind": "burst", "at_s": 5.5, "amount": 40},
                {"kind": "balancer_stop", "at_s": 6, "for_s": 0.3, "balancers": ["b1"]},
            ],
        ),
        small().variants[0],
        3,
        tmp_path,
    )
    assert day.broken == {} and not day.void, (day.void, day.breaches)
    kinds = {event.kind for event in day.events}
    assert {
        "told",
        "server_down",
        "server_up",
        "server_mute",
        "balancer_down",
        "bad",
        "left",
    } <= kinds
    assert (
        sum(event.kind == "balancer_up" for event in day.events) == 3
    )  # two starts and the one after the kill
    assert ScenarioMetrics(small(seconds=8), day).summary()["answers"]["up"] > 40


def test_cut_connections_on_both_sides_keep_the_rules(tmp_path):
    """Cuts at any byte of opening line, answer and first lines: what may have run is not sent again, nobody gets two answers."""
    kinds = {"kinds": ["cut", "half_close", "truncate", "black_hole"], "within": 110}
    day = played(
        small(
            seconds=6,
            load={"course": [[0, 20]]},
            types=[
                {"name": "view", "share": 1, "life_s": [1, 2]},
                {"name": "book", "share": 1, "life_s": [1, 2], "effect": "once-only"},
                {"name": "note", "share": 1, "life_s": [1, 2], "effect": "referenced"},
            ],
            between={
                "clients": {"random": [kinds | {"chance": 0.15}]},
                "servers": {
                    "random": [
                        kinds | {"chance": 0.2},
                        kinds | {"chance": 0.3, "direction": "down", "within": 8},
                    ]
                },
            },
        ),
        small().variants[0],
        5,
        tmp_path,
    )
    struck = [event for event in day.events if event.kind == "fault"]
    assert day.broken == {} and not day.void and len(struck) > 20, (day.void, day.breaches)
    assert {event.subject for event in struck} == {"client", "server"}


def test_an_earlier_revision_is_played_from_its_own_files(tmp_path):
    repository = subprocess.run(
        ["git", "rev-parse", "HEAD"], cwd=ROOT, capture_output=True, text=True
    )
    if repository.returncode:
        pytest.skip("not a git checkout")
    head = repository.stdout.strip()
    experiment = small(
        seconds=2,
        variant=[{"name": "before", "revision": head}, {"name": "odd", "revision": "no-such"}],
    )
    day = played(experiment, experiment.variants[0], 1, tmp_path)
    assert day.broken == {} and sum(event.kind == "answer" for event in day.events) > 5
    with pytest.raises(CommandError, match="variant odd: revision 'no-such': "):
        play_scenario(experiment, experiment.variants[1], 1, tmp_path)


def test_servers_that_grow_are_off_before_and_cold_after(tmp_path):
    experiment = small(
        seconds=7,
        load={"course": [[0, 20]]},
        servers=[{"name": "s", "zone": "north", "count": 3, "cold_share": 0.9, "cold_s": 5}],
        trouble=[{"kind": "grow", "at_s": 1, "servers": ["s"], "amount": 1}],
    )
    day = played(experiment, experiment.variants[0], 1, tmp_path)
    up = next(event for event in day.events if event.kind == "server_up")
    there = [event.at for event in day.events if event.kind == "attempt" and event.subject == "s-2"]
    assert (
        up.subject == "s-2" and there and min(there) > up.at and day.broken == {} and not day.void
    ), day.breaches


def test_a_port_that_another_process_took_is_the_labs_fault():
    async def run():
        bed = Bed(small(), 1)
        driver = ServerDriver(bed, bed.servers["s-0"])
        with socket.create_server(("127.0.0.1", 0)) as other:
            driver.ports["b0"] = other.getsockname()[1]
            await driver.listen()
        return bed.failures

    faults = asyncio.run(run())
    assert len(faults) == 1 and faults[0].startswith("s-0 can't listen at ")


def test_the_gossip_relay_passes_a_message_to_all_other_balancers():
    async def run():
        relayed = []
        with (
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver,
        ):
            for sock in (sender, receiver):
                sock.bind(("127.0.0.1", 0))
                sock.setblocking(False)
            transport, relay = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: GossipRelay(Bed(small(), 1)), local_addr=("127.0.0.1", 0)
            )
            relay.members += [sender.getsockname(), receiver.getsockname()]
            sender.sendto(b"hint", transport.get_extra_info("sockname"))
            relayed.append(
                await asyncio.wait_for(asyncio.get_running_loop().sock_recv(receiver, 100), 5)
            )
            with pytest.raises(BlockingIOError):
                sender.recv(100)
            transport.close()
        return relayed, relay.passed

    assert asyncio.run(run()) == ([b"hint"], 1)


def test_each_lab_process_has_an_address_of_its_own():
    """Two days side by side once chose one port: the second day's clients spoke to the first day's balancer."""
    script = "from cypresswalk.lab.balancers import own_host; print(own_host())"
    hosts = {
        subprocess.run(
            [sys.executable, "-c", script], cwd=ROOT, capture_output=True, text=True
        ).stdout
        for _ in range(3)
    }
    assert len(hosts) == 3 and all(host.startswith("127.") for host in hosts)


def test_a_lab_that_was_late_voids_its_scenario(tmp_path):
    """Guards the balancer against being blamed for a machine that stood still."""
    stalled = []

    def stall(second):
        if second > 1 and not stalled:
            stalled.append(True)
            time.sleep(0.6)

    day = play_scenario(small(seconds=2), small().variants[0], 1, tmp_path, on_progress=stall)
    assert stalled and day.void.startswith("the lab itself was late: ")


def test_a_balancer_that_ends_by_itself_is_a_violation(tmp_path):
    command = [sys.executable, "-c", "import time; time.sleep(0.1); raise SystemExit(7)"]
    with pytest.raises(CommandError, match="balancer b0 does not serve"):
        play_scenario(small(seconds=1), small().variants[0], 1, tmp_path, command=command)


def test_ctrl_c_ends_every_child_and_leaves_nothing(tmp_path):
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "cypresswalk",
            "lab",
            "play",
            "experiments/calm.toml",
            "--out",
            str(tmp_path),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    lab, until = psutil.Process(process.pid), time.monotonic() + 20
    while len(children := lab.children()) < 2 or not list(tmp_path.glob("*/b1.log")):
        assert time.monotonic() < until
        time.sleep(0.05)
    time.sleep(0.5)
    os.kill(process.pid, signal.SIGINT)
    process.communicate(timeout=20)
    assert process.returncode not in (0, None) and not any(child.is_running() for child in children)
