"""Operators' calls made by the explorer, and checks of the fleet's answers.

The names of the rules are those of `docs/design/agreement.md`.
"""

from functools import partial
from typing import Any, NamedTuple

from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import Handler, Target
from cypresswalk.lab.cluster.simulation.fleet_simulation import FleetSimulation, Reply
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.units import MILLISECOND, SECOND

CALL_SPAN = 6 * SECOND  # within which the fleet must answer
SETTLED_SPAN_S = 12  # seconds within which it must answer `settled`
SERVERS = ("s0", "s1", "s2", "s3")
MARK_COUNT = 50  # number of different settings to offer; they differ in their mark


class ConfirmedCommand(NamedTuple):
    """A confirmed command, and the version of the agreed state given in the answer."""

    call: str
    version: int


class Operators:
    """Operators' calls to the fleet, with checks of its answers.

    Attributes:
        confirmed_commands: the commands that were confirmed, by ident.
    """

    def __init__(self, simulation: FleetSimulation):
        """Start without calls."""
        self.confirmed_commands: dict[str, ConfirmedCommand] = {}
        self._simulation = simulation
        self._ident_count = 0

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers by the kind of call."""
        return {
            "out": self._remove_server,
            "back": self._return_server,
            "offer": self._offer_settings,
            "show": self._show,
            "settled": self._query_settled,
        }

    def _remove_server(self, target: Target) -> None:
        self._command(target.process, "out", {"server": target.pick(SERVERS)})

    def _return_server(self, target: Target) -> None:
        self._command(target.process, "back", {"server": target.pick(SERVERS)})

    def _offer_settings(self, target: Target) -> None:
        member = target.process.member
        base = member.state.settings_version if member is not None else 0
        settings = {"mark": target.pick(range(MARK_COUNT))}
        self._command(target.process, "offer", {"base": base, "settings": settings})

    def _command(self, process: Process, name: str, args: dict[str, Any]) -> None:
        """Send a command, and record it once it is confirmed."""
        self._ident_count += 1
        ident = f"{name}:{self._ident_count}"

        def reply(ok: bool, body: Any) -> None:
            """Count the answer, and record the command if it was confirmed."""
            self._simulation.count(f"{name}: {'yes' if ok else 'no'}")
            if ok:
                self.confirmed_commands[ident] = ConfirmedCommand(name, body.get("version", 0))

        common = {"ident": ident, "by": "explorer", "at": self._simulation.now // MILLISECOND}
        self._simulation.call(process, name, common | args, CALL_SPAN, reply)

    def _show(self, target: Target) -> None:
        """Read the agreed state; it must include all commands confirmed before the call."""
        min_version = max(
            (command.version for command in self.confirmed_commands.values()), default=0
        )

        def reply(ok: bool, body: Any) -> None:
            """Raise a violation if the version read is older than a confirmed one."""
            if ok and body["version"] < min_version:
                raise ViolationError(
                    f"A7: version {body['version']} was shown, "
                    f"{min_version} had been confirmed before the call"
                )

        self._simulation.call(target.process, "show", {}, CALL_SPAN, reply)

    def _query_settled(self, target: Target) -> None:
        """Ask whether all balancers act on the newest version, and check a positive answer."""
        version = self._simulation.invariants.newest_version
        args = {"version": version, "span": SETTLED_SPAN_S}
        reply: Reply = partial(self._check_settled, version)
        self._simulation.call(target.process, "settled", args, SETTLED_SPAN_S * SECOND, reply)

    def _check_settled(self, version: int, ok: bool, body: Any) -> None:
        self._simulation.count(f"settled: {'yes' if ok else 'no'}")
        processes = self._simulation.processes.values()
        behind = [p.name for p in processes if p.may_act and p.applied_version < version]
        if ok and behind:
            raise ViolationError(
                f"L3: answered that no balancer acts on a version below {version}, "
                f"but {', '.join(behind)} do"
            )
