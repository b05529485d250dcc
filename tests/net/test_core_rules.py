"""The core under seeded random events: the rules hold after each, whatever their order."""

from core_helpers import SEEDED, CoreHarness
from helpers import listed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.session import Attempt, Session

INDEX = st.integers(0, 99)  # chooses one of some things, by the remainder


class CoreRules(RuleBasedStateMachine):
    """Clients, servers, lists and operators of one core, at random.

    An attempt's thread reports an acceptance once at most, and the end once, also where the core
    has given the attempt up.
    """

    @initialize(servers=st.integers(0, 4), sockets=st.sampled_from([140, 1024]))
    def start(self, servers, sockets):
        """A core that knows some servers."""
        self.harness = CoreHarness(servers, sockets=sockets)
        self.flow_count = 0
        self.clients_left: set[Session] = set()
        self.reported_up: set[Attempt] = set()
        self.reported_end: set[Attempt] = set()

    @rule(
        kind=st.sampled_from(["view", "book"]),
        group=st.integers(0, 3),
        resumed_at=st.sampled_from(["", "s-1"]),
    )
    def open(self, kind, group, resumed_at):
        """A client opens a flow; one that is resumed has no deadline."""
        self.flow_count += 1
        values = f"c={kind},t=south,d=900"
        if group:
            values += f",g={group}"
        if resumed_at:
            values += f",at={resumed_at}"
        session = self.harness.open(self.flow_count, values)
        if resumed_at:
            del self.harness.deadlines[session]

    @rule(which=INDEX)
    def accept(self, which):
        """A server accepts."""
        done = self.reported_up | self.reported_end
        waiting = [attempt for attempt in self.harness.drivers.attempts if attempt not in done]
        if waiting:
            attempt = waiting[which % len(waiting)]
            self.reported_up.add(attempt)
            self.harness.deliver(self.harness.core.on_established, attempt)

    @rule(which=INDEX, outcome=st.sampled_from(Outcome))
    def end(self, which, outcome):
        """An attempt or an established connection ends."""
        attempts = self.harness.drivers.attempts
        running = [attempt for attempt in attempts if attempt not in self.reported_end]
        if running:
            attempt = running[which % len(running)]
            self.reported_end.add(attempt)
            self.harness.drivers.close_attempt(attempt)
            self.harness.deliver(self.harness.core.on_attempt_ended, attempt, outcome)

    @precondition(lambda self: self.harness.deadlines)
    @rule(which=INDEX)
    def leave(self, which):
        """A client leaves, with or without its answer."""
        sessions = list(self.harness.deadlines)
        session = sessions[which % len(sessions)]
        self.clients_left.add(session)
        self.harness.deliver(self.harness.core.on_client_left, session)
        assert session not in self.harness.drivers.pending, "an attempt without its client"

    @rule(which=INDEX, passed=st.booleans())
    def answer_health_check(self, which, passed):
        """A health check ends."""
        checks = self.harness.drivers.health_checks
        if checks:
            server = checks.pop(which % len(checks))
            self.harness.deliver(self.harness.core.on_health_check_result, server, passed, [])

    @rule(
        reset=st.booleans(),
        states=st.lists(st.sampled_from(["in_service", "terminating", "terminated"]), max_size=5),
    )
    def update_endpoints(self, reset, states):
        """The endpoint list says something else."""
        entries = [listed(f"s-{i}", lifecycle=state) for i, state in enumerate(states)]
        self.harness.update_endpoints(*entries, reset=reset)

    @rule(tenths=st.integers(0, 12))
    def wait(self, tenths):
        """Time passes; every flow whose time is up has its answer."""
        self.harness.pass_time(tenths * SECOND // 10)
        self.harness.assert_all_answered_in_time(excused=self.clients_left)

    @rule(
        name=st.sampled_from(["check", "vars", "set-down", "set-up", "drain-on", "drain-off"]),
        server=st.integers(0, 4),
    )
    def call(self, name, server):
        """An operator calls, while every second attempt that is out still dials."""
        drivers = self.harness.drivers
        drivers.dialing = set(list(drivers.pending.values())[::2]) - self.reported_up
        command = AdminCommand(name, f"s-{server}")
        self.harness.deliver(self.harness.core.commands.on_command, command)
        self.reported_end |= drivers.dialing - set(drivers.pending.values())
        assert not command.answers.empty(), "a caller without an answer"

    @rule()
    def stop(self):
        """The process is stopped, not at the very beginning."""
        if self.flow_count > 30:
            self.harness.deliver(self.harness.core.lifecycle.stop)

    def teardown(self):
        """In the end the process is stopped: nobody is left."""
        if hasattr(self, "harness"):
            self.harness.deliver(self.harness.core.lifecycle.stop)
            self.wait(20)
            relayed = self.harness.drivers.relayed
            left = {session for session in relayed if not session.finished}
            assert not left, "not migrated before the stop"


TestCoreRules = CoreRules.TestCase
TestCoreRules.settings = hypothesis_settings(SEEDED, max_examples=100, stateful_step_count=60)
