"""Real balancer processes: their configuration, start, kill, planned stop and reload, and what they cost."""

import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
from pathlib import Path

import psutil

from cypresswalk.lab.endpoint_list import ListAgent
from cypresswalk.lab.experiment import BalancerGroup, Experiment, Settings, Variant

ROOT = Path(__file__).parents[2]
EFFECTS = {"repeatable": "idempotent", "referenced": "deduplicated", "once-only": "at_most_once"}
SET_DEATH_SIGNAL = 1  # of prctl(2)


def die_with_parent() -> None:
    """In the child: a lab that is killed outright must not leave balancers behind."""
    ctypes.CDLL(None).prctl(SET_DEATH_SIGNAL, signal.SIGKILL)


def params(experiment: Experiment, settings: Settings, me: int) -> dict:
    """The settings, in the form in which the platform hands them out."""
    tables = experiment.balancer_groups()
    shares = sum(c.share for c in experiment.tenants)
    capacity = sum(m.count * m.cores * m.speed * m.per_core for m in experiment.servers)
    return {
        "me": me,
        "instances": len(tables),
        "zone": experiment.zones.index(tables[me].zone),
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
        "rules": {
            "askWithin": 10_000.0,
            "cold": max(m.warm_up_s for m in experiment.servers) * 1000,
            "coldShare": min(m.warm_up_initial_fraction for m in experiment.servers),
            "fall": settings.overload_window_ms,
            "overloadFactor": settings.overload_factor,
        },
        "deductions": {
            "crossZone": settings.zone_crossing_price,
            "moves": settings.migration_price,
            "probe": settings.health_check_price,
            "peer": 0.01,
        },
        "stats": {"via": "probes", "fields": ["x0"]}
        if settings.reports_load
        else {"via": "silent", "fields": []},
        "extra": {
            "groups": bool(experiment.clients.groups),
            "tellsDelay": True,
            "messageAim": [t.message_latency_objective_ms for t in experiment.types],
            "tenantQuotaConnections": [c.share / shares * capacity for c in experiment.tenants],
        },
        "overagePayoff": 0.2,
        "tenants": [{"name": c.name} for c in experiment.tenants],
        "serviceTypes": [
            {
                "name": t.name,
                "semantics": EFFECTS[t.effect],
                "group": t.scope,
                "window": t.window_ms,
                "setupTarget": t.setup_latency_objective_ms,
                "giveUp": t.timeout_ms,
            }
            for t in experiment.types
        ],
    }


def own_host() -> str:
    """A loopback address of this process alone. Guards against two labs side by side, or a client's own port, taking the
    port of a balancer between its choice and its start, or while it is away: one day then spoke to the other's."""
    pid = os.getpid()
    return f"127.{64 + (pid >> 16) % 128}.{pid >> 8 & 255}.{pid & 255}"


def free_port(host: str, kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Balancer:
    """One balancer's process, over its starts on a day."""

    def __init__(
        self,
        name: str,
        number: int,
        table: BalancerGroup,
        experiment: Experiment,
        variant: Variant,
        tree: Path,
        folder: Path,
        relay: tuple[str, int],
        command: list[str] | None = None,
    ):
        self.name, self.number, self.table, self.variant, self.tree = (
            name,
            number,
            table,
            variant,
            tree,
        )
        self.settings = variant.settings or experiment.settings
        self.params = params(experiment, self.settings, number)
        host = own_host()
        self.address, self.peer = (
            (host, free_port(host)),
            (host, free_port(host, socket.SOCK_DGRAM)),
        )
        self.relay, self.starts = relay, 0
        module = (
            ["cypresswalk"]
            if variant.policy == "product"
            else ["cypresswalk.lab.baselines", variant.policy]
        )
        self.command = command or [sys.executable, "-B", "-m", *module]
        self.folder, self.operator = folder, folder / f"{name}.operator.toml"
        self.config, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self.process: subprocess.Popen | None = None
        self.seen: psutil.Process | None = None
        self.expected_end = False

    def write(self, discovery: tuple[str, int], known: dict, seed: int) -> None:
        data = {
            "name": self.name,
            "listen": "%s:%d" % self.address,
            "discovery": "%s:%d" % discovery,
            "seed": f"{seed:016x}",
            "limits": {
                "cores": 1.0,
                "memory_mb": self.table.memory_mb,
                "sockets": self.table.sockets,
            },
            "known": known,
            "settings": self.params,
        }
        if self.settings.gossip:
            data |= {
                "peer_listen": "%s:%d" % self.peer,
                "peers_all": "%s:%d" % self.relay,
                "peers": [],
            }
        new = self.config.with_suffix(".new")
        new.write_text(json.dumps(data))
        os.replace(new, self.config)

    def environment(self) -> dict[str, str]:
        """Of the platform's variables only what the lab says; an operator file where the variant asks for one."""
        plain = {
            k: v for k, v in os.environ.items() if not k.startswith("PROXY_") and k != "PYTHONPATH"
        }
        plain["PROXY_CONFIG"] = str(self.config.absolute())
        if self.settings.state:
            kept = (self.folder / f"{self.name}.state").absolute()
            if not self.starts:
                shutil.rmtree(kept, ignore_errors=True)  # a day begins without a past
            kept.mkdir(exist_ok=True)
            self.operator.write_text(
                f'[state]\nfolder = "{kept}"\nevery_s = {self.settings.state_every_s}\n'
            )
            plain["PROXY_OPERATOR"] = str(self.operator.absolute())
        return plain

    def start(self) -> None:
        with open(self.log, "ab" if self.starts else "wb") as log:
            self.process = subprocess.Popen(
                self.command,
                cwd=self.tree,
                stderr=log,
                stdout=log,
                stdin=subprocess.DEVNULL,
                env=self.environment(),
                preexec_fn=die_with_parent,
                start_new_session=True,
            )
        self.seen, self.expected_end = psutil.Process(self.process.pid), False
        self.starts += 1

    def send(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.expected_end = True
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def running(self) -> bool:
        """Return whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def crashed(self) -> int | None:
        """The exit code of an end that nobody asked for."""
        if self.process is None or self.expected_end:
            return None
        return self.process.poll()

    def cost(self) -> tuple[int, int, float] | None:
        """Bytes resident, descriptors, seconds of CPU since its start; None while it does not run."""
        try:
            with self.seen.oneshot():
                times = self.seen.cpu_times()
                return self.seen.memory_info().rss, self.seen.num_fds(), times.user + times.system
        except (psutil.Error, AttributeError):
            return None

    def counters(self) -> dict[str, int]:
        """The sums of the counters that its runs logged at their ends, or when last asked."""
        total: dict[str, int] = {}
        run: dict[str, int] = {}
        try:
            lines = self.log.read_text(errors="replace").splitlines()
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


def known(agent: ListAgent, entries: list[dict]) -> dict:
    return {"generation": agent.version, "reset": True, "instances": entries}
