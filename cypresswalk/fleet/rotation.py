"""Servers that are out of rotation, by the fleet's agreement or at this balancer alone."""

from collections.abc import Iterable

from cypresswalk.net.core import Core
from cypresswalk.net.parsers.admin_commands import AdminCommand


class Rotation:
    """Servers that the core must not use, by cause.

    Attributes:
        agreed_out: ids of servers that are out by the fleet's agreement.
        forced_out: ids of servers that an operator has forced out at this balancer alone.
    """

    def __init__(self, core: Core):
        """Start with all servers in rotation."""
        self.core = core
        self.agreed_out: set[str] = set()
        self.forced_out: set[str] = set()

    def apply_agreed(self, now: int, out: Iterable[str]) -> None:
        """Apply a new agreed set of servers that are out."""
        wanted = set(out)
        for server in sorted(wanted - self.agreed_out):
            self._disable(now, server)
        for server in sorted(self.agreed_out - wanted):
            if server not in self.forced_out:
                self._enable(now, server)
        self.agreed_out = wanted

    def take_over(self, now: int, agreed_out: set[str], forced_out: set[str]) -> None:
        """Start from the sets that the predecessor process acted on."""
        self.agreed_out = agreed_out
        self.forced_out = forced_out
        for server in sorted(agreed_out | forced_out):
            self._disable(now, server)

    def remove(self, now: int, server: str) -> None:
        """Take out a server, as the fleet has agreed."""
        self.agreed_out.add(server)
        self._disable(now, server)

    def restore(self, now: int, server: str) -> None:
        """Return a server, as the fleet has agreed; one that is forced out here stays out."""
        if server in self.agreed_out and server not in self.forced_out:
            self.agreed_out.discard(server)
            self._enable(now, server)

    def force(self, now: int, command: AdminCommand) -> tuple[str | None, bool]:
        """Carry out `set-down-here` or `set-up-here`.

        Returns:
            The error for the reply, or None; and whether the command had an effect.
        """
        error = self.core.commands.apply(now, command)
        if error is not None:
            return error, False
        if command.name == "set-down-here":
            self.forced_out.add(command.server)
            return None, True
        self.forced_out.discard(command.server)
        if command.server in self.agreed_out:
            self._disable(now, command.server)
            return "out by the fleet still: `set-up` ends that", True
        return None, True

    def _disable(self, now: int, server: str) -> None:
        """Make the core send no new flow to a server."""
        self.core.commands.apply(now, AdminCommand("set-down", server), known=True)

    def _enable(self, now: int, server: str) -> None:
        """Make the core use a server again."""
        self.core.commands.apply(now, AdminCommand("set-up", server), known=True)
