"""Puts the parts together, runs the deciding thread, and handles signals.

Threads: the deciding thread is the main one and alone calls the core. The listener, the watch of
the endpoint list, peers and the admin address have one each, started by `Program.run` or `accept`,
which lives as long as the process or until its part is stopped; each connection has its own.
"""

import logging
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from queue import Empty
from typing import TYPE_CHECKING

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import SECOND, EndpointUpdate, Outcome, Server
from cypresswalk.net import logs
from cypresswalk.net.clock import Clock
from cypresswalk.net.config import Address, Config, load, read_discovery_address
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.discovery import EndpointWatch
from cypresswalk.net.errors import ConfigError, ProtocolError
from cypresswalk.net.gossip import GossipSocket
from cypresswalk.net.health_checks import HealthChecker
from cypresswalk.net.inbox import Inbox
from cypresswalk.net.listener import ClientListener
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.servers import ServerConnection
from cypresswalk.net.session import Attempt, Session
from cypresswalk.net.threads import start_thread

if TYPE_CHECKING:  # imported at run time only where an operator turns them on
    from cypresswalk.fleet.core_binding import CoreBinding
    from cypresswalk.net.admin import AdminListener
    from cypresswalk.net.handover import Handover
    from cypresswalk.net.handover_socket import Channel, HandoverSocket
    from cypresswalk.operator import FleetTable
    from cypresswalk.state.snapshot_writer import SnapshotWriter

log = logging.getLogger(__name__)

# Seconds; the interpreter's own is 5 ms. With 300 clients coming at once on two cores, the echo of
# an established one's line took 2.5 to 3.2 ms instead of 3.7 to 7.6; on quiet days it is the same.
SWITCH_INTERVAL = 0.0005


