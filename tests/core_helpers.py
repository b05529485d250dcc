"""A core with drivers that only record calls, to test the network code without sockets."""

from collections.abc import Callable, Collection
from typing import Any

from helpers import START, config_data, endpoint_entry
from hypothesis import settings as hypothesis_settings
from rule_assertions import assert_answered_in_time, assert_first_answer, assert_takes_new_flows

from cypresswalk.model import SECOND, Server, ServerState
from cypresswalk.net.config import Address, build
from cypresswalk.net.core import Core
from cypresswalk.net.counters import Counters
from cypresswalk.net.limits import Limits
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.parsers.endpoint_list import EndpointListDecoder, server_number
from cypresswalk.net.parsers.lines import parse_open_request
from cypresswalk.net.session import Attempt, Session

SEEDED = hypothesis_settings(derandomize=True, deadline=None, database=None)
LIMITS = Limits(
    max_sockets=100,
    max_memory=192 << 20,
    dial_timeout=SECOND,
    longest_connect_timeout=3 * SECOND,
    min_reported_delay=SECOND // 60,
)
# For tests of one driver with real sockets.
DRIVER_LIMITS = Limits(
    max_sockets=256,
    max_memory=192 << 20,
    dial_timeout=SECOND,
    longest_connect_timeout=SECOND,
    min_reported_delay=1,
)
CLIENT_TIMEOUT = 900 * SECOND // 1000  # for flows opened by `CoreHarness.open`
NO_CLIENT: Any = None  # the core does not use a session's client
UP = b"UP"  # marks acceptance by a server in `RecordingDrivers.answers`


class RecordingDrivers:
    """Fake drivers that record the core's calls and check them against the rules."""

    def __init__(self) -> None:
        """Start with no calls."""
        self.pending: dict[Session, Attempt] = {}  # attempts without an outcome
        self.relayed: dict[Session, Attempt] = {}  # attempts that were accepted
        self.answers: dict[Session, bytes] = {}
        self.migrated: set[Session] = set()
        self.attempts: list[Attempt] = []  # all attempts in order
        self.dialing: set[Attempt] = set()  # attempts that have written nothing yet
        self.health_checks: list[Server] = []
        self.gossip: list[bytes] = []
        self.list_requests = 0
        self.last_line = b""  # the line sent for the latest attempt
        self.accepting_until: int | None = None

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        """Record an attempt."""
        session = attempt.session
        assert_first_answer(self.answers, session)
        assert session not in self.pending, "second attempt before the first has ended"
        resumed = "at" in session.request.values
        state = ServerState.READY if resumed else attempt.server.state
        assert_takes_new_flows(state, attempt.server.out_of_rotation)
        self.pending[session] = attempt
        self.last_line = line
        self.attempts.append(attempt)

    def start_relay(self, attempt: Attempt) -> None:
        """Record that a client was sent its server's acceptance."""
        session = attempt.session
        assert self.pending.pop(session) is attempt, "answer of an attempt that was given up"
        assert_first_answer(self.answers, session)
        self.answers[session] = UP
        self.relayed[session] = attempt

    def close_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt."""
        if self.pending.get(attempt.session) is attempt:
            del self.pending[attempt.session]

    def cancel_unsent(self, attempt: Attempt) -> bool:
        """Cancel an attempt that is still connecting; return whether there was one."""
        return attempt in self.dialing and self.pending.pop(attempt.session, None) is attempt

    def send_reply(self, session: Session, line: bytes) -> None:
        """Record a client's last line."""
        assert_first_answer(self.answers, session)
        assert session not in self.pending, "answered before the attempt has ended"
        self.answers[session] = line

    def replies(self) -> list[bytes]:
        """Return all answers in order."""
        return list(self.answers.values())

    def close_client(self, session: Session) -> None:
        """Assert that the client has an answer."""
        assert session in self.answers

    def stop_accepting_at(self, at: int) -> None:
        """Record when to stop accepting clients."""
        self.accepting_until = at

    def migrate(self, session: Session) -> None:
        """Record that an established client was sent MOVE, once at most."""
        assert session in self.relayed
        assert session not in self.migrated
        self.migrated.add(session)

    def check_health(self, server: Server, address: Address) -> None:
        """Record a health check."""
        self.health_checks.append(server)

    def request_endpoints(self) -> None:
        """Count a request for the endpoint list."""
        self.list_requests += 1

    def send_gossip(self, message: bytes) -> None:
        """Record a gossip message."""
        self.gossip.append(message)


