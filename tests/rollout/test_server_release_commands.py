"""Commands of a release of servers, applied by the replicated state machine."""

from helpers import present

from cypresswalk.fleet import commands
from cypresswalk.fleet.state_machine import StateMachine
from cypresswalk.rollout.release import Plan

UNHEALTHY = {"s0": "held for bad"}


class Machine:
    """A state machine with two servers, of which one may be out."""

    def __init__(self) -> None:
        """Start without a release."""
        self.machine = StateMachine()
        self.state = self.machine.state
        self.state.servers = [(name, 0, 1, "ready", 1.0, 0) for name in ("s0", "s1")]
        self.state.settings = {"bounds": {"servers": {"all": 1}}}
        self.count = 0

    def apply(self, kind, *args) -> tuple[bool, str]:
        """Apply a command; return whether it was accepted, and the reason or a note."""
        self.count += 1
        command = kind(f"c{self.count}", "test", 0, *args)
        return self.machine.apply(commands.encode(command))[1]

    def accepts(self, kind, *args) -> bool:
        """Apply a command; return whether it was accepted."""
        return self.apply(kind, *args)[0]


def server_plan(waves: list[list[str]]) -> Plan:
    """Return a plan that releases servers in these waves."""
    return Plan("r", "v1", "v2", waves, 1.0, 1, 1.0, 0.1, 2.0, 9.0, "servers", 5.0)


def machine_with_s0_out() -> Machine:
    """Return a machine with a release in which s0's turn has been granted."""
    machine = Machine()
    assert machine.accepts(commands.BeginRelease, server_plan([["s0"], ["s1"]]), [])
    assert machine.accepts(commands.GrantTurn, "s0", {}, {}, 0)
    return machine


def test_release_of_a_server_that_is_not_listed_is_rejected():
    _, reason = Machine().apply(commands.BeginRelease, server_plan([["s7"]]), [])
    assert "s7 is not listed" in reason


def test_granted_turn_takes_the_server_out_and_records_the_state_version():
    machine = machine_with_s0_out()
    assert machine.state.servers_out() == {"s0"}
    assert present(machine.state.release).out_since_version["s0"] == machine.state.version


def test_server_out_for_two_reasons_returns_once_both_have_ended():
    machine = machine_with_s0_out()
    assert machine.accepts(commands.RemoveFromRotation, "s0", False, {})
    _, reason = machine.apply(commands.RemoveFromRotation, "s1", False, {})
    assert "1 are out" in reason.replace("1 of 2", "1")
    _, note = machine.apply(commands.ReturnToRotation, "s0")
    assert note.endswith("release r has it out still")
    assert machine.state.servers_out() == {"s0"}
    assert machine.apply(commands.ReturnToRotation, "s0") == (True, "release r has it out")
    assert machine.accepts(commands.ChangeStarted, "s0", "v2", {}, {})
    assert machine.accepts(commands.ChangeFinished, "s0", "v2", "")
    assert not machine.state.servers_out()
    assert list(machine.state.returning_servers) == ["s0"]


def test_returned_server_counts_against_the_bound_until_it_is_seen_ready():
    machine = machine_with_s0_out()
    assert machine.accepts(commands.ChangeStarted, "s0", "v2", {}, {})
    assert machine.accepts(commands.ChangeFinished, "s0", "v2", "")
    assert not machine.accepts(commands.RemoveFromRotation, "s1", False, {})
    assert machine.accepts(commands.ServersSeenReady, machine.state.returning_servers)
    assert machine.accepts(commands.RemoveFromRotation, "s1", False, {})
    assert machine.accepts(commands.ReturnToRotation, "s1")
    assert machine.accepts(commands.ServersSeenReady, machine.state.returning_servers)


def test_unhealthy_server_counts_as_out_unless_the_removal_is_forced():
    machine = Machine()
    assert not machine.accepts(commands.RemoveFromRotation, "s1", False, UNHEALTHY)
    assert machine.accepts(commands.RemoveFromRotation, "s1", True, UNHEALTHY)


def test_server_can_be_removed_by_force_while_halted():
    # The fleet rejects this, though each balancer alone accepts it (set-down-here).
    machine = Machine()
    assert machine.accepts(commands.Halt, "a bad release")
    assert not machine.accepts(commands.RemoveFromRotation, "s0", False, {})
    assert machine.accepts(commands.RemoveFromRotation, "s0", True, {})
