"""Hosts the instances: decodes events, runs the decision code and encodes its decisions."""

import struct

from cypresswalk.benchlink.wire import (
    Reader,
    WireError,
    parse_settings,
    read_server,
    to_nanoseconds,
)
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

ABOUT = 12  # code of the record that names the instance of the records after it
UPDATES_BY_CODE = {
    0: EndpointUpdate.DELTA,
    1: EndpointUpdate.FULL,
    2: EndpointUpdate.CACHED,
    3: EndpointUpdate.FAILED,
}
OUTCOMES_BY_CODE = {
    100: Outcome.OK,
    301: Outcome.ERROR,
    302: Outcome.FULL,
    303: Outcome.TIMEOUT,
    304: Outcome.CONNECT_FAILED,
    305: Outcome.RESET,
    306: Outcome.CANCELLED,
    307: Outcome.NOT_SENT,
}
U8, U16, U32, U64 = (struct.Struct("<" + c) for c in "BHIQ")
INIT, SYNC = struct.Struct("<QI"), struct.Struct("<BQI")
FLOW, ACCEPTED, REPLY = (
    struct.Struct("<QHHQddQB"),
    struct.Struct("<QIdB"),
    struct.Struct("<QIBdBHB"),
)
PROBE_DONE, DATAGRAM, UPDATE_OF = (
    struct.Struct("<dIHB"),
    struct.Struct("<HH"),
    struct.Struct("<QfBIB"),
)


class _Batch:
    """The instances that the records of a batch concern."""

    def __init__(self) -> None:
        """Start with no instances."""
        self.instances: dict[int, None] = {}  # ids in the order of their first record
        self.failures: dict[int, str] = {}  # error messages by the id of the failed instance


