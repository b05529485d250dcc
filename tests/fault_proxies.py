"""Fault proxies between a program and its clients and servers, transparent to the test."""

import subprocess
import sys

import pytest
from program_helpers import (
    LOOPBACK,
    DiscoveryServer,
    LineConnection,
    ListeningServer,
    ProgramProcess,
)

from cypresswalk.net.config import Address


class FaultProxies:
    """Proxies with one fault plan, each in a process of its own.

    In the tests' process a proxy would share the interpreter's lock with clients and servers.
    """

    def __init__(self, plan: str, seed: int):
        """Use the plan in the file `plan` with a seed."""
        self.plan = plan
        self.seed = seed
        self.processes: list[subprocess.Popen] = []

    def start(self, target: Address) -> Address:
        """Start a proxy to an address, and return the proxy's own address."""
        host, port = target
        command = [sys.executable, "-m", "cypresswalk", "faults"]
        command += ["--listen", f"{LOOPBACK}:0", "--to", f"{host}:{port}"]
        command += ["--plan", self.plan, "--seed", str(self.seed), "--quiet"]
        process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
        self.processes.append(process)
        assert process.stderr is not None
        line = process.stderr.readline()
        assert line.startswith("listening on "), line
        return LOOPBACK, int(line.rpartition(":")[2])

    def install(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Put a proxy before each server except discovery, and before each program once it answers.

        Before that, clients connect to the program directly: a test that waits for the program to
        start relies on refused connections.
        """
        listen = ListeningServer.listen
        start_program = ProgramProcess.__init__
        connect = ProgramProcess.connect
        proxy_addresses: dict[ProgramProcess, Address] = {}

        def listen_behind_proxy(server):
            listen(server)
            if not isinstance(server, DiscoveryServer):
                host, port = self.start(server.listener.getsockname())
                server.address = f"{host}:{port}"

        def start_behind_proxy(program, *args, **options):
            start_program(program, *args, **options)
            proxy_addresses[program] = self.start((LOOPBACK, program.port))

        def connect_through_proxy(program):
            if program not in proxy_addresses:
                return connect(program)
            return LineConnection.to(proxy_addresses[program])

        monkeypatch.setattr(ListeningServer, "listen", listen_behind_proxy)
        monkeypatch.setattr(ProgramProcess, "__init__", start_behind_proxy)
        monkeypatch.setattr(ProgramProcess, "connect", connect_through_proxy)

    def stop(self) -> None:
        """End all proxies."""
        for process in self.processes:
            process.kill()
            process.wait()
            if process.stderr is not None:
                process.stderr.close()
