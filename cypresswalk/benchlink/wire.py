"""Reading and writing the records of the wire."""

import json
import math
import struct

from cypresswalk.model import Effect, Scope, Server, ServiceType, Settings, State

HEADER = struct.Struct("<IId")
ENTRY = struct.Struct("<HdHIHfB")
STATES = {0: State.READY, 1: State.GONE, 2: State.DRAINING}
EFFECTS = {"idempotent": Effect.REPEATABLE, "deduplicated": Effect.REFERENCED,
           "at_most_once": Effect.ONCE_ONLY}


class WireError(Exception):
    """What came in is not the wire's; the message says what and where."""


class Reader:
    def __init__(self, data: bytes):
        self.data, self.at = data, 0

    def take(self, layout: struct.Struct, what: str) -> tuple:
        if self.at + layout.size > len(self.data):
            left = len(self.data) - self.at
            raise WireError(f"{what} at byte {self.at}: {layout.size} bytes needed, {left} left")
        values = layout.unpack_from(self.data, self.at)
        self.at += layout.size
        return values

    def chunk(self, count: int, what: str) -> bytes:
        if self.at + count > len(self.data):
            left = len(self.data) - self.at
            raise WireError(f"{what} at byte {self.at}: {count} bytes needed, {left} left")
        self.at += count
        return self.data[self.at - count:self.at]


def nanoseconds(milliseconds: float, what: str) -> int:
    if not math.isfinite(milliseconds):
        raise WireError(f"{what}: {milliseconds} is no time")
    return round(milliseconds * 1e6)


def entry(reader: Reader) -> Server:
    cell, since, _, server, zone, weight, state = reader.take(ENTRY, "list entry")
    if state not in STATES:
        raise WireError(f"list entry before byte {reader.at}: unknown state {state}")
    return Server(id=server, zone=zone, cell=cell, weight=weight if 0 < weight < math.inf else 1.0,
                  since=nanoseconds(since, "start time"), state=STATES[state])


def settings(text: bytes) -> Settings:
    try:
        params = json.loads(text)
    except ValueError as error:
        raise WireError(f"settings are not JSON: {error}") from None
    try:
        limits, rules, extra = params["limits"], params["rules"], params.get("extra", {})
        targets = extra.get("messageAim", [])
        fields = params["stats"]["fields"] if params["stats"]["via"] != "silent" else []
        return Settings(
            instances=params["instances"], zone=params["zone"],
            service_types=[
                ServiceType(EFFECTS[t["semantics"]], Scope(t.get("group", "all")),
                            nanoseconds(t.get("window", 0.0), "window"),
                            nanoseconds(t["setupTarget"], "setupTarget"),
                            nanoseconds(targets[i] if i < len(targets) else 0.0, "messageAim"))
                for i, t in enumerate(params["serviceTypes"])],
            max_connects=limits["maxConnects"], retry_after=limits["retryAfter"],
            max_retry_after=nanoseconds(limits["maxRetryAfter"], "maxRetryAfter"), probes=limits["probes"],
            moves=params["family"] == "conn", list_asked=params["discovery"] == "on_request",
            ask_within=nanoseconds(rules["askWithin"], "askWithin"), cold=nanoseconds(rules["cold"], "cold"),
            cold_share=rules["coldShare"], fall_window=nanoseconds(rules["fall"], "fall"),
            overload_factor=rules["overloadFactor"], zone_price=params["deductions"].get("crossZone", 0.0),
            move_price=params["deductions"].get("moves", 0.0),
            probe_price=params["deductions"].get("probe", 0.0),
            peers=limits.get("peerMessages", False), peer_price=params["deductions"].get("peer", 0.0),
            # A customer may come without a share: then nothing of it is beyond one.
            shares=[math.inf if share is None else share
                    for share in extra.get("tenantQuotaConnections") or []],
            overage_payoff=params.get("overagePayoff", 1.0),
            load_index=fields.index("x0") if "x0" in fields else -1)
    except KeyError as error:
        raise WireError(f"settings: {error} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise WireError(f"settings: {error}") from None
