"""Servers that are out of rotation here: as the fleet has agreed, or by force here alone."""

from collections.abc import Iterable

from cypresswalk.net.core import Core
from cypresswalk.net.parsers.admin_commands import AdminCommand


class Rotation:
    """Takes servers out of the core's rotation and returns them.

    Attributes:
        agreed: ids of servers that are out by what the fleet has agreed.
        forced: ids of servers that are out by force at this balancer alone.
    """

    def __init__(self, core: Core):
        """All are in rotation."""
        self.core = core
        self.agreed: set[str] = set()
        self.forced: set[str] = set()

    def follow(self, now: int, out: Iterable[str]) -> None:
        """Acts on another agreed set of servers that are out."""
        wanted = set(out)
        for server in sorted(wanted - self.agreed):
            self.take_down(now, server)
        for server in sorted(self.agreed - wanted):
            if server not in self.forced:
                self.take_up(now, server)
        self.agreed = wanted

    def inherit(self, now: int, agreed: set[str], forced: set[str]) -> None:
        """Starts from what the process before this one acted on."""
        self.agreed = agreed
        self.forced = forced
        for server in sorted(agreed | forced):
            self.take_down(now, server)

    def remove(self, now: int, server: str) -> None:
        """The fleet has agreed that a server is out."""
        self.agreed.add(server)
        self.take_down(now, server)

    def restore(self, now: int, server: str) -> None:
        """The fleet has agreed that a server is in; one that is out by force here stays out."""
        if server in self.agreed and server not in self.forced:
            self.agreed.discard(server)
            self.take_up(now, server)

    def force(self, now: int, command: AdminCommand) -> tuple[str | None, bool]:
        """Carries out `set-down-here` or `set-up-here`.

        Returns:
            Why the reply is no, or None; and whether anything was done.
        """
        error = self.core.commands.apply(now, command)
        if error is not None:
            return error, False
        if command.name == "set-down-here":
            self.forced.add(command.server)
            return None, True
        self.forced.discard(command.server)
        if command.server in self.agreed:
            self.take_down(now, command.server)
            return "out by the fleet still: `set-up` ends that", True
        return None, True

    def take_down(self, now: int, server: str) -> None:
        """Has the core send nothing new to a server."""
        self.core.commands.apply(now, AdminCommand("set-down", server), known=True)

    def take_up(self, now: int, server: str) -> None:
        """Has the core use a server again."""
        self.core.commands.apply(now, AdminCommand("set-up", server), known=True)