class Host:
    """Balancer instances driven by the bench's batches.

    Attributes:
        instances: the started instances by id.
    """

    def __init__(self) -> None:
        """Start with no instances."""
        self.instances: dict[int, Balancer] = {}

    def answer(self, count: int, clock: float, body: bytes) -> bytes:
        """Process a batch and return the reply to it.

        Args:
            count: number of records in the batch.
            clock: time of the batch in milliseconds.
            body: the encoded records.

        Raises:
            WireError: The batch is malformed.
        """
        now = to_nanoseconds(clock, "clock")
        reader = Reader(body)
        batch = _Batch()
        instance_id: int | None = None
        for _ in range(count):
            (code,) = reader.take(U8, "record code")
            if code == ABOUT:
                (instance_id,) = reader.take(U16, "About")
            elif instance_id is None:
                raise WireError(f"record {code} at byte {reader.offset - 1} comes before any About")
            else:
                self._carry_out(now, instance_id, code, reader, batch)
        if reader.offset != len(body):
            raise WireError(f"{len(body) - reader.offset} bytes follow the last record")
        return self._reply(now, batch)

    def _carry_out(
        self, now: int, instance_id: int, code: int, reader: Reader, batch: _Batch
    ) -> None:
        if code not in EVENT_READERS:
            raise WireError(f"unknown record code {code} at byte {reader.offset - 1}")
        batch.instances[instance_id] = None
        call = EVENT_READERS[code](self, instance_id, reader, now)
        if call is None or instance_id in batch.failures:
            return
        try:
            call[0](now, *call[1:])
        except Exception as error:
            batch.failures[instance_id] = f"{type(error).__name__}: {error}"

    def _reply(self, now: int, batch: _Batch) -> bytes:
        out: list[bytes] = []
        for instance_id in batch.instances:
            is_running = instance_id not in batch.failures and instance_id in self.instances
            records = self._encode_decisions(now, instance_id, batch.failures) if is_running else []
            if instance_id in batch.failures:
                # Code 9 reports that the instance failed.
                records.append(encode_text(9, batch.failures[instance_id]))
            if records:
                # Code 13 names the instance of the records after it, as ABOUT does in batches.
                out.append(b"\x0d" + U16.pack(instance_id))
                out += records
        return U32.pack(4 + sum(map(len, out))) + U32.pack(len(out)) + b"".join(out)

    def _encode_decisions(
        self, now: int, instance_id: int, failures: dict[int, str]
    ) -> list[bytes]:
        """Return the encoded records of an instance's decisions."""
        records = []
        try:
            while (decision := self.instances[instance_id].next_decision(now)) is not None:
                records.append(encode(decision))
        except Exception as error:
            failures[instance_id] = f"{type(error).__name__}: {error}"
        return records

    # Each method in `EVENT_READERS` reads one event. It returns the balancer method to call and its
    # arguments except the time, or None if there is nothing to call.

    def read_init(self, instance_id, reader, now):
        """Read Init and start an instance."""
        seed, length = reader.take(INIT, "Init")
        self.instances[instance_id] = Balancer(
            parse_settings(reader.take_bytes(length, "settings")), seed, now
        )

    def find_instance(self, instance_id) -> Balancer:
        """Return the started instance with an id.

        Raises:
            WireError: The instance was not started.
        """
        if instance_id not in self.instances:
            raise WireError(f"an event for instance {instance_id}, which was not started")
        return self.instances[instance_id]

    def read_sync(self, instance_id, reader, now):
        """Read Sync, an update of the endpoint list."""
        update_code, _, length = reader.take(SYNC, "Sync")
        if update_code not in UPDATES_BY_CODE:
            raise WireError(f"Sync: unknown kind of update {update_code}")
        entries = [read_server(reader) for _ in range(length)]
        return self.find_instance(instance_id).on_endpoints, UPDATES_BY_CODE[update_code], entries

    def read_flow(self, balancer, reader):
        """Read the description of a flow and return the flow."""
        flow_id, type_index, tenant, key, deadline_ms, _, group, flags = reader.take(FLOW, "flow")
        types = balancer.settings.service_types
        if type_index >= len(types):
            raise WireError(f"flow {flow_id}: no service type {type_index}")
        return Flow(
            flow_id,
            types[type_index],
            group or key or flow_id,
            to_nanoseconds(deadline_ms, "giveUpAt"),
            tenant,
            grouped=bool(group),
            returning=bool(flags & (2 | 16)),
        )

    def read_arrival(self, instance_id, reader, now):
        """Read Arrival, a new flow."""
        balancer = self.find_instance(instance_id)
        return balancer.on_flow, self.read_flow(balancer, reader)

    def read_resumption(self, instance_id, reader, now):
        """Read Resumption, a flow that is already established at a server."""
        balancer = self.find_instance(instance_id)
        flow = self.read_flow(balancer, reader)
        (server_id,) = reader.take(U32, "server")
        server = balancer.servers.get(server_id)
        if server is not None:
            return balancer.on_flow_resumed, flow, server

    def read_accepted(self, instance_id, reader, now):
        """Read Accepted, an attempt that was established."""
        flow_id, _, took, number = reader.take(ACCEPTED, "Accepted")
        flow = flow_of_attempt(self.find_instance(instance_id), flow_id, number)
        if flow is not None:
            return (
                self.find_instance(instance_id).on_established,
                flow,
                to_nanoseconds(took, "took"),
            )

    def read_reply(self, instance_id, reader, now):
        """Read Reply, the end of an attempt or an established connection."""
        flow_id, _, final, took, number, outcome_code, field_count = reader.take(REPLY, "Reply")
        reader.take_bytes(4 * field_count, "load report")
        if outcome_code not in OUTCOMES_BY_CODE:
            raise WireError(f"Reply: unknown outcome {outcome_code}")
        flow = flow_of_attempt(self.find_instance(instance_id), flow_id, number)
        if flow is not None:
            return (
                self.find_instance(instance_id).on_ended,
                flow,
                OUTCOMES_BY_CODE[outcome_code],
                bool(final),
                to_nanoseconds(took, "took"),
            )

    def read_hangup(self, instance_id, reader, now):
        """Read Hangup, a client that has disconnected."""
        flow = self.find_instance(instance_id).flows.get(reader.take(U64, "Hangup")[0])
        if flow is not None:
            return self.find_instance(instance_id).on_client_gone, flow

    def read_timer(self, instance_id, reader, now):
        """Read Timer, a wake-up."""
        reader.take(U64, "Timer")
        return (self.find_instance(instance_id).on_wakeup,)

    def read_health_check_result(self, instance_id, reader, now):
        """Read ProbeDone, the result of a health check."""
        _, server_id, outcome_code, field_count = reader.take(PROBE_DONE, "ProbeDone")
        values = struct.unpack(
            f"<{field_count}f", reader.take_bytes(4 * field_count, "load report")
        )
        balancer = self.find_instance(instance_id)
        server, load_index = balancer.servers.get(server_id), balancer.settings.load_index
        if server is not None:
            return (
                balancer.on_health_check_result,
                server,
                outcome_code == 100,
                values[load_index] if 0 <= load_index < field_count else None,
            )

    def read_gossip(self, instance_id, reader, now):
        """Read Datagram, a gossip message."""
        _, length = reader.take(DATAGRAM, "Datagram")
        message = reader.take_bytes(length, "message")
        balancer = self.find_instance(instance_id)
        server_load = unpack_gossip(balancer, message)
        if server_load is not None:
            return balancer.on_gossip, *server_load

    def read_teardown(self, instance_id, reader, now):
        """Read Teardown and remove the instance."""
        self.instances.pop(instance_id, None)

    def read_message_delay(self, instance_id, reader, now):
        """Read UpdateOf, a message delay that a server reports."""
        _, delay_ms, kind, server_id, _ = reader.take(UPDATE_OF, "UpdateOf")
        balancer = self.find_instance(instance_id)
        if kind == 2 and server_id in balancer.servers:
            return (
                balancer.on_message_delay,
                balancer.servers[server_id],
                to_nanoseconds(delay_ms, "delay"),
            )


