"""Creates the parts of the balancer, runs the deciding thread, and handles signals.

Threads: the main thread is the deciding thread and the only one that calls the core. The client
listener, the endpoint list watch, the gossip socket and the admin listener have a thread each.
`Program.run` or `Program.accept` starts it, and it runs until its part is stopped or the process
ends. Each connection has its own thread.
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
from cypresswalk.net.work_times import WorkTimes

if TYPE_CHECKING:  # imported at run time only if the operator enables them
    from cypresswalk.fleet.core_binding import CoreBinding
    from cypresswalk.net.admin import AdminListener
    from cypresswalk.net.handover import Handover
    from cypresswalk.net.handover_socket import Channel, HandoverSocket
    from cypresswalk.operator import FleetTable
    from cypresswalk.state.snapshot_writer import SnapshotWriter

log = logging.getLogger(__name__)

# Thread switch interval in seconds; the interpreter's default is 5 ms. When 300 clients connect at
# once on two cores, the echo of an established client's line takes 2.5 to 3.2 ms with this value
# and 3.7 to 7.6 ms with the default. Without load there is no difference.
SWITCH_INTERVAL = 0.0005


class Program:
    """The core's socket drivers and the deciding thread, the only one that calls the core."""

    def __init__(
        self,
        config: Config,
        policy: type[Balancer] = Balancer,
        core: Callable[..., Core] = Core,
    ):
        """Open all sockets; `policy` and `core` as in `main`.

        Raises:
            ConfigError: The configuration's list of servers is invalid.
            OSError: The program cannot listen at an address.
        """
        self.limits = config.limits
        self.path = config.path
        self.clock = Clock()
        self.inbox = Inbox(self.clock)
        self.counters = Counters()
        self.work_times = WorkTimes()
        self.core = core(config, self, self.counters, self.clock(), policy)
        decoder = EndpointListDecoder(config.zones)
        try:
            _, entries = decoder.decode(config.initial_list)
        except ProtocolError as error:
            raise ConfigError(f"known: {error}") from None
        self.core.on_endpoints(self.clock(), EndpointUpdate.CACHED, entries)
        polled = config.settings.list_polled
        self.watch = EndpointWatch(
            config.discovery, decoder, self.core, self.inbox, self.limits, polled
        )
        self.server_slots = threading.Semaphore(
            self.limits.max_flows + self.limits.max_lingering_connections
        )
        self.health_checker = HealthChecker(self.core, self.inbox, self.limits, config.load_fields)
        self.gossip_socket: GossipSocket | None = None
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
        self.reloads = 0  # number of SIGHUPs received
        self.exit_deadline = 0  # in nanoseconds; set once all flows are answered

    def _enable_operators(self, config: Config, address: Address) -> list[socket.socket]:
        """Accept operators' calls and upgrades; return the predecessor's sockets, if there is one.

        The modules are imported only here: without an admin address the program takes no operator
        calls and opens no Unix socket.
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
        """Open the client and gossip sockets, or take those of a predecessor."""
        shared = config.admin_address is not None
        if config.gossip_listen is not None:
            self.gossip_socket = GossipSocket(
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

    def enable_persistence(self, folder: str, interval: float, config: Config) -> None:
        """Recover persisted state from a folder, and write it there every `interval` seconds.

        The modules are imported only here: without an operator file they are not loaded.
        """
        from cypresswalk.state.snapshot_writer import SnapshotWriter

        self.snapshot_writer = SnapshotWriter(
            folder,
            interval,
            self.core,
            self.inbox,
            self.watch.decoder,
            config.name,
            "%s:%d" % config.discovery,  # noqa: UP031 (a tuple)
        )
        self.snapshot_writer.recover(self.clock())
        # A list with a lower version than the previous incarnation had read is out of date.
        self.watch.min_version = self.snapshot_writer.previous_list_version

    def join_fleet(self, table: "FleetTable", config: Config) -> None:
        """Bind the core to the state that a fleet agrees on; its modules are imported only here."""
        from cypresswalk.fleet.core_binding import CoreBinding

        self.binding = CoreBinding(
            table, config, self.core, self.inbox.post, lambda: self.watch.decoder
        )

    def run(self) -> None:
        """Start all threads and run the deciding thread until the process may exit."""
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
        """Wait for an event and apply all queued ones, operators' calls first; return the time."""
        queue = self.inbox.queue
        calls = self.inbox.urgent
        try:
            item = queue.get(timeout=wait / SECOND) if wait > 0 else queue.get_nowait()
            # Only the events queued now: a flood of further events must not delay the decisions.
            for left in range(queue.qsize(), -1, -1):
                at, call, args = item
                # The reading threads set the events' times, so these may be slightly out of order.
                last = max(last, at)
                self.work_times.on_event(self.clock() - at)
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
        """Return whether all flows are answered, and no client is left or the time to read is over.

        A client that connects at the last moment must not be accepted and left without an answer.
        """
        if not self.core.lifecycle.stopped:
            return False
        self.exit_deadline = self.exit_deadline or self.clock() + self.limits.final_read_time
        if self.listener.closed:
            self.listener.dismiss_unopened()
        return (
            self.listener.closed
            and not self.listener.has_clients()
            and not self.inbox.queue.qsize()
            or self.clock() > self.exit_deadline
        )

    def _call_guarded(self, call: Callable[..., object], now: int, *args: object) -> None:
        """Call a function and log any exception: a fault in one flow must not end the others."""
        previous = self.work_times.switch(getattr(call, "__name__", "other").removeprefix("on_"))
        try:
            call(now, *args)
        except Exception:
            self.counters.add("faults")
            name = getattr(call, "__qualname__", call)
            log.error(event("fault", call=name), exc_info=True)
            time.sleep(self.limits.fault_pause / SECOND)
        finally:
            self.work_times.switch(previous)

    def stop(self, now: int) -> None:
        """Shut down gracefully, on SIGTERM or SIGINT."""
        if self.binding is not None:
            self.binding.fleet.release_leadership()
        self.core.lifecycle.stop(now)

    def reload(self, now: int) -> None:
        """Read the endpoint list's address from the configuration file again, on SIGHUP."""
        self.reloads += 1
        self._reload_until(now, self.reloads, now + self.limits.reload_retry_time)

    def _reload_until(self, now: int, number: int, deadline: int) -> None:
        """Read the file; if it is invalid, retry until the deadline or the next SIGHUP.

        It may be half written.
        """
        if number != self.reloads:
            return
        try:
            discovery = read_discovery_address(self.path)
        except ConfigError as error:
            if now < deadline:
                self.core.timers.schedule(
                    now + self.limits.min_list_retry_pause, self._reload_until, number, deadline
                )
            else:
                log.error(event("reload_failed", error=error))
            return
        self._switch_list_address(discovery)

    def _switch_list_address(self, discovery: Address) -> None:
        """Watch the endpoint list at another address; flows and health states are kept."""
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
        new.request_update()  # the core's earlier request holds for every address
        start_thread(new.run, self.limits.fault_pause, self.limits.list_thread_stack)
        self.watch = new
        old.end()

    def log_counters(self, now: int) -> None:
        """Log the counters, on SIGUSR1."""
        log.info(f"event=counters {self.figures()}")

    def figures(self) -> str:
        """Return the counters, and how processor time was spent, for a log line."""
        return f"{self.counters.line()} {self.work_times.fields()}"

    # Called by the handover between two processes of one balancer.

    def accept(self) -> None:
        """Accept clients and gossip, and let a successor process find this one."""
        self.listener.accepting = True
        start_thread(self.listener.run, self.limits.fault_pause)
        if self.gossip_socket is not None:
            self.gossip_socket.receiving = True
            start_thread(self.gossip_socket.run, self.limits.fault_pause)
        if self.handover_socket is not None and self.handover is not None:
            self.handover_socket.listen_for_successor(self.handover)

    def stop_accepting(self) -> None:
        """Leave clients, gossip, health checks and the fleet to the successor from now on."""
        self.listener.accepting = False
        if self.gossip_socket is not None:
            self.gossip_socket.receiving = False
        self.health_checker.close_idle()
        if self.binding is not None:
            self.binding.fleet.stop()

    def list_position(self) -> tuple[str, int]:
        """Return the endpoint list's address and the version read last."""
        host, port = self.watch.address
        return f"{host}:{port}", self.watch.decoder.version

    def server_names(self) -> dict[int, str]:
        """Return the servers' names by id."""
        return self.watch.decoder.names

    def listening_sockets(self) -> tuple[int, ...]:
        """Return the descriptors of the client socket and of the gossip socket, if there is one."""
        return tuple(
            part.sock.fileno() for part in (self.listener, self.gossip_socket) if part is not None
        )

    # Called by the core; see `Drivers` in net/ports.py.

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        """Start the attempt's thread."""
        connection = ServerConnection(
            attempt, address, line, self.core, self.inbox, self.limits, self.server_slots
        )
        attempt.connection = connection
        previous = self.work_times.switch("connect")
        try:
            start_thread(connection.run)
        except RuntimeError as error:
            log.error(event("connect_not_started", error=error))
            self.inbox.post(self.core.on_attempt_ended, attempt, Outcome.CONNECT_FAILED)
        finally:
            self.work_times.switch(previous)

    def start_relay(self, attempt: Attempt) -> None:
        """Start relaying lines."""
        attempt.connection.start_relay()

    def close_attempt(self, attempt: Attempt) -> None:
        """Close the connection to the server."""
        attempt.connection.close()

    def cancel_unsent(self, attempt: Attempt) -> bool:
        """Cancel an attempt that has sent nothing yet; return whether it was cancelled."""
        return attempt.connection.cancel_unsent()

    def stop_accepting_at(self, at: int) -> None:
        """Stop accepting clients at a time."""
        self.listener.closes_at = at

    def send_reply(self, session: Session, line: bytes) -> None:
        """Send the client its last line."""
        session.client.link.send_nowait(line)
        session.client.link.shutdown(socket.SHUT_WR)

    def close_client(self, session: Session) -> None:
        """Close the client's connection."""
        session.client.link.shutdown(socket.SHUT_RDWR)

    def migrate(self, session: Session) -> None:
        """Send an established client MOVE."""
        assert session.attempt is not None  # it is established
        session.attempt.connection.migrate()

    def check_health(self, server: Server, address: Address) -> None:
        """Check a server's health."""
        previous = self.work_times.switch("check_health")
        self.health_checker.check(server, address)
        self.work_times.switch(previous)

    def request_endpoints(self) -> None:
        """Request the endpoint list's changes."""
        self.watch.request_update()

    def send_gossip(self, message: bytes) -> None:
        """Send gossip to the other balancers."""
        if self.gossip_socket is not None:
            self.gossip_socket.send(message)


