"""The way to another process of this balancer: a Unix socket in the folder that both share, by which sockets pass too."""

import fcntl
import json
import logging
import os
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from queue import SimpleQueue
from threading import Lock

from cypresswalk.model import SECOND
from cypresswalk.net.config import Address
from cypresswalk.net.connection import timeval
from cypresswalk.net.errors import ProtocolError
from cypresswalk.net.handover import VERSION, Handover
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.limits import Limits
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import stable_hash
from cypresswalk.net.parsers.lines import LineParser
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)
PATH_MOST = 100  # bytes: a Unix socket's path may have 107


class Channel:
    """One connection between two processes. Whoever sends never waits: a thread of its own writes."""

    def __init__(self, sock: socket.socket, inbox: Inbox, limits: Limits):
        self.sock, self.inbox, self.limits = sock, inbox, limits
        sock.settimeout(None)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(limits.write_timeout))
        self.lines, self.out = LineParser(limits.max_list_bytes), SimpleQueue()
        self.descriptors: list[int] = []
        self.side: Handover | None = None

    def send(self, message: dict, descriptors: tuple[int, ...] = ()) -> None:
        self.out.put((json.dumps(message, separators=(",", ":")).encode() + b"\n", descriptors))

    def close(self) -> None:
        """Once all has been sent."""
        self.out.put(None)

    def start(self, side: Handover) -> None:
        self.side = side
        start_thread(self.write)
        start_thread(self.read)

    def write(self) -> None:
        try:
            while (item := self.out.get()) is not None:
                data, descriptors = item
                if descriptors:
                    sent = socket.send_fds(self.sock, [data], descriptors)
                    data = data[sent:]
                self.sock.sendall(data)
        except OSError as error:
            log.warning(event("beside_lost", why=error))
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass

    def message(self) -> dict | None:
        """The next one, None at the end. Raises OSError, ProtocolError."""
        while (line := self.lines.next_line()) is None:
            data, descriptors, _, _ = socket.recv_fds(self.sock, self.limits.list_read_bytes, 4)
            self.descriptors += descriptors
            if not data:
                return None
            self.lines.feed(data)
        try:
            message = json.loads(line)
        except (ValueError, RecursionError):
            raise ProtocolError("not JSON") from None
        if not isinstance(message, dict):
            raise ProtocolError("no object")
        return message

    def read(self) -> None:
        try:
            while (message := self.message()) is not None:
                self.inbox.post_urgent(self.side.on_message, self, message)
        except (OSError, ProtocolError) as error:
            log.warning(event("beside_lost", why=error))
        finally:
            self.inbox.post_urgent(self.side.on_disconnected, self)
            self.close()


