"""Accepts clients, reads their first lines and passes on what they say."""

import logging
import socket
import time
from itertools import islice
from threading import Lock, Semaphore

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.core import Core
from cypresswalk.net.inbox import Inbox, start_thread
from cypresswalk.net.limits import MILLISECOND, Limits
from cypresswalk.net.link import Link, pass_end_on
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.lines import LineParser, OpenRequest, ProtocolError, parse_open_request
from cypresswalk.net.session import BUSY_REPLY, ERROR_REPLY, Session

log = logging.getLogger(__name__)


class Client:
    """One client's connection; its thread runs `run`."""

    def __init__(
        self,
        sock: socket.socket,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        silent: "dict[Client, None]",
    ):
        self.silent = silent  # those at the door that have not said their line
        self.link, self.core, self.inbox, self.limits = Link(sock, limits), core, inbox, limits
        self.session = Session(self)
        self.since, self.opened, self.unwanted = inbox.clock(), False, False
        self.lines, self.passing = LineParser(limits.line), Lock()
        self.server = None  # the ServerLink, once lines pass

    def run(self) -> None:
        reset = odd = False
        try:
            first = self.first()
            if first is not None:
                self.inbox.post(self.core.on_open, self.session, first)
                self.pass_lines()
        except ProtocolError as error:
            log.warning(event("client_odd", why=error))
            self.core.counters.add("clients_odd")
            odd = True
        except OSError:
            reset = True
        finally:
            self.link.done.set()
            if self.opened:
                self.inbox.post(
                    self.core.on_early_client_data
                    if odd and self.server is None
                    else self.core.on_client_left,
                    self.session,
                )
            elif odd:
                # Nothing was sent on for it: to one that was only in the way, coming again does no harm.
                self.link.send_now(BUSY_REPLY if self.unwanted else ERROR_REPLY)
                if not self.unwanted:  # with both ways shut the kernel resets what still comes
                    self.link.shut(socket.SHUT_WR)
            if self.server is not None:
                pass_end_on(reset, self.server.link, self.limits)
            elif odd:
                self.drain()
            self.link.close()

    def first(self) -> OpenRequest | None:
        """Answers PINGs up to the line that opens a flow; None if the client ends before that."""
        until = self.since + self.limits.first_line
        while True:
            line = self.lines.line()
            if line is None:
                # Of the time for the whole line: guards against one that sends a byte now and then.
                self.link.read_within(max(until - self.inbox.clock(), MILLISECOND))
                try:
                    data = self.link.sock.recv(self.limits.line)
                except BlockingIOError:
                    raise ProtocolError("no first line in time") from None
                if not data:
                    if self.unwanted:
                        raise ProtocolError("no first line while others wait")
                    return None
                self.lines.feed(data)
            elif len(self.lines.buffer):
                # A client waits for its answer: guards against commands by the hundred.
                raise ProtocolError("more than one line at once")
            elif line == b"PING":
                self.link.send(
                    b"PONG\r\n"
                    if self.core.lifecycle.ready and self.core.extensions.may_act()
                    else ERROR_REPLY
                )
            else:
                first = parse_open_request(line)
                with self.passing:
                    if self.unwanted:
                        raise ProtocolError("the first line came when its place was given away")
                    self.opened = True
                self.silent.pop(self, None)
                self.link.read_within(0)
                return first

    def send_off(self) -> bool:
        """Its place is needed. Its thread finds an end and answers; what came just then gets a reject, not an end alone.
        Whoever has spoken stays: its thread may be late."""
        if not self.passing.acquire(blocking=False):
            return False  # it has spoken; its thread may be writing to a server that reads nothing
        try:
            if self.opened or self.unwanted or self.link.has_come():
                return False
            self.unwanted = True
            self.link.shut(socket.SHUT_RD)
            return True
        finally:
            self.passing.release()

    def drain(self) -> None:
        """What still comes is read before the end, not much and not long: closing on it would take the answer back."""
        # One that was sent off must make room soon; its line may be on its way all the same.
        until = self.inbox.clock() + (self.limits.idle if self.unwanted else self.limits.linger)
        left = self.limits.drained
        try:
            while (wait := until - self.inbox.clock()) > 0:
                self.link.read_within(max(wait, MILLISECOND))
                if left <= 0:
                    time.sleep(wait / SECOND)
                    return
                data = self.link.sock.recv(self.limits.line)
                if data:
                    left -= len(data)
                elif self.unwanted and not self.link.other_end_closed():
                    # Since `send_off` a read finds an end at once. Guards against taking that for the client's: its
                    # line came next, met a closed socket, and the reset took the answer back.
                    time.sleep(self.limits.drain_tick / SECOND)
                else:
                    return
        except OSError:
            pass

    def gone(self) -> bool:
        """Whether its end has come, read by its thread or not."""
        return self.link.done.is_set() or self.link.end_has_come()

    def pass_lines(self) -> None:
        while data := self.link.sock.recv(self.limits.line):
            with self.passing:
                self.lines.feed(data)
            self.flush()

    def flush(self) -> None:
        """Whole lines to the server, once there is one. Nothing may come before the answer."""
        server = self.server
        with self.passing:
            if server is None:
                if len(self.lines.buffer):
                    raise ProtocolError("more than one line before the answer")
                return
            data = self.lines.whole()
            if data:
                server.asked(data)


