"""Every size, count and time of the network code, in one type that is filled at start.

Times are nanoseconds, memory and lengths are bytes, the rest are counts.
"""

from dataclasses import dataclass

from cypresswalk.model import SECOND

MILLISECOND = SECOND // 1000
KIB = 1 << 10
MIB = 1 << 20
# Discovery sends an empty line so often while nothing changes.
LIST_HEARTBEAT_INTERVAL = 2 * SECOND


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one balancer.

    What may be open at once leaves the endpoint list its descriptor whatever clients do. Added up
    it is: `max_flows` twice, for a client and a server each; `max_unopened_clients`;
    `max_lingering_connections`; `max_idle_health_checks` and `max_running_health_checks`;
    `fixed_sockets`.
    """

    # From the configuration.

    # Descriptors that the process may hold.
    max_sockets: int
    # Bytes of memory that the process may use.
    max_memory: int
    # A TCP connection that takes longer to set up has failed.
    dial_timeout: int
    # The longest time that a client may allow for the set-up of its flow, of any service type.
    longest_connect_timeout: int
    # A message that takes longer is reported to the decisions: in the measure of servers' reports.
    min_reported_delay: int

    # Memory and buffers.

    # Flow ids that are remembered: a few minutes' worth, half a megabyte.
    max_remembered_flows: int = 8192
    # Bytes of a gossip datagram.
    max_gossip_bytes: int = 256
    # Bytes of a line of the clients', servers' and admin protocol.
    max_line_bytes: int = 4 * KIB
    # Bytes of one object of the endpoint list: some ten thousand servers.
    max_list_bytes: int = MIB
    # Bytes read at once from discovery.
    list_read_bytes: int = 64 * KIB
    # Bytes of a thread's stack, of which the parsers need a few KiB.
    thread_stack: int = 128 * KIB
    # Bytes of the stack of the thread that decodes the endpoint list, nested as deep as it may be.
    list_thread_stack: int = MIB
    # Bytes of memory without any client; 19 MB were measured.
    program_memory: int = 20 * MIB
    # Bytes of memory for each flow, two threads and buffers; 51 to 60 KB were measured.
    flow_memory: int = 64 * KIB

    # Clients.

    # Clients that return all at once wait in the backlog, not in a retry.
    accept_backlog: int = 1024
    # After an error of accepting, and where another process may accept in this one's place.
    accept_retry_pause: int = SECOND // 20
    # How often the accept loop looks whether it is to end.
    accept_poll_interval: int = SECOND // 5
    # The address of a process that has just died may be taken for a moment.
    bind_timeout: int = 3 * SECOND
    # A client that has not sent its first line by then is dismissed.
    first_line_timeout: int = 2 * SECOND
    # And after this already where others wait for its place.
    idle_grace: int = SECOND // 10
    # Bytes that a dismissed client may still send, which cost as much to read as others'.
    max_drained_bytes: int = 256 * KIB
    # How often a client that was dismissed unread is looked at.
    drain_poll_interval: int = 5 * MILLISECOND
    # A peer that accepts nothing for so long is gone.
    write_timeout: int = 5 * SECOND
    # How long one side may still send after the other has ended.
    linger_timeout: int = SECOND // 2
    # How long before a flow's deadline its answer must be on its way.
    answer_margin: int = 10 * MILLISECOND
    # A connection that stood before the start must be up at its server by then.
    resume_timeout: int = 38 * SECOND
    resume_retry_interval: int = SECOND // 2

    # Servers.

    # A fifth of the shortest interval of health checks: one never meets the next.
    health_check_timeout: int = 200 * MILLISECOND
    # A client's line is unanswered for so long, as are the two that follow in that time.
    silence_timeout: int = 4 * SECOND
    # The same where a client that sent to that server later has its answer.
    single_silence_timeout: int = SECOND
    silence_check_interval: int = SECOND // 4
    # A burst of set-ups may hold a line back here for so long, which says nothing of its server.
    own_delay_allowance: int = SECOND // 20
    # Delays of one server are reported, and passed to the decisions, so often.
    delay_report_interval: int = SECOND
    # What the network and this program add to that interval; under 1 ms was measured.
    delay_report_jitter: int = 5 * MILLISECOND

    # Endpoint list.

    # A change must be known so long after discovery had it and could be reached, or after a watch
    # fell silent. The last line of a watch may be as old as its silence when that is noticed:
    # silence, a call at once and time to apply make 5.9 s. A call that had just begun when
    # discovery came back: call, longest pause, call again make 4.3 s.
    list_update_budget: int = 6 * SECOND
    # Two heartbeats missed, and 0.4 s for the network.
    list_silence_timeout: int = 2 * LIST_HEARTBEAT_INTERVAL + 400 * MILLISECOND
    # Set-up, request and first line of one call.
    list_call_timeout: int = 3 * SECOND // 2
    # By then another address of discovery knows what the one before it knew.
    list_convergence_time: int = 4 * SECOND
    # The pause between calls doubles from the smallest to the largest, each 30% more or less.
    min_list_retry_pause: int = SECOND // 5
    max_list_retry_pause: int = SECOND
    # A file that cannot be read at SIGHUP, mostly half written, is read again for so long.
    reload_retry_time: int = 2 * SECOND

    # The process.

    # After a fault in a decision.
    fault_pause: int = SECOND // 50
    # Warnings and errors a second: writing more would delay the threads that log.
    max_log_lines: int = 50
    # A planned stop lasts for the longest attempt timeout, but no longer than this,
    max_leave_time: int = 3 * SECOND
    # and so much longer, since new clients still come; the kill is 0.7 s after that.
    leave_extension: int = 3 * SECOND // 10
    # The edge load balancer goes on sending clients for about so long after a stop began.
    min_leave_delay: int = 2 * SECOND // 5
    # What was sent last is read by then.
    leave_read_time: int = SECOND // 4
    leave_poll_interval: int = SECOND // 50
    # The edge load balancer asks each 0.1 s, and sends clients for 0.2 s after the first refusal.
    drain_delay: int = SECOND // 2
    # After the call for a drain; a client that is still connected one second later is lost.
    drain_time: int = 3 * SECOND

    # Operators' calls.

    # Whether operators can call: descriptors are reserved for them.
    operated: bool = False
    # Callers at a time.
    max_admin_connections: int = 8
    # Descriptors for the hand-over to a process of another version, beside its flows.
    handover_sockets: int = 24
    # A caller whose line is not complete by then is dismissed.
    admin_line_timeout: int = 2 * SECOND
    # A caller waits a second.
    admin_call_timeout: int = 8 * SECOND // 10
    # Of that time, what the other process of a hand-over has to confirm a call.
    handover_confirm_timeout: int = SECOND // 2

    # Descriptors: three standard ones, listener, gossip, the list at two addresses, one to come.
    fixed_sockets: int = 8

    @property
    def spare_sockets(self) -> int:
        """Descriptors for all but flows.

        A quarter, since clients of flows may hold a third and each flow takes another for its
        server.
        """
        return self.max_sockets // 4

    @property
    def max_flows(self) -> int:
        """Flows for which there are descriptors, one each for client and server, and memory."""
        by_sockets = (self.max_sockets - self.spare_sockets) // 2
        by_memory = (self.max_memory - self.program_memory) // self.flow_memory
        return max(min(by_sockets, by_memory), 1)

    @property
    def max_unopened_clients(self) -> int:
        """Clients that have not sent their first line, or are being rejected."""
        reserved = (self.max_admin_connections + self.handover_sockets) * self.operated
        return max(self.spare_sockets - reserved, self.spare_sockets // 2) // 2

    @property
    def max_lingering_connections(self) -> int:
        """Connections to servers that outlive their flow for a moment.

        These are attempts dropped while they dial, and ends that are being passed on.
        """
        return max(self.spare_sockets // 16, 1)

    @property
    def max_idle_health_checks(self) -> int:
        """Connections to servers that stay open between health checks."""
        return self.spare_sockets // 4

    @property
    def max_running_health_checks(self) -> int:
        """Health checks at a time."""
        return max(self.spare_sockets // 16, 1)
