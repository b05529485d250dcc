"""The leader's duties for proposed settings and the endpoint list. No I/O, no clock."""

from typing import Any

from cypresswalk.fleet.commands import (
    ActivateSettings,
    ProposeSettings,
    RejectSettings,
    UpdateEndpointList,
)
from cypresswalk.fleet.leases import LeaseGrants
from cypresswalk.fleet.member_context import MemberContext
from cypresswalk.fleet.records import PendingSettings
from cypresswalk.fleet.unavailability import name_of

MAX_OBJECTION_LENGTH = 400  # characters, including the balancer's name


class SettingsDuty:
    """Duty to activate proposed settings once all acting balancers can use them, or reject them."""

    def __init__(
        self,
        context: MemberContext,
        grants: LeaseGrants | None,
        own_settings: dict[str, Any] | None,
    ):
        """Begin without objections.

        `own_settings` are those of this balancer's file, proposed if the fleet has none yet.
        """
        self.context = context
        self.grants = grants
        self.own_settings = own_settings
        # By member id: the proposal that it has checked, and why it can't use it (empty if it can).
        self.objections: dict[str, tuple[str, str]] = {}

    def run(self, now: int) -> None:
        """Decide on the pending settings; raise BusyError if the log is busy."""
        pending = self.context.state.pending
        if pending is None:
            self._propose_own(now)
            return
        name = self.context.config.name
        proposal = pending.proposal_id
        reasons = self._reasons_against(pending)
        if reasons:
            ident = f"refuse:{proposal}"
            command = RejectSettings(ident, name, pending.at, proposal, reasons)
            self.context.propose(now, command)
        elif self._all_have_checked(now, proposal):
            ident = f"activate:{proposal}"
            self.context.propose(now, ActivateSettings(ident, name, pending.at, proposal))

    def _propose_own(self, now: int) -> None:
        context = self.context
        ident = f"first:{context.group}"
        if (
            context.state.settings_version == 0
            and self.own_settings is not None
            and ident not in context.machine.results
            and context.has_committed_in_term()
        ):
            name = context.config.name
            command = ProposeSettings(ident, name, context.host.wall_ms(), 0, self.own_settings)
            context.propose(now, command)

    def _reasons_against(self, pending: PendingSettings) -> list[str]:
        reasons = [
            f"{name_of(member)}: {text}"
            for member, (proposal, text) in sorted(self.objections.items())
            if proposal == pending.proposal_id and text
        ]
        name = self.context.config.name
        own_objection = self.context.host.settings_objection(pending.settings)
        if own_objection and not any(line.startswith(f"{name}:") for line in reasons):
            reasons.append(f"{name}: {own_objection}"[:MAX_OBJECTION_LENGTH])
        return reasons

    def _all_have_checked(self, now: int, proposal: str) -> bool:
        assert self.grants is not None, "only a leader decides on settings"
        return all(
            self.objections.get(member.id, ("",))[0] == proposal
            or member.id == self.context.id
            or self.grants.lapsed(now, member.id)
            for member in self.context.members
        )


class EndpointListDuty:
    """Duty to propose an endpoint list that a majority of voters got from their own list agents.

    The lists must be identical byte for byte, so that a single faulty agent can't change anything.
    A list from an agent that lags behind is ignored, since its generation is not later than the
    agreed one.
    """

    def __init__(self, context: MemberContext):
        """Begin without any member's list."""
        self.context = context
        # By member id: generation and digest of its list.
        self.received: dict[str, tuple[int, bytes]] = {}

    def run(self, now: int) -> None:
        """Propose a newer list; raise BusyError if the log is busy."""
        context = self.context
        own = context.received_list
        state = context.state
        if own.generation <= state.list_generation:
            return
        voters = context.raft.voters
        identical = sum(
            voter == context.id or self.received.get(voter) == (own.generation, own.digest)
            for voter in voters
        )
        if identical >= context.raft.majority(len(voters)):
            command = UpdateEndpointList(
                f"list:{state.list_epoch}:{own.generation}",
                context.config.name,
                context.host.wall_ms(),
                own.generation,
                state.list_epoch,
                own.servers,
            )
            context.propose(now, command)
