"""Settings of a small deployment, with the figures of the operators' site files."""

from typing import Any


def cardiff_settings(index: int, balancers: int) -> dict[str, Any]:
    """Return the settings that a balancer of cardiff-live is given."""
    return {
        "me": index,
        "instances": balancers,
        "zone": index % 3,
        "azs": ["hall-a", "hall-b", "hall-c"],
        "family": "conn",
        "discovery": "pushed",
        "tier": 0,
        "stages": ["config-nodes"],
        "kinds": ["large", "medium", "small"],
        "weights": "rough",
        "payoffPer": "request",
        "overagePayoff": 0.2,
        "resolution": 2.0,
        "clients": {"marksRetry": True},
        "limits": {
            "cancelling": True,
            "connIdle": 60000.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 800000,
            "dialTimeout": 200.0,
            "maxConnects": 6,
            "maxRetryAfter": 1000.0,
            "openCap": 1000000,
            "peerMessages": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 1,
        },
        "rules": {
            "answerSlack": 50.0,
            "askWithin": 10000.0,
            "cold": 23000.0,
            "coldShare": 0.16,
            "drainGrace": 750.0,
            "fall": 1500.0,
            "overloadFactor": 3.0,
        },
        "deductions": {
            "connection": 0.0,
            "crossZone": 0.08,
            "discovery": 0.0,
            "handshake": 0.0,
            "lateFail": 0.08,
            "moves": 0.026,
            "origin": 0.0,
            "peer": 0.0,
            "probe": 0.0029,
            "waste": 0.3,
        },
        "stats": {"via": "silent", "fields": []},
        "extra": {
            "groups": True,
            "messageAim": [250.0],
            "mode": "proxy",
            "park": 0.0,
            "tellsDelay": False,
            "tellsLoad": False,
            "tenantQuotaConnections": [400.0, 340.0, 110.0, 65.0],
        },
        "resultMix": {"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.1, "worstWindow": 0.35},
        "serviceTypes": [
            {
                "giveUp": 1800.0,
                "group": "all",
                "name": "live-config",
                "overduePayoff": 0.0,
                "payoff": 1.0,
                "semantics": "idempotent",
                "setupTarget": 300.0,
                "streamed": True,
                "window": 5000.0,
            }
        ],
        "tenants": [
            {"name": "dyffryn-frames", "quotaPerS": 10.0, "share": 0.44},
            {"name": "teifi-windows", "quotaPerS": 8.0, "share": 0.37},
            {"name": "gwent-doors", "quotaPerS": 3.0, "share": 0.12},
            {"name": "menai-glazing", "quotaPerS": 2.0, "share": 0.07},
        ],
    }


CARDIFF_FIELDS = "c=live-config,t=dyffryn-frames,d=1800"
CARDIFF_ZONES = ("hall-a", "hall-b", "hall-c")


def mekong_settings(index: int, balancers: int) -> dict[str, Any]:
    """Return settings with the figures of mekong-queue, and two of its types and tenants."""
    types = (("desk-schedule", 800.0, 3200.0, 5.0), ("app-queue", 500.0, 2000.0, 2.0))
    base = cardiff_settings(index, balancers)
    return base | {
        "zone": index % 2,
        "azs": list(MEKONG_ZONES),
        "discovery": "on_request",
        "stages": ["queue-push"],
        "kinds": list(MEKONG_KINDS),
        "weights": "nominal",
        "overagePayoff": 0.1,
        "limits": base["limits"] | {"dialTimeout": 250.0, "maxConnects": 4, "peerMessages": True},
        "rules": base["rules"]
        | {
            "cold": 8800.0,
            "coldShare": 0.33,
            "drainGrace": 1500.0,
            "fall": 2000.0,
            "overloadFactor": 2.5,
        },
        "deductions": base["deductions"]
        | {
            "crossZone": 0.16,
            "lateFail": 0.082,
            "moves": 0.021,
            "peer": 0.0066,
            "probe": 0.0016,
            "waste": 0.04,
        },
        "extra": base["extra"]
        | {"messageAim": [50.0, 150.0], "tellsLoad": True, "tenantQuotaConnections": [90.0, 60.0]},
        "serviceTypes": [
            base["serviceTypes"][0] | {"name": n, "setupTarget": t, "giveUp": g, "payoff": p}
            for n, t, g, p in types
        ],
        "tenants": [
            {"name": "cantho", "quotaPerS": 2.0, "share": 0.6},
            {"name": "an-giang", "quotaPerS": 1.0, "share": 0.4},
        ],
    }


MEKONG_FIELDS = "c=desk-schedule,t=cantho,d=3200"
MEKONG_ZONES = ("cantho-site", "vinhlong-site")
MEKONG_KINDS = ("three-fast", "three-std", "four-slow")


def danang_settings(index: int, balancers: int) -> dict[str, Any]:
    """Return the settings that a balancer of danang-schools is given."""
    types = (
        ("consent-sync", 800.0, 4800.0, 5.0),
        ("schedule-view", 800.0, 4800.0, 1.0),
        ("checkin-feed", 300.0, 1200.0, 1.0),
    )
    base = cardiff_settings(index, balancers)
    return base | {
        "zone": 0,
        "azs": list(DANANG_ZONES),
        "discovery": "on_request",
        "stages": ["screening-live"],
        "kinds": ["std-2c", "slow-2c"],
        "weights": "nominal",
        "clients": {"marksRetry": False},
        "limits": base["limits"]
        | {"connIdle": 5000.0, "dialTimeout": 60.0, "maxConnects": 3, "retryAfter": False},
        "rules": base["rules"]
        | {"cold": 24000.0, "coldShare": 0.14, "drainGrace": 1000.0, "fall": 3000.0},
        "deductions": base["deductions"]
        | {"crossZone": 0.0, "lateFail": 0.094, "moves": 0.028, "probe": 0.002, "waste": 0.2},
        "stats": {"via": "pull", "fields": ["x0", "qps", "inflight"]},
        "extra": base["extra"]
        | {
            "messageAim": [100.0, 100.0, 60.0],
            "reportX0": "load asked of the server over what it can do",
            "tenantQuotaConnections": [],
        },
        "serviceTypes": [
            base["serviceTypes"][0] | {"name": n, "setupTarget": t, "giveUp": g, "payoff": p}
            for n, t, g, p in types
        ],
        "tenants": [],
    }


DANANG_FIELDS = "c=checkin-feed,d=1200"
DANANG_ZONES = ("danang-room1",)
