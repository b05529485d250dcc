"""Connections between balancers: a thread for each that reads, one for each address that is written to. Small-stack threads on
blocking sockets; nobody who asks for something to be sent ever waits."""

import logging
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from queue import Empty, SimpleQueue
from threading import Event, Lock

from cypresswalk.fleet.messages import (
    PROTOCOL,
    AnyFrame,
    DiscoveryRequest,
    DiscoveryResponse,
    FrameError,
    Frames,
    Hello,
    HelloRejected,
    Result,
    pack,
)
from cypresswalk.net.connection import dial, timeval
from cypresswalk.net.threads import start_thread

log = logging.getLogger(__name__)
SECOND = 1_000_000_000
STACK = 512 * 1024  # the serializer needs more than the drivers' stacks
READ = 64 << 10
CONNECTIONS = (
    512  # that others have here at a time: two hundred members, their tools and what just ends
)
WAITING = 256  # frames to one address; beyond them the oldest goes, since words may be lost
WAITING_SIZE = 8 << 20  # and bytes
QUEUED = 4096  # events that wait for the fleet's thread; beyond them connections are not read
DIAL = SECOND
FIRST = 2 * SECOND  # a connection that has not said who it is by then is closed
IDLE = 30 * SECOND  # and one that says nothing for so long
UNHEARD = (
    3 * SECOND
)  # of whom nothing is heard for so long is dialled anew: guards against a way that swallows bytes
PAUSE, PAUSE_MOST = SECOND // 10, SECOND
UNACKED = 4000  # milliseconds: what the other machine's kernel has not acknowledged by then ends the connection
TOOL_CALLS = 16  # of one tool at a time


