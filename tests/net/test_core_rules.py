"""Property tests of the core: its rules hold after each of many random events in any order."""

from core_helpers import SEEDED, CoreHarness
from helpers import endpoint_entry
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.parsers.admin_commands import AdminCommand
from cypresswalk.net.session import Attempt, Session

INDEX = st.integers(0, 99)  # selects an item of a list, modulo its length


class CoreRules(RuleBasedStateMachine):
    """Random events of clients, servers, endpoint lists and operators at one core.

    An attempt's thread reports an acceptance at most once, and the end once, even if the core has
    abandoned the attempt.
    """

    @initialize(servers=st.integers(0, 4), sockets=st.sampled_from([140, 1024]))
    def start(self, servers, sockets):
        """Create a core that knows some servers."""
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
        """Open a client's flow; a resumed one has no deadline."""
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
        """Report a server's acceptance."""
        done = self.reported_up | self.reported_end
        waiting = [attempt for attempt in self.harness.drivers.attempts if attempt not in done]
        if waiting:
            attempt = waiting[which % len(waiting)]
            self.reported_up.add(attempt)
            self.harness.deliver(self.harness.core.on_established, attempt)

    @rule(which=INDEX, outcome=st.sampled_from(Outcome))
    def end(self, which, outcome):
        """Report the end of an attempt or of an established connection."""
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
        """Report that a client leaves, with or without its reply."""
        sessions = list(self.harness.deadlines)
        session = sessions[which % len(sessions)]
        self.clients_left.add(session)
        self.harness.deliver(self.harness.core.on_client_left, session)
        assert session not in self.harness.drivers.pending, "pending attempt of a client that left"

    @rule(which=INDEX, passed=st.booleans())
    def answer_health_check(self, which, passed):
        """Report the result of a health check."""
        checks = self.harness.drivers.health_checks
        if checks:
            server = checks.pop(which % len(checks))
            self.harness.deliver(self.harness.core.on_health_check_result, server, passed, [])

    @rule(
        reset=st.booleans(),
        states=st.lists(st.sampled_from(["in_service", "terminating", "terminated"]), max_size=5),
    )
    def update_endpoints(self, reset, states):
        """Change the endpoint list."""
        entries = [endpoint_entry(f"s-{i}", lifecycle=state) for i, state in enumerate(states)]
        self.harness.update_endpoints(*entries, reset=reset)

    @rule(tenths=st.integers(0, 12))
    def wait(self, tenths):
        """Let time pass; each flow whose deadline has passed must have its reply."""
        self.harness.pass_time(tenths * SECOND // 10)
        self.harness.assert_all_answered_in_time(excused=self.clients_left)

    @rule(
        name=st.sampled_from(["check", "vars", "set-down", "set-up", "drain-on", "drain-off"]),
        server=st.integers(0, 4),
    )
    def call(self, name, server):
        """Run an operator's command while every second pending attempt is still dialing."""
        drivers = self.harness.drivers
        drivers.dialing = set(list(drivers.pending.values())[::2]) - self.reported_up
        command = AdminCommand(name, f"s-{server}")
        self.harness.deliver(self.harness.core.commands.on_command, command)
        self.reported_end |= drivers.dialing - set(drivers.pending.values())
        assert not command.answers.empty(), "no reply to the operator's command"

    @rule()
    def stop(self):
        """Stop the process, but not before many flows were opened."""
        if self.flow_count > 30:
            self.harness.deliver(self.harness.core.lifecycle.stop)

    def teardown(self):
        """Stop the process at the end; each established client must be migrated."""
        if hasattr(self, "harness"):
            self.harness.deliver(self.harness.core.lifecycle.stop)
            self.wait(20)
            relayed = self.harness.drivers.relayed
            left = {session for session in relayed if not session.finished}
            assert not left, "clients not migrated before the process stopped"


TestCoreRules = CoreRules.TestCase
TestCoreRules.settings = hypothesis_settings(SEEDED, max_examples=100, stateful_step_count=60)