EVENT_READERS = {
    0: Host.read_init,
    1: Host.read_sync,
    2: Host.read_arrival,
    3: Host.read_accepted,
    4: Host.read_reply,
    5: Host.read_hangup,
    6: Host.read_timer,
    7: Host.read_health_check_result,
    8: Host.read_gossip,
    9: Host.read_teardown,
    10: Host.read_resumption,
    11: Host.read_message_delay,
}
START_ATTEMPT, REJECT, SCHEDULE_WAKEUP, GOSSIP = (
    struct.Struct("<" + c) for c in ("BQdI", "BQd", "BdQ", "BHH")
)


def encode_text(code: int, text: str) -> bytes:
    """Encode a record that contains a text."""
    data = text.encode()[:60000]
    return U8.pack(code) + U16.pack(len(data)) + data


def encode_gossip(message: bytes) -> bytes:
    """Encode a record with a gossip message to all instances."""
    return GOSSIP.pack(7, 0xFFFF, len(message)) + message


def encode(decision) -> bytes:
    """Encode a decision as a record."""
    match decision:
        case StartAttempt(flow, server, timeout):
            return START_ATTEMPT.pack(0, flow.id, timeout / 1e6, server.id)
        case Reject(flow, retry_after):
            return REJECT.pack(1, flow.id, retry_after / 1e6)
        case Abort(flow):
            return U8.pack(2) + U64.pack(flow.id)
        case ScheduleWakeup(after):
            return SCHEDULE_WAKEUP.pack(4, after / 1e6, 0)
        case CheckHealth(server):
            return U8.pack(5) + U32.pack(server.id)
        case SendGossip(server, load):
            return encode_gossip(pack_gossip(server, load))
        case Subscribe():
            return b"\x0a\x01"
        case Migrate(flow):
            return U8.pack(12) + U64.pack(flow.id)
    raise TypeError(f"no record for {decision!r}")
