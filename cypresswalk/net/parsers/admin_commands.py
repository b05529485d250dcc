"""Operators' commands: one line in, one command or one error out. Knows no socket."""

from dataclasses import dataclass, field
from queue import Empty, SimpleQueue
from threading import Lock

from cypresswalk.model import SECOND
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.lines import NAME, LineParser

PLAIN = frozenset((b"check", b"vars", b"drain-on", b"drain-off", b"drain-on-here"))
# Those that end in "-here" are for balancers that agree.
WITH_ID = frozenset((b"set-down", b"set-up", b"set-down-here", b"set-up-here"))


@dataclass(slots=True)
class AdminCommand:
    """A command and its one reply.

    The deciding thread replies; or the caller's own thread has waited enough, and then the command
    has no effect.
    """

    name: str
    server: str = ""  # the id as the list has it, where the command names one
    begun: Lock = field(default_factory=Lock)  # taken for good by the side that decides about it
    answers: SimpleQueue[bytes] = field(default_factory=SimpleQueue)

    def begin(self) -> bool:
        """Whether it may take effect still. The deciding thread asks before it acts."""
        return self.begun.acquire(blocking=False)

    def wait(self, span: int) -> bytes | None:
        """The reply; None if the command was not begun within `span` ns, and now never will be."""
        try:
            return self.answers.get(timeout=span / SECOND)
        except Empty:
            if self.begin():
                return None
        try:
            return self.answers.get(timeout=span / SECOND)
        except Empty:
            return b"ERR a fault; see the log\r\n"


class AdminCommandParser:
    """Is fed the bytes of one caller."""

    def __init__(self, longest: int):
        """`longest`: bytes of a line."""
        self.lines = LineParser(longest)

    def feed(self, data: bytes) -> AdminCommand | None:
        """The command once its line is complete.

        Raises:
            ProtocolError: it is no command, or more came behind it: then half of what was meant
                would
                be done. The message is for the caller.
        """
        self.lines.feed(data)
        line = self.lines.next_line()
        if line is None:
            return None
        if len(self.lines.buffer):
            raise ProtocolError("one line to a connection")
        words = line.split()
        if not words:
            raise ProtocolError("no call")
        if words[0] in PLAIN:
            if len(words) > 1:
                raise ProtocolError(f"{words[0].decode()} stands alone")
            return AdminCommand(words[0].decode())
        if words[0] in WITH_ID:
            if len(words) != 2:
                raise ProtocolError(f"{words[0].decode()} takes one id")
            ident = words[1].decode("ascii", "replace")
            if not NAME.fullmatch(ident):
                raise ProtocolError("that is no id of a server")
            return AdminCommand(words[0].decode(), ident)
        raise ProtocolError(
            "no such call; there are check, vars, set-down ID, set-up ID, drain-on and drain-off"
        )


def error_reply(reason: str) -> bytes:
    """The reply that refuses a command."""
    return b"ERR " + reason.encode() + b"\r\n"