class Listener:
    def __init__(
        self,
        address: Address,
        core: Core,
        inbox: Inbox,
        limits: Limits,
        shared: bool = False,
        sock: socket.socket | None = None,
    ):
        """`shared`: another process may accept at the same address, and `sock` may be the socket that it passed on."""
        self.core, self.inbox, self.limits, self.shared = core, inbox, limits, shared
        self.taking = True  # cleared where the other process accepts in this one's place
        # Clients beyond wait in the backlog. Guards against running out of descriptors in mid-flow.
        self.room = Semaphore(limits.flows + limits.at_door)
        self.clients: dict[Client, None] = {}
        self.silent: dict[Client, None] = {}  # the oldest first
        self.ends_at: int | None = None  # the door shuts then, for good
        self.closed = False
        self.sock = sock or self.listen(address)

    def listen(self, address: Address) -> socket.socket:
        until = self.inbox.clock() + self.limits.bind
        while True:
            try:
                return socket.create_server(
                    address, backlog=self.limits.backlog, reuse_port=self.shared
                )
            except OSError:
                if self.inbox.clock() > until:
                    raise
                time.sleep(self.limits.accept_pause / SECOND)

    def make_room(self) -> bool:
        """Guards against clients that say nothing and keep others out: the oldest of them go. False once the door shuts."""
        while not self.room.acquire(timeout=self.limits.accept_pause / SECOND):
            self.clear_door(len(self.silent))
            if self.left() <= 0:
                return False
        return True

    def left(self) -> int:
        """How long to wait for a client before a look at whether to go on."""
        wait = self.limits.accept_pause if self.shared else self.limits.accept_wait
        return wait if self.ends_at is None else min(self.ends_at - self.inbox.clock(), wait)

    def clear_door(self, most: int) -> None:
        latest = self.inbox.clock() - self.limits.idle
        for client in list(islice(self.silent, most)):
            if client.since < latest and client.send_off():
                self.core.counters.add("clients_idle")

    def run(self) -> None:
        while self.taking and self.left() > 0:
            if not self.make_room():
                break
            self.sock.settimeout(max(self.left(), MILLISECOND) / SECOND)
            try:
                sock, _ = self.sock.accept()
            except TimeoutError:
                self.room.release()
                continue
            except OSError as error:
                # Descriptors may run short all the same: others close in time.
                self.room.release()
                log.warning(event("accept_failed", why=error))
                time.sleep(self.limits.accept_pause / SECOND)
                continue
            self.take(sock)
            if len(self.silent) > self.limits.at_door:
                self.clear_door(len(self.silent) - self.limits.at_door)
        if self.taking:
            self.shut()
        self.closed = True

    def take(self, sock: socket.socket) -> None:
        """In a place that is held for it."""
        self.core.counters.add("clients")
        try:
            client = Client(sock, self.core, self.inbox, self.limits, self.silent)
            start_thread(lambda client=client: self.serve(client))
        except (OSError, RuntimeError) as error:
            log.error(event("client_not_served", why=error))
            sock.close()
            self.room.release()

    def send_off_silent(self) -> None:
        """Nobody waits for those that stand at the door and say nothing: they are told no."""
        for client in list(self.silent):
            client.send_off()

    def shut(self) -> None:
        """Guards those that the machine has accepted against a reset in place of an answer."""
        self.sock.setblocking(False)
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                break
            if self.room.acquire(blocking=False):
                self.take(sock)
            else:
                self.turn_away(sock)
        self.sock.close()

    def turn_away(self, sock: socket.socket) -> None:
        """With no place left for it; what it has said by now is read, or the answer would be taken back."""
        try:
            sock.setblocking(False)
            sock.send(BUSY_REPLY)
            sock.shutdown(socket.SHUT_WR)
            sock.recv(self.limits.line)
        except OSError:
            pass
        sock.close()

    def serve(self, client: Client) -> None:
        self.clients[client] = self.silent[client] = None
        try:
            client.run()
        finally:
            self.clients.pop(client, None)
            self.silent.pop(client, None)
            self.room.release()