class HandoverSocket:
    """Where the process that serves waits for one that is to succeed it."""

    def __init__(
        self, folder: str | None, name: str, listen: Address, inbox: Inbox, limits: Limits
    ):
        self.inbox, self.limits = inbox, limits
        self.name = f"{name} {listen[0]}:{listen[1]}"
        self.folder, self.file = folder, f"cypresswalk-{stable_hash(self.name):x}"
        self.sock: socket.socket | None = None
        self.waiting = Lock()
        self.turn: int | None = (
            None  # held from this process's look for another until another can find it
        )

    @contextmanager
    def path(self, file: str) -> Iterator[str]:
        """By a descriptor of the folder where the folder's own name is too long for a socket's path."""
        whole = os.path.join(self.folder, file)
        if len(whole.encode()) <= PATH_MOST:
            yield whole
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{file}"
        finally:
            os.close(folder)

    # The younger.

    def meet(self) -> Channel | None:
        """The process that serves here, if there is one that can hand over, its welcome read. Tried for as long as another
        stands beside it; whatever else is in the way is said, and means a plain start."""
        if not self.folder:
            return None
        until = self.inbox.clock() + self.limits.bind_timeout
        self.take_turn(until)
        while True:
            try:
                sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
                sock.settimeout(self.limits.bind_timeout / SECOND)
                with self.path(self.file) as path:
                    sock.connect(path)
            except (FileNotFoundError, ConnectionRefusedError):
                sock.close()  # nobody is there, or one that was killed
                return None
            except OSError as error:
                sock.close()
                log.warning(event("handover_none", why=error))
                return None
            channel = Channel(sock, self.inbox, self.limits)
            sock.settimeout(self.limits.bind_timeout / SECOND)
            try:
                sock.sendall(
                    json.dumps({"hello": {"version": VERSION, "name": self.name}}).encode() + b"\n"
                )
                welcome = channel.message()
                if welcome and welcome.get("welcome") == VERSION and channel.descriptors:
                    sock.settimeout(None)
                    self.end_turn()  # whoever starts now is refused by the one that both have found
                    return channel
                why = (welcome or {}).get("refused", "no welcome")
            except (OSError, ProtocolError) as error:
                why = error
            for descriptor in channel.descriptors:
                os.close(descriptor)
            sock.close()
            if self.inbox.clock() > until or not isinstance(why, str) or "version" in why:
                log.warning(event("handover_none", why=why))
                return None
            time.sleep(self.limits.min_list_retry_pause / SECOND)

    def take_turn(self, until: int) -> None:
        """One process at a time looks for another. Guards against two that start in the same moment: neither would find the
        other, both would listen, and the first to end would take the place of the other's socket along. The kernel ends the
        turn of one that dies."""
        try:
            turn = os.open(
                os.path.join(self.folder, self.file + ".turn"),
                os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC,
                0o600,
            )
        except OSError as error:
            log.warning(event("handover_turn_none", why=error))
            return
        while True:
            try:
                fcntl.flock(turn, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self.turn = turn
                return
            except OSError as error:
                if not isinstance(error, BlockingIOError) or self.inbox.clock() > until:
                    log.warning(event("handover_turn_none", why=error))
                    os.close(turn)
                    return
            time.sleep(self.limits.min_list_retry_pause / SECOND)

    def end_turn(self) -> None:
        if self.turn is not None:
            os.close(self.turn)
            self.turn = None

    # The elder.

    def wait(self, side: Handover) -> None:
        """From now on another process finds this one."""
        with self.waiting:
            if not self.folder or self.sock is not None:
                return
            try:
                self.listen(side)
            finally:
                self.end_turn()

    def listen(self, side: Handover) -> None:
        beside = f"{self.file}.{os.getpid()}"
        try:
            self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            with self.path(beside) as path:
                self.sock.bind(path)
                os.chmod(path, 0o600)  # whoever speaks here is handed the clients
            self.sock.listen(4)
            # In one step over what an earlier process left: there is never a moment without a name.
            os.rename(os.path.join(self.folder, beside), os.path.join(self.folder, self.file))
        except OSError as error:
            log.warning(event("handover_off", why=error))
            self.sock.close()
            return
        start_thread(lambda: self.run(side))

    def run(self, side: Handover) -> None:
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                log.warning(event("handover_accept_failed", why=error))
                time.sleep(self.limits.accept_retry_pause / SECOND)
                continue
            try:
                self.greet(Channel(sock, self.inbox, self.limits), side)
            except (OSError, ProtocolError, RuntimeError) as error:
                log.warning(event("hello_odd", why=error))
                sock.close()

    def greet(self, channel: Channel, side: Handover) -> None:
        channel.sock.settimeout(self.limits.min_list_retry_pause / SECOND)
        hello = (channel.message() or {}).get("hello")
        channel.sock.settimeout(None)
        if (
            not isinstance(hello, dict)
            or hello.get("version") != VERSION
            or hello.get("name") != self.name
        ):
            channel.sock.sendall(b'{"refused":"another version or name"}\n')
            raise ProtocolError(f"hello: {hello!r}"[:200])
        channel.start(side)
        self.inbox.post_urgent(side.on_hello, channel)
