"""Two processes of one balancer under seeded random events: the rules hold over both together."""

from core_helpers import SEEDED
from handover_helpers import HandoverProcess
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from cypresswalk.model import SECOND, Outcome
from cypresswalk.net.parsers.endpoint_list import server_number

SOCKETS = 140  # of each process
MAX_SESSIONS = 60  # that the machine opens at a process
INDEX = st.integers(0, 99)  # chooses one of some things, by the remainder


class HandoverRules(RuleBasedStateMachine):
    """Any order of events at both processes, with messages that are late by any number."""

    @initialize()
    def start(self):
        """One process serves."""
        self.first = HandoverProcess(sockets=SOCKETS)
        self.second: HandoverProcess | None = None
        self.flow_count = 0
        self.out_of_rotation: set[int] = set()  # as operators were told

    def running(self) -> list[HandoverProcess]:
        """The processes that have not stopped."""
        started = [process for process in (self.first, self.second) if process is not None]
        return [process for process in started if not process.core.lifecycle.stopped]

    @rule()
    def upgrade(self):
        """The second process starts."""
        if self.second is None:
            self.second = HandoverProcess(self.first, sockets=SOCKETS)

    @precondition(lambda self: self.second)
    @rule(most=st.integers(1, 9), to_first=st.booleans())
    def deliver(self, most, to_first):
        """Some messages arrive."""
        channel = self.second.channel if to_first else self.second.channel.reverse
        channel.deliver(most)

    @precondition(lambda self: self.second)
    @rule()
    def stop(self):
        """The first process is stopped, as an operator does: once the second is ready."""
        if self.second.run_command("check") == "OK":
            self.first.stop()

    @rule(kind=st.sampled_from(["view", "book"]))
    def open(self, kind):
        """A client opens a flow at a process that accepts clients."""
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
        """An attempt of each process is accepted (None) or fails."""
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
        """An operator takes a server out of rotation, or puts it back, at one of the processes."""
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
        """Time passes."""
        for process in self.running():
            process.pass_time(tenths * SECOND // 10)

    def knows_the_state(self, process: HandoverProcess) -> bool:
        """Whether the process is the first, or has read the first one's whole state."""
        return process is self.first or process.handover.state_received

    @rule()
    def check(self):
        """What operators were told holds; all are answered in time; one process accepts clients."""
        for process in self.running():
            if self.knows_the_state(process):
                assert process.out_of_rotation() == self.out_of_rotation
            process.assert_all_answered_in_time()
        if self.second is not None and not self.second.has_messages():
            accepting = [process.accepting for process in self.running()]
            assert accepting.count(True) == 1, "not one process accepts clients"

    def teardown(self):
        """In the end all messages arrive, and an upgrade that was begun is completed."""
        if hasattr(self, "first"):
            if self.second is not None:
                self.second.exchange_all()
                self.stop()
                self.second.exchange_all()
            self.check()


TestHandoverRules = HandoverRules.TestCase
TestHandoverRules.settings = hypothesis_settings(SEEDED, max_examples=60, stateful_step_count=40)
