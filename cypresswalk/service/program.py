"""Puts the parts together and runs the deciding thread."""

import logging
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from queue import Empty

from cypresswalk.choice import Balancer
from cypresswalk.model import SECOND, EndpointUpdate, Outcome, Server
from cypresswalk.net import logs
from cypresswalk.net.clients import Listener
from cypresswalk.net.clock import Clock
from cypresswalk.net.config import Address, Config, ConfigError, discovery_anew, load
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.discovery import Watch
from cypresswalk.net.inbox import Inbox, start_thread
from cypresswalk.net.logs import event
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder
from cypresswalk.net.parsers.lines import ProtocolError
from cypresswalk.net.peers import Peers
from cypresswalk.net.probes import Prober
from cypresswalk.net.servers import ServerLink
from cypresswalk.net.session import Attempt, Session

log = logging.getLogger(__name__)
# The interpreter's own is 5 ms. Measured on two cores: while 300 clients came at once, the echo of a standing one's
# line took 2.5 to 3.2 ms (median of three runs each) instead of 3.7 to 7.6; on quiet days there is no difference.
SWITCH_INTERVAL = 0.0005


class Program:
    """The drivers that the core calls, and the one thread that calls the core."""

    def __init__(
        self, config: Config, policy: type[Balancer] = Balancer, core: Callable[..., Core] = Core
    ):
        self.limits, self.path = config.limits, config.path
        self.clock = Clock()
        self.inbox, self.counters = Inbox(self.clock), Counters()
        self.core = core(config, self, self.counters, self.clock(), policy)
        registry = EndpointListDecoder(config.zones)
        try:
            _, entries = registry.decode(config.known)
        except ProtocolError as error:
            raise ConfigError(f"known: {error}") from None
        self.core.on_endpoints(self.clock(), EndpointUpdate.CACHED, entries)
        asked = config.settings.list_polled
        self.watch = Watch(config.discovery, registry, self.core, self.inbox, self.limits, asked)
        self.places = threading.Semaphore(self.limits.flows + self.limits.links_over)
        self.prober = Prober(self.core, self.inbox, self.limits, config.load_fields)
        self.peers, self.admin, self.beside, sockets = None, None, None, []
        if shared := config.admin is not None:
            sockets = self.operate(config)
        if config.peer_listen is not None:
            self.peers = Peers(
                config.peer_listen,
                config.peers_all,
                self.core,
                self.inbox,
                self.limits,
                shared,
                sockets[1] if len(sockets) > 1 else None,
            )
        self.listener = Listener(
            config.listen,
            self.core,
            self.inbox,
            self.limits,
            shared,
            sockets[0] if sockets else None,
        )
        self.keeper = None
        self.binding = None
        self.reloads = 0  # signals that asked for it
        self.ends_at = 0  # once all flows are answered: when it ends whoever still reads

    def operate(self, config: Config) -> list[socket.socket]:
        """Operators may call and upgrade it; the sockets that a process before this one has passed on, if there is one.
        Imported here alone: the platform's earlier days have no operators who call, and allow no Unix sockets."""
        from cypresswalk.net.admin import Admin
        from cypresswalk.net.handover import Handover
        from cypresswalk.net.handover_socket import HandoverSocket

        self.admin = Admin(config.admin, self.core, self.inbox, self.limits)
        self.beside = HandoverSocket(
            os.environ.get("TMPDIR"), config.name, config.listen, self.inbox, self.limits
        )
        self.elder = self.beside.find_predecessor()
        self.core.extensions.handover = Handover(self.core, self, self.elder)
        return (
            [socket.socket(fileno=number) for number in self.elder.descriptors]
            if self.elder
            else []
        )

    def keep_state(self, folder: str, every: float, config: Config) -> None:
        """Imported here alone: the platform's balancer has no folder that outlasts it, and no memory for this."""
        from cypresswalk.state.snapshot_writer import SnapshotWriter

        self.keeper = SnapshotWriter(
            folder,
            every,
            self.core,
            self.inbox,
            self.watch.registry,
            config.name,
            "%s:%d" % config.discovery,
        )
        self.keeper.recover(self.clock())
        # A list that knows less than this balancer was told in its life before is an older one.
        self.watch.floor = self.keeper.floor

    def join_fleet(self, table: object, config: Config) -> None:
        """Imported here alone: the platform's balancer has nobody to agree with, and no disk."""
        from cypresswalk.fleet.core_binding import CoreBinding

        self.binding = CoreBinding(
            table, config, self.core, self.inbox.post, lambda: self.watch.registry
        )

    def run(self) -> None:
        pause = self.limits.fault_pause
        if self.binding is not None:
            self.binding.fleet.start()
        if self.admin is not None and self.elder is not None:
            self.elder.start(self.core.extensions.handover)
        else:
            self.accept()
        start_thread(self.watch.run, pause, self.limits.list_stack)
        if self.admin is not None:
            start_thread(self.admin.run, pause)
        if self.keeper is not None:
            self.keeper.start()
        queue, calls, core, last = self.inbox.queue, self.inbox.calls, self.core, self.clock()
        while not self.over():
            due = core.timers.next_due()
            wait = SECOND if due is None else due - self.clock()
            if core.lifecycle.stopped:
                wait = min(wait, self.limits.leave_tick)
            try:
                item = queue.get(timeout=wait / SECOND) if wait > 0 else queue.get_nowait()
                # All that waits now, and no more: a flood of events must not keep decisions waiting.
                for left in range(queue.qsize(), -1, -1):
                    at, call, words = item
                    # Threads stamp what they read: two stamps can come in the wrong order.
                    last = max(last, at)
                    while not calls.empty():
                        asked, about = calls.get_nowait()
                        last = max(last, self.clock())
                        self.guarded(asked, last, *about)
                    self.guarded(call, last, *words)
                    if left:
                        item = queue.get_nowait()
            except Empty:
                pass
            last = max(last, self.clock())
            self.guarded(core.timers.run_due, last)
            self.guarded(core.carry_out_decisions, last)
        if self.keeper is not None:
            self.guarded(self.keeper.finish, self.clock())

    def over(self) -> bool:
        """Whether nothing is owed any more: flows are answered, the door is shut, and whoever was told something has gone or
        had time to read it. Guards clients that come in the last moments against being taken and never answered."""
        if not self.core.lifecycle.stopped:
            return False
        self.ends_at = self.ends_at or self.clock() + self.limits.leave_end
        if self.listener.closed:
            self.listener.send_off_silent()
        return (
            self.listener.closed
            and not self.listener.clients
            and not self.inbox.queue.qsize()
            or self.clock() > self.ends_at
        )

    def guarded(self, call: Callable, now: int, *words: object) -> None:
        """Guards the clients that stand against a fault over one flow."""
        try:
            call(now, *words)
        except Exception:
            self.counters.add("faults")
            log.error(event("fault", call=call.__qualname__), exc_info=True)
            time.sleep(self.limits.fault_pause / SECOND)

    def stop(self, now: int) -> None:
        if self.binding is not None:
            self.binding.fleet.leave()
        self.core.lifecycle.stop(now)

    def reload(self, now: int) -> None:
        self.reloads += 1
        self.reload_until(now, self.reloads, now + self.limits.reload_again)

    def reload_until(self, now: int, number: int, until: int) -> None:
        """The list comes from where the file says now; what runs stays. A file that can't be used is looked at again for a
        while, unless the next SIGHUP has come: guards against one that is half written when the signal comes."""
        if number != self.reloads:
            return
        try:
            discovery = discovery_anew(self.path)
        except ConfigError as error:
            if now < until:
                self.core.timers.schedule(
                    now + self.limits.list_retry, self.reload_until, number, until
                )
            else:
                log.error(event("reload_failed", why=error))
            return
        log.info(
            event("reload", discovery="%s:%d" % discovery, before="%s:%d" % self.watch.address)
        )
        if discovery == self.watch.address:
            self.watch.call()
            return
        old = self.watch
        new = Watch(
            discovery,
            old.registry.elsewhere(),
            self.core,
            self.inbox,
            self.limits,
            old.asked,
            max(old.floor, old.registry.version),
        )
        new.call()  # what the module has asked for it has asked of any address
        start_thread(new.run, self.limits.fault_pause, self.limits.list_stack)
        self.watch = new
        old.end()

    def report(self, now: int) -> None:
        log.info(f"event=counters {self.counters.line()}")

    # What two processes of one balancer do for each other.

    def accept(self) -> None:
        self.listener.taking = True
        start_thread(self.listener.run, self.limits.fault_pause)
        if self.peers is not None:
            self.peers.reading = True
            start_thread(self.peers.run, self.limits.fault_pause)
        if self.beside is not None:
            self.beside.wait_for_successor(self.core.extensions.handover)

    def stop_accepting(self) -> None:
        self.listener.taking = False
        if self.peers is not None:
            self.peers.reading = False
        self.prober.end()
        if self.binding is not None:
            self.binding.fleet.stop()

    def list_position(self) -> tuple[str, int]:
        return "%s:%d" % self.watch.address, self.watch.registry.version

    def server_names(self) -> dict[int, str]:
        return self.watch.registry.names

    def listening_sockets(self) -> tuple[int, ...]:
        return tuple(part.sock.fileno() for part in (self.listener, self.peers) if part is not None)

    # What the core asks for.

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        attempt.connection = ServerLink(
            attempt, address, line, self.core, self.inbox, self.limits, self.places
        )
        try:
            start_thread(attempt.connection.run)
        except RuntimeError as error:
            log.error(event("connect_not_started", why=error))
            self.inbox.post(self.core.on_attempt_ended, attempt, Outcome.CONNECT_FAILED)

    def join(self, attempt: Attempt) -> None:
        attempt.connection.join()

    def drop(self, attempt: Attempt) -> None:
        attempt.connection.drop()

    def recall(self, attempt: Attempt) -> bool:
        return attempt.connection.recall()

    def close_door(self, at: int) -> None:
        self.listener.ends_at = at

    def answer(self, session: Session, line: bytes) -> None:
        session.client.link.send_now(line)
        session.client.link.shut(socket.SHUT_WR)

    def close(self, session: Session) -> None:
        session.client.link.shut(socket.SHUT_RDWR)

    def move(self, session: Session) -> None:
        session.attempt.connection.move()

    def probe(self, server: Server, address: Address) -> None:
        self.prober.probe(server, address)

    def subscribe(self) -> None:
        self.watch.call()

    def tell(self, message: bytes) -> None:
        if self.peers is not None:
            self.peers.tell(message)


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


