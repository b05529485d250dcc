"""Real balancer processes: configuration, start, signals and resource usage."""

import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import psutil

from cypresswalk.lab.endpoint_list import ListAgent
from cypresswalk.lab.experiment import (
    BalancerGroup,
    Experiment,
    ServiceType,
    Settings,
    Variant,
)

ROOT = Path(__file__).parents[2]
SEMANTICS_BY_EFFECT = {
    "repeatable": "idempotent",
    "referenced": "deduplicated",
    "once-only": "at_most_once",
}
SET_DEATH_SIGNAL = 1  # of prctl(2)
POLL_WITHIN_MS = 10_000.0
GOSSIP_PRICE = 0.01
OVERAGE_WEIGHT = 0.2


def die_with_parent() -> None:
    """Make the kernel kill this child process when the lab's process dies."""
    ctypes.CDLL(None).prctl(SET_DEATH_SIGNAL, signal.SIGKILL)


def encode_settings(experiment: Experiment, settings: Settings, number: int) -> dict:
    """Return the settings of the balancer with index `number`, in the platform's format."""
    groups = experiment.balancer_groups()
    return {
        "me": number,
        "instances": len(groups),
        "zone": experiment.zones.index(groups[number].zone),
        "azs": experiment.zones,
        "family": "conn",
        "discovery": "on_request" if experiment.list_service.polled else "pushed",
        "limits": {
            "maxConnects": settings.max_attempts,
            "retryAfter": settings.retry_after,
            "maxRetryAfter": settings.max_retry_after_ms,
            "probes": settings.health_checks,
            "dialTimeout": settings.dial_timeout_ms,
            "peerMessages": settings.gossip,
        },
        "rules": encode_rules(experiment, settings),
        "deductions": {
            "crossZone": settings.zone_crossing_price,
            "moves": settings.migration_price,
            "probe": settings.health_check_price,
            "peer": GOSSIP_PRICE,
        },
        "stats": {"via": "probes", "fields": ["x0"]}
        if settings.reports_load
        else {"via": "silent", "fields": []},
        "extra": {
            "groups": bool(experiment.clients.groups),
            "tellsDelay": True,
            "messageAim": [t.message_latency_objective_ms for t in experiment.types],
            "tenantQuotaConnections": tenant_quotas(experiment),
        },
        "overagePayoff": OVERAGE_WEIGHT,
        "tenants": [{"name": tenant.name} for tenant in experiment.tenants],
        "serviceTypes": [encode_type(flow_type) for flow_type in experiment.types],
    }


def encode_rules(experiment: Experiment, settings: Settings) -> dict:
    """Return the rules on cold servers and list polling, in the platform's format."""
    return {
        "askWithin": POLL_WITHIN_MS,
        "cold": max(group.warm_up_s for group in experiment.servers) * 1000,
        "coldShare": min(group.warm_up_initial_fraction for group in experiment.servers),
        "fall": settings.overload_window_ms,
        "overloadFactor": settings.overload_factor,
    }


def tenant_quotas(experiment: Experiment) -> list[float]:
    """Return each tenant's quota: its share of the capacity of all servers."""
    shares = sum(tenant.share for tenant in experiment.tenants)
    capacity = sum(
        group.count * group.cores * group.speed * group.per_core for group in experiment.servers
    )
    return [tenant.share / shares * capacity for tenant in experiment.tenants]


def encode_type(flow_type: ServiceType) -> dict:
    """Return a type of flow in the platform's format."""
    return {
        "name": flow_type.name,
        "semantics": SEMANTICS_BY_EFFECT[flow_type.effect],
        "group": flow_type.scope,
        "window": flow_type.window_ms,
        "setupTarget": flow_type.setup_latency_objective_ms,
        "giveUp": flow_type.timeout_ms,
    }


def own_host() -> str:
    """Return a loopback address that only this process uses.

    On a shared address, another lab process or the local port of a client could take a balancer's
    port between its choice and the balancer's start, or while the balancer is down.
    """
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 128}.{pid >> 8 & 255}.{pid & 255}"


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is currently free at an address, for a type of socket."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class UsageAtRest(NamedTuple):
    """What a balancer process holds while it has no clients.

    Attributes:
        descriptors: The number of its open file descriptors.
        threads: The number of its threads.
        children: The number of its child processes.
    """

    descriptors: int
    threads: int
    children: int


