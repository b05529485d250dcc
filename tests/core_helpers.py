"""A core between drivers that only record: the network code without a socket."""

from collections.abc import Callable, Collection
from typing import Any

from helpers import START, config_data, listed
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
# Of tests of one driver on real sockets.
DRIVER_LIMITS = Limits(
    max_sockets=256,
    max_memory=192 << 20,
    dial_timeout=SECOND,
    longest_connect_timeout=SECOND,
    min_reported_delay=1,
)
CLIENT_TIMEOUT = 900 * SECOND // 1000  # of the flows that `CoreHarness.open` opens
NO_CLIENT: Any = None  # the core uses nothing of a session's client
UP = b"UP"  # stands in `RecordingDrivers.answers` for a server's acceptance


class RecordingDrivers:
    """Stands in for the drivers, and holds what the core asks for against the rules."""

    def __init__(self) -> None:
        """Nothing was asked for yet."""
        self.pending: dict[Session, Attempt] = {}  # attempts without an outcome
        self.relayed: dict[Session, Attempt] = {}  # attempts that were accepted
        self.answers: dict[Session, bytes] = {}
        self.migrated: set[Session] = set()
        self.attempts: list[Attempt] = []  # all of them, in their order
        self.dialing: set[Attempt] = set()  # nothing was written on these yet
        self.health_checks: list[Server] = []
        self.gossip: list[bytes] = []
        self.list_requests = 0
        self.last_line = b""  # the latest first line that went to a server
        self.accepting_until: int | None = None

    def connect(self, attempt: Attempt, address: Address, line: bytes) -> None:
        """Records an attempt."""
        session = attempt.session
        assert_first_answer(self.answers, session)
        assert session not in self.pending, "two attempts at once"
        resumed = "at" in session.request.values
        state = ServerState.READY if resumed else attempt.server.state
        assert_takes_new_flows(state, attempt.server.out_of_rotation)
        self.pending[session] = attempt
        self.last_line = line
        self.attempts.append(attempt)

    def start_relay(self, attempt: Attempt) -> None:
        """Records that a client was told of its server's acceptance."""
        session = attempt.session
        assert self.pending.pop(session) is attempt, "an answer of an attempt that was given up"
        assert_first_answer(self.answers, session)
        self.answers[session] = UP
        self.relayed[session] = attempt

    def close_attempt(self, attempt: Attempt) -> None:
        """Forgets an attempt."""
        if self.pending.get(attempt.session) is attempt:
            del self.pending[attempt.session]

    def cancel_unsent(self, attempt: Attempt) -> bool:
        """Takes an attempt back that still dials."""
        return attempt in self.dialing and self.pending.pop(attempt.session, None) is attempt

    def send_reply(self, session: Session, line: bytes) -> None:
        """Records a client's last line."""
        assert_first_answer(self.answers, session)
        assert session not in self.pending, "answered with an attempt out"
        self.answers[session] = line

    def replies(self) -> list[bytes]:
        """All answers in their order."""
        return list(self.answers.values())

    def close_client(self, session: Session) -> None:
        """No client's connection is closed without an answer."""
        assert session in self.answers

    def stop_accepting_at(self, at: int) -> None:
        """Records when listening is to end."""
        self.accepting_until = at

    def migrate(self, session: Session) -> None:
        """Records that an established client was told to move, once."""
        assert session in self.relayed
        assert session not in self.migrated
        self.migrated.add(session)

    def check_health(self, server: Server, address: Address) -> None:
        """Records a health check."""
        self.health_checks.append(server)

    def request_endpoints(self) -> None:
        """Counts requests for the endpoint list."""
        self.list_requests += 1

    def send_gossip(self, message: bytes) -> None:
        """Records gossip."""
        self.gossip.append(message)


class CoreHarness:
    """A core, its recording drivers and a clock."""

    def __init__(self, servers: int = 3, **changes: Any):
        """A core that knows servers s-0, s-1 and so on; `changes` as of `config_data`."""
        self.now = START
        self.drivers = RecordingDrivers()
        data = config_data([listed(f"s-{i}") for i in range(servers)], **changes)
        config = build({}, data)
        self.decoder = EndpointListDecoder(config.zones)
        self.core = Core(config, self.drivers, Counters(), self.now)
        self.deliver(self.core.on_endpoints, *self.decoder.decode(data["known"]))
        self.deadlines: dict[Session, int] = {}  # of the clients' answers

    def deliver(self, call: Callable[..., object], *args: Any) -> None:
        """Tells the core of an event, and has it decide."""
        call(self.now, *args)
        self.step()

    def step(self) -> None:
        """What the deciding thread does in one turn."""
        self.core.timers.run_due(self.now)
        self.core.carry_out_decisions(self.now)

    def pass_time(self, span: int) -> None:
        """Plays the core's timers up to `span` on."""
        end = self.now + span
        while (due := self.core.timers.next_due()) is not None and due <= end:
            self.now = max(due, self.now)
            self.step()
        self.now = end
        self.step()

    def open(self, number: int, values: str = "c=view,t=north,d=900") -> Session:
        """A client opens the flow with that id."""
        session = Session(NO_CLIENT)
        self.deadlines[session] = self.now + CLIENT_TIMEOUT
        request = parse_open_request(f"OPEN {number:x} 5 {values}".encode())
        self.deliver(self.core.on_open, session, request)
        return session

    def establish(self, count: int, first: int = 0) -> list[Attempt]:
        """Opens flows with ids from `first` on; the attempts of those that were established."""
        established = []
        for number in range(first, first + count):
            session = self.open(number)
            attempt = self.drivers.pending.get(session)
            if attempt is not None:
                self.deliver(self.core.on_established, attempt)
                established.append(attempt)
        return established

    def server(self, name: str) -> Server:
        """The server of that name."""
        return self.core.balancer.servers[server_number(name)]

    def update_endpoints(
        self, *entries: dict, older: bool = False, reset: bool = False, generation: int = 2
    ) -> None:
        """The endpoint list says this; `older` if the address before this one says it."""
        message = {"generation": generation, "reset": reset, "instances": list(entries)}
        self.deliver(self.core.on_endpoints, *self.decoder.decode(message), older)

    def call(self, name: str, server: str = "") -> AdminCommand:
        """An operator's call."""
        command = AdminCommand(name, server)
        self.deliver(self.core.commands.on_command, command)
        return command

    def run_command(self, name: str, server: str = "") -> str | None:
        """The first word of the answer to an operator's call."""
        return reply_of(self.call(name, server))

    def assert_all_answered_in_time(self, excused: Collection[Session] = ()) -> None:
        """Rule one, for all flows that were opened but for those of clients that left."""
        for session, deadline in self.deadlines.items():
            answered = session in self.drivers.answers or session in excused
            assert_answered_in_time(answered, self.now, deadline)


def reply_of(command: AdminCommand) -> str | None:
    """The first word of a command's answer; None if there is none yet."""
    if command.answers.empty():
        return None
    return command.answers.get_nowait().decode().split()[0]
