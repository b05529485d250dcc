"""A fleet whose members are changed by a release: hosts, operators and the rules that must hold.

- B1: no more members are out by the program's own doing than the bound allows, whatever else is
  lost.
- B2: none goes out while those that were lost, for as long as anybody could know, take the last
  slot.
- H: none goes out later than 2 s after a halt was confirmed.
"""

from abc import ABC, abstractmethod
from enum import StrEnum
from random import Random
from typing import Any, Generic, Protocol, TypeVar

import msgspec

from cypresswalk.fleet.records import FleetState
from cypresswalk.lab.cluster.checkers.halts import MAX_HALT_DELAY
from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.network import DEFAULT_DELAY
from cypresswalk.lab.cluster.simulation.world import Reply, World, ignore_reply
from cypresswalk.lab.units import MILLISECOND, SECOND
from cypresswalk.rollout.bounds import Bound, max_unavailable
from cypresswalk.rollout.release import MemberKind, Plan

OLD_VERSION = "v1"
NEW_VERSION = "v2"
RELEASE_NAME = "r1"
# After which whoever leads must know that a member was lost: when it was heard last, a link's
# delay, a read's age.
MAX_DETECTION_TIME = 8 * SECOND
CALL_SPAN = 6 * SECOND
BEGIN_SPAN = 20 * SECOND


class Reason(StrEnum):
    """Why a member goes out."""

    RELEASE = "release"
    DRAIN = "drain"  # of a balancer, by an operator's call
    OPERATOR = "hand"  # of a server, by an operator's call


class ObservedHost(Protocol):
    """What the rules see of a host.

    Attributes:
        name: of the member that runs there.
        unavailable_since: virtual time since which it serves nobody, by no call; or None.
    """

    name: str
    unavailable_since: int | None

    @property
    def is_out(self) -> bool:
        """Whether it is out by the program's own doing, or may be at any moment."""

    @property
    def holds_slot(self) -> bool:
        """Whether it has gone out by the program's own doing."""

    def is_serving(self) -> bool:
        """Whether it serves flows now."""

    def observe(self) -> None:
        """Notes whether it serves."""

    def recover(self) -> None:
        """All faults are lifted: its agent runs, and goes on running."""


HostT = TypeVar("HostT", bound=ObservedHost)


