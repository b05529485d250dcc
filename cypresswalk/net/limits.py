"""Every size, count and time of the network code, in one type that is filled at start and handed down."""

from dataclasses import dataclass

from cypresswalk.model import SECOND

MILLISECOND = SECOND // 1000


@dataclass(frozen=True, slots=True)
class Limits:
    sockets: int  # descriptors that the process may hold
    memory: int  # bytes that it may use
    dial: int  # a TCP set-up that takes longer has failed
    longest: int  # the longest connect timeout of any service type
    delay_long: int  # a message that takes longer is worth a word to the module: as servers tell it
    ids: int = 8192  # of flows remembered, a few minutes' worth, half a megabyte
    hint: int = 256  # the longest datagram
    line: int = 4096  # the protocol's longest line
    list_line: int = 1 << 20  # one line of the server list: some ten thousand servers
    stack: int = 128 * 1024  # a thread's; the parsers need a few KiB of it
    program: int = 20 << 20  # of memory: what it takes with no client, 19 MB seen
    flow: int = (
        64 << 10
    )  # and for each flow: two threads, buffers; 51 KB seen, 60 with lines of 3 KB
    list_stack: int = 1 << 20  # that of the thread that decodes the list, whose nesting may be any
    backlog: int = 1024  # clients that come back all at once wait here, not in a retry
    probe: int = (
        200 * MILLISECOND
    )  # a fifth of the module's fast interval: one probe never meets the next
    first_line: int = (
        2 * SECOND
    )  # a client that has not sent its line by then is sent away: it says it at once
    idle: int = SECOND // 10  # and sooner, after this, where others wait for its place
    drained: int = (
        1 << 18
    )  # what a client that is sent away may still say: its bytes cost as much as others' do
    drain_tick: int = 5 * MILLISECOND  # how often one that is sent away unread is looked at
    write: int = 5 * SECOND  # a peer that takes nothing for so long is gone
    linger: int = SECOND // 2  # what one side still says after the other has ended
    early: int = (
        10 * MILLISECOND
    )  # how long before the client's time is up the answer must be on its way
    resume: int = 38 * SECOND  # a standing connection handed over at the start must be up by then
    resume_retry: int = SECOND // 2
    fault_pause: int = SECOND // 50  # after a fault in a decision: no spinning
    silence: int = (
        4 * SECOND
    )  # a client's line has no answer, nor have the two that it says in that time
    silence_alone: int = SECOND  # and one who asked the same server later has its answer
    silence_tick: int = SECOND // 4
    # What discovery has to tell counts as told so long after it had it and could be reached, or after a watch fell silent.
    # A watch's last word may be as old as it when it falls silent: silence, a call at once, and time to tell make 5.9 s.
    # A call that has just begun when discovery is back: call, longest pause, call again make 4.3 s.
    list_told: int = 6 * SECOND
    list_silence: int = (
        22 * SECOND // 5
    )  # two of the list's two-second beats missed, and 0.4 s for the way
    list_call: int = 3 * SECOND // 2  # set-up, request and first word of one call
    list_settles: int = (
        4 * SECOND
    )  # another address of the list knows what the one before knew by then
    list_read: int = 1 << 16
    list_retry: int = SECOND // 5  # doubles up to list_retry_most; each 30% more or less
    list_retry_most: int = SECOND
    reload_again: int = (
        2 * SECOND
    )  # a file that can't be read at SIGHUP is tried again for so long: half written, mostly
    own_delay: int = (
        SECOND // 20
    )  # so long a burst of set-ups may hold a line back here: no word on its server
    told_every: int = (
        SECOND  # delays of one server are told, and passed to the module, at this pace
    )
    told_jitter: int = (
        5 * MILLISECOND
    )  # what the way and this program add to that pace: seen under 1 ms
    accept_pause: int = SECOND // 20
    accept_wait: int = SECOND // 5  # the door looks so often whether it is to shut
    bind: int = 3 * SECOND  # the address of a process that has just died may be taken for a moment
    log_lines: int = 50  # a second; what floods the log would hold up what writes it
    leave_most: int = (
        3 * SECOND
    )  # a stop goes on for the longest connect timeout, but no longer than this
    leave_first: int = 2 * SECOND // 5  # the front goes on sending clients for about that long
    leave_more: int = (
        3 * SECOND // 10
    )  # and so much longer: new clients still come; the kill is 0.7 s after
    leave_end: int = SECOND // 4  # what was said last is read by then
    leave_tick: int = SECOND // 50
    drain_first: int = (
        SECOND // 2
    )  # the front asks each 0.1 s, and goes on sending clients for 0.2 s after the first no
    drain_span: int = (
        3 * SECOND
    )  # after the call; a client that is still held one second later is lost
    operated: bool = False  # operators can call: descriptors are kept for them
    calls: int = 8  # operators' callers at a time
    beside: int = (
        24  # descriptors of a process that stands beside this one for an upgrade, but for its flows
    )
    call_line: int = 2 * SECOND  # a caller whose line is not whole by then is sent away
    call: int = 8 * SECOND // 10  # a caller waits a second
    call_beside: int = (
        SECOND // 2
    )  # and of that a process beside this one has so much to confirm a call

    fixed: int = (
        8  # descriptors: three standard ones, door, peers, the list at two addresses, one to come
    )

    # All that may be open at once, added up, leaves the list its descriptor whatever clients do:
    # flows, a client's and a server's each; at_door; links_over; kept_probes and probes_out; fixed.

    @property
    def spare(self) -> int:
        """Descriptors for all but flows: a quarter, since flows' clients may hold a third and each flow takes another
        for its server."""
        return self.sockets // 4

    @property
    def flows(self) -> int:
        """As many as there are descriptors for, a client's and a server's each, and memory."""
        return max(
            min((self.sockets - self.spare) // 2, (self.memory - self.program) // self.flow), 1
        )

    @property
    def at_door(self) -> int:
        """Clients that have not said their line yet, or are told no."""
        return max(self.spare - (self.calls + self.beside) * self.operated, self.spare // 2) // 2

    @property
    def links_over(self) -> int:
        """Connections to servers that outlive their flow for a moment: a dial that was dropped, an end that is passed on."""
        return max(self.spare // 16, 1)

    @property
    def kept_probes(self) -> int:
        """Connections to servers that stay open between probes."""
        return self.spare // 4

    @property
    def probes_out(self) -> int:
        return max(self.spare // 16, 1)