def main(
    policy: type[Balancer] = Balancer,
    core: Callable[..., Core] = Core,
    made: type[Program] = Program,
) -> int:
    """Another policy, core or program than the product's own is for comparison, tracing and faults alone."""
    # Until there is something to reload; its own action would end the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Guards those whom the machine accepts from the listening socket on against an end without an answer.
    told_to_end = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: told_to_end.append(True))
    try:
        config = load(dict(os.environ))
    except ConfigError as error:
        print(f"cypresswalk: {error}", file=sys.stderr)
        return 1
    logs.start(config.name, config.limits.log_lines)
    sys.setswitchinterval(SWITCH_INTERVAL)
    threading.stack_size(config.limits.stack)
    try:
        program = made(config, policy, core)
        if operator := os.environ.get("PROXY_OPERATOR"):
            enable(program, operator, config)
    except (ConfigError, OSError) as error:
        print(f"cypresswalk: {error}", file=sys.stderr)
        return 1
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: program.inbox.post(program.stop))
    if told_to_end:
        program.inbox.post(program.stop)
    signal.signal(signal.SIGHUP, lambda *_: program.inbox.post(program.reload))
    signal.signal(signal.SIGUSR1, lambda *_: program.inbox.post(program.report))
    log.info(
        event(
            "start",
            listen="%s:%d" % config.listen,
            servers=len(program.core.balancer.servers),
            sockets=config.limits.sockets,
            flows=config.limits.flows,
        )
    )
    program.run()
    log.info(f"event=end {program.counters.line()}")
    logging.shutdown()
    # Threads still stand in reads: taken down with the interpreter they could abort it while one of them logs.
    os._exit(0)
