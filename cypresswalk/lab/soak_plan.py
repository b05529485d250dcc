"""Random plans of a soak test: experiments drawn from a seed (docs/design/soak.md)."""

from random import Random
from typing import Any

from cypresswalk import toml
from cypresswalk.lab.experiment import Experiment

SECONDS = 16.0
FIRST_FAULT_S = 2.0
LAST_FAULT_S = 10.0  # leaves time for the fault's effects before the scenario ends
MAX_STOP_S = 6.0  # maximum time from SIGTERM until the balancer serves again
MAX_OUTAGE_S = 4.0
STALL_LIST_DELAY_MS = [10, 60]
LAST_STALL_S = 6.0  # leaves time for a change of the list to be read late
FAULT_S = (1.0, 5.0)
DRAIN_S = (4.0, 9.0)  # most outlast the delays of the list and the grace period
CROWD_PROBABILITY = 0.3
GOSSIP_PROBABILITY = 0.5
POLLED_PROBABILITY = 0.3
STALL_PROBABILITY = 0.3
TIGHT_PROBABILITY = 0.4
# Of a tight fleet: each server's connections per core, and the share of the fleet's capacity that
# its clients use.
TIGHT_PER_CORE = 4
TIGHT_USE = (0.6, 1.0)
TIGHT_OVERLOAD_FACTOR = (1.5, 2.5)
CORES = 2
MEAN_LIFETIME_S = 3.0
BURST_CLIENTS = (10, 40)
# Possible starts of a series of signals, in seconds relative to SIGTERM.
SERIES_OFFSETS_S = (-0.05, 0.0, 0.01, 0.2, 1.0)
SIGNAL_SERIES = (["HUP"], ["HUP", "HUP", "HUP"], ["USR1", "HUP"])
SIGNAL_SERIES_AFTER_TERM = (["TERM"], ["TERM", "HUP"], ["HUP", "TERM", "TERM"])
SERVER_FAULTS = ("hang", "slow", "errors", "resets", "drain", "restart", "crash")
AMOUNTS = {"slow": (2.0, 8.0), "errors": (0.1, 0.9), "resets": (0.1, 0.6)}

Table = dict[str, Any]


def soak_experiment(seed: int) -> Experiment:
    """Return the experiment of a seed."""
    return toml.decode(soak_table(seed), Experiment, f"soak seed {seed}")


def soak_table(seed: int) -> Table:
    """Return the experiment of a seed in the form of an experiment file."""
    random = Random(f"soak/{seed}")
    zones = ["north", "south"][: random.randint(1, 2)]
    servers = random.randint(2, 4)
    balancers = random.randint(1, 3)
    tight = random.random() < TIGHT_PROBABILITY
    crowded = random.random() < CROWD_PROBABILITY
    sockets = random.choice((128, 256, 512))
    names = [f"b{number}" for number in range(balancers * len(zones))]
    stalls = random.random() < STALL_PROBABILITY
    return {
        "name": f"soak-{seed}",
        "about": "drawn from a seed",
        "seconds": SECONDS,
        "zones": zones,
        "servers": [
            {"name": zone, "zone": zone, "count": servers, "cores": CORES}
            | ({"per_core": TIGHT_PER_CORE} if tight else {})
            for zone in zones
        ],
        "balancers": [{"zone": zone, "count": balancers, "sockets": sockets} for zone in zones],
        "types": draw_types(random),
        "load": draw_load(random, servers * len(zones), tight),
        "clients": {
            "bad_per_s": random.choice((0, 5, 15)),
            "leaves": random.choice((0.0, 0.05, 0.3)),
            "resting": random.randint(4, 12),
            "crowd": sockets if crowded else 0,
        },
        "list_service": {"asked": random.random() < POLLED_PROBABILITY}
        | ({"late_ms": STALL_LIST_DELAY_MS} if stalls else {}),
        "settings": {"peers": random.random() < GOSSIP_PROBABILITY}
        | ({"overload_factor": random.uniform(*TIGHT_OVERLOAD_FACTOR)} if tight else {}),
        "trouble": draw_faults(random, zones, servers, names, tight)
        + (draw_stall(random, zones, servers) if stalls else []),
    }


