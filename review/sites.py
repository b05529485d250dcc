"""Settings of small deployments, with the figures of the operators' site files."""

from typing import Any

ZONES = ("cantho-site", "vinhlong-site")
KINDS = ("three-fast", "three-std", "four-slow")
TENANTS = {
    "cantho": 0.26,
    "an-giang": 0.17,
    "kien-giang": 0.13,
    "soc-trang": 0.11,
    "vinh-long": 0.11,
    "bac-lieu": 0.10,
    "hau-giang": 0.07,
    "tra-vinh": 0.05,
}
# Name, share of the flows, set-up target and connect timeout in milliseconds, payoff.
SERVICE_TYPES = (
    ("desk-schedule", 0.43, 800.0, 3200.0, 5.0),
    ("app-queue", 0.39, 500.0, 2000.0, 2.0),
    ("slot-hold", 0.18, 500.0, 3000.0, 5.0),
)


def mekong_settings(index: int, balancers: int) -> dict[str, Any]:
    """Return the settings that a balancer of mekong-queue is given."""
    return {
        "azs": list(ZONES),
        "clients": {"marksRetry": False},
        "deductions": {
            "connection": 0.0,
            "crossZone": 0.16,
            "discovery": 0.0,
            "handshake": 0.0,
            "lateFail": 0.082,
            "moves": 0.021,
            "origin": 0.0,
            "peer": 0.0066,
            "probe": 0.0016,
            "waste": 0.04,
        },
        "discovery": "on_request",
        "extra": {
            "groups": True,
            "messageAim": [50.0, 150.0, 150.0],
            "mode": "proxy",
            "park": 0.0,
            "tellsDelay": False,
            "tellsLoad": True,
            "tenantQuotaConnections": [round(1200 * share) for share in TENANTS.values()],
        },
        "family": "conn",
        "instances": balancers,
        "kinds": list(KINDS),
        "limits": {
            "cancelling": True,
            "connIdle": 15000.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "dialTimeout": 250.0,
            "maxConnects": 4,
            "maxRetryAfter": 2000.0,
            "openCap": 1000000,
            "peerMessages": True,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 1,
        },
        "me": index,
        "overagePayoff": 0.1,
        "payoffPer": "request",
        "resolution": 5.0,
        "resultMix": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25},
        "rules": {
            "answerSlack": 20.0,
            "askWithin": 10000.0,
            "cold": 8800.0,
            "coldShare": 0.33,
            "drainGrace": 1500.0,
            "fall": 2000.0,
            "overloadFactor": 2.5,
        },
        "serviceTypes": [
            {
                "giveUp": give_up,
                "group": "all",
                "name": name,
                "overduePayoff": 0.0,
                "payoff": payoff,
                "semantics": "idempotent",
                "setupTarget": target,
                "streamed": True,
                "window": 5000.0,
            }
            for name, _, target, give_up, payoff in SERVICE_TYPES
        ],
        "stages": ["queue-push"],
        "stats": {"fields": [], "via": "silent"},
        "tenants": [
            {"name": name, "quotaPerS": round(20 * share, 1), "share": share}
            for name, share in TENANTS.items()
        ],
        "tier": 0,
        "weights": "nominal",
        "zone": index % len(ZONES),
    }


DANANG_ZONE = "danang-room1"
DANANG_KINDS = ("std-2c", "slow-2c")
DANANG_TYPES = (
    ("consent-sync", 0.44, 800.0, 4800.0, 5.0),
    ("schedule-view", 0.31, 800.0, 4800.0, 1.0),
    ("checkin-feed", 0.25, 300.0, 1200.0, 1.0),
)


def danang_settings(index: int, balancers: int) -> dict[str, Any]:
    """Return the settings that a balancer of danang-schools is given."""
    base = mekong_settings(index, balancers)
    prices = {"crossZone": 0.0, "lateFail": 0.094, "moves": 0.028, "peer": 0.0, "probe": 0.002}
    return base | {
        "azs": [DANANG_ZONE],
        "zone": 0,
        "kinds": list(DANANG_KINDS),
        "stages": ["screening-live"],
        "stats": {"via": "pull", "fields": ["x0", "qps", "inflight"]},
        "tenants": [],
        "deductions": base["deductions"] | prices | {"waste": 0.2},
        "extra": base["extra"]
        | {
            "messageAim": [100.0, 100.0, 60.0],
            "reportX0": "load asked of the server over what it can do",
            "tellsLoad": False,
            "tenantQuotaConnections": [],
        },
        "limits": base["limits"]
        | {
            "connIdle": 5000.0,
            "dialTimeout": 60.0,
            "maxConnects": 3,
            "peerMessages": False,
            "retryAfter": False,
        },
        "rules": base["rules"]
        | {
            "cold": 24000.0,
            "coldShare": 0.14,
            "drainGrace": 1000.0,
            "fall": 3000.0,
            "overloadFactor": 3.0,
        },
        "resultMix": {"whole": 0.55, "worstClass": 0.3, "worstTenant": 0.0, "worstWindow": 0.15},
        "serviceTypes": [
            entry | {"name": name, "setupTarget": target, "giveUp": give_up, "payoff": payoff}
            for entry, (name, _, target, give_up, payoff) in zip(
                base["serviceTypes"], DANANG_TYPES, strict=True
            )
        ],
    }
