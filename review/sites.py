"""Settings of a small deployment, with the figures of mekong-queue's site file."""

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