def draw_load(random: Random, servers: int, tight: bool) -> Table:
    """Draw the course of the load; in a tight fleet, most of what its servers can carry."""
    if not tight:
        return {"course": [[0, random.uniform(4, 9)], [8, random.uniform(6, 16)]]}
    capacity = servers * CORES * TIGHT_PER_CORE
    rate = capacity / MEAN_LIFETIME_S * random.uniform(*TIGHT_USE)
    return {"course": [[0, rate / 2], [FIRST_FAULT_S, rate]]}


def draw_types(random: Random) -> list[Table]:
    """Draw the types of flows: a repeatable one, and a once-only or referenced one."""
    return [
        {"name": "view", "share": 3, "life_s": [1, 6]},
        {
            "name": "book",
            "share": 1,
            "effect": random.choice(("once-only", "referenced")),
            "scope": random.choice(("all", "zone")),
            "setup_target_ms": 500,
            "timeout_ms": random.choice((1500, 2500)),
            "life_s": [1, 4],
        },
    ]


def draw_faults(
    random: Random, zones: list[str], servers: int, balancers: list[str], tight: bool
) -> list[Table]:
    """Draw the faults: stops with signals, reloads, faults of servers and of the endpoint list."""
    faults: list[Table] = []
    for name in random.sample(balancers, random.randint(1, len(balancers))):
        faults += draw_stop(random, name)
    for _ in range(random.randint(0, 2)):
        faults.append({"kind": "reload", "at_s": draw_start_s(random), "balancers": ["all"]})
    names = [f"{zone}-{number}" for zone in zones for number in range(servers)]
    # At least one server has no fault.
    for name in random.sample(names, random.randint(1, len(names) - 1)):
        faults.append(draw_server_fault(random, name, "restart" if tight else ""))
    if tight:
        faults.append(
            {
                "kind": "burst",
                "at_s": draw_start_s(random),
                "amount": random.randint(*BURST_CLIENTS),
            }
        )
    if random.random() < 0.4:
        span_s = round(random.uniform(1, MAX_OUTAGE_S), 2)
        faults.append({"kind": "list_outage", "at_s": draw_start_s(random), "for_s": span_s})
    return faults


def draw_stall(random: Random, zones: list[str], servers: int) -> list[Table]:
    """Draw the time at which the watches of the list go silent, between two changes of the list.

    The first one is read just before, so that a balancer notices the silence as late as it can.
    """
    at_s = round(random.uniform(FIRST_FAULT_S, LAST_STALL_S), 2)
    server = f"{random.choice(zones)}-{random.randrange(servers)}"
    restart = {"kind": "restart", "at_s": round(at_s - 0.2, 2), "for_s": 0.3, "servers": [server]}
    return [{"kind": "list_stall", "at_s": at_s}, restart]


def draw_start_s(random: Random) -> float:
    """Draw the time at which a fault begins, in seconds."""
    return round(random.uniform(FIRST_FAULT_S, LAST_FAULT_S), 2)


def draw_stop(random: Random, balancer: str) -> list[Table]:
    """Draw a planned stop and series of signals before, at and after its SIGTERM."""
    latest = SECONDS - MAX_STOP_S
    at_s = round(random.uniform(FIRST_FAULT_S, min(latest, LAST_FAULT_S)), 2)
    stop: Table = {"kind": "balancer_stop", "at_s": at_s, "for_s": 0.3, "balancers": [balancer]}
    faults = [stop]
    for offset in random.sample(SERIES_OFFSETS_S, random.randint(0, 3)):
        # A SIGTERM before that of the stop would end the balancer unexpectedly.
        kinds = (*SIGNAL_SERIES, *SIGNAL_SERIES_AFTER_TERM) if offset > 0.1 else SIGNAL_SERIES
        series = {"kind": "signals", "signals": random.choice(kinds), "balancers": [balancer]}
        faults.append({"at_s": round(at_s + offset, 2)} | series)
    return faults


def draw_server_fault(random: Random, server: str, kind: str) -> Table:
    """Draw a fault of one server; its kind too if none is given."""
    kind = kind or random.choice(SERVER_FAULTS)
    fault: Table = {
        "kind": kind,
        "at_s": draw_start_s(random),
        "for_s": round(random.uniform(*(DRAIN_S if kind == "drain" else FAULT_S)), 2),
        "servers": [server],
    }
    if kind in AMOUNTS:
        fault["amount"] = round(random.uniform(*AMOUNTS[kind]), 2)
    return fault
