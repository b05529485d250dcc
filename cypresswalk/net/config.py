"""What the balancer is told at its start: the variables and the configuration file."""

import json
from dataclasses import dataclass
from ipaddress import IPv4Address

from cypresswalk.hosting import SettingsError, decode_settings, nanoseconds
from cypresswalk.model import SECOND, Settings
from cypresswalk.net.limits import Limits

Address = tuple[str, int]


class ConfigError(Exception):
    """The balancer can't start with this; the message says why."""


@dataclass(slots=True)
class Config:
    path: str  # of the file it was read from
    name: str
    listen: Address
    discovery: Address
    seed: int
    known: dict
    settings: Settings
    limits: Limits
    zones: dict[str, int]
    service_types: dict[str, int]  # by name, their place in the settings
    customers: dict[str, int]
    groups: bool  # `g` names a group whose members share work, not a single client
    tells_load: bool  # LOAD lines tell a connection's load,
    tells_delay: bool  # how long a message takes at the server, or both
    load_fields: list[str]  # of the load reports that probes bring, if any
    peer_listen: Address | None
    peers_all: Address | None
    admin: Address | None  # where operators call; without it all that they may ask for is off


def address(text: str, what: str) -> Address:
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        host = str(IPv4Address(host))
    except ValueError:
        host = ""
    if not colon or not host or not port.isdecimal() or int(port) > 65535:
        raise ConfigError(f"{what}: {text!r} is no IPv4 address and port")
    return host, int(port)


def read(path: str) -> dict:
    try:
        with open(path, "rb") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"PROXY_CONFIG {path}: {error}") from None
    if not isinstance(data, dict):
        raise ConfigError(f"PROXY_CONFIG {path}: not an object")
    return data


def discovery_anew(path: str) -> Address:
    """The one field that takes effect while the balancer runs; the variable holds the first address still."""
    return address(read(path).get("discovery"), f"PROXY_CONFIG {path}: discovery")


def load(environment: dict[str, str]) -> Config:
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    data = read(path)
    try:
        return build(environment, data)
    except KeyError as error:
        raise ConfigError(f"PROXY_CONFIG {path}: {error} is missing") from None
    except SettingsError as error:
        raise ConfigError(f"PROXY_CONFIG {path}: {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"PROXY_CONFIG {path}: {error}") from None


def build(environment: dict[str, str], data: dict) -> Config:
    params = data["settings"]
    settings = decode_settings(params)
    targets = [
        t.message_latency_objective for t in settings.service_types if t.message_latency_objective
    ]
    admin = environment.get("PROXY_ADMIN_ADDR") or data.get("admin_addr")
    admin = address(admin, "admin_addr") if admin else None
    limits = Limits(
        sockets=int(data["limits"]["sockets"]),
        memory=int(data["limits"]["memory_mb"]) << 20,
        dial=nanoseconds(params["limits"]["dialTimeout"], "dialTimeout"),
        longest=max(
            (nanoseconds(t["giveUp"], "giveUp") for t in params["serviceTypes"]), default=SECOND
        ),
        # A third of the shortest target is no strain yet.
        delay_long=min(targets, default=SECOND) // 3,
        operated=admin is not None,
    )
    extra = params.get("extra", {})
    peers = settings.gossip and data.get("peer_listen")
    return Config(
        path=environment.get("PROXY_CONFIG", ""),
        name=environment.get("PROXY_NAME") or data["name"],
        listen=address(environment.get("PROXY_LISTEN") or data["listen"], "listen"),
        discovery=address(environment.get("PROXY_DISCOVERY") or data["discovery"], "discovery"),
        seed=int(data["seed"], 16),
        known=data.get("known") or {"instances": []},
        settings=settings,
        limits=limits,
        zones={name: i for i, name in enumerate(params["azs"])},
        service_types={t["name"]: i for i, t in enumerate(params["serviceTypes"])},
        customers={t["name"]: i for i, t in enumerate(params.get("tenants") or [])},
        groups=bool(extra.get("groups")),
        tells_load=bool(extra.get("tellsLoad")),
        tells_delay=bool(extra.get("tellsDelay")),
        load_fields=params["stats"]["fields"] if settings.load_index >= 0 else [],
        peer_listen=address(data["peer_listen"], "peer_listen") if peers else None,
        peers_all=address(data["peers_all"], "peers_all")
        if peers and data.get("peers_all")
        else None,
        admin=admin,
    )
