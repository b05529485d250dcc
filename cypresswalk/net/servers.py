"""Connects to servers on behalf of clients and passes on what they say."""

import errno
import re
import socket
from threading import Lock, Semaphore

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import Limits
from cypresswalk.net.link import Link, dial, pass_end_on
from cypresswalk.net.parsers.lines import LineParser, ProtocolError
from cypresswalk.net.parsers.load_reports import Told, load_number
from cypresswalk.net.session import Attempt

FIRST = {
    b"BUSY": Outcome.FULL,
    b"ERR": Outcome.ERROR,
    b"BYE": Outcome.OK,
    b"MOVE": Outcome.CANCELLED,
}


UP = re.compile(rb"UP [!-~][ -~]*")  # with its receipt: one without is no server's yes
OWN_SHORTAGE = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


class ServerLink:
    """One connect to a server; its thread runs `run`."""

    def __init__(
        self,
        attempt: Attempt,
        address: Address,
        line: bytes,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        places: Semaphore,
    ):
        self.places = places  # how many may be connected or dialing at once
        self.attempt, self.address, self.opening = attempt, address, line
        self.core, self.inbox, self.limits = core, inbox, limits
        self.client, self.told = attempt.session.client, Told()
        self.lines = LineParser(limits.line)
        self.link: Link | None = None
        self.sending = (
            Lock()
        )  # the first line goes out, or the connect was dropped before. Never held over a
        # write: guards the deciding thread against a server that reads nothing
        self.dropped = self.moved = self.sent = False
        self.verdict = Lock()  # held until the core has said whether UP is passed on
        self.verdict.acquire()

    def run(self) -> None:
        # Guards the list's descriptor, and others', against dials that were dropped and still wait.
        if not self.places.acquire(timeout=self.limits.dial / SECOND):
            self.end(Outcome.MOOT)
            return
        try:
            sock = self.dial()
            if sock is not None:
                self.speak(sock)
        finally:
            self.places.release()

    def speak(self, sock: socket.socket) -> None:
        self.link = Link(sock, self.limits)
        try:
            if not self.send_opening():
                return
            first = self.first_line()
            if first is None:
                self.end(Outcome.RESET)
            elif not UP.fullmatch(first):
                self.end(FIRST.get(first.partition(b" ")[0], Outcome.ERROR))
            else:
                self.inbox.post(self.core.on_established, self.attempt)
                self.verdict.acquire()
                if not self.dropped:
                    self.serve(first)
        except Exception:
            # Whatever went wrong, the core hears of an end; a second one changes nothing.
            self.end(Outcome.RESET)
            raise
        finally:
            self.link.done.set()
            self.link.close()

    def end(self, outcome: Outcome) -> None:
        self.inbox.post(self.core.on_attempt_ended, self.attempt, outcome)

    def client_gone(self) -> bool:
        """Its word to the deciding thread may still be on its way: guards servers against flows that nobody waits for."""
        if not self.client.gone():
            return False
        self.inbox.post(self.core.on_client_left, self.attempt.session)
        return True

    def dial(self) -> socket.socket | None:
        """None where it was refused or has not come up in time."""
        if self.dropped or self.client_gone():
            return None
        began = self.inbox.clock()
        try:
            sock = dial(self.address, self.limits.dial)
        except OSError as error:
            # Short of what this machine has: no word on the server.
            self.end(Outcome.MOOT if error.errno in OWN_SHORTAGE else Outcome.CONNECT_FAILED)
            return None
        self.attempt.delay_gauge.on_setup(self.inbox.clock() - began)
        return sock

    def send_opening(self) -> bool:
        if self.client_gone():
            return False
        with self.sending:
            if self.dropped:
                return False
            # A dial takes its time: the window of a flow that may have run binds when the line goes out.
            if late := self.inbox.clock() >= self.attempt.send_deadline:
                self.dropped = True
            else:
                self.sent = True
        if late:
            self.end(Outcome.MOOT)
            return False
        try:
            self.link.sock.sendall(self.opening)
        except OSError:
            self.end(Outcome.CONNECT_FAILED)  # the last byte never went out
            return False
        self.core.counters.add("connects_written")
        return True

    def first_line(self) -> bytes | None:
        try:
            while (line := self.lines.line()) is None:
                data = self.link.sock.recv(self.limits.line)
                if not data:
                    return None
                self.lines.feed(data)
            return line
        except (OSError, ProtocolError):
            return None

    def serve(self, first: bytes) -> None:
        reset, last, taken = False, b"", False
        try:
            last = self.lines.whole()
            taken = self.say(first + b"\r\n" + last)
            self.answered(last)
            self.client.flush()
            while taken and (data := self.link.sock.recv(self.limits.line)):
                self.lines.feed(data)
                data = self.lines.whole()
                if data:
                    last = data
                    taken = self.say(data)
                    self.answered(data)
        except (OSError, ProtocolError):
            reset = True
        if self.moved:
            reset = False
            self.say(b"MOVE\r\n")
        elif taken and not self.client.link.done.is_set():
            self.end(FIRST.get(last.rstrip(b"\r\n").rpartition(b"\n")[2], Outcome.RESET))
        else:
            # Guards a sound server against being blamed for its client's end, which comes back from here as a reset.
            self.inbox.post(self.core.on_client_left, self.attempt.session)
        self.link.done.set()
        pass_end_on(reset, self.client.link, self.limits)

    def say(self, data: bytes) -> bool:
        """Whether the client took it."""
        try:
            self.client.link.send(data)
        except OSError:
            return False
        return True

    # What lines say of the server.

    def asked(self, data: bytes) -> None:
        if not self.attempt.unanswered_since:
            self.attempt.unanswered_since = self.inbox.clock()
        self.link.send(data)

    def answered(self, data: bytes) -> None:
        """A LOAD line is the server's own word, not the answer to a line: a hung server still says it."""
        now, echoed = self.inbox.clock(), bool(data)
        if b"LOAD " in data:
            lines = data.split(b"\r\n")[:-1]
            told = [line for line in lines if load_number(line) is not None]
            echoed = len(told) < len(lines)
            for line in told:
                self.tell(self.core.load_reports.delay(self.told, now, line))
        if echoed and self.attempt.unanswered_since:
            took, gauge = now - self.attempt.unanswered_since, self.attempt.delay_gauge
            gauge.latest_answered, self.attempt.unanswered_since = (
                max(gauge.latest_answered, self.attempt.unanswered_since),
                0,
            )
            if not self.core.load_reports.delays:
                self.tell(self.attempt.delay_gauge.delay_to_report(now, took))

    def tell(self, delay: int | None) -> None:
        if delay is not None:
            self.inbox.post(self.core.on_message_delay, self.attempt.server, delay)

    # For the deciding thread.

    def join(self) -> None:
        self.client.server = self
        self.verdict.release()

    def drop(self) -> None:
        with self.sending:
            if self.dropped:
                return
            self.dropped = True
        if self.link is not None:
            self.link.shut(socket.SHUT_RDWR)
        self.verdict.release()

    def recall(self) -> bool:
        """Whether nothing was sent, and now never will be."""
        with self.sending:
            if self.sent or self.dropped:
                return False
            self.dropped = True
        self.verdict.release()
        return True

    def move(self) -> None:
        """Its thread reads what has come already, then an end, and then says MOVE."""
        self.moved = True
        self.link.shut(socket.SHUT_RD)