class ReleaseWorld(World, ABC, Generic[HostT]):
    """A fleet with hosts that a release changes.

    Attributes:
        hosts: by the name of their member.
        build: what the new version does; a key of the kind's builds.
        max_out: how many members may be out at once.
        pid_count: of all processes that were started.
        rollback_requested_at: when a rollback was asked for; or None.
        most_out: how many were out at once.
        went_out: how many went out in all.
    """

    kind: MemberKind  # of the members
    observation_interval: int  # nanoseconds between two looks at the hosts
    min_flows: int  # of the release's plan
    change_timeout_s: float  # of the release's plan

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
        """A fleet that does not run yet, without hosts.

        Args:
            seed: of all random draws.
            voters: how many balancers vote.
            followers: how many more balancers there are.
            zones: over which the balancers are spread.
            member_count: how many members of this kind there are.
            bound: how many of them may be out at once.
            build: what the new version does.
            loss: share of messages that are lost.
            delay: bounds of the time that a message takes.
        """
        super().__init__(seed, voters, followers, loss=loss, delay=delay, zones=zones)
        self.own_settings = {"mark": 0, "bounds": {self.kind.value: {"all": bound}}}
        self.build = build
        self.pid_count = 0
        self.rollback_requested_at: int | None = None
        self.most_out = 0
        self.went_out = 0
        self.hosts: dict[str, HostT] = {}  # made by the subclass
        self.max_out = max_unavailable(bound, member_count)
        self._ident_count = 0
        self._halted_since: int | None = None  # of the first halt that nobody has ended
        self._resumed_at = -1

    # What differs between balancers and servers.

    @abstractmethod
    def is_bound_waived(self, host: HostT, reason: Reason) -> bool:
        """Whether a member may go out though B2 would forbid it."""

    @abstractmethod
    def is_halt_binding(self, host: HostT, reason: Reason) -> bool:
        """Whether a halt forbids that this member goes out."""

    @abstractmethod
    def is_settled(self, state: FleetState) -> bool:
        """Whether all members are in, and none is being changed."""

    @abstractmethod
    def running_versions(self) -> dict[str, str]:
        """The version that serves at each host."""

    @abstractmethod
    def describe_leader(self) -> str:
        """What the leader's release waits for, for people."""

    def return_removed(self, state: FleetState) -> None:
        """Brings members back that are out by a call whose answer was lost."""

    def recover_processes(self) -> None:
        """Starts balancers that no agent starts."""

    def after_observation(self) -> None:
        """Called after each look at the hosts."""

    def on_stopping(self, host: HostT) -> None:
        """The agent asks the process of the old version to leave; may raise ViolationError."""
        self.on_going_out(host, Reason.RELEASE)

    def on_process_ended(self, host: HostT) -> None:
        """A process of that host has ended."""

    # Time.

    def observe_hosts(self) -> None:
        """Looks at all hosts, now and at each interval."""
        for host in self.hosts.values():
            host.observe()
        self.after_observation()
        self.call_later(self.observation_interval, self.observe_hosts)

    def lift_faults(self) -> None:
        """Ends all faults."""
        self.network.heal()
        self.network.stop_losses()
        self.recover_processes()
        for host in self.hosts.values():
            host.recover()
        self.note("all faults lifted")

    # Rules.

    def check_bound(self) -> None:
        """Checks B1; called where a host's state has changed. Raises ViolationError."""
        out = [host.name for host in self.hosts.values() if host.is_out]
        self.most_out = max(self.most_out, len(out))
        if len(out) > self.max_out:
            names = ", ".join(out)
            raise ViolationError(
                f"B1: {names} are out by the program's doing, {self.max_out} may be"
            )

    def on_going_out(self, host: HostT, reason: Reason) -> None:
        """Checks all rules as a member goes out; raises ViolationError."""
        self.check_bound()
        self.went_out += 1
        self.count(f"goes out: {reason}")
        self.note(f"{host.name} goes out: {reason}")
        if not self.is_bound_waived(host, reason):
            self._check_slots(host, reason)
        if self._halted_since is not None and self.is_halt_binding(host, reason):
            self._check_halt(host, reason, self._halted_since)

    def _check_slots(self, host: HostT, reason: Reason) -> None:
        out = {other.name for other in self.hosts.values() if other.holds_slot}
        lost = {other.name for other in self.hosts.values() if self._is_known_lost(other)}
        if len(out | lost | {host.name}) > self.max_out:
            raise ViolationError(
                f"B2: {host.name} goes out ({reason}), {', '.join(sorted(out))} are out "
                f"and {', '.join(sorted(lost))} lost; {self.max_out} may be"
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
                f"H: {host.name} goes out ({reason}) {late / SECOND:.1f} s after a yes to a halt"
            )

    # Calls.

    def next_ident(self, prefix: str) -> str:
        """A text that nobody else has."""
        self._ident_count += 1
        return f"{prefix}{self._ident_count}"

    def make_command(self, by: str, args: dict[str, Any]) -> dict[str, Any]:
        """The arguments of a command, with what all commands have."""
        return {"ident": self.next_ident("c"), "by": by, "at": self.now // MILLISECOND} | args

    def operator_call(
        self,
        name: str,
        args: dict[str, Any],
        reply: Reply = ignore_reply,
        span: int = CALL_SPAN,
    ) -> None:
        """An operator calls any balancer that runs; no answer where none does."""
        running = [process for process in self.live() if not process.is_frozen]
        if running:
            process = self.random.choice(running)
            self.call(process, name, self.make_command("explorer", args), span, reply)

    def begin_release(self, random: Random) -> None:
        """Begins a release of all members, in three waves that are drawn."""
        plan = msgspec.to_builtins(self._draw_plan(random))
        self.operator_call("release_begin", {"plan": plan}, span=BEGIN_SPAN)

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
        """Pauses the release, or lets it go on."""
        self.operator_call("release_pause", {"release": RELEASE_NAME, "on": paused})

    def halt(self) -> None:
        """Halts the fleet; from its confirmation on H holds."""
        asked_at = self.now

        def reply(ok: bool, body: Any) -> None:
            """Records when the halt was confirmed, unless a resume came after it was asked for."""
            if ok and asked_at > self._resumed_at and self._halted_since is None:
                self._halted_since = self.now
            self.note(f"halt: {ok} {body}")

        self.operator_call("halt", {"why": "by hand"}, reply)

    def resume(self) -> None:
        """Ends all halts that the fleet has agreed on."""

        def reply(ok: bool, body: Any) -> None:
            """Forgets the confirmed halt, and asks to end the halts that the answer lists."""
            if ok:
                # Nobody knows from now on whether halts that were asked for before are in force.
                self._halted_since = None
                self._resumed_at = self.now
                self.operator_call("resume", {"halts": body["halts"]})

        self.operator_call("release", {}, reply)

    def roll_back(self) -> None:
        """Asks for a rollback to the old version."""
        self.rollback_requested_at = self.now
        self.operator_call("release_back", {"release": RELEASE_NAME})

    def agreed_state(self) -> FleetState | None:
        """The state that the leader has; None where nobody leads."""
        leader = self.leader()
        return leader.live_member.state if leader is not None else None
