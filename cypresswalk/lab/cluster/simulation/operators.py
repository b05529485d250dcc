"""Operators' calls of the explorer, and whether the fleet's answers are true.

The names of the rules are those of `docs/design/agreement.md`.
"""

from functools import partial
from typing import Any, NamedTuple

from cypresswalk.lab.cluster.simulation.errors import ViolationError
from cypresswalk.lab.cluster.simulation.faults import Handler, Target
from cypresswalk.lab.cluster.simulation.process import Process
from cypresswalk.lab.cluster.simulation.world import Reply, World
from cypresswalk.lab.units import MILLISECOND, SECOND

CALL_SPAN = 6 * SECOND
SETTLED_SPAN_S = 12
SERVERS = ("s0", "s1", "s2", "s3")
MARK_COUNT = 50  # of different settings


class Promise(NamedTuple):
    """A command that was confirmed, and the version that its answer named."""

    call: str
    version: int


class Operators:
    """Calls the fleet as operators do, and checks its answers."""

    def __init__(self, world: World):
        """Has called nothing yet."""
        self.promises: dict[str, Promise] = {}  # by ident
        self._world = world
        self._ident_count = 0

    def handlers(self) -> dict[str, Handler]:
        """The handlers by the kind of call."""
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
        """Gives a command, and remembers it once it was confirmed."""
        self._ident_count += 1
        ident = f"{name}:{self._ident_count}"

        def reply(ok: bool, body: Any) -> None:
            """Counts the answer, and records a promise if the command was confirmed."""
            self._world.count(f"{name}: {'yes' if ok else 'no'}")
            if ok:
                self.promises[ident] = Promise(name, body.get("version", 0))

        common = {"ident": ident, "by": "explorer", "at": self._world.now // MILLISECOND}
        self._world.call(process, name, common | args, CALL_SPAN, reply)

    def _show(self, target: Target) -> None:
        """Asks for the agreed state; it must have all that was confirmed before."""
        floor = max((promise.version for promise in self.promises.values()), default=0)

        def reply(ok: bool, body: Any) -> None:
            """Raises a violation if the shown version is older than one promised before."""
            if ok and body["version"] < floor:
                raise ViolationError(
                    f"A7: version {body['version']} was shown, "
                    f"{floor} had been promised before it was asked for"
                )

        self._world.call(target.process, "show", {}, CALL_SPAN, reply)

    def _query_settled(self, target: Target) -> None:
        """Asks whether all act on the newest version; a yes must be true."""
        version = self._world.invariants.newest_version
        args = {"version": version, "span": SETTLED_SPAN_S}
        reply: Reply = partial(self._check_settled, version)
        self._world.call(target.process, "settled", args, SETTLED_SPAN_S * SECOND, reply)

    def _check_settled(self, version: int, ok: bool, body: Any) -> None:
        self._world.count(f"settled: {'yes' if ok else 'no'}")
        processes = self._world.processes.values()
        behind = [p.name for p in processes if p.acts and p.acts_on < version]
        if ok and behind:
            raise ViolationError(
                f"L3: told that all act on {version} or not at all, {', '.join(behind)} act on less"
            )
