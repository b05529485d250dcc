"""Simulated fleet whose members a release changes: hosts, operators' calls and checked rules.

A member is out if it does not serve because a release or an operator's call took it out, and lost
if it does not serve for any other reason.

- B1: no more members are out than the bound allows, however many are lost.
- B2: no member is taken out if the members already out and those lost for longer than
  MAX_DETECTION_TIME use up the bound.
- H: no member is taken out later than MAX_HALT_DELAY (2 s and a margin) after a halt was confirmed.
"""

from abc import ABC, abstractmethod
from enum import StrEnum
from random import Random
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from cypresswalk.fleet.records import FleetState
from cypresswalk.lab.cluster.checkers.halts import MAX_HALT_DELAY
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation, Reply, ignore_reply
from cypresswalk.lab.cluster.simulation.network import DEFAULT_DELAY
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.bounds import Bound, max_unavailable
from cypresswalk.rollout.release import MemberKind, Plan

OLD_VERSION = "v1"
NEW_VERSION = "v2"
RELEASE_NAME = "r1"
# Time after which any leader must know that a member is lost: the age of its last report, a link's
# delay and a read's age.
MAX_DETECTION_TIME = 8 * SECOND
CALL_SPAN = 6 * SECOND  # within which the fleet must answer an operator's call
BEGIN_SPAN = 20 * SECOND  # within which it must answer the call that begins a release


class Reason(StrEnum):
    """Why a member is taken out."""

    RELEASE = "release"
    DRAIN = "drain"  # of a balancer, by an operator's call
    OPERATOR = "hand"  # of a server, by an operator's call


class ObservedHost(Protocol):
    """The interface of a host that the rules use.

    Attributes:
        name: name of the member on the host.
        unavailable_since: virtual time since which it has been lost; or None.
    """

    name: str
    unavailable_since: int | None

    @property
    def is_out(self) -> bool:
        """Return whether the member is out, or may be at any moment."""

    @property
    def counts_against_bound(self) -> bool:
        """Return whether the member is out, and so counts against the bound."""

    def is_serving(self) -> bool:
        """Return whether the member serves flows now."""

    def observe(self) -> None:
        """Record whether the member serves."""

    def recover(self) -> None:
        """End all faults: cancel a pending crash of the agent, and start it if it does not run."""


HostT = TypeVar("HostT", bound=ObservedHost)


