"""Application of the state that the fleet has agreed on to one balancer's core.

That state is the settings, the endpoint list and the servers out of rotation. Everything here runs
in the deciding thread, except for the check of proposed settings, which reads only data that never
changes. Restrictions from this balancer's own list and commands apply at once; the agreed ones
apply in addition.
"""

import logging
from collections.abc import Callable
from typing import Any

from cypresswalk.fleet import shared_settings
from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.endpoint_merge import EndpointMerge, decode_agreed_list
from cypresswalk.fleet.fleet_commands import FleetCommands
from cypresswalk.fleet.local_observations import LocalObservations
from cypresswalk.fleet.reservation_gate import ReservationGate
from cypresswalk.fleet.rotation import Rotation
from cypresswalk.hosting import decode_settings
from cypresswalk.net.config import Config, read_file
from cypresswalk.net.core import Core
from cypresswalk.net.lifecycle import Phase
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.operator import FleetTable

log = logging.getLogger(__name__)


class CoreBinding:
    """Connection of one balancer's fleet member with its core.

    The core and the handover between processes call only the methods of `net.ports.FleetBinding`.

    Attributes:
        fleet: driver of the balancer's member.
        version: version of the agreed state that the core acts on.
        settings: agreed settings that the core acts on, None before the first.
    """

    def __init__(
        self,
        table: FleetTable,
        config: Config,
        core: Core,
        post: Callable[..., None],
        registry: Callable[[], EndpointListDecoder],
    ):
        """Bind a core to the fleet; the member begins to run with `fleet.start`.

        Args:
            table: `[fleet]` table of the operator file.
            config: configuration of the balancer; the settings are read from its file.
            core: core whose extensions for reservations, lease and fleet are set here.
            post: makes the deciding thread call a function with the time and the given arguments.
            registry: returns the decoder that knows the names of servers.
        """
        self.core = core
        self.params = read_file(config.path)["settings"]
        self.fleet = FleetThread(
            table,
            lambda settings: shared_settings.objection(self.params, settings),
            shared_settings.shared_part(self.params),
            lambda view: post(self.apply_view, view),
            lambda: post(self.on_lease_begun),
        )
        self.name = table.name
        self.version = 0
        self.settings_version = 0
        self.list_version = 0
        self.settings: dict[str, Any] | None = None
        self.tenant_numbers = dict(core.tenants)  # counts of open flows are kept by number
        self.rotation = Rotation(core)
        self.endpoints = EndpointMerge(core, self.fleet, registry)
        self.observations = LocalObservations(core, registry)
        self.commands = FleetCommands(core, self.fleet, self.rotation, table.name, post)
        self.on_attempt_established = self.observations.on_attempt_established
        self.on_attempt_ended = self.observations.on_attempt_ended
        self.merge_endpoints = self.endpoints.merge_endpoints
        self.handle_command = self.commands.handle_command
        self.attach(table, post)

    def attach(self, table: FleetTable, post: Callable[..., None]) -> None:
        """Register the parts of this binding with the core and the fleet."""
        core = self.core
        if table.copies is not None:
            core.extensions.reservations = ReservationGate(
                core, self.fleet, post, table.copies.share
            )
            if core.lifecycle.phase is not Phase.STARTING:
                # No predecessor reports the slow-start and retry budgets that it has used, so they
                # count as used up, as if it had been lost. During the start a predecessor may still
                # report them.
                core.balancer.on_predecessor_lost(core.balancer.traffic.started_at)
        self.fleet.flow_counts_provider = self.observations.served_counts
        self.fleet.server_report_provider = self.observations.server_report
        self.fleet.readiness_provider = lambda: core.lifecycle.ready and self.fleet.may_act()
        core.extensions.fleet = self
        core.extensions.holds_lease = self.fleet.may_act

    def on_lease_begun(self, now: int) -> None:
        """Update readiness now that a lease has begun after a time without one."""
        self.core.lifecycle.update_readiness()

    def apply_view(self, now: int, view: AppliedView) -> None:
        """Act on a version of the agreed state.

        A view whose settings can't be used is not applied at all: the balancer stays on the older
        version, for which its leases are not valid. No exception is raised, since that would leave
        the view partly applied.
        """
        if view.version <= self.version:
            return
        if (
            self.version == 0
            and self.name in view.drained_balancers
            and not self.core.lifecycle.drained
        ):
            # The balancer was drained before its restart, or on the machine that this one
            # replaces. That holds until drain-off. No flow has been accepted yet, for lack of a
            # lease.
            log.info(event("drained_still"))
            self.core.commands.apply(now, AdminCommand("drain-on"))
        if view.settings_version > self.settings_version:
            error = shared_settings.objection(self.params, view.settings)
            if error:
                log.error(
                    event("agreed_settings_unreadable", version=view.settings_version, error=error)
                )
                return
            self.apply_settings(now, view.settings)
            self.settings_version = view.settings_version
            log.info(event("settings_agreed", version=view.settings_version))
        self.rotation.apply_agreed(now, view.servers_out)
        self.observations.report_servers = view.report_servers
        if view.list_version > self.list_version:
            self.list_version = view.list_version
            self.endpoints.apply_agreed_list(now, view.servers)
        self.version = view.version
        self.fleet.on_version_applied(view.version)
        log.info(event("acting_on", version=view.version, out=len(self.rotation.agreed_out)))

    def apply_settings(self, now: int, agreed: dict[str, Any]) -> None:
        """Apply agreed settings to the core."""
        core = self.core
        params = shared_settings.merged(self.params, agreed)
        settings = decode_settings(params)
        numbers = self.tenant_numbers
        names = [tenant["name"] for tenant in params.get("tenants") or []]
        for name in names:
            numbers.setdefault(name, len(numbers))  # known names keep their numbers
        quotas = dict(zip(names, settings.quotas, strict=False))
        if quotas:
            settings.quotas = [
                quotas.get(name, float("inf")) for name in sorted(numbers, key=numbers.__getitem__)
            ]
        core.balancer.on_settings(now, settings)
        self.settings = agreed
        core.service_types = {kind["name"]: i for i, kind in enumerate(params["serviceTypes"])}
        core.tenants = {name: numbers[name] for name in names}
        for counts in core.metrics.counts.values():
            for name in core.service_types:
                counts.setdefault(name, 0)
        core.lifecycle.update_readiness()

    # During an upgrade, both processes of a balancer (net/handover.py) share a member and a lease.

    def state_for_successor(self) -> dict[str, Any]:
        """Return the agreed state that a successor process needs."""
        return {
            "until": self.fleet.lease_until,
            "version": self.version,
            "settings_version": self.settings_version,
            "settings": self.settings,
            "out": sorted(self.rotation.agreed_out),
            "here": sorted(self.rotation.forced_out),
            "list_version": self.list_version,
            "list": self.endpoints.list_for_successor(),
        }

    def inherit(self, now: int, state: dict[str, Any]) -> None:
        """Take over the agreed state from the predecessor process.

        The predecessor still runs the fleet member, and its lease covers both processes until the
        predecessor ends.

        Raises:
            KeyError, TypeError, ValueError: `state` is malformed; nothing has changed.
        """
        until = int(state["until"])
        version = int(state["version"])
        agreed = decode_agreed_list(state["list"])
        out = {str(server) for server in state["out"]}
        forced = {str(server) for server in state["here"]}
        settings = state["settings"]
        if version < self.version:
            return
        if settings is not None and shared_settings.objection(self.params, settings):
            return  # this process has no lease until it runs the member itself
        if settings is not None and int(state["settings_version"]) > self.settings_version:
            self.apply_settings(now, settings)
            self.settings_version = int(state["settings_version"])
        self.endpoints.agreed = agreed
        self.list_version = int(state["list_version"])
        self.version = version
        self.rotation.take_over(now, out, forced)
        self.endpoints.refresh(now)
        self.fleet.inherit_lease(until, version)
