"""The balancer's configuration: environment variables and the configuration file."""

import json
from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Any

from cypresswalk.hosting import SettingsError, decode_settings, nanoseconds
from cypresswalk.model import SECOND, Settings
from cypresswalk.net.errors import ConfigError
from cypresswalk.net.limits import MAX_LIST_RETRY_PAUSE, Limits, longest_list_retry_pause

Address = tuple[str, int]  # a numeric IPv4 address and a port
MAX_PORT = 65535


@dataclass(slots=True)
class Config:
    """The balancer's configuration at startup.

    Attributes:
        path: Path of the configuration file.
        name: Name of this balancer.
        listen: Address at which clients connect.
        discovery: Address of discovery, which sends the endpoint list.
        seed: Seed of the balancer's random numbers.
        initial_list: Endpoint list that is used until discovery sends one.
        settings: Settings of the decisions.
        limits: Sizes, counts and times.
        zones: Index of each zone in the settings, by name.
        service_types: Index of each service type in the settings, by name.
        tenants: Index of each tenant in the settings, by name.
        groups: Whether `g` names a group of clients that share work, not a single client.
        reports_load: Whether servers' LOAD lines report a connection's load.
        reports_delay: Whether servers' LOAD lines report how long a message takes.
        load_fields: Field names of the load reports in answers to health checks; empty if answers
            carry none.
        gossip_listen: Address at which gossip is received; None without gossip.
        gossip_target: Address to which gossip is sent; None without gossip.
        admin_address: Address at which operators connect; None disables everything that operators
            may ask for.
    """

    path: str
    name: str
    listen: Address
    discovery: Address
    seed: int
    initial_list: dict
    settings: Settings
    limits: Limits
    zones: dict[str, int]
    service_types: dict[str, int]
    tenants: dict[str, int]
    groups: bool
    reports_load: bool
    reports_delay: bool
    load_fields: list[str]
    gossip_listen: Address | None
    gossip_target: Address | None
    admin_address: Address | None


def parse_address(text: object, field: str) -> Address:
    """Parse an address written as IPv4 address, colon and port.

    Raises:
        ConfigError: It is not of that form; the error names `field`.
    """
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    try:
        host = str(IPv4Address(host))
    except ValueError:
        host = ""
    if not colon or not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise ConfigError(f"{text!r} is no IPv4 address and port", field)
    return host, int(port)


def read_file(path: str) -> dict:
    """Return the configuration file's object.

    Raises:
        ConfigError: It cannot be read or is not a JSON object.
    """
    try:
        with open(path, "rb") as file:
            data = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(str(error), f"PROXY_CONFIG {path}") from error
    if not isinstance(data, dict):
        raise ConfigError("not an object", f"PROXY_CONFIG {path}")
    return data


def read_discovery_address(path: str) -> Address:
    """Return discovery's address, the only field that may change while the balancer runs.

    The environment variable is ignored here, since it still holds the address at startup.

    Raises:
        ConfigError: The file or the field cannot be used.
    """
    return parse_address(read_file(path).get("discovery"), f"PROXY_CONFIG {path}: discovery")


def load(environment: dict[str, str]) -> Config:
    """Return the configuration from the environment variables and the file that they name.

    Raises:
        ConfigError: Something is missing or malformed.
    """
    path = environment.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    data = read_file(path)
    try:
        return build(environment, data)
    except KeyError as error:
        raise ConfigError(f"{error} is missing", f"PROXY_CONFIG {path}") from error
    except (SettingsError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(str(error), f"PROXY_CONFIG {path}") from error


def build(environment: dict[str, str], data: dict) -> Config:
    """Build the configuration from the environment variables and the file's object.

    Raises:
        ConfigError: An address is malformed.
        SettingsError: The settings lack a field or have a malformed one.
        KeyError: A field is missing.
        TypeError, ValueError, AttributeError: A field is malformed.
    """
    params = data["settings"]
    settings = decode_settings(params)
    admin_text = environment.get("PROXY_ADMIN_ADDR") or data.get("admin_addr")
    admin_address = parse_address(admin_text, "admin_addr") if admin_text else None
    limits = _build_limits(data, settings, admin_address is not None)
    extra = params.get("extra", {})
    gossip = settings.gossip and data.get("peer_listen")
    gossip_target = data.get("peers_all") if gossip else None
    return Config(
        path=environment.get("PROXY_CONFIG", ""),
        name=environment.get("PROXY_NAME") or data["name"],
        listen=parse_address(environment.get("PROXY_LISTEN") or data["listen"], "listen"),
        discovery=parse_address(
            environment.get("PROXY_DISCOVERY") or data["discovery"], "discovery"
        ),
        seed=int(data["seed"], 16),
        initial_list=data.get("known") or {"instances": []},
        settings=settings,
        limits=limits,
        zones={name: i for i, name in enumerate(params["azs"])},
        service_types={t["name"]: i for i, t in enumerate(params["serviceTypes"])},
        tenants={t["name"]: i for i, t in enumerate(params.get("tenants") or [])},
        groups=bool(extra.get("groups")),
        reports_load=bool(extra.get("tellsLoad")),
        reports_delay=bool(extra.get("tellsDelay")),
        load_fields=params["stats"]["fields"] if settings.load_index >= 0 else [],
        gossip_listen=parse_address(data["peer_listen"], "peer_listen") if gossip else None,
        gossip_target=parse_address(gossip_target, "peers_all") if gossip_target else None,
        admin_address=admin_address,
    )


def _build_limits(data: dict[str, Any], settings: Settings, admin_enabled: bool) -> Limits:
    params = data["settings"]
    objectives = [
        service_type.message_latency_objective
        for service_type in settings.service_types
        if service_type.message_latency_objective
    ]
    return Limits(
        max_sockets=int(data["limits"]["sockets"]),
        max_memory=int(data["limits"]["memory_mb"]) << 20,
        dial_timeout=nanoseconds(params["limits"]["dialTimeout"], "dialTimeout"),
        longest_connect_timeout=max(
            (nanoseconds(t["giveUp"], "giveUp") for t in params["serviceTypes"]), default=SECOND
        ),
        # A delay of up to a third of the smallest objective does not count as overload.
        min_reported_delay=min(objectives, default=SECOND) // 3,
        max_list_retry_pause=_max_list_retry_pause(params, settings),
        admin_enabled=admin_enabled,
    )


def _max_list_retry_pause(params: dict[str, Any], settings: Settings) -> int:
    drain_grace = params["rules"].get("drainGrace")
    if settings.list_polled or drain_grace is None:
        return MAX_LIST_RETRY_PAUSE
    return longest_list_retry_pause(nanoseconds(drain_grace, "drainGrace"))
