"""What every host of the decision module shares: settings decoded, hints packed, which answer counts."""

import math
import struct

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Effect, Flow, Scope, Server, ServiceType, Settings

EFFECTS = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.IDEMPOTENCY_KEY,
    "at_most_once": Effect.NON_IDEMPOTENT,
}
HINT = struct.Struct("<Ie")  # a server and its strain, told to the other instances


class SettingsError(Exception):
    """The settings lack something or hold something odd; the message says what."""


def nanoseconds(milliseconds: float, what: str) -> int:
    if not math.isfinite(milliseconds):
        raise ValueError(f"{what}: {milliseconds} is no time")
    return round(milliseconds * 1e6)


def figure(rules: dict, name: str) -> float:
    """Absent: 0. Raises ValueError for what is no such figure."""
    value = rules.get(name, 0.0)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"rules.{name}: {value!r}, not a number from 0 on")
    return value


def decode_settings(params: dict) -> Settings:
    try:
        limits, rules, extra = params["limits"], params["rules"], params.get("extra", {})
        targets = extra.get("messageAim", [])
        fields = params["stats"]["fields"] if params["stats"]["via"] != "silent" else []
        return Settings(
            instances=params["instances"],
            zone=params["zone"],
            service_types=[
                ServiceType(
                    EFFECTS[t["semantics"]],
                    Scope(t.get("group", "all")),
                    nanoseconds(t.get("window", 0.0), "window"),
                    nanoseconds(t["setupTarget"], "setupTarget"),
                    nanoseconds(targets[i] if i < len(targets) else 0.0, "messageAim"),
                )
                for i, t in enumerate(params["serviceTypes"])
            ],
            max_attempts=limits["maxConnects"],
            retry_after_allowed=limits["retryAfter"],
            max_retry_after=nanoseconds(limits["maxRetryAfter"], "maxRetryAfter"),
            health_checks=limits["probes"],
            can_migrate=params["family"] == "conn",
            list_polled=params["discovery"] == "on_request",
            poll_within=nanoseconds(rules["askWithin"], "askWithin"),
            warm_up_time=nanoseconds(rules["cold"], "cold"),
            warm_up_initial_fraction=rules["coldShare"],
            slow_start_window=nanoseconds(rules["fall"], "fall"),
            overload_factor=rules["overloadFactor"],
            zone_crossing_price=params["deductions"].get("crossZone", 0.0),
            migration_price=params["deductions"].get("moves", 0.0),
            health_check_price=params["deductions"].get("probe", 0.0),
            gossip=limits.get("peerMessages", False),
            gossip_price=params["deductions"].get("peer", 0.0),
            # A customer may come without a share: then nothing of it is beyond one.
            quotas=[
                math.inf if share is None else share
                for share in extra.get("tenantQuotaConnections") or []
            ],
            overage_weight=params.get("overagePayoff", 1.0),
            load_index=fields.index("x0") if "x0" in fields else -1,
            retry_window=nanoseconds(figure(rules, "lookBack"), "lookBack"),
            retry_budget_base=figure(rules, "budgetFree"),
            retry_budget_ratio=figure(rules, "extraRatio"),
        )
    except KeyError as error:
        raise SettingsError(f"settings: {error} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from None


def sound_weight(weight: float) -> float:
    return weight if 0 < weight < math.inf else 1.0


def current(balancer: Balancer, ident: int, number: int) -> Flow | None:
    """The flow, if it is still held and the connect meant is its latest: others' answers change nothing."""
    flow = balancer.flows.get(ident)
    latest = flow is not None and flow.server is not None and number == len(flow.attempts) - 1
    return flow if latest else None


def pack_hint(server: Server, strain: float) -> bytes:
    return HINT.pack(server.id, min(strain, 60000.0))


def unpack_hint(balancer: Balancer, message: bytes) -> tuple[Server, float] | None:
    """None for what is no hint, or about a server that no list has named."""
    if len(message) == HINT.size:
        ident, strain = HINT.unpack(message)
        if ident in balancer.servers and math.isfinite(strain):
            return balancer.servers[ident], strain
    return None
