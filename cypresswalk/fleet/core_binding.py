"""Applies what the fleet has agreed to one balancer's core: settings, endpoint list, rotation.

Called by the deciding thread, but for the check of proposed settings, which reads what never
changes. What this balancer was told itself binds it at once; what others agreed is added.
"""

import logging
from collections.abc import Callable
from typing import Any

from cypresswalk.fleet import shared_settings
from cypresswalk.fleet.applied_view import AppliedView
from cypresswalk.fleet.driver import FleetThread
from cypresswalk.fleet.endpoint_merge import EndpointMerge, agreed_list
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
    """One balancer's part in the fleet, bound to its core.

    The methods of `net.ports.FleetBinding` are what the core and the hand-over between processes
    call.

    Attributes:
        fleet: the driver of the balancer's member.
        version: of the agreed state that the core acts on.
        settings: the agreed settings that it acts on, None before the first.
    """

    def __init__(
        self,
        table: FleetTable,
        config: Config,
        core: Core,
        post: Callable[..., None],
        registry: Callable[[], EndpointListDecoder],
    ):
        """Binds a core to the fleet; `fleet.start` starts taking part.

        Args:
            table: `[fleet]` of the operator file.
            config: of the balancer; its file's settings are read.
            core: gets its reservations, lease and fleet from here.
            post: has the deciding thread call a function with the time and more arguments.
            registry: what is known of servers' names.
        """
        # Over 40 lines since it makes one part a line.
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
        self.tenant_numbers = dict(core.tenants)  # flows in flight are counted by them
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
        """Has the core and the fleet call the parts of this binding."""
        core = self.core
        if table.copies is not None:
            core.extensions.reservations = ReservationGate(
                core, self.fleet, post, table.copies.share
            )
            if core.lifecycle.phase is not Phase.STARTING:
                # Nobody tells what a process before this one spent: a lost one is assumed. While
                # starting, a predecessor may tell it.
                core.balancer.on_predecessor_lost(core.balancer.traffic.started_at)
        self.fleet.served = self.observations.served_counts
        self.fleet.servers = self.observations.server_report
        self.fleet.ready = lambda: core.lifecycle.ready and self.fleet.may_act()
        core.extensions.fleet = self
        core.extensions.holds_lease = self.fleet.may_act

    def on_lease_begun(self, now: int) -> None:
        """A lease has begun, after a time without one."""
        self.core.lifecycle.update_readiness()

    def apply_view(self, now: int, view: AppliedView) -> None:
        """Acts on a version of the agreed state.

        A view whose settings can't be followed is not acted on at all, so that no lease holds;
        nothing is raised that would leave it half done.
        """
        if view.version <= self.version:
            return
        if (
            self.version == 0
            and self.name in view.drained_balancers
            and not self.core.lifecycle.drained
        ):
            # Drained in its life before, or on the machine that this one replaces: that holds until
            # drain-off. Nothing was taken until now, since there was no lease yet.
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
        self.rotation.follow(now, view.servers_out)
        self.observations.report_servers = view.report_servers
        if view.list_version > self.list_version:
            self.list_version = view.list_version
            self.endpoints.follow(now, view.servers)
        self.version = view.version
        self.fleet.on_version_applied(view.version)
        log.info(event("acting_on", version=view.version, out=len(self.rotation.agreed)))

    def apply_settings(self, now: int, agreed: dict[str, Any]) -> None:
        """Has the core act on agreed settings."""
        core = self.core
        params = shared_settings.merged(self.params, agreed)
        settings = decode_settings(params)
        numbers = self.tenant_numbers
        names = [tenant["name"] for tenant in params.get("tenants") or []]
        for name in names:
            numbers.setdefault(name, len(numbers))  # a name keeps the number it had
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

    # Two processes of this balancer side by side (net/handover.py) share one member and one lease.

    def state_for_successor(self) -> dict[str, Any]:
        """What a successor needs to know of what is agreed."""
        return {
            "until": self.fleet.lease_until,
            "version": self.version,
            "settings_version": self.settings_version,
            "settings": self.settings,
            "out": sorted(self.rotation.agreed),
            "here": sorted(self.rotation.forced),
            "list_version": self.list_version,
            "list": self.endpoints.list_for_successor(),
        }

    def inherit(self, now: int, state: dict[str, Any]) -> None:
        """Reads what the process before this one knows of what is agreed.

        That process has the part in the fleet still: its lease serves both until it ends.

        Raises:
            KeyError, TypeError, ValueError: `state` has another form; nothing has changed.
        """
        until = int(state["until"])
        version = int(state["version"])
        agreed = agreed_list(state["list"])
        out = {str(server) for server in state["out"]}
        forced = {str(server) for server in state["here"]}
        settings = state["settings"]
        if version < self.version:
            return
        if settings is not None and shared_settings.objection(self.params, settings):
            return  # without that lease it waits until it has its own part
        if settings is not None and int(state["settings_version"]) > self.settings_version:
            self.apply_settings(now, settings)
            self.settings_version = int(state["settings_version"])
        self.endpoints.agreed = agreed
        self.list_version = int(state["list_version"])
        self.version = version
        self.rotation.inherit(now, out, forced)
        self.endpoints.refresh(now)
        self.fleet.inherit_lease(until, version)
