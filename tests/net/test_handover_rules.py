"""Property tests of two processes of one balancer during an upgrade, with random events.

Commands hold in both, flows are answered in time, and exactly one process accepts clients.
"""

from core_helpers import SEEDED
from handover_helpers import HandoverProcess
from helpers import present
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.parsers.endpoint_list import server_number

SOCKETS = 140  # of each process
MAX_SESSIONS = 60  # opened by this test at a process
INDEX = st.integers(0, 99)  # selects an element of a list, modulo its length


class HandoverRules(RuleBasedStateMachine):
    """Events at both processes in any order, with any number of messages still in transit."""

    @initialize()
    def start(self):
        """Start one process, which serves."""
        self.first = HandoverProcess(sockets=SOCKETS)
        self.second: HandoverProcess | None = None
        self.flow_count = 0
        self.out_of_rotation: set[int] = set()  # according to the replies to operators

    def running(self) -> list[HandoverProcess]:
        """Return the processes that have not stopped."""
        started = [process for process in (self.first, self.second) if process is not None]
        return [process for process in started if not process.core.lifecycle.stopped]

    @rule()
    def upgrade(self):
        """Start the second process."""
        if self.second is None:
            self.second = HandoverProcess(self.first, sockets=SOCKETS)

    @precondition(lambda self: self.second)
    @rule(count=st.integers(1, 9), to_first=st.booleans())
    def deliver(self, count, to_first):
        """Deliver up to `count` messages in one direction."""
        channel = present(self.second).channel
        channel = channel if to_first else channel.reverse
        channel.deliver(count)

    @precondition(lambda self: self.second)
    @rule()
    def stop(self):
        """Stop the first process if the second is ready, as an operator does."""
        if present(self.second).run_command("check") == "OK":
            self.first.stop()

    @rule(kind=st.sampled_from(["view", "book"]))
    def open(self, kind):
        """Open a flow at a process that accepts clients."""
        for process in self.running():
            if process.accepting and len(process.core.sessions) < MAX_SESSIONS:
                self.flow_count += 1
                process.open(self.flow_count, f"c={kind},t=south,d=900")
                break

    @rule(
        which=INDEX,
        outcome=st.sampled_from([None, Outcome.ERROR, Outcome.FULL, Outcome.CONNECT_FAILED]),
    )
    def end_attempt(self, which, outcome):
        """Have one attempt of each process be established (None) or fail."""
        for process in self.running():
            attempts = list(process.drivers.pending.values())
            if not attempts:
                continue
            attempt = attempts[which % len(attempts)]
            if outcome is None:
                process.deliver(process.core.on_established, attempt)
            else:
                process.drivers.close_attempt(attempt)
                process.deliver(process.core.on_attempt_ended, attempt, outcome)

    @rule(down=st.booleans(), server=st.integers(0, 2), which=st.integers(0, 1))
    def call(self, down, server, which):
        """Have an operator take a server out of rotation or put it back, at one process."""
        running = self.running()
        process = running[which % len(running)]
        command = process.call("set-down" if down else "set-up", f"s-{server}")
        if self.second is not None:
            self.second.exchange_all()
        if command.answers.empty() or command.answers.get_nowait() != b"OK\r\n":
            return
        number = server_number(f"s-{server}")
        (self.out_of_rotation.add if down else self.out_of_rotation.discard)(number)

    @rule(tenths=st.integers(0, 10))
    def wait(self, tenths):
        """Let time pass."""
        for process in self.running():
            process.pass_time(tenths * SECOND // 10)

    def has_state(self, process: HandoverProcess) -> bool:
        """Return whether the process is the first one or has received its whole state."""
        return process is self.first or process.handover.state_received

    @rule()
    def check(self):
        """Check that commands hold, flows are answered in time, and one process accepts clients."""
        for process in self.running():
            if self.has_state(process):
                assert process.out_of_rotation() == self.out_of_rotation
            process.assert_all_answered_in_time()
        if self.second is not None and not self.second.has_messages():
            accepting = [process.accepting for process in self.running()]
            assert accepting.count(True) == 1, (
                "the number of processes that accept clients is not one"
            )

    def teardown(self):
        """Deliver all messages, complete an upgrade that was begun, and check once more."""
        if hasattr(self, "first"):
            if self.second is not None:
                self.second.exchange_all()
                self.stop()
                self.second.exchange_all()
            self.check()


TestHandoverRules = HandoverRules.TestCase
TestHandoverRules.settings = hypothesis_settings(SEEDED, max_examples=60, stateful_step_count=40)
