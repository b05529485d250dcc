"""Hosts the instances: events in, decisions out."""

import struct

from cypresswalk.benchlink.wire import Reader, WireError, entry, settings, span
from cypresswalk.decisions.balancer import Balancer
from cypresswalk.hosting import flow_of_attempt, pack_gossip, unpack_gossip
from cypresswalk.model import (
    Abort,
    CheckHealth,
    EndpointUpdate,
    Flow,
    Migrate,
    Outcome,
    Reject,
    ScheduleWakeup,
    SendGossip,
    StartAttempt,
    Subscribe,
)

ABOUT = 12  # the record that names the instance of those that follow
FORMS = {
    0: EndpointUpdate.DELTA,
    1: EndpointUpdate.FULL,
    2: EndpointUpdate.CACHED,
    3: EndpointUpdate.FAILED,
}
OUTCOMES = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.FULL,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.MOOT,
}
CODE, U16, U32, U64 = (struct.Struct("<" + c) for c in "BHIQ")
INIT, SYNC = struct.Struct("<QI"), struct.Struct("<BQI")
FLOW, ACCEPTED, REPLY = (
    struct.Struct("<QHHQddQB"),
    struct.Struct("<QIdB"),
    struct.Struct("<QIBdBHB"),
)
PROBE, PEER, UPDATE = struct.Struct("<dIHB"), struct.Struct("<HH"), struct.Struct("<QfBIB")