class CoreHarness:
    """A core, its recording drivers and a clock."""

    def __init__(self, servers: int = 3, **changes: Any):
        """Create a core that knows servers s-0, s-1 and so on; `changes` as for `config_data`."""
        self.now = START
        self.drivers = RecordingDrivers()
        data = config_data([endpoint_entry(f"s-{i}") for i in range(servers)], **changes)
        config = build({}, data)
        self.decoder = EndpointListDecoder(config.zones)
        self.core = Core(config, self.drivers, Counters(), self.now)
        self.deliver(self.core.on_endpoints, *self.decoder.decode(data["known"]))
        self.deadlines: dict[Session, int] = {}  # for the clients' answers

    def deliver(self, call: Callable[..., object], *args: Any) -> None:
        """Deliver an event to the core and carry out its decisions."""
        call(self.now, *args)
        self.step()

    def step(self) -> None:
        """Do what the deciding thread does in one iteration."""
        self.core.timers.run_due(self.now)
        self.core.carry_out_decisions(self.now)

    def pass_time(self, span: int) -> None:
        """Advance time by `span` and run the core's timers."""
        end = self.now + span
        while (due := self.core.timers.next_due()) is not None and due <= end:
            self.now = max(due, self.now)
            self.step()
        self.now = end
        self.step()

    def open(self, number: int, values: str = "c=view,t=north,d=900") -> Session:
        """Open a flow with the id `number` as a client."""
        session = Session(NO_CLIENT)
        self.deadlines[session] = self.now + CLIENT_TIMEOUT
        request = parse_open_request(f"OPEN {number:x} 5 {values}".encode())
        self.deliver(self.core.on_open, session, request)
        return session

    def establish(self, count: int, first: int = 0) -> list[Attempt]:
        """Open flows with ids from `first` on; return the attempts that were established."""
        established = []
        for number in range(first, first + count):
            session = self.open(number)
            attempt = self.drivers.pending.get(session)
            if attempt is not None:
                self.deliver(self.core.on_established, attempt)
                established.append(attempt)
        return established

    def server(self, name: str) -> Server:
        """Return the server with a name."""
        return self.core.balancer.servers[server_number(name)]

    def update_endpoints(
        self, *entries: dict, older: bool = False, reset: bool = False, generation: int = 2
    ) -> None:
        """Deliver an endpoint list update; `older` if it comes from the previous list address."""
        message = {"generation": generation, "reset": reset, "instances": list(entries)}
        self.deliver(self.core.on_endpoints, *self.decoder.decode(message), older)

    def call(self, name: str, server: str = "") -> AdminCommand:
        """Make an operator call and return its command."""
        command = AdminCommand(name, server)
        self.deliver(self.core.commands.on_command, command)
        return command

    def run_command(self, name: str, server: str = "") -> str | None:
        """Make an operator call and return the first word of the answer."""
        return reply_of(self.call(name, server))

    def assert_all_answered_in_time(self, excused: Collection[Session] = ()) -> None:
        """Assert rule one for all opened flows; `excused` are those whose client has left."""
        for session, deadline in self.deadlines.items():
            answered = session in self.drivers.answers or session in excused
            assert_answered_in_time(answered, self.now, deadline)


def reply_of(command: AdminCommand) -> str | None:
    """Return the first word of a command's answer, or None if there is none yet."""
    if command.answers.empty():
        return None
    return command.answers.get_nowait().decode().split()[0]
