"""The replicated state machine never takes more out of service than the bounds allow."""

from random import Random

from cypresswalk.fleet import commands
from cypresswalk.fleet.commands import encode
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.rollout.bounds import max_unavailable


def test_random_commands_never_take_more_out_than_the_bound_allows_unless_forced():
    """Against a plain count: balancers that were granted a place and not returned, servers out by hand or by the list."""
    for seed in range(30):
        chance, machine = Random(seed), StateMachine()
        names = {f"n{i}": f"z{i % 3}" for i in range(chance.choice((1, 2, 5, 9)))}
        servers = {f"s{i}": i % 2 for i in range(chance.choice((1, 4, 10)))}
        most = {
            "balancers": {"all": chance.choice((1, 2, {"share": 0.5})), "zone": 1},
            "servers": {"all": {"share": 0.5, "least": 1}},
        }
        machine.state.settings = {"bounds": most}
        away: set[str] = set()
        coming: set[str] = set()  # servers that are back, and not seen ready yet
        for number in range(200):
            head = (f"c{number}", "test", 0)
            who, server = chance.choice(sorted(names)), chance.choice(sorted(servers))
            kind = chance.choice(
                ("leave", "leave", "return", "out", "out", "back", "seen", "list", "force")
            )
            if kind in ("leave", "force"):
                seen = {name: "not heard" for name in names if chance.random() < 0.1}
                command = commands.GrantLeave(*head, who, "drained", kind == "force", names, seen)
                _, (ok, why) = machine.apply(encode(command))
                gone = (away | set(seen)) - {who}
                fits = (
                    len(gone) + 1 <= max_unavailable(most["balancers"]["all"], len(names))
                    and sum(names[n] == names[who] for n in gone) + 1 <= 1
                )
                assert ok is (fits or kind == "force"), (seed, number, why)
                assert machine.apply(encode(command))[1] == (
                    ok,
                    why,
                )  # asked again: the same answer, no second place
                away |= {who} if ok else set()
            elif kind == "return":
                held = machine.state.leave_grants.get(who, ("other", 0, ""))
                assert not machine.apply(
                    encode(commands.BalancerReturned(*head[:2], 1, who, ("other", 0, "")))
                )[1][0]
                machine.apply(encode(commands.BalancerReturned(f"r{number}", *head[1:], who, held)))
                away.discard(who)
            elif kind == "out":
                before, listed = (
                    set(machine.state.removed_servers),
                    {n: s for n, _, _, s, _, _ in machine.state.servers},
                )
                bad = {name: "held for bad" for name in servers if chance.random() < 0.1}
                seen = {n for n, s in listed.items() if s != "ready"} | set(bad)
                gone = (before | seen | coming) - {server}
                _, (ok, _) = machine.apply(
                    encode(commands.RemoveFromRotation(*head, server, False, bad))
                )
                coming -= {server} if ok else set()
                fits = server in before or len(gone & set(listed)) + 1 <= max_unavailable(
                    most["servers"]["all"], len(listed)
                )
                assert ok is fits, (seed, number)
            elif kind == "back":
                coming |= {server} & set(machine.state.removed_servers)
                machine.apply(encode(commands.ReturnToRotation(*head, server)))
            elif kind == "seen":
                version = machine.state.returning_servers.get(server, 7)
                machine.apply(
                    encode(
                        commands.ServersSeenReady(f"s{number}", *head[1:], {server: version - 1})
                    )
                )  # of an earlier return: no matter
                assert set(machine.state.returning_servers) == coming
                machine.apply(encode(commands.ServersSeenReady(*head, {server: version})))
                coming.discard(server)
            else:
                listing = [
                    (name, zone, 1, "draining" if chance.random() < 0.2 else "ready", 1.0, 0)
                    for name, zone in servers.items()
                ]
                machine.apply(encode(commands.UpdateEndpointList(*head, number, 0, listing)))
            assert set(machine.state.leave_grants) == away