class Program:
    """The drivers that the core calls, and the one thread that calls the core."""

    def __init__(
        self,
        config: Config,
        policy: type[Balancer] = Balancer,
        core: Callable[..., Core] = Core,
    ):
        """Opens all sockets; `policy` and `core` as in `main`.

        Raises:
            ConfigError: the configuration's list of servers cannot be read.
            OSError: an address cannot be listened at.
        """
        # Over 40 lines since it makes one part a line.
        self.limits = config.limits
        self.path = config.path
        self.clock = Clock()
        self.inbox = Inbox(self.clock)
        self.counters = Counters()
        self.core = core(config, self, self.counters, self.clock(), policy)
        registry = EndpointListDecoder(config.zones)
        try:
            _, entries = registry.decode(config.known)
        except ProtocolError as error:
            raise ConfigError(f"known: {error}") from None
        self.core.on_endpoints(self.clock(), EndpointUpdate.CACHED, entries)
        polled = config.settings.list_polled
        self.watch = EndpointWatch(
            config.discovery, registry, self.core, self.inbox, self.limits, polled
        )
        self.server_slots = threading.Semaphore(
            self.limits.max_flows + self.limits.max_lingering_connections
        )
        self.prober = HealthChecker(self.core, self.inbox, self.limits, config.load_fields)
        self.peers: GossipSocket | None = None
        self.admin: AdminListener | None = None
        self.handover: Handover | None = None
        self.handover_socket: HandoverSocket | None = None
        self.predecessor: Channel | None = None
        self.snapshot_writer: SnapshotWriter | None = None
        self.binding: CoreBinding | None = None
        inherited = (
            self._enable_operators(config, config.admin_address) if config.admin_address else []
        )
        self._open_sockets(config, inherited)
        self.reloads = 0  # signals that asked for one
        self.exit_deadline = 0  # nanoseconds, once all flows are answered

    def _enable_operators(self, config: Config, address: Address) -> list[socket.socket]:
        """Lets operators call and upgrade this process; returns the predecessor's sockets, if any.

        Imported here alone: without an admin address no such call and no Unix socket exists.
        """
        from cypresswalk.net.admin import AdminListener
        from cypresswalk.net.handover import Handover
        from cypresswalk.net.handover_socket import HandoverSocket

        self.admin = AdminListener(address, self.core, self.inbox, self.limits)
        self.handover_socket = HandoverSocket(
            os.environ.get("TMPDIR"), config.name, config.listen, self.inbox, self.limits
        )
        self.predecessor = self.handover_socket.find_predecessor()
        self.handover = Handover(self.core, self, self.predecessor)
        self.core.extensions.handover = self.handover
        if self.predecessor is None:
            return []
        return [socket.socket(fileno=number) for number in self.predecessor.descriptors]

    def _open_sockets(self, config: Config, inherited: list[socket.socket]) -> None:
        """Opens the clients' and peers' sockets, or takes those of a predecessor."""
        shared = config.admin_address is not None
        if config.gossip_listen is not None:
            self.peers = GossipSocket(
                config.gossip_listen,
                config.gossip_target,
                self.core,
                self.inbox,
                self.limits,
                shared,
                inherited[1] if len(inherited) > 1 else None,
            )
        self.listener = ClientListener(
            config.listen,
            self.core,
            self.inbox,
            self.limits,
            shared,
            inherited[0] if inherited else None,
        )

    def keep_state(self, folder: str, every: float, config: Config) -> None:
        """Recovers persisted state and writes it every so many seconds.

        Imported here alone: without the operator file nothing of it is loaded.
        """
        from cypresswalk.state.snapshot_writer import SnapshotWriter

        self.snapshot_writer = SnapshotWriter(
            folder,
            every,
            self.core,
            self.inbox,
            self.watch.decoder,
            config.name,
            "%s:%d" % config.discovery,  # noqa: UP031 (a tuple)
        )
        self.snapshot_writer.recover(self.clock())
        # A list that knows less than the incarnation before was told is an older one.
        self.watch.min_version = self.snapshot_writer.previous_list_version

    def join_fleet(self, table: "FleetTable", config: Config) -> None:
        """Binds the core to what a fleet agrees on. Imported here alone, as above."""
        from cypresswalk.fleet.core_binding import CoreBinding

        self.binding = CoreBinding(
            table, config, self.core, self.inbox.post, lambda: self.watch.decoder
        )

    def run(self) -> None:
        """Starts all threads and is the deciding thread until the process may end."""
        self._start_threads()
        core = self.core
        last = self.clock()
        while not self._may_exit():
            due = core.timers.next_due()
            wait = SECOND if due is None else due - self.clock()
            if core.lifecycle.stopped:
                wait = min(wait, self.limits.shutdown_poll_interval)
            last = self._apply_events(wait, last)
            last = max(last, self.clock())
            self._call_guarded(core.timers.run_due, last)
            self._call_guarded(core.carry_out_decisions, last)
        if self.snapshot_writer is not None:
            self._call_guarded(self.snapshot_writer.finish, self.clock())

    def _start_threads(self) -> None:
        pause = self.limits.fault_pause
        if self.binding is not None:
            self.binding.fleet.start()
        if self.predecessor is not None and self.handover is not None:
            self.predecessor.start(self.handover)
        else:
            self.accept()
        start_thread(self.watch.run, pause, self.limits.list_thread_stack)
        if self.admin is not None:
            start_thread(self.admin.run, pause)
        if self.snapshot_writer is not None:
            self.snapshot_writer.start()

    def _apply_events(self, wait: int, last: int) -> int:
        """Waits for an event and applies all there are, operators' first; returns the time."""
        queue = self.inbox.queue
        calls = self.inbox.urgent
        try:
            item = queue.get(timeout=wait / SECOND) if wait > 0 else queue.get_nowait()
            # All that waits now, and no more: a flood of events must not keep decisions waiting.
            for left in range(queue.qsize(), -1, -1):
                at, call, args = item
                # Threads stamp what they read: two stamps can come in the wrong order.
                last = max(last, at)
                while not calls.empty():
                    urgent_call, urgent_args = calls.get_nowait()
                    last = max(last, self.clock())
                    self._call_guarded(urgent_call, last, *urgent_args)
                self._call_guarded(call, last, *args)
                if left:
                    item = queue.get_nowait()
        except Empty:
            pass
        return last

    def _may_exit(self) -> bool:
        """Whether flows are answered, none can come, and clients have had time to read.

        Clients that come in the last moments must not be accepted and never answered.
        """
        if not self.core.lifecycle.stopped:
            return False
        self.exit_deadline = self.exit_deadline or self.clock() + self.limits.final_read_time
        if self.listener.closed:
            self.listener.dismiss_unopened()
        return (
            self.listener.closed
            and not self.listener.clients
            and not self.inbox.queue.qsize()
            or self.clock() > self.exit_deadline
        )

    def _call_guarded(self, call: Callable[..., object], now: int, *args: object) -> None:
        """Logs a fault over one flow, which must not end the others."""
        try:
            call(now, *args)
        except Exception:
            self.counters.add("faults")
            name = getattr(call, "__qualname__", call)
            log.error(event("fault", call=name), exc_info=True)
            time.sleep(self.limits.fault_pause / SECOND)

    def stop(self, now: int) -> None:
        """SIGTERM or SIGINT: a graceful shutdown."""
        if self.binding is not None:
            self.binding.fleet.release_leadership()
        self.core.lifecycle.stop(now)

    def reload(self, now: int) -> None:
        """SIGHUP: the endpoint list comes from where the configuration file says now."""
        self.reloads += 1
        self._reload_until(now, self.reloads, now + self.limits.reload_retry_time)

    def _reload_until(self, now: int, number: int, until: int) -> None:
        """Reads the file; half written, it is read again until then or the next SIGHUP."""
        if number != self.reloads:
            return
        try:
            discovery = read_discovery_address(self.path)
        except ConfigError as error:
            if now < until:
                self.core.timers.schedule(
                    now + self.limits.min_list_retry_pause, self._reload_until, number, until
                )
            else:
                log.error(event("reload_failed", error=error))
            return
        self._follow_list_at(discovery)

    def _follow_list_at(self, discovery: Address) -> None:
        """Follows the list at another address; flows and health stay."""
        before = "%s:%d" % self.watch.address  # noqa: UP031 (a tuple)
        log.info(event("reload", discovery="%s:%d" % discovery, before=before))  # noqa: UP031
        if discovery == self.watch.address:
            self.watch.request_update()
            return
        old = self.watch
        new = EndpointWatch(
            discovery,
            old.decoder.for_other_address(),
            self.core,
            self.inbox,
            self.limits,
            old.polled,
            max(old.min_version, old.decoder.version),
        )
        new.request_update()  # what the decisions have asked for they have asked of any address
        start_thread(new.run, self.limits.fault_pause, self.limits.list_thread_stack)
        self.watch = new
        old.end()

    def report(self, now: int) -> None:
        """SIGUSR1: logs the counters."""
        log.info(f"event=counters {self.counters.line()}")

    # What two processes of one balancer do for each other.

    def accept(self) -> None:
        """Accepts clients and peers' datagrams, and lets a successor find this process."""
        self.listener.accepting = True
        start_thread(self.listener.run, self.limits.fault_pause)
        if self.peers is not None:
            self.peers.receiving = True
            start_thread(self.peers.run, self.limits.fault_pause)
        if self.handover_socket is not None and self.handover is not None:
            self.handover_socket.wait_for_successor(self.handover)

    def stop_accepting(self) -> None:
        """The successor accepts, checks health and takes part in the fleet from now on."""
        self.listener.accepting = False
        if self.peers is not None:
            self.peers.receiving = False
        self.prober.close_idle()
        if self.binding is not None:
            self.binding.fleet.stop()

    def list_position(self) -> tuple[str, int]:
        """The endpoint list's address, and the version that was read last."""
        host, port = self.watch.address
        return f"{host}:{port}", self.watch.decoder.version

    def server_names(self) -> dict[int, str]:
        """Servers' names by number."""
        return self.watch.decoder.names

    def listening_sockets(self) -> tuple[int, ...]:
        """Descriptors of the clients' socket and, where there is one, the peers'."""
        return tuple(part.sock.fileno() for part in (self.listener, self.peers) if part is not None)

    # What the core asks for; see net/ports.py.

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        """Starts the attempt's thread."""
        link = ServerConnection(
            attempt, address, line, self.core, self.inbox, self.limits, self.server_slots
        )
        attempt.connection = link
        try:
            start_thread(link.run)
        except RuntimeError as error:
            log.error(event("connect_not_started", error=error))
            self.inbox.post(self.core.on_attempt_ended, attempt, Outcome.CONNECT_FAILED)

    def start_relay(self, attempt: Attempt) -> None:
        """Starts relaying lines."""
        attempt.connection.start_relay()

    def close_attempt(self, attempt: Attempt) -> None:
        """Closes the connection to the server."""
        attempt.connection.close()

    def cancel_unsent(self, attempt: Attempt) -> bool:
        """Drops an attempt that has sent nothing yet."""
        return attempt.connection.cancel_unsent()

    def stop_accepting_at(self, at: int) -> None:
        """Ends the listening for clients at that time."""
        self.listener.closes_at = at

    def send_reply(self, session: Session, line: bytes) -> None:
        """Sends the client its last line."""
        session.client.link.send_nowait(line)
        session.client.link.shutdown(socket.SHUT_WR)

    def close_client(self, session: Session) -> None:
        """Closes the client's connection."""
        session.client.link.shutdown(socket.SHUT_RDWR)

    def migrate(self, session: Session) -> None:
        """Sends an established client MOVE."""
        assert session.attempt is not None  # it is established
        session.attempt.connection.migrate()

    def check_health(self, server: Server, address: Address) -> None:
        """Checks a server's health."""
        self.prober.check(server, address)

    def request_endpoints(self) -> None:
        """Asks for the endpoint list's changes."""
        self.watch.request_update()

    def send_gossip(self, message: bytes) -> None:
        """Sends gossip to the other balancers."""
        if self.peers is not None:
            self.peers.send(message)