class _Batch:
    """What a batch of records has touched."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.active: dict[int, None] = {}  # instances, in the order of their first record
        self.broken: dict[int, str] = {}  # instances that failed, with why


class Host:
    """Many instances of the decisions, driven by the bench's batches.

    Attributes:
        instances: by number.
    """

    def __init__(self) -> None:
        """Begin with no instance."""
        self.instances: dict[int, Balancer] = {}

    def answer(self, count: int, clock: float, body: bytes) -> bytes:
        """Carry out a batch and return the reply to it.

        Args:
            count: records in the batch.
            clock: milliseconds.
            body: the records.

        Raises:
            WireError: the batch is malformed.
        """
        now = span(clock, "clock")
        reader = Reader(body)
        batch = _Batch()
        who: int | None = None
        for _ in range(count):
            (code,) = reader.take(CODE, "record code")
            if code == ABOUT:
                (who,) = reader.take(U16, "About")
            elif who is None:
                raise WireError(f"record {code} at byte {reader.at - 1} comes before any About")
            else:
                self._carry_out(now, who, code, reader, batch)
        if reader.at != len(body):
            raise WireError(f"{len(body) - reader.at} bytes follow the last record")
        return self._reply(now, batch)

    def _carry_out(self, now: int, who: int, code: int, reader: Reader, batch: _Batch) -> None:
        if code not in EVENTS:
            raise WireError(f"unknown record code {code} at byte {reader.at - 1}")
        batch.active[who] = None
        call = EVENTS[code](self, who, reader, now)
        if call is None or who in batch.broken:
            return
        try:
            call[0](now, *call[1:])
        except Exception as error:
            batch.broken[who] = f"{type(error).__name__}: {error}"

    def _reply(self, now: int, batch: _Batch) -> bytes:
        out: list[bytes] = []
        for who in batch.active:
            is_up = who not in batch.broken and who in self.instances
            records = self._pull(now, who, batch.broken) if is_up else []
            if who in batch.broken:
                records.append(text(9, batch.broken[who]))
            if records:
                out.append(b"\x0d" + U16.pack(who))
                out += records
        return U32.pack(4 + sum(map(len, out))) + U32.pack(len(out)) + b"".join(out)

    def _pull(self, now: int, who: int, broken: dict[int, str]) -> list[bytes]:
        """Return the records of all that an instance decides."""
        records = []
        try:
            while (decision := self.instances[who].next_decision(now)) is not None:
                records.append(encode(decision))
        except Exception as error:
            broken[who] = f"{type(error).__name__}: {error}"
        return records

    # Each reads one event and says which call it makes, or None where nothing is owed.

    def started(self, who, reader, now):
        """Init: an instance begins."""
        seed, length = reader.take(INIT, "Init")
        self.instances[who] = Balancer(settings(reader.chunk(length, "settings")), seed, now)

    def balancer(self, who) -> Balancer:
        """Return a started instance.

        Raises:
            WireError: it was not started.
        """
        if who not in self.instances:
            raise WireError(f"an event for instance {who}, which was not started")
        return self.instances[who]

    def sync(self, who, reader, now):
        """Sync: an update of the endpoint list."""
        form, _, length = reader.take(SYNC, "Sync")
        if form not in FORMS:
            raise WireError(f"Sync: unknown form {form}")
        entries = [entry(reader) for _ in range(length)]
        return self.balancer(who).on_endpoints, FORMS[form], entries

    def flow(self, balancer, reader):
        """Return the flow that a record describes."""
        ident, qos, customer, key, until, _, group, bits = reader.take(FLOW, "flow")
        types = balancer.settings.service_types
        if qos >= len(types):
            raise WireError(f"flow {ident}: no service type {qos}")
        return Flow(
            ident,
            types[qos],
            group or key or ident,
            span(until, "giveUpAt"),
            customer,
            grouped=bool(group),
            returning=bool(bits & (2 | 16)),
        )

    def arrival(self, who, reader, now):
        """Arrival: a flow came."""
        balancer = self.balancer(who)
        return balancer.on_flow, self.flow(balancer, reader)

    def resumption(self, who, reader, now):
        """Resumption: an established flow came."""
        balancer = self.balancer(who)
        flow = self.flow(balancer, reader)
        (ident,) = reader.take(U32, "server")
        server = balancer.servers.get(ident)
        if server is not None:
            return balancer.on_flow_resumed, flow, server

    def accepted(self, who, reader, now):
        """Accepted: an attempt came up."""
        ident, _, took, number = reader.take(ACCEPTED, "Accepted")
        flow = flow_of_attempt(self.balancer(who), ident, number)
        if flow is not None:
            return self.balancer(who).on_established, flow, span(took, "took")

    def reply(self, who, reader, now):
        """Reply: an attempt or a connection ended."""
        ident, _, final, took, number, how, n = reader.take(REPLY, "Reply")
        reader.chunk(4 * n, "load report")
        if how not in OUTCOMES:
            raise WireError(f"Reply: unknown outcome {how}")
        flow = flow_of_attempt(self.balancer(who), ident, number)
        if flow is not None:
            return self.balancer(who).on_ended, flow, OUTCOMES[how], bool(final), span(took, "took")

    def hangup(self, who, reader, now):
        """Hangup: the client is gone."""
        flow = self.balancer(who).flows.get(reader.take(U64, "Hangup")[0])
        if flow is not None:
            return self.balancer(who).on_client_gone, flow

    def timer(self, who, reader, now):
        """Timer: a wake-up."""
        reader.take(U64, "Timer")
        return (self.balancer(who).on_wakeup,)

    def probe_done(self, who, reader, now):
        """ProbeDone: a health check ended."""
        _, ident, how, n = reader.take(PROBE, "ProbeDone")
        values = struct.unpack(f"<{n}f", reader.chunk(4 * n, "load report"))
        balancer = self.balancer(who)
        server, at = balancer.servers.get(ident), balancer.settings.load_index
        if server is not None:
            return (
                balancer.on_health_check_result,
                server,
                how == 100,
                values[at] if 0 <= at < n else None,
            )

    def datagram(self, who, reader, now):
        """Datagram: gossip came."""
        _, length = reader.take(PEER, "Datagram")
        message = reader.chunk(length, "message")
        balancer = self.balancer(who)
        hint = unpack_gossip(balancer, message)
        if hint is not None:
            return balancer.on_gossip, *hint

    def torn_down(self, who, reader, now):
        """Teardown: an instance ends."""
        self.instances.pop(who, None)

    def update(self, who, reader, now):
        """UpdateOf: a delay that a server tells."""
        _, level, sort, server, _ = reader.take(UPDATE, "UpdateOf")
        balancer = self.balancer(who)
        if sort == 2 and server in balancer.servers:
            return balancer.on_message_delay, balancer.servers[server], span(level, "delay")


EVENTS = {
    0: Host.started,
    1: Host.sync,
    2: Host.arrival,
    3: Host.accepted,
    4: Host.reply,
    5: Host.hangup,
    6: Host.timer,
    7: Host.probe_done,
    8: Host.datagram,
    9: Host.torn_down,
    10: Host.resumption,
    11: Host.update,
}
ISSUE, BOUNCE, SLEEP, TELL = (struct.Struct("<" + c) for c in ("BQdI", "BQd", "BdQ", "BHH"))


def text(code: int, words: str) -> bytes:
    """Return a record that holds words."""
    data = words.encode()[:60000]
    return CODE.pack(code) + U16.pack(len(data)) + data


def told(message: bytes) -> bytes:
    """Return a record with a message to all instances."""
    return TELL.pack(7, 0xFFFF, len(message)) + message


def encode(decision) -> bytes:
    """Return the record for a decision."""
    match decision:
        case StartAttempt(flow, server, timeout):
            return ISSUE.pack(0, flow.id, timeout / 1e6, server.id)
        case Reject(flow, wait):
            return BOUNCE.pack(1, flow.id, wait / 1e6)
        case Abort(flow):
            return CODE.pack(2) + U64.pack(flow.id)
        case ScheduleWakeup(after):
            return SLEEP.pack(4, after / 1e6, 0)
        case CheckHealth(server):
            return CODE.pack(5) + U32.pack(server.id)
        case SendGossip(server, strain):
            return told(pack_gossip(server, strain))
        case Subscribe():
            return b"\x0a\x01"
        case Migrate(flow):
            return CODE.pack(12) + U64.pack(flow.id)
    raise TypeError(f"no record for {decision!r}")