class OutgoingLink:
    """What goes to one address."""

    def __init__(self, links: "Transport", address: tuple[str, int], to: str):
        self.links, self.address, self.to = links, address, to
        self.queue: SimpleQueue = SimpleQueue()
        self.size = 0
        self.used_at = time.monotonic_ns()
        self.ended = False
        self.kept: bytes | None = None  # what is to go first on the next connection
        self.gate = Lock()

    def send(self, data: bytes) -> None:
        self.used_at = time.monotonic_ns()
        with self.gate:
            while self.queue.qsize() >= WAITING or self.size > WAITING_SIZE:
                try:
                    self.size -= len(self.queue.get_nowait())
                    self.links.counts["words_dropped"] += 1
                except Empty:
                    break
            self.size += len(data)
            self.queue.put(data)

    def run(self) -> None:
        pause = PAUSE
        while not self.ended:
            try:
                self.connection()
                pause = PAUSE
            except (OSError, FrameError) as error:
                self.links.lost(self, error)
                pause = min(2 * pause, PAUSE_MOST)
            # A way on which nothing was heard for a while is dialled anew at once: what waits there has little time.
            if not self.ended and self.kept is None:
                time.sleep(pause / SECOND)

    def connection(self) -> None:
        first = self.next()
        if first is None:
            return
        group = self.links.group()
        sock = dial(self.address, DIAL)
        with sock:
            sock.settimeout(None)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(2 * SECOND))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED)
            sock.sendall(pack(self.links.hello(self.to)) + first)
            since, frames = time.monotonic_ns(), Frames()
            while (data := self.next()) is not None:
                self.look(sock, frames)
                now = time.monotonic_ns()
                if (
                    self.links.group() != group
                    or now - max(since, self.links.heard_at.get(self.to, 0)) > UNHEARD
                    and self.to
                ):
                    self.kept = data
                    return
                sock.sendall(data)

    def next(self) -> bytes | None:
        """None once nothing was to be sent for a while, or at the end."""
        if self.kept is not None:
            data, self.kept = self.kept, None
            return data
        try:
            data = self.queue.get(timeout=IDLE / 2 / SECOND)
        except Empty:
            if time.monotonic_ns() - self.used_at > IDLE:
                self.links.forget(self)
            return None
        if data is None:
            return None
        with self.gate:
            self.size -= len(data)
        return data

    def look(self, sock: socket.socket, frames: Frames) -> None:
        """Whether the other side has refused this connection."""
        try:
            data = sock.recv(READ, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        if not data:
            raise ConnectionResetError("ended by the other side")
        frames.feed(data)
        while (frame := frames.frame()) is not None:
            if isinstance(frame, HelloRejected):
                self.links.post("refused", self.to, frame)
                raise ConnectionRefusedError(f"{frame.code}: {frame.why}")


class Transport:
    def __init__(
        self,
        listen: tuple[str, int],
        fleet: str,
        post: Callable[..., None],
        queued: Callable[[], int],
        hello: Callable[[str], Hello],
        group: Callable[[], str],
    ):
        self.listen_at, self.fleet, self.post, self.queued, self.hello, self.group = (
            listen,
            fleet,
            post,
            queued,
            hello,
            group,
        )
        self.outs: dict[tuple[tuple[str, int], str], OutgoingLink] = {}
        self.gate = Lock()
        self.counts: Counter[str] = Counter()
        self.heard_at: dict[str, int] = {}  # by id
        self.lives: dict[
            str, tuple[int, int]
        ] = {}  # by id: its latest start, and the life drawn at it
        self.connections: dict[socket.socket, None] = {}
        self.sock: socket.socket | None = None
        self.over = Event()
        self.said: dict[tuple, str] = {}

    def start(self) -> None:
        """Raises OSError where nobody may listen there."""
        self.sock = socket.create_server(self.listen_at, backlog=CONNECTIONS)
        start_thread(self.accept, SECOND // 50, STACK)

    def send(self, address: tuple[str, int], to: str, frame: AnyFrame) -> None:
        try:
            data = pack(frame)
        except FrameError as error:
            log.error("event=frame_too_long why=%s", error)
            return
        self.counts["words_sent"] += 1
        self.counts["bytes_sent"] += len(data)
        with self.gate:
            out = self.outs.get((address, to))
            if out is None:
                out = self.outs[address, to] = OutgoingLink(self, address, to)
                start_thread(out.run, 0, STACK)
        out.send(data)

    def forget(self, out: OutgoingLink) -> None:
        with self.gate:
            if out.queue.empty():
                out.ended = True
                self.outs.pop((out.address, out.to), None)

    def lost(self, out: OutgoingLink, error: Exception) -> None:
        """Said once until it is another."""
        self.counts["links_lost"] += 1
        why, place = f"{type(error).__name__} {error}", (out.address, out.to)
        if self.said.get(place) != why:
            self.said[place] = why
            if len(self.said) > 1000:
                self.said.clear()
            log.info("event=link_lost to=%s address=%s:%d why=%s", out.to or "?", *out.address, why)

    def accept(self) -> None:
        while not self.over.is_set():
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if self.over.is_set():
                    return
                log.warning("event=fleet_accept_failed why=%s", error)
                time.sleep(0.05)
                continue
            if len(self.connections) >= CONNECTIONS:
                self.counts["connections_beyond"] += 1
                sock.close()
                continue
            self.connections[sock] = None
            try:
                start_thread(lambda sock=sock: self.serve(sock), 0, STACK)
            except RuntimeError as error:
                log.error("event=fleet_thread_failed why=%s", error)
                self.connections.pop(sock, None)
                sock.close()

    def serve(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, timeval(2 * SECOND))
            self.read(sock)
        except FrameError as error:
            self.counts["frames_odd"] += 1
            log.info("event=frame_odd why=%s", str(error)[:200])
        except (OSError, struct.error):
            pass  # the other side is gone, or silent
        finally:
            self.connections.pop(sock, None)
            sock.close()

    def read(self, sock: socket.socket) -> None:
        # Until it has said who it is nobody is given much room.
        frames, hello = Frames(4096), None
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(FIRST))
        answers = Answers(sock)
        while not self.over.is_set():
            data = sock.recv(READ)
            if not data:
                return
            self.counts["bytes_heard"] += len(data)
            frames.feed(data)
            while (frame := frames.frame()) is not None:
                if hello is None:
                    if not isinstance(frame, Hello):
                        raise FrameError("it did not say who it is")
                    hello, refused = frame, self.refuse(frame)
                    if refused is not None:
                        self.counts["hellos_refused"] += 1
                        sock.sendall(pack(refused))
                        return
                    frames = self.wider(frames)
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, timeval(IDLE))
                    continue
                self.counts["words_heard"] += 1
                while self.queued() > QUEUED and not self.over.is_set():
                    time.sleep(0.01)
                if hello.kind == "tool":
                    self.post("tool", hello, frame, answers)
                elif hello.group == self.group() or isinstance(
                    frame, DiscoveryRequest | DiscoveryResponse
                ):
                    self.heard_at[hello.id] = time.monotonic_ns()
                    self.post("heard", hello, frame)
                else:
                    self.counts["words_of_other_groups"] += 1

    def wider(self, narrow: Frames) -> Frames:
        frames = Frames()
        frames.feed(bytes(narrow.buffer))
        return frames

    def refuse(self, hello: Hello) -> HelloRejected | None:
        mine = self.hello("")
        if hello.protocol != PROTOCOL:
            return HelloRejected("protocol", f"protocol {hello.protocol}, here {PROTOCOL}")
        if hello.fleet != self.fleet:
            return HelloRejected("fleet", f"this is a balancer of fleet {self.fleet!r}")
        if hello.kind == "tool":
            return None
        if hello.to not in ("", mine.id):
            return HelloRejected("replaced", f"this is {mine.id}")
        known = self.lives.get(hello.id, (0, 0))
        # A second process under one identity, or a disk set back to before a start that was seen here.
        if (hello.boot, hello.life) != known and hello.boot <= known[0]:
            return HelloRejected("put-back", f"{hello.id} was seen at its start {known[0]} already")
        self.lives[hello.id] = hello.boot, hello.life
        while len(self.lives) > 4 * CONNECTIONS:
            del self.lives[next(iter(self.lives))]
        return None

    def end(self) -> None:
        self.over.set()
        if self.sock is not None:
            try:
                self.sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self.sock.close()
        with self.gate:
            for out in self.outs.values():
                out.ended = True
                out.queue.put(None)
        for sock in list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Answers:
    """To a tool, on its own connection. Never waits: a few short results fit into the socket's buffer, a tool that does not read
    loses them."""

    def __init__(self, sock: socket.socket):
        self.sock, self.gate = sock, Lock()

    def send(self, result: Result) -> None:
        data = pack(result)
        with self.gate:
            try:
                if len(data) < READ:
                    self.sock.send(data, socket.MSG_DONTWAIT)
                else:
                    start_thread(lambda: self.send_long(data), 0, STACK)
            except OSError:
                pass

    def send_long(self, data: bytes) -> None:
        with self.gate:
            try:
                self.sock.sendall(data)
            except OSError:
                pass