class ReleaseSimulation(FleetSimulation, ABC, Generic[HostT]):
    """Simulated fleet with hosts whose members a release changes.

    Attributes:
        hosts: the hosts, by the name of their member.
        build: behaviour of the new version; a key of the hosts' builds.
        max_unavailable: bound on members out at once.
        pid_count: number of processes started, and the latest pid.
        rollback_requested_at: virtual time of the last request for a rollback; or None.
        max_members_out: most members that were out at once.
        departure_count: how many times a member was taken out.
    """

    kind: MemberKind  # what the release changes: balancers or servers
    observation_interval: int  # nanoseconds between two observations of the hosts
    min_flows: int  # in the release's plan
    change_timeout_s: float  # in the release's plan

    def __init__(
        self,
        seed: int,
        voters: int,
        followers: int,
        zones: int,
        member_count: int,
        bound: Bound,
        build: str,
        loss: float = 0.0,
        delay: tuple[int, int] = DEFAULT_DELAY,
    ):
        """Create a fleet without hosts that is not started yet.

        Args:
            seed: seed of all random draws.
            voters: number of balancers that vote.
            followers: number of further balancers.
            zones: number of zones that the balancers are spread over.
            member_count: number of members of the kind that the release changes.
            bound: bound on those out at once.
            build: behaviour of the new version.
            loss: share of messages that are lost.
            delay: bounds of a message's delay.
        """
        super().__init__(seed, voters, followers, loss=loss, delay=delay, zones=zones)
        self.own_settings = {"mark": 0, "bounds": {self.kind.value: {"all": bound}}}
        self.build = build
        self.pid_count = 0
        self.rollback_requested_at: int | None = None
        self.max_members_out = 0
        self.departure_count = 0
        self.hosts: dict[str, HostT] = {}  # filled by the subclass
        self.max_unavailable = max_unavailable(bound, member_count)
        self._ident_count = 0
        self._halted_since: int | None = None  # when the earliest halt in force was confirmed
        self._resumed_at = -1

    # What differs between balancers and servers.

    @abstractmethod
    def is_bound_waived(self, host: HostT, reason: Reason) -> bool:
        """Return whether a member may be taken out although B2 would forbid it."""

    @abstractmethod
    def is_halt_binding(self, host: HostT, reason: Reason) -> bool:
        """Return whether a halt forbids taking this member out."""

    @abstractmethod
    def is_settled(self, state: FleetState) -> bool:
        """Return whether no member is out or being changed."""

    @abstractmethod
    def running_versions(self) -> dict[str, str]:
        """Return the version that serves at each host."""

    @abstractmethod
    def describe_leader(self) -> str:
        """Describe what the leader's release waits for."""

    def return_removed(self, state: FleetState) -> None:
        """Bring back members that are out by a call whose answer was lost."""

    def recover_processes(self) -> None:
        """Start balancers that no agent starts."""

    def after_observation(self) -> None:
        """Run after each observation of the hosts; a hook for subclasses."""

    def on_stopping(self, host: HostT) -> None:
        """Check the rules when an agent requests a process's shutdown; raise ViolationError."""
        self.on_taken_out(host, Reason.RELEASE)

    def on_process_ended(self, host: HostT) -> None:
        """Run when a process of the host has ended; a hook for subclasses."""

    # Time.

    def observe_hosts(self) -> None:
        """Observe all hosts now and at each interval."""
        for host in self.hosts.values():
            host.observe()
        self.after_observation()
        self.call_later(self.observation_interval, self.observe_hosts)

    def clear_faults(self) -> None:
        """End all faults."""
        self.network.heal()
        self.network.stop_losses()
        self.recover_processes()
        for host in self.hosts.values():
            host.recover()
        self.note("all faults cleared")

    # Rules.

    def check_bound(self) -> None:
        """Check B1 after a change of a host's state; raise ViolationError."""
        out = [host.name for host in self.hosts.values() if host.is_out]
        self.max_members_out = max(self.max_members_out, len(out))
        if len(out) > self.max_unavailable:
            names = ", ".join(out)
            raise ViolationError(
                f"B1: {names} are out by a release or a call, "
                f"at most {self.max_unavailable} may be out"
            )

    def on_taken_out(self, host: HostT, reason: Reason) -> None:
        """Check all rules when a member is taken out; raise ViolationError."""
        self.check_bound()
        self.departure_count += 1
        self.count(f"goes out: {reason}")
        self.note(f"{host.name} goes out: {reason}")
        if not self.is_bound_waived(host, reason):
            self._check_bound_with_lost(host, reason)
        if self._halted_since is not None and self.is_halt_binding(host, reason):
            self._check_halt(host, reason, self._halted_since)

    def _check_bound_with_lost(self, host: HostT, reason: Reason) -> None:
        out = {other.name for other in self.hosts.values() if other.counts_against_bound}
        lost = {other.name for other in self.hosts.values() if self._is_known_lost(other)}
        if len(out | lost | {host.name}) > self.max_unavailable:
            raise ViolationError(
                f"B2: {host.name} goes out ({reason}), {', '.join(sorted(out))} are out "
                f"and {', '.join(sorted(lost))} lost; at most {self.max_unavailable} may be out"
            )

    def _is_known_lost(self, host: HostT) -> bool:
        since = host.unavailable_since
        if since is None or self.now - since <= MAX_DETECTION_TIME:
            return False
        return not host.is_serving()

    def _check_halt(self, host: HostT, reason: Reason, halted_since: int) -> None:
        late = self.now - halted_since
        if late > MAX_HALT_DELAY:
            raise ViolationError(
                f"H: {host.name} goes out ({reason}) {late / SECOND:.1f} s after a confirmed halt"
            )

    # Calls.

    def next_ident(self, prefix: str) -> str:
        """Return a unique id with that prefix."""
        self._ident_count += 1
        return f"{prefix}{self._ident_count}"

    def make_command(self, by: str, args: dict[str, Any]) -> dict[str, Any]:
        """Return the arguments of a command, including those common to all commands."""
        return {"ident": self.next_ident("c"), "by": by, "at": self.now // MILLISECOND} | args

    def operator_call(
        self,
        name: str,
        args: dict[str, Any],
        reply: Reply = ignore_reply,
        timeout: int = CALL_SPAN,
    ) -> None:
        """Call any running balancer as an operator; if none runs, there is no answer."""
        running = [process for process in self.live() if not process.is_frozen]
        if running:
            process = self.random.choice(running)
            self.call(process, name, self.make_command("explorer", args), timeout, reply)

    def begin_release(self, random: Random) -> None:
        """Begin a release of all members, in up to three random waves."""
        plan = msgspec.to_builtins(self._draw_plan(random))
        self.operator_call("release_begin", {"plan": plan}, timeout=BEGIN_SPAN)

    def _draw_plan(self, random: Random) -> Plan:
        names = sorted(self.hosts)
        names = random.sample(names, len(names))
        middle = 1 + len(names) // 2
        waves = [names[:1], names[1:middle], names[middle:]]
        return Plan(
            name=RELEASE_NAME,
            from_version=OLD_VERSION,
            to_version=NEW_VERSION,
            waves=[wave for wave in waves if wave],
            hold_s=4.0,
            min_flows=self.min_flows,
            max_hold_periods=8.0,
            max_excess_failure_share=0.02,
            max_setup_ratio=1.8,
            change_timeout_s=self.change_timeout_s,
            kind=self.kind.value,
            drain_timeout_s=15.0,
        )

    def set_paused(self, paused: bool) -> None:
        """Pause or unpause the release."""
        self.operator_call("release_pause", {"release": RELEASE_NAME, "on": paused})

    def halt(self) -> None:
        """Halt the fleet; rule H applies from the confirmation on."""
        asked_at = self.now

        def reply(ok: bool, body: Any) -> None:
            """Record when the halt was confirmed, unless a resume came after the request."""
            if ok and asked_at > self._resumed_at and self._halted_since is None:
                self._halted_since = self.now
            self.note(f"halt: {ok} {body}")

        self.operator_call("halt", {"why": "by hand"}, reply)

    def resume(self) -> None:
        """End all halts that the fleet has agreed on."""

        def reply(ok: bool, body: Any) -> None:
            """Forget the confirmed halt, and request the end of the halts in the answer."""
            if ok:
                # From now on it is unknown whether halts requested earlier are in force.
                self._halted_since = None
                self._resumed_at = self.now
                self.operator_call("resume", {"halts": body["halts"]})

        self.operator_call("release", {}, reply)

    def roll_back(self) -> None:
        """Request a rollback to the old version."""
        self.rollback_requested_at = self.now
        self.operator_call("release_back", {"release": RELEASE_NAME})

    def agreed_state(self) -> FleetState | None:
        """Return the leader's agreed state; None if there is no leader."""
        leader = self.leader()
        return leader.live_member.state if leader is not None else None