def apply_operator_file(program: Program, path: str, config: Config) -> None:
    """Enable the parts that the operator file asks for; their modules are imported only here."""
    from cypresswalk import operator
    from cypresswalk.refusal import CommandError

    try:
        options = operator.read(path)
    except CommandError as refusal:
        raise ConfigError(f"PROXY_OPERATOR {refusal}") from None
    if options.state is not None:
        program.enable_persistence(options.state.folder, options.state.every_s, config)
    if options.fleet is not None:
        program.join_fleet(options.fleet, config)


def handle_signals(program: Program) -> None:
    """Post signals to the deciding thread."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: program.inbox.post(program.stop))
    signal.signal(signal.SIGHUP, lambda *_: program.inbox.post(program.reload))
    signal.signal(signal.SIGUSR1, lambda *_: program.inbox.post(program.log_counters))


def build_program(
    config: Config,
    policy: type[Balancer],
    core: Callable[..., Core],
    program_class: type[Program],
) -> Program:
    """Create the program with the parts that the operator file enables.

    Raises:
        ConfigError: The configuration or the operator file is invalid.
        OSError: The program cannot listen at an address.
    """
    logs.configure(config.name, config.limits.max_log_lines)
    sys.setswitchinterval(SWITCH_INTERVAL)
    threading.stack_size(config.limits.thread_stack)
    program = program_class(config, policy, core)
    if operator := os.environ.get("PROXY_OPERATOR"):
        apply_operator_file(program, operator, config)
    return program


def main(
    policy: type[Balancer] = Balancer,
    core: Callable[..., Core] = Core,
    program_class: type[Program] = Program,
) -> int:
    """Run the balancer until it exits; return an exit code if it cannot start.

    Other policies, cores or programs than the defaults are only for comparison, tracing and fault
    injection.
    """
    # SIGHUP's default action would end the process, and there is nothing to reload yet.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The kernel accepts clients as soon as the socket listens, and each must get an answer. So a
    # stop signal during the start takes effect after it.
    stop_signals = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_signals.append(True))
    try:
        config = load(dict(os.environ))
        program = build_program(config, policy, core, program_class)
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
    log.info(f"event=end {program.figures()}")
    logging.shutdown()
    # Other threads still read. If the interpreter ended them while one logs, it could abort.
    os._exit(0)
