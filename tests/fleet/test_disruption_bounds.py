"""The replicated state machine never takes more out of service than the bounds allow."""

from random import Random
from typing import Any

import pytest

from cypresswalk.fleet import commands
from cypresswalk.fleet.commands import Command, encode
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.rollout.bounds import Bound, ShareBound, max_unavailable

RUNS = 30
COMMANDS_PER_RUN = 200
# One is drawn for each command; an action that is listed twice is twice as likely.
ACTIONS = ("leave", "leave", "return", "out", "out", "back", "seen", "list", "force")
UNAVAILABLE_PROBABILITY = 0.1
DRAINING_PROBABILITY = 0.2
MAX_PER_ZONE = 1
OTHER_GRANT = ("other", 0, "")


class ReferenceModel:
    """A simple model of who is out, compared with a state machine under random commands.

    Attributes:
        out_balancers: names of balancers that were granted a leave and have not returned.
        returning_servers: names of servers that are back in rotation but not seen ready yet.
    """

    def __init__(self, seed: int) -> None:
        """Draw the balancers, the servers and the bounds."""
        self.random = Random(seed)
        self.machine = StateMachine()
        balancers, servers = self.random.choice((1, 2, 5, 9)), self.random.choice((1, 4, 10))
        self.zones = {f"n{i}": f"z{i % 3}" for i in range(balancers)}
        self.server_zones = {f"s{i}": i % 2 for i in range(servers)}
        self.balancer_bound: Bound = self.random.choice((1, 2, ShareBound(share=0.5)))
        self.server_bound = ShareBound(share=0.5, least=1)
        bounds = {
            "balancers": {"all": self.balancer_bound, "zone": MAX_PER_ZONE},
            "servers": {"all": self.server_bound},
        }
        self.machine.state.settings = {"bounds": bounds}
        self.out_balancers: set[str] = set()
        self.returning_servers: set[str] = set()
        self.command_number = -1

    def apply(self, command: Command) -> Any:
        """Apply a command and return its result."""
        return self.machine.apply(encode(command))[1]

    def step(self) -> None:
        """Apply one random command and compare its result with the model."""
        self.command_number += 1
        head = (f"c{self.command_number}", "test", 0)
        balancer = self.random.choice(sorted(self.zones))
        server = self.random.choice(sorted(self.server_zones))
        match self.random.choice(ACTIONS):
            case "leave":
                self.leave(head, balancer, forced=False)
            case "force":
                self.leave(head, balancer, forced=True)
            case "return":
                self.return_balancer(head, balancer)
            case "out":
                self.remove_server(head, server)
            case "back":
                self.returning_servers |= {server} & set(self.machine.state.removed_servers)
                self.apply(commands.ReturnToRotation(*head, server))
            case "seen":
                self.report_server_ready(head, server)
            case "list":
                self.update_list(head)
        assert set(self.machine.state.leave_grants) == self.out_balancers

    def leave(self, head: tuple[str, str, int], balancer: str, forced: bool) -> None:
        """Request a leave; it is granted within the bounds or by force."""
        unreachable = {
            name: "not heard"
            for name in self.zones
            if self.random.random() < UNAVAILABLE_PROBABILITY
        }
        command = commands.GrantLeave(*head, balancer, "drained", forced, self.zones, unreachable)
        granted, reason = self.apply(command)
        out = (self.out_balancers | set(unreachable)) - {balancer}
        out_of_zone = [name for name in out if self.zones[name] == self.zones[balancer]]
        fits = (
            len(out) < max_unavailable(self.balancer_bound, len(self.zones))
            and len(out_of_zone) < MAX_PER_ZONE
        )
        assert granted is (fits or forced), (self.command_number, reason)
        # A repeated command gets the same result and no second leave.
        assert self.apply(command) == (granted, reason)
        if granted:
            self.out_balancers.add(balancer)

    def return_balancer(self, head: tuple[str, str, int], balancer: str) -> None:
        """Return a balancer, after an attempt to do so with a leave grant that is not its own."""
        ident, by, _ = head
        grant = self.machine.state.leave_grants.get(balancer, OTHER_GRANT)
        stale = commands.BalancerReturned(ident, by, 1, balancer, OTHER_GRANT)
        assert not self.apply(stale)[0]
        self.apply(commands.BalancerReturned(f"r{self.command_number}", by, 0, balancer, grant))
        self.out_balancers.discard(balancer)

    def remove_server(self, head: tuple[str, str, int], server: str) -> None:
        """Take a server out of rotation, within the bound."""
        removed = set(self.machine.state.removed_servers)
        states = {name: state for name, _, _, state, _, _ in self.machine.state.servers}
        unhealthy = {
            name: "found unhealthy"
            for name in self.server_zones
            if self.random.random() < UNAVAILABLE_PROBABILITY
        }
        not_ready = {name for name, state in states.items() if state != "ready"}
        out = (removed | not_ready | set(unhealthy) | self.returning_servers) - {server}
        command = commands.RemoveFromRotation(*head, server, False, unhealthy)
        accepted, _ = self.apply(command)
        fits = len(out & set(states)) < max_unavailable(self.server_bound, len(states))
        assert accepted is (server in removed or fits), self.command_number
        if accepted:
            self.returning_servers.discard(server)

    def report_server_ready(self, head: tuple[str, str, int], server: str) -> None:
        """Report a server ready after an earlier return, to no effect, then after the latest."""
        ident, by, at = head
        version = self.machine.state.returning_servers.get(server, 7)
        self.apply(
            commands.ServersSeenReady(f"s{self.command_number}", by, at, {server: version - 1})
        )
        assert set(self.machine.state.returning_servers) == self.returning_servers
        self.apply(commands.ServersSeenReady(*head, {server: version}))
        self.returning_servers.discard(server)

    def update_list(self, head: tuple[str, str, int]) -> None:
        """Update the endpoint list; some of its servers drain."""
        listing = []
        for name, zone in self.server_zones.items():
            draining = self.random.random() < DRAINING_PROBABILITY
            listing.append((name, zone, 1, "draining" if draining else "ready", 1.0, 0))
        self.apply(commands.UpdateEndpointList(*head, self.command_number, 0, listing))


@pytest.mark.parametrize("seed", range(RUNS))
def test_random_commands_keep_the_bounds_unless_forced(seed):
    model = ReferenceModel(seed)
    for _ in range(COMMANDS_PER_RUN):
        model.step()
