"""Code shared by all hosts of the decision code: settings, gossip messages, matching of answers.

The settings come with the platform's names. Only this module maps them to `model.Settings`.
"""

import math
import struct

from cypresswalk.decisions.balancer import Balancer
from cypresswalk.model import Effect, Flow, Scope, Server, ServiceType, Settings

EFFECTS_BY_NAME = {
    "idempotent": Effect.IDEMPOTENT,
    "deduplicated": Effect.IDEMPOTENCY_KEY,
    "at_most_once": Effect.NON_IDEMPOTENT,
}
GOSSIP_MESSAGE = struct.Struct("<Ie")  # a server's id, and its load as a half-precision float
MAX_GOSSIP_LOAD = 60000.0  # fits into a half-precision float


class SettingsError(Exception):
    """A setting is missing or invalid; the message says which one."""


def nanoseconds(milliseconds: float, what: str) -> int:
    """Return a time in nanoseconds.

    Raises:
        ValueError: The time is not finite; the message begins with `what`.
    """
    if not math.isfinite(milliseconds):
        raise ValueError(f"{what}: {milliseconds} is not a time")
    return round(milliseconds * 1e6)


def optional_number(rules: dict, name: str) -> float:
    """Return a number of at least 0, or 0 if it is absent.

    Raises:
        ValueError: The value is not such a number; the message names it.
    """
    value = rules.get(name, 0.0)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < math.inf:
        raise ValueError(f"rules.{name}: {value!r} is not a finite number of at least 0")
    return value


def usable_weight(weight: float) -> float:
    """Return the weight if it is positive and finite, else 1."""
    return weight if 0 < weight < math.inf else 1.0


def decode_settings(params: dict) -> Settings:
    """Return the settings that the platform's JSON object contains.

    Raises:
        SettingsError: A setting is missing, unknown or invalid; the message names it.
    """
    try:
        return _decode(params)
    except KeyError as error:
        raise SettingsError(f"settings: {error} is missing or unknown") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from None


def _decode(params: dict) -> Settings:
    limits = params["limits"]
    rules = params["rules"]
    extra = params.get("extra", {})
    report_fields = params["stats"]["fields"] if params["stats"]["via"] != "silent" else []
    prices = params["deductions"]
    return Settings(
        instances=params["instances"],
        zone=params["zone"],
        service_types=_service_types(params["serviceTypes"], extra.get("messageAim", [])),
        max_attempts=limits["maxConnects"],
        retry_after_allowed=limits["retryAfter"],
        max_retry_after=nanoseconds(limits["maxRetryAfter"], "maxRetryAfter"),
        health_checks=limits["probes"],
        can_migrate=params["family"] == "conn",
        list_polled=params["discovery"] == "on_request",
        max_list_retry_interval=nanoseconds(rules["askWithin"], "askWithin"),
        warm_up_time=nanoseconds(rules["cold"], "cold"),
        warm_up_initial_fraction=rules["coldShare"],
        slow_start_window=nanoseconds(rules["fall"], "fall"),
        overload_factor=rules["overloadFactor"],
        zone_crossing_price=prices.get("crossZone", 0.0),
        migration_price=prices.get("moves", 0.0),
        health_check_price=prices.get("probe", 0.0),
        gossip=limits.get("peerMessages", False),
        gossip_price=prices.get("peer", 0.0),
        # A tenant without a quota has no limit.
        quotas=[
            math.inf if quota is None else quota
            for quota in extra.get("tenantQuotaConnections") or []
        ],
        overage_weight=params.get("overagePayoff", 1.0),
        load_index=report_fields.index("x0") if "x0" in report_fields else -1,
        retry_window=nanoseconds(optional_number(rules, "lookBack"), "lookBack"),
        retry_budget_base=optional_number(rules, "budgetFree"),
        retry_budget_ratio=optional_number(rules, "extraRatio"),
    )


def _service_types(types: list[dict], message_objectives: list[float]) -> list[ServiceType]:
    return [
        ServiceType(
            effect=EFFECTS_BY_NAME[entry["semantics"]],
            scope=Scope(entry.get("group", "all")),
            idempotency_window=nanoseconds(entry.get("window", 0.0), "window"),
            setup_latency_objective=nanoseconds(entry["setupTarget"], "setupTarget"),
            message_latency_objective=nanoseconds(
                message_objectives[number] if number < len(message_objectives) else 0.0,
                "messageAim",
            ),
        )
        for number, entry in enumerate(types)
    ]


def flow_of_attempt(balancer: Balancer, flow_id: int, number: int) -> Flow | None:
    """Return the flow if it still exists and `number` is that of its latest attempt, else None.

    Answers to earlier attempts are ignored.
    """
    flow = balancer.flows.get(flow_id)
    if flow is None or flow.server is None or number != len(flow.attempts) - 1:
        return None
    return flow


def pack_gossip(server: Server, load: float) -> bytes:
    """Return the gossip message with a server's load."""
    return GOSSIP_MESSAGE.pack(server.id, min(load, MAX_GOSSIP_LOAD))


def unpack_gossip(balancer: Balancer, message: bytes) -> tuple[Server, float] | None:
    """Return the server and its load, or None if the message is invalid or the server unknown."""
    if len(message) != GOSSIP_MESSAGE.size:
        return None
    server_id, load = GOSSIP_MESSAGE.unpack(message)
    if server_id not in balancer.servers or not math.isfinite(load):
        return None
    return balancer.servers[server_id], load
