"""The Unix socket between two processes of this balancer, by which descriptors pass too."""

import fcntl
import json
import logging
import os
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from queue import SimpleQueue
from threading import Lock
from typing import Any

from cypresswalk.model import SECOND
from cypresswalk.net.accepting import accept_connections
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

MAX_PATH_BYTES = 100  # a Unix socket's path may have 107
MAX_DESCRIPTORS = 4  # read with one message
BACKLOG = 4  # processes that wait to be accepted


class HandoverError(Exception):
    """The process that serves here does not hand over.

    Attributes:
        retry: it may do so later, when no other process stands beside it.
    """

    def __init__(self, reason: object, retry: bool):
        """`reason` is logged."""
        super().__init__(reason)
        self.retry = retry


class Channel:
    """One connection between two processes. Sending never waits: a thread of its own writes."""

    def __init__(self, sock: socket.socket, inbox: Inbox, limits: Limits):
        """`sock` is connected."""
        self.sock = sock
        self.inbox = inbox
        self.limits = limits
        sock.settimeout(None)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(limits.write_timeout))
        self.lines = LineParser(limits.max_list_bytes)
        self.outgoing: SimpleQueue[tuple[bytes, tuple[int, ...]] | None] = SimpleQueue()
        self.descriptors: list[int] = []  # received; the reader's to close

    def send(self, message: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        """Sends a message, with descriptors of sockets."""
        data = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        self.outgoing.put((data, descriptors))

    def close(self) -> None:
        """Ends the connection once all has been sent."""
        self.outgoing.put(None)

    def start(self, handover: Handover) -> None:
        """Has messages and the end of the connection posted to the deciding thread."""
        start_thread(self._write)
        start_thread(lambda: self._read(handover))

    def _write(self) -> None:
        """The writing thread; ends when the connection does."""
        try:
            while (item := self.outgoing.get()) is not None:
                data, descriptors = item
                if descriptors:
                    sent = socket.send_fds(self.sock, [data], descriptors)
                    data = data[sent:]
                self.sock.sendall(data)
        except OSError as error:
            log.warning(event("handover_connection_lost", error=error))
        with suppress(OSError):  # the other side was first
            self.sock.shutdown(socket.SHUT_RDWR)

    def read_message(self) -> dict[str, Any] | None:
        """The next message, or None at the end.

        Raises:
            OSError: the connection broke.
            ProtocolError: what came is no message.
        """
        while (line := self.lines.next_line()) is None:
            data, descriptors, _, _ = socket.recv_fds(
                self.sock, self.limits.list_read_bytes, MAX_DESCRIPTORS
            )
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

    def _read(self, handover: Handover) -> None:
        """The reading thread; ends when the connection does."""
        try:
            while (message := self.read_message()) is not None:
                self.inbox.post_urgent(handover.on_message, self, message)
        except (OSError, ProtocolError) as error:
            log.warning(event("handover_connection_lost", error=error))
        finally:
            self.inbox.post_urgent(handover.on_disconnected, self)
            self.close()


class HandoverSocket:
    """The socket at which the process that serves waits for its successor."""

    def __init__(
        self, folder: str | None, name: str, listen: Address, inbox: Inbox, limits: Limits
    ):
        """`folder` is shared by both processes; without one there is no hand-over."""
        self.inbox = inbox
        self.limits = limits
        self.name = f"{name} {listen[0]}:{listen[1]}"
        self.folder = folder or ""
        self.file = f"cypresswalk-{stable_hash(self.name):x}"
        self.sock: socket.socket | None = None
        self.listening = Lock()
        # A lock file's descriptor, held until a successor can find this process.
        self.start_lock: int | None = None

    @contextmanager
    def path(self, file: str) -> Iterator[str]:
        """The file's path, by a descriptor of the folder where it would be too long."""
        whole = os.path.join(self.folder, file)
        if len(whole.encode()) <= MAX_PATH_BYTES:
            yield whole
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{file}"
        finally:
            os.close(folder)

    # The successor.

    def find_predecessor(self) -> Channel | None:
        """The process that serves here, if there is one that hands over, its welcome read.

        Tried for as long as another stands beside it; whatever else is in the way is logged, and
        means a plain start.
        """
        if not self.folder:
            return None
        deadline = self.inbox.clock() + self.limits.bind_timeout
        self._take_start_lock(deadline)
        while True:
            try:
                sock = self._connect()
                return None if sock is None else self._greet_predecessor(sock)
            except HandoverError as error:
                if not error.retry or self.inbox.clock() > deadline:
                    log.warning(event("handover_unavailable", error=error))
                    return None
            time.sleep(self.limits.min_list_retry_pause / SECOND)

    def _connect(self) -> socket.socket | None:
        """None where nobody listens. Raises HandoverError."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.limits.bind_timeout / SECOND)
            with self.path(self.file) as path:
                sock.connect(path)
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()  # nobody is there, or a process that was killed
            return None
        except OSError as error:
            sock.close()
            raise HandoverError(error, retry=False) from error
        return sock

    def _greet_predecessor(self, sock: socket.socket) -> Channel:
        """Sends hello and reads the welcome. Raises HandoverError."""
        channel = Channel(sock, self.inbox, self.limits)
        sock.settimeout(self.limits.bind_timeout / SECOND)
        try:
            hello = {"hello": {"version": VERSION, "name": self.name}}
            sock.sendall(json.dumps(hello).encode() + b"\n")
            welcome = channel.read_message() or {}
            if welcome.get("welcome") == VERSION and channel.descriptors:
                sock.settimeout(None)
                # Whoever starts now is refused by the process that both have found.
                self._release_start_lock()
                return channel
            reason = welcome.get("refused", "no welcome")
            failure = HandoverError(
                reason, retry=isinstance(reason, str) and "version" not in reason
            )
        except (OSError, ProtocolError) as error:
            failure = HandoverError(error, retry=False)
        for descriptor in channel.descriptors:
            os.close(descriptor)
        sock.close()
        raise failure

    def _take_start_lock(self, deadline: int) -> None:
        """Has one process at a time look for another.

        Of two that start in the same moment neither would find the other, both would listen, and
        the first to end would take the place of the other's socket along. The kernel releases the
        lock of a process that dies.
        """
        try:
            lock = os.open(
                os.path.join(self.folder, self.file + ".turn"),
                os.O_RDWR | os.O_CREAT | os.O_NOFOLLOW | os.O_CLOEXEC,
                0o600,
            )
        except OSError as error:
            log.warning(event("handover_lock_failed", error=error))
            return
        while True:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                self.start_lock = lock
                return
            except OSError as error:
                if not isinstance(error, BlockingIOError) or self.inbox.clock() > deadline:
                    log.warning(event("handover_lock_failed", error=error))
                    os.close(lock)
                    return
            time.sleep(self.limits.min_list_retry_pause / SECOND)

    def _release_start_lock(self) -> None:
        if self.start_lock is not None:
            os.close(self.start_lock)
            self.start_lock = None

    # The predecessor.

    def wait_for_successor(self, handover: Handover) -> None:
        """From now on another process finds this one."""
        with self.listening:
            if not self.folder or self.sock is not None:
                return
            try:
                self._listen(handover)
            finally:
                self._release_start_lock()

    def _listen(self, handover: Handover) -> None:
        file = f"{self.file}.{os.getpid()}"
        sock = self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with self.path(file) as path:
                sock.bind(path)
                os.chmod(path, 0o600)  # whoever speaks here is handed the clients
            sock.listen(BACKLOG)
            # In one step over what an earlier process left: there is never a moment without a name.
            os.rename(os.path.join(self.folder, file), os.path.join(self.folder, self.file))
        except OSError as error:
            log.warning(event("handover_disabled", error=error))
            sock.close()
            return
        start_thread(lambda: self._accept_successors(sock, handover))

    def _accept_successors(self, listener: socket.socket, handover: Handover) -> None:
        """The accepting thread; ends with the process."""
        retry_pause = self.limits.accept_retry_pause / SECOND
        for sock in accept_connections(listener, retry_pause, self._on_accept_failed):
            try:
                self._greet_successor(Channel(sock, self.inbox, self.limits), handover)
            except (OSError, ProtocolError, RuntimeError) as error:
                log.warning(event("handover_hello_refused", error=error))
                sock.close()

    def _on_accept_failed(self, error: OSError) -> None:
        log.warning(event("handover_accept_failed", error=error))

    def _greet_successor(self, channel: Channel, handover: Handover) -> None:
        """Reads its hello. Raises OSError, ProtocolError, or RuntimeError without threads."""
        channel.sock.settimeout(self.limits.min_list_retry_pause / SECOND)
        hello = (channel.read_message() or {}).get("hello")
        channel.sock.settimeout(None)
        if (
            not isinstance(hello, dict)
            or hello.get("version") != VERSION
            or hello.get("name") != self.name
        ):
            channel.sock.sendall(b'{"refused":"another version or name"}\n')
            raise ProtocolError(f"hello: {hello!r}"[:200])
        channel.start(handover)
        self.inbox.post_urgent(handover.on_hello, channel)
