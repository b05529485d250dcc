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


class Host:
    def __init__(self):
        self.instances: dict[int, Balancer] = {}

    def answer(self, count: int, clock: float, body: bytes) -> bytes:
        now = span(clock, "clock")
        reader = Reader(body)
        active: dict[int, None] = {}
        broken: dict[int, str] = {}
        who = None
        for _ in range(count):
            (code,) = reader.take(CODE, "record code")
            if code == 12:
                (who,) = reader.take(U16, "About")
                continue
            if who is None:
                raise WireError(f"record {code} at byte {reader.at - 1} comes before any About")
            if code not in EVENTS:
                raise WireError(f"unknown record code {code} at byte {reader.at - 1}")
            active[who] = None
            call = EVENTS[code](self, who, reader, now)
            if call is not None and who not in broken:
                try:
                    call[0](now, *call[1:])
                except Exception as error:
                    broken[who] = f"{type(error).__name__}: {error}"
        if reader.at != len(body):
            raise WireError(f"{len(body) - reader.at} bytes follow the last record")
        out: list[bytes] = []
        for who in active:
            records = (
                [] if who in broken or who not in self.instances else self.pull(now, who, broken)
            )
            if who in broken:
                records.append(text(9, broken[who]))
            if records:
                out.append(b"\x0d" + U16.pack(who))
                out += records
        return U32.pack(4 + sum(map(len, out))) + U32.pack(len(out)) + b"".join(out)

    def pull(self, now: int, who: int, broken: dict[int, str]) -> list[bytes]:
        records = []
        try:
            while (decision := self.instances[who].next_decision(now)) is not None:
                records.append(encode(decision))
        except Exception as error:
            broken[who] = f"{type(error).__name__}: {error}"
        return records

    # Each reads one event and says which call it makes, or None where nothing is owed.

    def started(self, who, reader, now):
        seed, length = reader.take(INIT, "Init")
        self.instances[who] = Balancer(settings(reader.chunk(length, "settings")), seed, now)

    def balancer(self, who) -> Balancer:
        if who not in self.instances:
            raise WireError(f"an event for instance {who}, which was not started")
        return self.instances[who]

    def sync(self, who, reader, now):
        form, _, length = reader.take(SYNC, "Sync")
        if form not in FORMS:
            raise WireError(f"Sync: unknown form {form}")
        entries = [entry(reader) for _ in range(length)]
        return self.balancer(who).on_endpoints, FORMS[form], entries

    def flow(self, balancer, reader):
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
        balancer = self.balancer(who)
        return balancer.on_flow, self.flow(balancer, reader)

    def resumption(self, who, reader, now):
        balancer = self.balancer(who)
        flow = self.flow(balancer, reader)
        (ident,) = reader.take(U32, "server")
        server = balancer.servers.get(ident)
        if server is not None:
            return balancer.on_flow_resumed, flow, server

    def accepted(self, who, reader, now):
        ident, _, took, number = reader.take(ACCEPTED, "Accepted")
        flow = flow_of_attempt(self.balancer(who), ident, number)
        if flow is not None:
            return self.balancer(who).on_established, flow, span(took, "took")

    def reply(self, who, reader, now):
        ident, _, final, took, number, how, n = reader.take(REPLY, "Reply")
        reader.chunk(4 * n, "load report")
        if how not in OUTCOMES:
            raise WireError(f"Reply: unknown outcome {how}")
        flow = flow_of_attempt(self.balancer(who), ident, number)
        if flow is not None:
            return self.balancer(who).on_ended, flow, OUTCOMES[how], bool(final), span(took, "took")

    def hangup(self, who, reader, now):
        flow = self.balancer(who).flows.get(reader.take(U64, "Hangup")[0])
        if flow is not None:
            return self.balancer(who).on_client_gone, flow

    def timer(self, who, reader, now):
        reader.take(U64, "Timer")
        return (self.balancer(who).on_wakeup,)

    def probe_done(self, who, reader, now):
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
        _, length = reader.take(PEER, "Datagram")
        message = reader.chunk(length, "message")
        balancer = self.balancer(who)
        hint = unpack_gossip(balancer, message)
        if hint is not None:
            return balancer.on_gossip, *hint

    def torn_down(self, who, reader, now):
        self.instances.pop(who, None)

    def update(self, who, reader, now):
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
    data = words.encode()[:60000]
    return CODE.pack(code) + U16.pack(len(data)) + data


def told(message: bytes) -> bytes:
    return TELL.pack(7, 0xFFFF, len(message)) + message


def encode(decision) -> bytes:
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