def enable(program: Program, path: str, config: Config) -> None:
    """What the operator file turns on. Without one nothing of it is imported."""
    from cypresswalk import operator
    from cypresswalk.refusal import CommandError

    try:
        asked = operator.read(path)
    except CommandError as refusal:
        raise ConfigError(f"PROXY_OPERATOR {refusal}") from None
    if asked.state is not None:
        program.keep_state(asked.state.folder, asked.state.every_s, config)
    if asked.fleet is not None:
        program.join_fleet(asked.fleet, config)


def handle_signals(program: Program) -> None:
    """Has signals posted to the deciding thread."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: program.inbox.post(program.stop))
    signal.signal(signal.SIGHUP, lambda *_: program.inbox.post(program.reload))
    signal.signal(signal.SIGUSR1, lambda *_: program.inbox.post(program.report))


def build_program(
    config: Config,
    policy: type[Balancer],
    core: Callable[..., Core],
    program_class: type[Program],
) -> Program:
    """The program with all that the operator file turns on. Raises ConfigError or OSError."""
    logs.configure(config.name, config.limits.max_log_lines)
    sys.setswitchinterval(SWITCH_INTERVAL)
    threading.stack_size(config.limits.thread_stack)
    program = program_class(config, policy, core)
    if operator := os.environ.get("PROXY_OPERATOR"):
        enable(program, operator, config)
    return program


def main(
    policy: type[Balancer] = Balancer,
    core: Callable[..., Core] = Core,
    made: type[Program] = Program,
) -> int:
    """Runs the balancer; returns an exit code where it cannot start.

    Another policy, core or program than the product's is for comparison, tracing and faults alone.
    """
    # Until there is something to reload; its own action would end the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # From listening on, clients are accepted by the machine: none may be left without an answer.
    stop_signals = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_signals.append(True))
    try:
        config = load(dict(os.environ))
        program = build_program(config, policy, core, made)
    except (ConfigError, OSError) as error:
        print(f"cypresswalk: {error}", file=sys.stderr)
        return 1
    handle_signals(program)
    if stop_signals:
        program.inbox.post(program.stop)
    log.info(
        event(
            "start",
            listen="%s:%d" % config.listen,  # noqa: UP031 (a tuple)
            servers=len(program.core.balancer.servers),
            sockets=config.limits.max_sockets,
            flows=config.limits.max_flows,
        )
    )
    program.run()
    log.info(f"event=end {program.counters.line()}")
    logging.shutdown()
    # Threads still read: ended with the interpreter, one of them could abort it while it logs.
    os._exit(0)
