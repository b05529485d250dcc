"""The initial settings of all balancers of a cluster, and the checker's rules for them."""

from typing import Any

from cypresswalk.lab.cluster.plan import Plan
from cypresswalk.lab.cluster.testbed.flow_types import (
    BOOK,
    EFFECTS,
    SETUP_LATENCY_OBJECTIVE_MS,
    TIMEOUT_MS,
    VIEW,
)
from cypresswalk.lab.rules import Rules, ServerRule, TypeRule
from cypresswalk.lab.units import MILLISECOND, SECOND

ZONE = "a"  # zone of all servers
MAX_ATTEMPTS = 3
OVERLOAD_FACTOR = 3.0
OVERLOAD_WINDOW_S = 2.0
WARM_UP_S = 5.0
WARM_UP_INITIAL_FRACTION = 0.2
TURNOVER = 1.0  # load that one unit of a server's capacity serves per second
MIN_SERVER_CAPACITY = 1.0
# The price of a health check encodes the value of the register that the linearizability checker
# examines: PRICE_UNIT x (value + 1).
PRICE_UNIT = 0.001

SERVICE_TYPES = [
    {
        "name": name,
        "semantics": semantics,
        "setupTarget": float(SETUP_LATENCY_OBJECTIVE_MS),
        "giveUp": float(TIMEOUT_MS),
    }
    for name, semantics in ((VIEW, "idempotent"), (BOOK, "at_most_once"))
]


def balancer_settings(number: int, balancers: int, value: int = 0) -> dict[str, Any]:
    """Return a balancer's settings in the platform's format.

    Args:
        number: index of the balancer.
        balancers: number of balancers.
        value: value of the register that the settings encode.
    """
    return {
        "me": number,
        "instances": balancers,
        "zone": 0,
        "azs": [ZONE],
        "family": "conn",
        "discovery": "pushed",
        "limits": {
            "maxConnects": MAX_ATTEMPTS,
            "retryAfter": True,
            "maxRetryAfter": 1000.0,
            "probes": True,
            "dialTimeout": 150.0,
        },
        "rules": {
            "askWithin": 10000.0,
            "cold": WARM_UP_S * 1000,
            "coldShare": WARM_UP_INITIAL_FRACTION,
            "fall": OVERLOAD_WINDOW_S * 1000,
            "overloadFactor": OVERLOAD_FACTOR,
        },
        "deductions": {"probe": PRICE_UNIT * (value + 1)},
        "stats": {"via": "silent", "fields": []},
        "extra": {},
        "tenants": [],
        "serviceTypes": SERVICE_TYPES,
    }


def register_value(settings: dict[str, Any]) -> int:
    """Return the value of the register that agreed settings encode."""
    price = settings.get("deductions", {}).get("probe", 0)
    return round(price / PRICE_UNIT) - 1


def checker_rules(plan: Plan, slack: int) -> Rules:
    """Return the limits that the checker applies to a cluster.

    A server's capacity is its share of the plan's flows, the smallest value from which its
    slow-start budget can be computed.

    Args:
        plan: plan of the cluster.
        slack: tolerance of each limit, in nanoseconds.
    """
    capacity = max(plan.flows_per_s / plan.servers, MIN_SERVER_CAPACITY)
    types = {
        name: TypeRule(effect, "all", TIMEOUT_MS * MILLISECOND) for name, effect in EFFECTS.items()
    }
    servers = {
        name: ServerRule(ZONE, 1, capacity, WARM_UP_INITIAL_FRACTION, int(WARM_UP_S * SECOND))
        for name in plan.server_names()
    }
    return Rules(
        types=types,
        servers=servers,
        max_attempts=MAX_ATTEMPTS,
        drain_grace=0,
        overload_factor=OVERLOAD_FACTOR,
        overload_window=int(OVERLOAD_WINDOW_S * SECOND),
        turnover=TURNOVER,
        slack=slack,
    )
