"""Parser of operators' commands: turns one line into one command or one error, without I/O."""

from dataclasses import dataclass, field
from queue import Empty, SimpleQueue
from threading import Lock

from cypresswalk.model import SECOND
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.parsers.lines import NAME, LineParser

# A command that ends in "-here" affects one balancer of a fleet.
COMMANDS_WITHOUT_ID = frozenset((b"check", b"vars", b"drain-on", b"drain-off", b"drain-on-here"))
COMMANDS_WITH_ID = frozenset((b"set-down", b"set-up", b"set-down-here", b"set-up-here"))


@dataclass(slots=True)
class AdminCommand:
    """A command and its only reply.

    The deciding thread executes the command and replies. If it has not begun by the end of the time
    that the caller's thread waits, the command is cancelled and has no effect.
    """

    name: str
    server: str = ""  # the id as in the endpoint list, if the command takes one
    # Acquired once and never released: by the thread that executes or cancels the command.
    claim_lock: Lock = field(default_factory=Lock)
    answers: SimpleQueue[bytes] = field(default_factory=SimpleQueue)

    def claim(self) -> bool:
        """Claim the command, to execute or cancel it; return False if it is claimed already."""
        return self.claim_lock.acquire(blocking=False)

    def wait_for_reply(self, timeout: int) -> bytes | None:
        """Return the reply, or cancel the command and return None if it has not begun in time.

        Args:
            timeout: nanoseconds to wait for the command to begin, and again for its reply.
        """
        try:
            return self.answers.get(timeout=timeout / SECOND)
        except Empty:
            if self.claim():
                return None
        try:
            return self.answers.get(timeout=timeout / SECOND)
        except Empty:
            return b"ERR a fault; see the log\r\n"


class AdminCommandParser:
    """Parses the bytes that one caller sends."""

    def __init__(self, max_line_bytes: int):
        """Create a parser that accepts a line up to this length."""
        self.lines = LineParser(max_line_bytes)

    def feed(self, data: bytes) -> AdminCommand | None:
        """Return the command once its line is complete, and None before.

        Raises:
            ProtocolError: it is not a command, or data follows the line; executing the line alone
                could do half of what the caller meant. The message is sent to the caller.
        """
        self.lines.feed(data)
        line = self.lines.next_line()
        if line is None:
            return None
        if len(self.lines.buffer):
            raise ProtocolError("one command per connection")
        words = line.split()
        if not words:
            raise ProtocolError("empty command")
        if words[0] in COMMANDS_WITHOUT_ID:
            if len(words) > 1:
                raise ProtocolError(f"{words[0].decode()} takes no argument")
            return AdminCommand(words[0].decode())
        if words[0] in COMMANDS_WITH_ID:
            if len(words) != 2:
                raise ProtocolError(f"{words[0].decode()} takes one id")
            ident = words[1].decode("ascii", "replace")
            if not NAME.fullmatch(ident):
                raise ProtocolError("not a valid server id")
            return AdminCommand(words[0].decode(), ident)
        raise ProtocolError(
            "unknown command; expected check, vars, set-down ID, set-up ID, drain-on and drain-off"
        )


def error_reply(reason: str) -> bytes:
    """Return the reply to a command that is refused."""
    return b"ERR " + reason.encode() + b"\r\n"
