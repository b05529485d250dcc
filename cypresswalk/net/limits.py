"""All sizes, counts and times of the network code, in one type that is filled at start.

Times are in nanoseconds, memory and lengths in bytes; the rest are counts.
"""

from dataclasses import dataclass

from cypresswalk.model import SECOND

MILLISECOND = SECOND // 1000
MICROSECOND = MILLISECOND // 1000
KIB = 1 << 10
MIB = 1 << 20
# Interval at which discovery sends an empty line while nothing changes.
LIST_HEARTBEAT_INTERVAL = 2 * SECOND
# The part by which a pause between calls for the endpoint list varies, up or down.
LIST_RETRY_JITTER = 0.3
# Time to call discovery, read a list and apply it, and for which the process may be held up.
LIST_REFRESH_TIME = 300 * MILLISECOND
MAX_LIST_RETRY_PAUSE = SECOND
LEAST_LIST_RETRY_PAUSE = 50 * MILLISECOND


def longest_list_retry_pause(drain_grace: int) -> int:
    """Return the longest pause between calls for a pushed list, before jitter, in nanoseconds.

    What discovery's agent has counts as known, whether or not a call is open. So a drain must be
    heard within its grace even if discovery returns just after a call has failed.

    Args:
        drain_grace: How long a server may get new flows after its drain is known, in nanoseconds.
    """
    longest = int((drain_grace - LIST_REFRESH_TIME) / (1 + LIST_RETRY_JITTER))
    return max(min(longest, MAX_LIST_RETRY_PAUSE), LEAST_LIST_RETRY_PAUSE)


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one balancer.

    They ensure that there is always a descriptor for the endpoint list, whatever clients do. The
    most descriptors open at once are the sum of: two for each of `max_flows`, for the client and
    the server; `max_unopened_clients`; `max_lingering_connections`; `max_idle_health_checks`;
    `max_running_health_checks`; and `fixed_sockets`.
    """

    # From the configuration.

    # Descriptors that the process may have open.
    max_sockets: int
    # Bytes of memory that the process may use.
    max_memory: int
    # A TCP connection that takes longer to set up has failed.
    dial_timeout: int
    # The longest set-up timeout of any service type (`giveUp`).
    longest_connect_timeout: int
    # Longer message delays, estimated from relayed lines, are passed to the decisions; they count
    # like delays that servers report.
    min_reported_delay: int

    # Memory and buffers.

    # Recent flow ids that are remembered: those of a few minutes, in half a megabyte.
    max_remembered_flows: int = 8192
    # Bytes of a gossip datagram.
    max_gossip_bytes: int = 256
    # Bytes of a line of the client, server and admin protocols.
    max_line_bytes: int = 4 * KIB
    # Bytes of one object of the endpoint list without indentation: some five thousand servers.
    max_list_bytes: int = MIB
    # Bytes read at once from discovery.
    list_read_bytes: int = 64 * KIB
    # Bytes of a thread's stack, of which the parsers need a few KiB.
    thread_stack: int = 128 * KIB
    # Bytes of the stack of the thread that decodes the endpoint list, enough for the deepest
    # nesting that fits into an object.
    list_thread_stack: int = MIB
    # Bytes of memory without any client: 19 MB in use, rounded up.
    program_memory: int = 20 * MIB
    # Bytes of memory per flow, for two threads and buffers: 51 to 60 KB in use, rounded up.
    flow_memory: int = 64 * KIB

    # Clients.

    # Clients that reconnect all at once wait in the backlog instead of having to retry.
    accept_backlog: int = 1024
    # Pause after an error of accepting, and poll interval where another process may take over.
    accept_retry_pause: int = SECOND // 20
    # How often the accept loop checks whether it must end.
    accept_poll_interval: int = SECOND // 5
    # The address may stay in use for a moment after the process that used it has died.
    bind_timeout: int = 3 * SECOND
    # A client that has not sent its first line by then is rejected.
    first_line_timeout: int = 2 * SECOND
    # The same if other clients wait for its slot; counts from when it connected.
    idle_grace: int = SECOND // 10
    # A client for which there is no slot is rejected this time after it connected, so that those
    # behind it have their reply before their set-up timeouts.
    max_slot_wait: int = 150 * MILLISECOND
    # How often to look for a free slot while a client waits for one.
    slot_poll_interval: int = 5 * MILLISECOND
    # Most bytes to read and discard after the final reply; reading them costs as much as reading
    # other clients' data.
    max_discarded_bytes: int = 256 * KIB
    # Pause before the second check for the end of a dismissed client, whose reading side is shut
    # down; it doubles with each check.
    dismissed_poll_interval: int = 5 * MILLISECOND
    # A peer that accepts no data for so long is considered gone.
    write_timeout: int = 5 * SECOND
    # How long one side may still send after the other has ended.
    linger_timeout: int = SECOND // 2
    # How long before a flow's deadline its reply must be sent.
    answer_margin: int = 10 * MILLISECOND
    # A connection from before this process's start must be re-established at its server by then.
    resume_timeout: int = 38 * SECOND
    resume_retry_interval: int = SECOND // 2

    # Servers.

    # A fifth of the shortest interval of health checks, so that checks of a server never overlap.
    health_check_timeout: int = 200 * MILLISECOND
    # A connection is silent if a client's line has no reply for this long. In that time the client
    # sends two more lines, which have none either.
    silence_timeout: int = 4 * SECOND
    # The same if another client's later line to that server has a reply.
    single_silence_timeout: int = SECOND
    silence_check_interval: int = SECOND // 4
    # A burst of set-ups may delay a line in this process by this much, which is not the server's
    # fault.
    own_delay_allowance: int = SECOND // 20
    # Interval at which delays of one server are reported and passed to the decisions.
    delay_report_interval: int = SECOND
    # What the network and this program add to that interval; they add under 1 ms.
    delay_report_jitter: int = 5 * MILLISECOND

    # Endpoint list.

    # A change must be known within this time after discovery had it and was reachable, or after
    # discovery stopped sending. When that silence is detected, the last line is as old as the
    # silence timeout: that timeout, an immediate call and the time to apply the list take 5.9 s.
    # If a call began just before discovery was reachable again, that call, the longest pause and
    # another call take 4.3 s.
    list_update_budget: int = 6 * SECOND
    # Two missed heartbeats, and 0.4 s for the network.
    list_silence_timeout: int = 2 * LIST_HEARTBEAT_INTERVAL + 400 * MILLISECOND
    # Connecting, sending the request and reading the first line of one call.
    list_call_timeout: int = 3 * SECOND // 2
    # After this time any other address of discovery knows what the one used before knew.
    list_convergence_time: int = 4 * SECOND
    # The pause between calls doubles from the smallest to the largest, with jitter.
    min_list_retry_pause: int = SECOND // 5
    max_list_retry_pause: int = MAX_LIST_RETRY_PAUSE
    # How long reading a file is retried at SIGHUP; it is usually a file that is half written.
    reload_retry_time: int = 2 * SECOND

    # The process.

    # Pause after an unexpected error in a decision.
    fault_pause: int = SECOND // 50
    # Warnings and errors logged per second: writing more would delay the threads that log.
    max_log_lines: int = 50
    # A planned stop takes `longest_connect_timeout`, but at most this time.
    max_shutdown_time: int = 3 * SECOND
    # A planned stop takes this time in addition, since new clients still arrive. The process is
    # killed 0.7 s after that.
    shutdown_extension: int = 3 * SECOND // 10
    # The edge load balancer still sends clients for about this time after a stop has begun.
    min_migration_delay: int = 2 * SECOND // 5
    # Time for peers to read the last data sent before the process exits.
    final_read_time: int = SECOND // 4
    shutdown_poll_interval: int = SECOND // 50
    # Time from the drain command until the first client is migrated: the edge load balancer checks
    # every 0.1 s, and sends clients for 0.2 s after the first failed check.
    drain_delay: int = SECOND // 2
    # Time from the drain command until all clients are migrated; a client that is still connected
    # one second later is lost.
    drain_time: int = 3 * SECOND

    # Operators' calls.

    # Whether operators can call, so that descriptors are reserved for them.
    admin_enabled: bool = False
    # Concurrent callers.
    max_admin_connections: int = 8
    # Descriptors for the handover to a process of another version, in addition to its flows.
    handover_sockets: int = 24
    # A caller whose line is not complete by then is disconnected.
    admin_line_timeout: int = 2 * SECOND
    # Less than the second that a caller waits for the reply.
    admin_call_timeout: int = 8 * SECOND // 10
    # The part of that time in which the other process of a handover must confirm a call.
    handover_confirm_timeout: int = SECOND // 2

    # Descriptors: three standard ones, the listener, gossip, the endpoint list at two addresses,
    # and one in reserve.
    fixed_sockets: int = 8

    @property
    def spare_sockets(self) -> int:
        """Return the number of descriptors for uses other than flows.

        It is a quarter, since the clients of flows may hold a third and each flow needs one more
        for its server.
        """
        return self.max_sockets // 4

    @property
    def max_flows(self) -> int:
        """Return the number of flows for which there are enough descriptors and memory.

        Each flow takes two descriptors, for its client and its server.
        """
        by_sockets = (self.max_sockets - self.spare_sockets) // 2
        by_memory = (self.max_memory - self.program_memory) // self.flow_memory
        return max(min(by_sockets, by_memory), 1)

    @property
    def max_unopened_clients(self) -> int:
        """Return the limit of clients that have not sent their first line or are being rejected."""
        reserved = (self.max_admin_connections + self.handover_sockets) * self.admin_enabled
        return max(self.spare_sockets - reserved, self.spare_sockets // 2) // 2

    @property
    def client_slots(self) -> int:
        """Return the limit of connected clients, without one that is accepted and has no slot."""
        return max(self.max_flows + self.max_unopened_clients - 1, 1)

    @property
    def reserved_slots(self) -> int:
        """Return the number of slots that are kept for clients that have sent something."""
        return self.max_unopened_clients // 2

    @property
    def idle_client_headroom(self) -> int:
        """Return the number of free slots under which clients that have sent nothing are dismissed.

        It is above the reserve, so that the next clients need not wait for a slot.
        """
        return 2 * self.reserved_slots

    @property
    def max_lingering_connections(self) -> int:
        """Return the limit of connections to servers that briefly outlive their flow.

        These are attempts dropped while dialing, and connections whose end is being forwarded.
        """
        return max(self.spare_sockets // 16, 1)

    @property
    def max_idle_health_checks(self) -> int:
        """Return the limit of connections to servers kept open between health checks."""
        return self.spare_sockets // 4

    @property
    def max_running_health_checks(self) -> int:
        """Return the limit of concurrent health checks."""
        return max(self.spare_sockets // 16, 1)
