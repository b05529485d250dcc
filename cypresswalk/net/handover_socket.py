"""The Unix socket that connects two processes of one balancer and carries descriptors as well."""

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

MAX_PATH_BYTES = 100  # the system's limit for a Unix socket's path is 107
MAX_DESCRIPTORS = 4  # received in one read
BACKLOG = 4  # processes waiting to be accepted


class HandoverError(Exception):
    """An error for a process that serves at this address but does not hand over.

    Attributes:
        retry: whether that process may hand over later, once no other process is connected to it.
    """

    def __init__(self, reason: object, retry: bool):
        """Create the error; `reason` is logged."""
        super().__init__(reason)
        self.retry = retry


class Channel:
    """A connection between the two processes. A separate thread writes, so `send` never blocks."""

    def __init__(self, sock: socket.socket, inbox: Inbox, limits: Limits):
        """Create a channel over a connected socket."""
        self.sock = sock
        self.inbox = inbox
        self.limits = limits
        sock.settimeout(None)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(limits.write_timeout))
        self.lines = LineParser(limits.max_list_bytes)
        self.outgoing: SimpleQueue[tuple[bytes, tuple[int, ...]] | None] = SimpleQueue()
        self.descriptors: list[int] = []  # received; whoever reads the message closes them

    def send(self, message: dict[str, Any], descriptors: tuple[int, ...] = ()) -> None:
        """Send a message, with descriptors of sockets."""
        data = json.dumps(message, separators=(",", ":")).encode() + b"\n"
        self.outgoing.put((data, descriptors))

    def close(self) -> None:
        """End the connection once all messages have been sent."""
        self.outgoing.put(None)

    def start(self, handover: Handover) -> None:
        """Start posting messages and the end of the connection to the deciding thread."""
        start_thread(self._write)
        start_thread(lambda: self._read(handover))

    def _write(self) -> None:
        """Run the writing thread, which ends with the connection."""
        try:
            while (item := self.outgoing.get()) is not None:
                data, descriptors = item
                if descriptors:
                    sent = socket.send_fds(self.sock, [data], descriptors)
                    data = data[sent:]
                self.sock.sendall(data)
        except OSError as error:
            log.warning(event("handover_connection_lost", error=error))
        with suppress(OSError):  # the other side may have closed the connection already
            self.sock.shutdown(socket.SHUT_RDWR)

    def read_message(self) -> dict[str, Any] | None:
        """Return the next message, or None at the end of the connection.

        Raises:
            OSError: the connection broke.
            ProtocolError: a line is not a message.
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
            raise ProtocolError("a message is not JSON") from None
        if not isinstance(message, dict):
            raise ProtocolError("a message is not a JSON object")
        return message

    def _read(self, handover: Handover) -> None:
        """Run the reading thread, which ends with the connection."""
        try:
            while (message := self.read_message()) is not None:
                self.inbox.post_urgent(handover.on_message, self, message)
        except (OSError, ProtocolError) as error:
            log.warning(event("handover_connection_lost", error=error))
        finally:
            self.inbox.post_urgent(handover.on_disconnected, self)
            self.close()


class HandoverSocket:
    """The Unix socket by which a new process finds the one that serves and connects to it."""

    def __init__(
        self, folder: str | None, name: str, listen: Address, inbox: Inbox, limits: Limits
    ):
        """Create the socket object; both processes use the same `folder`, None for no handover."""
        self.inbox = inbox
        self.limits = limits
        self.name = f"{name} {listen[0]}:{listen[1]}"
        self.folder = folder or ""
        self.file_name = f"cypresswalk-{stable_hash(self.name):x}"
        self.sock: socket.socket | None = None
        self.listen_lock = Lock()
        # Descriptor of a lock file, held until a successor can find this process.
        self.start_lock: int | None = None

    @contextmanager
    def path(self, file_name: str) -> Iterator[str]:
        """Yield the file's path, or one by a descriptor of the folder if that is too long."""
        full_path = os.path.join(self.folder, file_name)
        if len(full_path.encode()) <= MAX_PATH_BYTES:
            yield full_path
            return
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{folder}/{file_name}"
        finally:
            os.close(folder)

    # The successor.

    def find_predecessor(self) -> Channel | None:
        """Return a connection to the predecessor after its welcome, or None if there is none.

        Retry for up to the bind timeout while the predecessor is connected to another process. Any
        other failure is logged, and this process then starts without a predecessor.
        """
        if not self.folder:
            return None
        deadline = self.inbox.clock() + self.limits.bind_timeout
        self._take_start_lock(deadline)
        while True:
            try:
                sock = self._connect()
                return None if sock is None else self._handshake_as_successor(sock)
            except HandoverError as error:
                if not error.retry or self.inbox.clock() > deadline:
                    log.warning(event("handover_unavailable", error=error))
                    return None
            time.sleep(self.limits.min_list_retry_pause / SECOND)

    def _connect(self) -> socket.socket | None:
        """Connect to the predecessor; return None if no process listens. Raises HandoverError."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            sock.settimeout(self.limits.bind_timeout / SECOND)
            with self.path(self.file_name) as path:
                sock.connect(path)
        except (FileNotFoundError, ConnectionRefusedError):
            sock.close()  # there is no process, or only the socket file of a killed one
            return None
        except OSError as error:
            sock.close()
            raise HandoverError(error, retry=False) from error
        return sock

    def _handshake_as_successor(self, sock: socket.socket) -> Channel:
        """Send hello and read the welcome. Raises HandoverError."""
        channel = Channel(sock, self.inbox, self.limits)
        sock.settimeout(self.limits.bind_timeout / SECOND)
        try:
            hello = {"hello": {"version": VERSION, "name": self.name}}
            sock.sendall(json.dumps(hello).encode() + b"\n")
            welcome = channel.read_message() or {}
            if welcome.get("welcome") == VERSION and channel.descriptors:
                sock.settimeout(None)
                # A process that starts now finds the same predecessor, which refuses it.
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
        """Take the lock by which only one process at a time looks for a predecessor.

        Without it, two processes that start at the same moment would not find each other. Both
        would listen at the same path, and once one of them ended no third process could find the
        other. The kernel releases the lock of a process that dies.
        """
        try:
            lock = os.open(
                os.path.join(self.folder, self.file_name + ".turn"),
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

    def listen_for_successor(self, handover: Handover) -> None:
        """Listen for a successor, unless this process does so already."""
        with self.listen_lock:
            if not self.folder or self.sock is not None:
                return
            try:
                self._listen(handover)
            finally:
                self._release_start_lock()

    def _listen(self, handover: Handover) -> None:
        own_name = f"{self.file_name}.{os.getpid()}"
        sock = self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with self.path(own_name) as path:
                sock.bind(path)
                os.chmod(path, 0o600)  # a process that connects gets the clients
            sock.listen(BACKLOG)
            # Renaming replaces an earlier process's file in one step: the path always exists.
            os.rename(
                os.path.join(self.folder, own_name), os.path.join(self.folder, self.file_name)
            )
        except OSError as error:
            log.warning(event("handover_disabled", error=error))
            sock.close()
            return
        start_thread(lambda: self._accept_successors(sock, handover))

    def _accept_successors(self, listener: socket.socket, handover: Handover) -> None:
        """Run the accepting thread, which ends with the process."""
        retry_pause = self.limits.accept_retry_pause / SECOND
        for sock in accept_connections(listener, retry_pause, self._on_accept_failed):
            try:
                self._handshake_as_predecessor(Channel(sock, self.inbox, self.limits), handover)
            except (OSError, ProtocolError, RuntimeError) as error:
                log.warning(event("handover_hello_refused", error=error))
                sock.close()

    def _on_accept_failed(self, error: OSError) -> None:
        log.warning(event("handover_accept_failed", error=error))

    def _handshake_as_predecessor(self, channel: Channel, handover: Handover) -> None:
        """Read the hello. Raises OSError, ProtocolError, or RuntimeError if no thread can start."""
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