class BalancerProcess:
    """One balancer's process and its restarts in a scenario."""

    def __init__(
        self,
        name: str,
        number: int,
        group: BalancerGroup,
        experiment: Experiment,
        variant: Variant,
        source_folder: Path,
        folder: Path,
        relay_address: tuple[str, int],
        command: list[str] | None = None,
    ):
        """Choose its addresses and files; the process does not run yet.

        Args:
            name: The balancer's name.
            number: The balancer's index among all balancers.
            group: The balancer group, with its resource limits.
            experiment: The experiment.
            variant: The variant that runs.
            source_folder: The folder of the program's source.
            folder: The folder for configuration, log and state.
            relay_address: The address to which the balancer sends gossip.
            command: The command to run instead of the program; None runs the program.
        """
        self.name = name
        self.number = number
        self.group = group
        self.variant = variant
        self.source_folder = source_folder
        self.settings = variant.settings or experiment.settings
        self.encoded_settings = encode_settings(experiment, self.settings, number)
        host = own_host()
        self.address = (host, free_port(host))
        self.gossip_address = (host, free_port(host, socket.SOCK_DGRAM))
        self.relay_address = relay_address
        self.start_count = 0
        module = ["cypresswalk"]
        if variant.policy != "product":
            module = ["cypresswalk.lab.baselines", variant.policy]
        self.command = command or [sys.executable, "-B", "-m", *module]
        self.folder = folder
        self.operator_file = folder / f"{name}.operator.toml"
        self.config_file = folder / f"{name}.json"
        self.log_file = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.process_info: psutil.Process | None = None
        self.expected_end = False

    def write_configuration(
        self, discovery: tuple[str, int], initial_list: dict, seed: int
    ) -> None:
        """Write its configuration: list service address, initial endpoint list, seed."""
        data = {
            "name": self.name,
            "listen": address_text(self.address),
            "discovery": address_text(discovery),
            "seed": f"{seed:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.group.memory_mb,
                "sockets": self.group.sockets,
            },
            "known": initial_list,
            "settings": self.encoded_settings,
        }
        if self.settings.gossip:
            data |= {
                "peer_listen": address_text(self.gossip_address),
                "peers_all": address_text(self.relay_address),
                "peers": [],
            }
        new = self.config_file.with_suffix(".new")
        new.write_text(json.dumps(data))
        os.replace(new, self.config_file)

    def environment(self) -> dict[str, str]:
        """Return its environment, with only those platform variables that the lab sets.

        If the settings enable persisted state, write an operator file that configures it.
        """
        variables = {
            k: v for k, v in os.environ.items() if not k.startswith("PROXY_") and k != "PYTHONPATH"
        }
        variables["PROXY_CONFIG"] = str(self.config_file.absolute())
        if self.settings.state:
            state = (self.folder / f"{self.name}.state").absolute()
            if not self.start_count:
                shutil.rmtree(state, ignore_errors=True)  # a scenario starts without state
            state.mkdir(exist_ok=True)
            self.operator_file.write_text(
                f'[state]\nfolder = "{state}"\nevery_s = {self.settings.state_every_s}\n'
            )
            variables["PROXY_OPERATOR"] = str(self.operator_file.absolute())
        return variables

    def start(self) -> None:
        """Start the process; restarts append to its log."""
        with open(self.log_file, "ab" if self.start_count else "wb") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=self.source_folder,
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=self.environment(),
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        self.process_info = psutil.Process(self.process.pid)
        self.expected_end = False
        self.start_count += 1

    def send_signal(self, number: int) -> None:
        """Send it a signal if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill it if it is running, and wait until it has exited."""
        self.expected_end = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_running(self) -> bool:
        """Return whether its process is running."""
        return self.process is not None and self.process.poll() is None

    def crash_exit_code(self) -> int | None:
        """Return the exit code of an unexpected exit; None if there was none."""
        if self.process is None or self.expected_end:
            return None
        return self.process.poll()

    def resource_usage(self) -> tuple[int, int, float] | None:
        """Return resident bytes, file descriptors and CPU seconds since its start.

        Return None while it is not running.
        """
        if self.process_info is None:
            return None
        try:
            with self.process_info.oneshot():
                times = self.process_info.cpu_times()
                memory = self.process_info.memory_info().rss
                return memory, self.process_info.num_fds(), times.user + times.system
        except (psutil.Error, AttributeError):
            return None

    def usage_at_rest(self) -> UsageAtRest | None:
        """Return its descriptors, threads and children; None while it is not running."""
        if self.process_info is None or not self.is_running():
            return None
        try:
            children = self.process_info.children()
            usage = self.process_info.num_fds(), self.process_info.num_threads()
        except psutil.Error:
            return None
        return UsageAtRest(*usage, len(children))

    def counters(self) -> dict[str, int]:
        """Return the counters that its runs logged, at exit or on SIGUSR1, summed over all runs."""
        total: dict[str, int] = {}
        run: dict[str, int] = {}
        try:
            lines = self.log_file.read_text(errors="replace").splitlines()
        except OSError:
            return total
        for line in lines:
            if "event=start" in line:
                total, run = {k: total.get(k, 0) + run.get(k, 0) for k in total | run}, {}
            elif "event=counters" in line or "event=end" in line:
                run = {
                    k: int(v)
                    for k, _, v in (w.partition("=") for w in line.split())
                    if v.isdecimal()
                }
        return {k: total.get(k, 0) + run.get(k, 0) for k in total | run}


def address_text(address: tuple[str, int]) -> str:
    """Return an address as "host:port"."""
    host, port = address
    return f"{host}:{port}"


def encode_initial_list(agent: ListAgent, entries: list[dict]) -> dict:
    """Return the initial endpoint list of a balancer, in the platform's format."""
    return {"generation": agent.version, "reset": True, "instances": entries}
